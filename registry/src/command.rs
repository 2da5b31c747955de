//! What the list holds, what can be asked of it, and why that is refused.

use crate::endpoint::EndpointRecord;
use std::time::Duration;
use thiserror::Error;

/// The most bytes of a text in an entry.
const TEXT_MOST: usize = 128;

/// What is asked of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// It is there, for as long as its lease is renewed.
    Register {
        /// How it is to be shown; its state counts for nothing.
        record: EndpointRecord,
        /// How long its lease lasts.
        lease: Duration,
    },
    /// It is still there.
    Renew {
        /// Who.
        uid: String,
        /// In which life.
        boot_ms: u64,
    },
    /// It is to get nothing new.
    Drain {
        /// Who.
        uid: String,
    },
    /// It is no more.
    Deregister {
        /// Who.
        uid: String,
        /// In which life; `None`: in whichever it is.
        boot_ms: Option<u64>,
    },
    /// Its weight.
    Weight {
        /// Who.
        uid: String,
        /// The weight.
        capacity_hint: f64,
    },
}

/// Why a command was not carried out.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The list has another version than the caller goes by.
    #[error("the list is at version {0}: read it again")]
    Version(u64),
    /// There is no such entry.
    #[error("no upstream {0:?} is on the list: register it")]
    Unknown(String),
    /// A later life of it is known.
    #[error("a later start of it, boot_ms {0}, is on the list: this one has been replaced")]
    Replaced(u64),
    /// Another one is there.
    #[error("the endpoint is that of {0:?}, which started later or at the same time")]
    Taken(String),
    /// There are too many.
    #[error("the list is full with {0} entries")]
    Full(usize),
    /// It cannot be meant.
    #[error("{0}")]
    Bad(String),
}

pub(crate) fn weight(capacity_hint: f64) -> Result<(), CommandError> {
    let fits = capacity_hint.is_finite() && (0.0..=1e6).contains(&capacity_hint);
    if fits {
        Ok(())
    } else {
        Err(CommandError::Bad(format!(
            "capacity_hint of {capacity_hint}: 0 to 1000000 are possible"
        )))
    }
}

pub(crate) fn sound(record: &EndpointRecord) -> Result<(), CommandError> {
    for (name, text) in [
        ("uid", &record.uid),
        ("az", &record.zone),
        ("model", &record.model),
    ] {
        if text.len() > TEXT_MOST || text.chars().any(char::is_control) {
            return Err(CommandError::Bad(format!(
                "{name}: {TEXT_MOST} bytes without control characters at most"
            )));
        }
    }
    if record.uid.is_empty() {
        return Err(CommandError::Bad("uid is empty".into()));
    }
    if record.address.parse::<std::net::SocketAddr>().is_err() {
        return Err(CommandError::Bad(format!(
            "endpoint {:?}: an address and a port are needed",
            record.address
        )));
    }
    weight(record.weight)
}

//! What the list holds, what can be asked of it, and why that is refused.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// The most bytes of a text in an entry.
const TEXT_MOST: usize = 128;

/// How an entry stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Terminating,
    /// It is no more.
    Gone,
}

/// An upstream as the list shows it; the fields are the published ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Who it is, over restarts.
    pub uid: String,
    /// Where it is reached.
    pub endpoint: String,
    /// Its zone.
    pub az: String,
    /// Its kind.
    pub model: String,
    /// Its cell.
    pub pod_group: u16,
    /// How it stands.
    pub state: State,
    /// Its weight.
    pub capacity_hint: f64,
    /// Its last start, in milliseconds of Unix time.
    pub boot_ms: u64,
}

/// What is asked of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// It is there, for as long as its lease is renewed.
    Register {
        /// How it is to be shown; its state counts for nothing.
        record: Record,
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
pub enum Refused {
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

pub(crate) fn weight(capacity_hint: f64) -> Result<(), Refused> {
    let fits = capacity_hint.is_finite() && (0.0..=1e6).contains(&capacity_hint);
    if fits {
        Ok(())
    } else {
        Err(Refused::Bad(format!(
            "capacity_hint of {capacity_hint}: 0 to 1000000 are possible"
        )))
    }
}

pub(crate) fn sound(record: &Record) -> Result<(), Refused> {
    for (name, text) in [
        ("uid", &record.uid),
        ("az", &record.az),
        ("model", &record.model),
    ] {
        if text.len() > TEXT_MOST || text.chars().any(char::is_control) {
            return Err(Refused::Bad(format!(
                "{name}: {TEXT_MOST} bytes without control characters at most"
            )));
        }
    }
    if record.uid.is_empty() {
        return Err(Refused::Bad("uid is empty".into()));
    }
    if record.endpoint.parse::<std::net::SocketAddr>().is_err() {
        return Err(Refused::Bad(format!(
            "endpoint {:?}: an address and a port are needed",
            record.endpoint
        )));
    }
    weight(record.capacity_hint)
}

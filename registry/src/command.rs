//! The commands that change the endpoint list, and the reasons for which one is rejected.

use crate::endpoint::EndpointRecord;
use std::net::{AddrParseError, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// The maximum length of a text field of an endpoint, in bytes.
const MAX_TEXT_LENGTH: usize = 128;
/// The weights that an endpoint can have.
const WEIGHT_RANGE: RangeInclusive<f64> = 0.0..=1e6;
/// The durations that a lease can have.
const LEASE_RANGE: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(3600);

/// A command that changes the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Adds an endpoint, or replaces it. It remains on the list while its lease is renewed.
    Register {
        /// The endpoint. Its state is ignored.
        record: EndpointRecord,
        /// The duration of its lease.
        lease_duration: Duration,
    },
    /// Renews the lease of an endpoint.
    Renew {
        /// The endpoint's uid.
        uid: String,
        /// The start of the incarnation that renews.
        boot_ms: u64,
    },
    /// Marks an endpoint as terminating, so that it gets no new requests.
    Drain {
        /// The endpoint's uid.
        uid: String,
    },
    /// Removes an endpoint.
    Deregister {
        /// The endpoint's uid.
        uid: String,
        /// The start of the incarnation to remove, or `None` for any.
        boot_ms: Option<u64>,
    },
    /// Sets the weight of an endpoint.
    SetWeight {
        /// The endpoint's uid.
        uid: String,
        /// The new weight.
        weight: f64,
    },
}

/// Why a command was rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CommandError {
    /// The command is conditional on another revision of the list.
    #[error("the list is at version {current}: read it again")]
    RevisionMismatch {
        /// The revision of the list.
        current: u64,
    },
    /// The endpoint is not on the list.
    #[error("no upstream {uid:?} is on the list: register it")]
    UnknownEndpoint {
        /// The requested uid.
        uid: String,
    },
    /// A later incarnation of the endpoint is known.
    #[error("a later start of it, boot_ms {boot_ms}, is on the list: this one has been replaced")]
    Superseded {
        /// The start of the incarnation that is known.
        boot_ms: u64,
    },
    /// The address belongs to another endpoint.
    #[error("the endpoint is that of {uid:?}, which started later or at the same time")]
    AddressInUse {
        /// The uid of that endpoint.
        uid: String,
    },
    /// The list has its maximum number of endpoints.
    #[error("the list is full with {count} entries")]
    RegistryFull {
        /// The number of endpoints.
        count: usize,
    },
    /// A field of the command has an invalid value.
    #[error(transparent)]
    Invalid(#[from] InvalidField),
}

/// A field of a command that has an invalid value.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum InvalidField {
    /// A text is too long or contains control characters.
    #[error("{field}: {MAX_TEXT_LENGTH} bytes without control characters at most")]
    Text {
        /// The key of the field.
        field: &'static str,
    },
    /// The uid is empty.
    #[error("uid is empty")]
    EmptyUid,
    /// The address is not an IP address with a port.
    #[error("endpoint {address:?}: an address and a port are needed")]
    Address {
        /// The value.
        address: String,
        /// The reason.
        source: AddrParseError,
    },
    /// The weight is out of range.
    #[error("capacity_hint of {weight}: 0 to 1000000 are possible")]
    Weight {
        /// The value.
        weight: f64,
    },
    /// The duration of the lease is out of range.
    #[error("ttl_s of {duration:?}: 1 to 3600 s are possible")]
    LeaseDuration {
        /// The value.
        duration: Duration,
    },
}

pub(crate) fn validate_weight(weight: f64) -> Result<(), InvalidField> {
    if WEIGHT_RANGE.contains(&weight) {
        Ok(())
    } else {
        Err(InvalidField::Weight { weight })
    }
}

pub(crate) fn validate_lease(duration: Duration) -> Result<(), InvalidField> {
    if LEASE_RANGE.contains(&duration) {
        Ok(())
    } else {
        Err(InvalidField::LeaseDuration { duration })
    }
}

pub(crate) fn validate_record(record: &EndpointRecord) -> Result<(), InvalidField> {
    for (field, text) in [
        ("uid", &record.uid),
        ("az", &record.zone),
        ("model", &record.model),
    ] {
        if text.len() > MAX_TEXT_LENGTH || text.chars().any(char::is_control) {
            return Err(InvalidField::Text { field });
        }
    }
    if record.uid.is_empty() {
        return Err(InvalidField::EmptyUid);
    }
    if let Err(source) = record.address.parse::<SocketAddr>() {
        return Err(InvalidField::Address {
            address: record.address.clone(),
            source,
        });
    }
    validate_weight(record.weight)
}

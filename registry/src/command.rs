//! The commands that change the endpoint list, and the reasons why a command is rejected.

use crate::endpoint::EndpointRecord;
use std::net::{AddrParseError, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// The maximum length of a text field of an endpoint.
const MAX_TEXT_BYTES: usize = 128;
/// The valid weights of an endpoint.
const WEIGHT_RANGE: RangeInclusive<f64> = 0.0..=1e6;
/// The valid durations of a lease.
const LEASE_RANGE: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(3600);

/// A command that changes the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Adds an endpoint, or replaces the one with the same uid. The endpoint stays on the list for
    /// as long as its lease is renewed.
    Register {
        /// The endpoint to register. Its state is ignored.
        record: EndpointRecord,
        /// The duration of the endpoint's lease, from 1 s to 1 h.
        lease_duration: Duration,
    },
    /// Renews the lease of an endpoint.
    Renew {
        /// The uid of the endpoint whose lease is renewed.
        uid: String,
        /// The start time of the incarnation that renews its lease, in milliseconds of Unix time.
        boot_ms: u64,
    },
    /// Marks an endpoint as terminating, so that it receives no new requests.
    Drain {
        /// The uid of the endpoint that is to be drained.
        uid: String,
    },
    /// Removes an endpoint.
    Deregister {
        /// The uid of the endpoint to remove from the list.
        uid: String,
        /// The start time of the incarnation to remove, in milliseconds of Unix time, or `None` to
        /// remove any incarnation.
        boot_ms: Option<u64>,
    },
    /// Sets the weight of an endpoint.
    SetWeight {
        /// The uid of the endpoint whose weight is set.
        uid: String,
        /// The new weight, from 0 to 1,000,000.
        weight: f64,
    },
}

/// The reason why a command was rejected. The message is sent to the client.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CommandError {
    /// The command is conditional on a revision that is not the current one.
    #[error("the list is at version {current}: read it again")]
    RevisionMismatch {
        /// The current revision of the list.
        current: u64,
    },
    /// The endpoint is not on the list.
    #[error("no upstream {uid:?} is on the list: register it")]
    UnknownEndpoint {
        /// The uid that the command was sent for.
        uid: String,
    },
    /// Another incarnation of the endpoint is known. When a registration is rejected, the known one
    /// is always the later one.
    #[error("a later start of it, boot_ms {boot_ms}, is on the list: this one has been replaced")]
    Superseded {
        /// The start time of the known incarnation, in milliseconds of Unix time.
        boot_ms: u64,
    },
    /// The address belongs to another endpoint, which started later or at the same time.
    #[error("the endpoint is that of {uid:?}, which started later or at the same time")]
    AddressInUse {
        /// The uid of the other endpoint.
        uid: String,
    },
    /// The list already has its maximum number of endpoints.
    #[error("the list is full with {count} entries")]
    RegistryFull {
        /// The number of endpoints on the list.
        count: usize,
    },
    /// A field of the command has an invalid value.
    #[error(transparent)]
    Invalid(#[from] InvalidField),
}

/// The reason why a field of a command is invalid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum InvalidField {
    /// A text is too long or contains control characters.
    #[error("{field}: {MAX_TEXT_BYTES} bytes without control characters at most")]
    Text {
        /// The name of the field in the request: `uid`, `az` or `model`.
        field: &'static str,
    },
    /// The uid is empty. It must have 1 to 128 bytes.
    #[error("uid is empty")]
    EmptyUid,
    /// The address is not an IP address with a port.
    #[error("endpoint {address:?}: an address and a port are needed")]
    Address {
        /// The address in the command, as the client sent it.
        address: String,
        /// The reason why the address cannot be parsed.
        source: AddrParseError,
    },
    /// The weight is out of range.
    #[error("capacity_hint of {weight}: 0 to 1000000 are possible")]
    Weight {
        /// The weight in the command, as the client sent it.
        weight: f64,
    },
    /// The duration of the lease is out of range.
    #[error("ttl_s of {duration:?}: 1 to 3600 s are possible")]
    LeaseDuration {
        /// The duration in the command, as the client sent it.
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
        if text.len() > MAX_TEXT_BYTES || text.chars().any(char::is_control) {
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

//! The requests of the write interface: their routes, their JSON bodies, and the reasons why a
//! request is rejected.

use crate::command::{Command, CommandError};
use crate::endpoint::{EndpointRecord, EndpointState};
use crate::writer::WriteError;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use std::time::{Duration, TryFromFloatSecsError};
use thiserror::Error;

const UPSTREAMS_PREFIX: &str = "/upstreams/";

/// The reason why a request to the write interface failed. The message is sent to the client.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The path does not exist, or does not support the method.
    #[error(
        "PUT or DELETE /upstreams/UID, POST /upstreams/UID/renew or drain, PUT /upstreams/UID/weight, GET /status, GET /metrics"
    )]
    UnknownRoute,
    /// The body is not the JSON object that the route expects.
    #[error("the body: {0}")]
    Json(#[from] serde_json::Error),
    /// `ttl_s` is negative, not finite or too large for a duration.
    #[error("ttl_s of {ttl_s}: 1 to 3600 are possible")]
    LeaseDuration {
        /// The value of `ttl_s` in the request, in seconds.
        ttl_s: f64,
        /// The reason why the value is not a duration.
        source: TryFromFloatSecsError,
    },
    /// The value of the `If-Match` header is not a revision.
    #[error("If-Match: a version of the list is needed")]
    IfMatch,
    /// The body is longer than 16 KiB.
    #[error("the body is too long")]
    BodyTooLong,
    /// The body could not be read to its end.
    #[error("the body broke off")]
    BodyTruncated,
    /// The body was not received within 5 s.
    #[error("the body did not come in time")]
    BodyTimeout,
    /// The number of writes that wait for the disk has reached its limit.
    #[error("too many writes are waiting for the disk; retry later")]
    Overloaded,
    /// The command was rejected, or could not be made durable.
    #[error(transparent)]
    Write(#[from] WriteError),
    /// The service stopped before the write was acknowledged.
    #[error("the service is stopping; it is unknown whether this write is durable")]
    ServiceStopped,
}

impl RequestError {
    /// Returns the HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::Json(_) | Self::LeaseDuration { .. } | Self::IfMatch | Self::BodyTruncated => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
            Self::Write(WriteError::Rejected(error)) => command_error_status(error),
            Self::Write(WriteError::DiskFull) => StatusCode::INSUFFICIENT_STORAGE,
            Self::Write(WriteError::DiskFailed) | Self::ServiceStopped => {
                StatusCode::INTERNAL_SERVER_ERROR
            }
        }
    }
}

fn command_error_status(error: &CommandError) -> StatusCode {
    match error {
        CommandError::RevisionMismatch { .. } => StatusCode::PRECONDITION_FAILED,
        CommandError::UnknownEndpoint { .. } => StatusCode::NOT_FOUND,
        CommandError::Superseded { .. } | CommandError::AddressInUse { .. } => StatusCode::CONFLICT,
        CommandError::RegistryFull { .. } => StatusCode::INSUFFICIENT_STORAGE,
        CommandError::Invalid(_) => StatusCode::BAD_REQUEST,
    }
}

// If a body has another JSON type, the error message that the client receives contains the name
// `Registered`, `Life` or `Weight`, so these names are part of the interface.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Registered {
    #[serde(rename = "endpoint")]
    address: String,
    #[serde(rename = "az", default)]
    zone: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u16,
    #[serde(rename = "capacity_hint", default = "default_weight")]
    weight: f64,
    boot_ms: u64,
    ttl_s: f64,
}

fn default_weight() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Life {
    boot_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Weight {
    #[serde(rename = "capacity_hint")]
    weight: f64,
}

/// Parses a request to the write interface into a command.
pub fn parse_command(method: &Method, path: &str, body: &[u8]) -> Result<Command, RequestError> {
    let upstream = path
        .strip_prefix(UPSTREAMS_PREFIX)
        .ok_or(RequestError::UnknownRoute)?;
    let (uid, action) = upstream.split_once('/').unwrap_or((upstream, ""));
    let uid = uid.to_owned();
    match (method, action) {
        (&Method::PUT, "") => parse_registration(uid, body),
        (&Method::DELETE, "") => Ok(Command::Deregister {
            uid,
            boot_ms: parse_boot_ms(body)?,
        }),
        (&Method::POST, "renew") => {
            let Life { boot_ms } = serde_json::from_slice(body)?;
            Ok(Command::Renew { uid, boot_ms })
        }
        (&Method::POST, "drain") => Ok(Command::Drain { uid }),
        (&Method::PUT, "weight") => {
            let Weight { weight } = serde_json::from_slice(body)?;
            Ok(Command::SetWeight { uid, weight })
        }
        _ => Err(RequestError::UnknownRoute),
    }
}

fn parse_registration(uid: String, body: &[u8]) -> Result<Command, RequestError> {
    let registration: Registered = serde_json::from_slice(body)?;
    let ttl_s = registration.ttl_s;
    let lease_duration = Duration::try_from_secs_f64(ttl_s)
        .map_err(|source| RequestError::LeaseDuration { ttl_s, source })?;
    let record = EndpointRecord {
        uid,
        address: registration.address,
        zone: registration.zone,
        model: registration.model,
        pod_group: registration.pod_group,
        state: EndpointState::Ready,
        weight: registration.weight,
        boot_ms: registration.boot_ms,
    };
    Ok(Command::Register {
        record,
        lease_duration,
    })
}

/// Returns the start time of the incarnation to remove. An empty body means any incarnation.
fn parse_boot_ms(body: &[u8]) -> Result<Option<u64>, RequestError> {
    if body.is_empty() {
        return Ok(None);
    }
    let Life { boot_ms } = serde_json::from_slice(body)?;
    Ok(Some(boot_ms))
}

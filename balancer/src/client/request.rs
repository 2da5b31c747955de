//! The reading and validation of client requests.

use super::response::plain_response;
use crate::headers::{self, CORRELATION_ID, IDEMPOTENCY_KEY, RETRY, TENANT, TIME_LEFT, WORK_HINT};
use crate::in_flight::ClientRequest;
use crate::memory_budget::{MemoryBudget, MemoryReservation, MemoryUse};
use crate::upstream::ForwardedRequest;
use bytes::Bytes;
use frostkeel_message_body::{BodyError, ReservedBodyError, read_reserved};
use frostkeel_policy::{ClassId, Effect, TenantId};
use frostkeel_settings::Site;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use rustc_hash::FxHashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The maximum length of a request body.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The time subtracted from a request's time left, to allow for network transit in both directions and timer delays.
const TRANSIT_TIME: Duration = Duration::from_millis(4);
/// The maximum time left of a request; a longer one is reduced to this value.
const MAX_TIME_LEFT_MS: u64 = 3_600_000;
/// The timeout for receiving a request head, and for receiving a body.
pub const READ_TIMEOUT: Duration = Duration::from_millis(2500);
/// The longest time for which a request waits for memory until it is rejected.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(100);
/// The number of copies of a request's headers: the client's, and those of its attempt.
const HEADER_COPIES: usize = 2;
/// The memory of a request beside its headers and its body: the receive buffers of its connection while it is read, and
/// then its entries in the tables, its attempts and their tasks.
const REQUEST_BYTES: usize = 20 * 1024;

/// The reason why a request is invalid. The client gets an error response, and the request is not submitted to the
/// decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.message())]
pub enum RequestError {
    /// The first segment of the path is not the name of a class.
    UnknownClass,
    /// The method is not the one of the class: GET for idempotent classes, POST for others.
    WrongMethod,
    /// The header `X-Correlation-Id` is missing or empty.
    MissingCorrelationId,
    /// The class is deduplicated, and the header `Idempotency-Key` is missing.
    MissingIdempotencyKey,
    /// The site has tenants, and the header `X-Account` is missing or does not name one of them.
    UnknownTenant,
    /// The header `X-Time-Left-Ms` is missing or is not an unsigned integer.
    UnreadableTimeLeft,
    /// The header `X-Weight-Hint` is not a finite number of 0 or more.
    UnreadableWorkHint,
    /// The request body exceeds the limit for forwarded bodies.
    BodyTooLong,
    /// The request body ended early, or its framing is invalid.
    BodyTruncated,
    /// The request body was not received in time.
    BodyTimeout,
    /// The client disconnected while its request was read.
    ClientDisconnected,
    /// A request that must not be executed twice was forwarded before, and its client left before the final response.
    AlreadyForwarded,
    /// The client goes on sending more than is read ahead, so that its disconnect could not be detected.
    Flooded,
    /// The request was not complete when its connection had to be closed to admit another one.
    TooManyConnections,
    /// There was no memory for the request.
    NoMemory,
}

impl RequestError {
    /// Returns the HTTP status of the error response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::UnknownClass => StatusCode::NOT_FOUND,
            Self::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::UnknownTenant => StatusCode::FORBIDDEN,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Flooded | Self::TooManyConnections | Self::NoMemory => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::AlreadyForwarded => StatusCode::CONFLICT,
            Self::MissingCorrelationId
            | Self::MissingIdempotencyKey
            | Self::UnreadableTimeLeft
            | Self::UnreadableWorkHint
            | Self::BodyTruncated
            | Self::ClientDisconnected => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns the text of the error response's body.
    pub fn message(self) -> &'static str {
        match self {
            Self::UnknownClass => "unknown class",
            Self::WrongMethod => "the class has another method",
            Self::MissingCorrelationId => "no X-Correlation-Id",
            Self::MissingIdempotencyKey => "no Idempotency-Key",
            Self::UnknownTenant => "unknown account",
            Self::UnreadableTimeLeft => "no readable X-Time-Left-Ms",
            Self::UnreadableWorkHint => "unreadable X-Weight-Hint",
            Self::BodyTooLong => "the body is too long",
            Self::BodyTruncated => "the body broke off",
            Self::BodyTimeout => "the body did not come in time",
            Self::TooManyConnections => "too many connections",
            Self::AlreadyForwarded => "the request may have been executed before",
            Self::Flooded => "too much follows the request",
            Self::NoMemory => "no memory for the request",
            Self::ClientDisconnected => "the client has left",
        }
    }

    /// Returns the error response to the client.
    pub fn response(self) -> Response<Full<Bytes>> {
        plain_response(self.status(), self.message())
    }
}

/// The properties of a class against which a request head is validated.
#[derive(Clone, Copy)]
struct ClassRules {
    id: ClassId,
    effect: Effect,
}

/// A reader of client requests, which validates them against the classes and tenants of a site.
pub struct RequestReader {
    classes: FxHashMap<String, ClassRules>,
    tenants: FxHashMap<String, TenantId>,
    memory: Arc<MemoryBudget>,
}

impl RequestReader {
    /// Creates a reader for a site's classes and tenants. The memory of requests is reserved in `memory`.
    pub fn new(site: &Site, memory: &Arc<MemoryBudget>) -> Self {
        let effects = site.settings.classes.iter().map(|class| class.effect);
        let classes = site.names.classes.iter().cloned().zip(effects).enumerate();
        let classes = classes.map(|(k, (name, effect))| {
            (
                name,
                ClassRules {
                    id: ClassId(k as u16),
                    effect,
                },
            )
        });
        let tenants = site.names.tenants.iter().cloned().enumerate();
        let tenants = tenants.map(|(k, name)| (name, TenantId(k as u32)));
        Self {
            classes: classes.collect(),
            tenants: tenants.collect(),
            memory: Arc::clone(memory),
        }
    }

    /// Reads a request, including its body, and validates it. Its deadline counts from `received_at`, the earliest time
    /// at which the client can have sent it. It must have been received completely at `due_at`.
    pub async fn read(
        &self,
        request: Request<Incoming>,
        received_at: Instant,
        due_at: Instant,
    ) -> Result<ClientRequest, RequestError> {
        let (parts, body) = request.into_parts();
        let mut headers = parts.headers;
        let ClassRules { id: class, effect } = self.class(&parts.uri, &parts.method, &headers)?;
        let tenant = self.tenant(&headers)?;
        let time_left = time_left(&headers)?;
        let work_ms = work_hint_ms(&headers)?;
        let is_retry = headers
            .get(RETRY)
            .is_some_and(|value| value.as_bytes() == b"1");
        headers::strip_hop_by_hop(&mut headers);
        headers::release_receive_buffer(&mut headers);
        let target = target(&parts.uri);
        drop(parts.uri);
        let memory = self.reserve(head_memory_bytes(&headers, &target)).await?;
        let until = received_at + time_left.min(READ_TIMEOUT);
        let body = self.read_body(body, until.min(due_at)).await?;
        let forwarded = ForwardedRequest {
            method: parts.method,
            target,
            headers,
            body,
        };
        let deadline = received_at + time_left.saturating_sub(TRANSIT_TIME);
        Ok(ClientRequest {
            class,
            tenant,
            deadline,
            work_ms,
            is_at_most_once: effect == Effect::AtMostOnce,
            is_retry,
            forwarded,
            _memory: memory,
        })
    }

    /// Reserves memory for a request.
    async fn reserve(&self, bytes: usize) -> Result<MemoryReservation, RequestError> {
        let until = Instant::now() + MAX_MEMORY_WAIT;
        let reserved = self.memory.reserve(MemoryUse::Request, bytes, until);
        reserved.await.ok_or(RequestError::NoMemory)
    }

    /// Reads a complete body; the error is [`RequestError::BodyTimeout`] if it has not been received at `until`.
    async fn read_body(&self, body: Incoming, until: Instant) -> Result<Bytes, RequestError> {
        let read = read_reserved(body, MAX_BODY_BYTES, async |bytes| {
            self.reserve(bytes).await
        });
        match timeout_at(until, read).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(ReservedBodyError::Body(BodyError::TooLong { .. }))) => {
                Err(RequestError::BodyTooLong)
            }
            Ok(Err(ReservedBodyError::Body(BodyError::Invalid(_)))) => {
                Err(RequestError::BodyTruncated)
            }
            Ok(Err(ReservedBodyError::NotReserved(error))) => Err(error),
            Err(_) => Err(RequestError::BodyTimeout),
        }
    }

    /// Returns the rules of the class that the path names, if the method and the headers are valid for that class.
    fn class(
        &self,
        uri: &Uri,
        method: &Method,
        headers: &HeaderMap,
    ) -> Result<ClassRules, RequestError> {
        let name = uri
            .path()
            .trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or_default();
        let class = self
            .classes
            .get(name)
            .copied()
            .ok_or(RequestError::UnknownClass)?;
        let is_idempotent = class.effect == Effect::Idempotent;
        let class_method = if is_idempotent {
            Method::GET
        } else {
            Method::POST
        };
        if *method != class_method {
            return Err(RequestError::WrongMethod);
        }
        if headers
            .get(CORRELATION_ID)
            .is_none_or(HeaderValue::is_empty)
        {
            return Err(RequestError::MissingCorrelationId);
        }
        if matches!(class.effect, Effect::Deduplicated { .. })
            && !headers.contains_key(IDEMPOTENCY_KEY)
        {
            return Err(RequestError::MissingIdempotencyKey);
        }
        Ok(class)
    }

    /// Returns the tenant that the headers name; id 0 at a site without tenants.
    fn tenant(&self, headers: &HeaderMap) -> Result<TenantId, RequestError> {
        match header_text(headers, &TENANT).map(|name| self.tenants.get(name)) {
            Some(Some(tenant)) => Ok(*tenant),
            _ if self.tenants.is_empty() => Ok(TenantId(0)),
            _ => Err(RequestError::UnknownTenant),
        }
    }
}

/// Returns the time for which the client will still wait, at most [`MAX_TIME_LEFT_MS`].
fn time_left(headers: &HeaderMap) -> Result<Duration, RequestError> {
    let value_ms =
        header_text(headers, &TIME_LEFT).and_then(|text| text.trim().parse::<u64>().ok());
    let value_ms = value_ms.ok_or(RequestError::UnreadableTimeLeft)?;
    Ok(Duration::from_millis(value_ms.min(MAX_TIME_LEFT_MS)))
}

/// Returns the expected CPU time in milliseconds; `None` if the client does not state it. The header is in
/// microseconds.
fn work_hint_ms(headers: &HeaderMap) -> Result<Option<f64>, RequestError> {
    let Some(hint) = headers.get(WORK_HINT) else {
        return Ok(None);
    };
    match hint
        .to_str()
        .ok()
        .and_then(|hint| hint.trim().parse::<f64>().ok())
    {
        Some(us) if us.is_finite() && us >= 0.0 => Ok(Some(us / 1e3)),
        _ => Err(RequestError::UnreadableWorkHint),
    }
}

/// Returns a copy of the path and query of a URI, which is a slice of the receive buffer of its connection.
fn target(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    // The text of a valid path is valid.
    path.parse().unwrap_or_default()
}

/// Returns the memory of a request without its body.
fn head_memory_bytes(headers: &HeaderMap, target: &Uri) -> usize {
    let path = target
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    REQUEST_BYTES + HEADER_COPIES * (headers::memory_bytes(headers) + path)
}

/// Returns the value of a header; `None` if it is missing or is not visible ASCII text.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

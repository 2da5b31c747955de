//! The reading and validation of client requests.

use super::response::plain_response;
use crate::headers::{self, CORRELATION_ID, IDEMPOTENCY_KEY, RETRY, TENANT, TIME_LEFT, WORK_HINT};
use crate::in_flight::ClientRequest;
use crate::upstream::ForwardedRequest;
use bytes::Bytes;
use frostkeel_message_body::{BodyError, read_complete};
use frostkeel_policy::{ClassId, Effect, TenantId};
use frostkeel_settings::Site;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use rustc_hash::FxHashMap;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The maximum length of a request body.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The time subtracted from a request's time left, to allow for network transit in both directions and timer delays.
const TRANSIT_TIME: Duration = Duration::from_millis(4);
/// The maximum time left of a request; a longer one is reduced to this value.
const MAX_TIME_LEFT_MS: u64 = 3_600_000;
/// The timeout for receiving a request head, and for receiving a body. It ensures that a client that sends no valid
/// request gets an error response or a close within 3 s of connecting.
pub const READ_TIMEOUT: Duration = Duration::from_millis(2500);

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
    /// The request was not complete when its connection had to be closed to admit another one.
    TooManyConnections,
}

impl RequestError {
    /// Returns the HTTP status of the error response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::UnknownClass => StatusCode::NOT_FOUND,
            Self::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::UnknownTenant => StatusCode::FORBIDDEN,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooManyConnections => StatusCode::SERVICE_UNAVAILABLE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
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
}

impl RequestReader {
    /// Creates a reader for a site's classes and tenants.
    pub fn new(site: &Site) -> Self {
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
        }
    }

    /// Reads a request, including its body, and validates it. Its deadline counts from `received_at`, the earliest time
    /// at which the client can have sent it.
    pub async fn read(
        &self,
        request: Request<Incoming>,
        received_at: Instant,
    ) -> Result<ClientRequest, RequestError> {
        let (parts, body) = request.into_parts();
        let mut headers = parts.headers;
        let class = self.class(&parts.uri, &parts.method, &headers)?;
        let tenant = self.tenant(&headers)?;
        let time_left = time_left(&headers)?;
        let work_ms = work_hint_ms(&headers)?;
        let is_retry = headers
            .get(RETRY)
            .is_some_and(|value| value.as_bytes() == b"1");
        let body = read_body(body, received_at + time_left.min(READ_TIMEOUT)).await?;
        headers::strip_hop_by_hop(&mut headers);
        let path = parts.uri.path_and_query();
        let target = path.map(|path| Uri::from(path.clone())).unwrap_or_default();
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
            is_retry,
            forwarded,
        })
    }

    /// Returns the class that the path names, if the method and the headers are valid for that class.
    fn class(
        &self,
        uri: &Uri,
        method: &Method,
        headers: &HeaderMap,
    ) -> Result<ClassId, RequestError> {
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
        Ok(class.id)
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

/// Reads a complete body; the error is [`RequestError::BodyTimeout`] if it has not been received at `until`.
async fn read_body(body: Incoming, until: Instant) -> Result<Bytes, RequestError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLong);
    }
    match timeout_at(until, read_complete(body, MAX_BODY_BYTES)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLong { .. })) => Err(RequestError::BodyTooLong),
        Ok(Err(BodyError::Invalid(_))) => Err(RequestError::BodyTruncated),
        Err(_) => Err(RequestError::BodyTimeout),
    }
}

/// Returns the value of a header; `None` if it is missing or is not visible ASCII text.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

//! Reads and validates client requests.

use super::response::plain_response;
use crate::headers::{self, CORRELATION_ID, IDEMPOTENCY_KEY, RETRY, TENANT, TIME_LEFT, WORK_HINT};
use crate::in_flight::ClientRequest;
use crate::upstream::ForwardedRequest;
use bytes::Bytes;
use frostkeel_policy::{ClassId, Effect, TenantId};
use frostkeel_settings::Site;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use rustc_hash::FxHashMap;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The longest accepted request body.
const MAX_BODY: usize = 64 * 1024;
/// Subtracted from a client's time left, for network transit in both directions and timer delays.
const TRANSIT_TIME: Duration = Duration::from_millis(4);
/// The longest accepted time left, in milliseconds; a longer one is reduced to it.
const MAX_TIME_LEFT_MS: u64 = 3_600_000;
/// The timeout for receiving a head or a body. A peer that sends no valid request must get an error response or a
/// close within 3 s of connecting.
pub const READ_TIMEOUT: Duration = Duration::from_millis(2500);

/// Why a request is not submitted to the decision module. The client gets an error, and nothing is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.message())]
pub enum RequestError {
    /// The path matches no class.
    UnknownClass,
    /// The method does not match the class.
    WrongMethod,
    /// The correlation id is missing or empty.
    MissingCorrelationId,
    /// The class requires an idempotency key, and there is none.
    MissingIdempotencyKey,
    /// The tenant is not configured for the site.
    UnknownTenant,
    /// The time left is missing or not a number.
    UnreadableTimeLeft,
    /// The work hint is not a number.
    UnreadableWorkHint,
    /// The body exceeds the limit for forwarded bodies.
    BodyTooLong,
    /// The body ended early, or its framing is invalid.
    BodyTruncated,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The client has disconnected.
    ClientDisconnected,
}

impl RequestError {
    /// The HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::UnknownClass => StatusCode::NOT_FOUND,
            Self::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::UnknownTenant => StatusCode::FORBIDDEN,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::MissingCorrelationId
            | Self::MissingIdempotencyKey
            | Self::UnreadableTimeLeft
            | Self::UnreadableWorkHint
            | Self::BodyTruncated
            | Self::ClientDisconnected => StatusCode::BAD_REQUEST,
        }
    }

    /// The text of the response body.
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
            Self::ClientDisconnected => "the client has left",
        }
    }

    /// The response to the client.
    pub fn response(self) -> Response<Full<Bytes>> {
        plain_response(self.status(), self.message())
    }
}

/// The rules against which a request head is validated.
#[derive(Clone, Copy)]
struct ClassRules {
    id: ClassId,
    effect: Effect,
}

/// Reads requests and validates them against the classes and tenants of a site.
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

    /// Reads a request, including its body.
    pub async fn read(&self, request: Request<Incoming>) -> Result<ClientRequest, RequestError> {
        let received_at = Instant::now();
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

    /// The class that matches the path, if the rest of the head is valid for it.
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

    fn tenant(&self, headers: &HeaderMap) -> Result<TenantId, RequestError> {
        match text_of(headers, &TENANT).map(|name| self.tenants.get(name)) {
            Some(Some(tenant)) => Ok(*tenant),
            _ if self.tenants.is_empty() => Ok(TenantId(0)),
            _ => Err(RequestError::UnknownTenant),
        }
    }
}

fn time_left(headers: &HeaderMap) -> Result<Duration, RequestError> {
    let left_ms = text_of(headers, &TIME_LEFT).and_then(|text| text.trim().parse::<u64>().ok());
    let left_ms = left_ms.ok_or(RequestError::UnreadableTimeLeft)?;
    Ok(Duration::from_millis(left_ms.min(MAX_TIME_LEFT_MS)))
}

/// The expected work in milliseconds, if the client states it; the header is in microseconds.
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

async fn read_body(body: Incoming, until: Instant) -> Result<Bytes, RequestError> {
    if body.size_hint().lower() > MAX_BODY as u64 {
        return Err(RequestError::BodyTooLong);
    }
    match timeout_at(until, Limited::new(body, MAX_BODY).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RequestError::BodyTooLong),
        Ok(Err(_)) => Err(RequestError::BodyTruncated),
        Err(_) => Err(RequestError::BodyTimeout),
    }
}

fn text_of<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

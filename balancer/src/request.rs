//! What clients ask: reads a request for the module, and words its final answer.

use crate::exchange::ForwardedRequest;
use crate::headers::{self, CORRELATION_ID, IDEMPOTENCY_KEY, RETRY, TENANT, TIME_LEFT, WORK_HINT};
use crate::in_flight::{ClientRequest, FinalResponse};
use bytes::Bytes;
use frostkeel_policy::{ClassId, Effect, TenantId};
use frostkeel_settings::Site;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode, Uri};
use rustc_hash::FxHashMap;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The longest body of a request.
const BODY_MOST: usize = 64 * 1024;
/// What is taken off a client's time: the way of the request here and of the answer back, and the timers.
const ON_THE_WAY: Duration = Duration::from_millis(4);
/// The longest time left that is believed, in milliseconds.
const TIME_LEFT_MOST: u64 = 3_600_000;
/// A request whose head, or body, does not come whole in this time is not waited for any longer: a peer that sends no
/// proper request is owed an error or a close within 3 s of connecting.
pub const READ_TIMEOUT: Duration = Duration::from_millis(2500);

const TOO_LONG: Rejected = Rejected(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");

/// Why a request is not handed to the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected(pub StatusCode, pub &'static str);

/// Reads requests with the classes and tenants of a site.
pub struct RequestReader {
    classes: FxHashMap<String, (ClassId, Effect)>,
    tenants: FxHashMap<String, TenantId>,
}

impl RequestReader {
    /// A reader for a site's classes and tenants.
    pub fn new(site: &Site) -> Self {
        let effects = site.settings.classes.iter().map(|c| c.effect);
        let classes = site.names.classes.iter().cloned().zip(effects).enumerate();
        let classes = classes.map(|(k, (name, effect))| (name, (ClassId(k as u16), effect)));
        let tenants = site.names.tenants.iter().cloned().enumerate();
        let tenants = tenants.map(|(k, name)| (name, TenantId(k as u32)));
        Self {
            classes: classes.collect(),
            tenants: tenants.collect(),
        }
    }

    /// Reads a request, its body included.
    pub async fn read(&self, request: Request<Incoming>) -> Result<ClientRequest, Rejected> {
        let came = Instant::now();
        let (parts, body) = request.into_parts();
        let mut headers = parts.headers;
        let class = self.class(&parts.uri, &parts.method, &headers)?;
        let tenant = self.tenant(&headers)?;
        let left = time_left(&headers)?;
        let work_ms = work_hint(&headers)?;
        let is_retry = headers.get(RETRY).is_some_and(|v| v.as_bytes() == b"1");
        let body = read_body(body, came + left.min(READ_TIMEOUT)).await?;
        headers::strip_hop_by_hop(&mut headers);
        let target = parts
            .uri
            .path_and_query()
            .map(|p| Uri::from(p.clone()))
            .unwrap_or_default();
        let outgoing = ForwardedRequest {
            method: parts.method,
            target,
            headers,
            body,
        };
        let deadline = came + left.saturating_sub(ON_THE_WAY);
        Ok(ClientRequest {
            class,
            tenant,
            deadline,
            work_ms,
            is_retry,
            outgoing,
        })
    }

    /// The class that a path names, where the rest of the head fits it.
    fn class(&self, uri: &Uri, method: &Method, headers: &HeaderMap) -> Result<ClassId, Rejected> {
        let name = uri
            .path()
            .trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or_default();
        let Some((class, effect)) = self.classes.get(name).copied() else {
            return Err(Rejected(StatusCode::NOT_FOUND, "unknown class"));
        };
        let expected = if effect == Effect::Idempotent {
            Method::GET
        } else {
            Method::POST
        };
        if *method != expected {
            return Err(Rejected(
                StatusCode::METHOD_NOT_ALLOWED,
                "the class has another method",
            ));
        }
        if headers
            .get(CORRELATION_ID)
            .is_none_or(HeaderValue::is_empty)
        {
            return Err(Rejected(StatusCode::BAD_REQUEST, "no X-Correlation-Id"));
        }
        if matches!(effect, Effect::Deduplicated { .. }) && !headers.contains_key(IDEMPOTENCY_KEY) {
            return Err(Rejected(StatusCode::BAD_REQUEST, "no Idempotency-Key"));
        }
        Ok(class)
    }

    fn tenant(&self, headers: &HeaderMap) -> Result<TenantId, Rejected> {
        match text(headers, &TENANT).map(|name| self.tenants.get(name)) {
            Some(Some(tenant)) => Ok(*tenant),
            _ if self.tenants.is_empty() => Ok(TenantId(0)),
            _ => Err(Rejected(StatusCode::FORBIDDEN, "unknown account")),
        }
    }
}

fn time_left(headers: &HeaderMap) -> Result<Duration, Rejected> {
    let left = text(headers, &TIME_LEFT).and_then(|t| t.trim().parse::<u64>().ok());
    let left = left.ok_or(Rejected(
        StatusCode::BAD_REQUEST,
        "no readable X-Time-Left-Ms",
    ))?;
    Ok(Duration::from_millis(left.min(TIME_LEFT_MOST)))
}

/// Expected work in milliseconds, where the client says so.
fn work_hint(headers: &HeaderMap) -> Result<Option<f64>, Rejected> {
    let Some(hint) = headers.get(WORK_HINT) else {
        return Ok(None);
    };
    match hint
        .to_str()
        .ok()
        .and_then(|h| h.trim().parse::<f64>().ok())
    {
        Some(us) if us.is_finite() && us >= 0.0 => Ok(Some(us / 1e3)),
        _ => Err(Rejected(
            StatusCode::BAD_REQUEST,
            "unreadable X-Weight-Hint",
        )),
    }
}

async fn read_body(body: Incoming, until: Instant) -> Result<Bytes, Rejected> {
    if body.size_hint().lower() > BODY_MOST as u64 {
        return Err(TOO_LONG);
    }
    match timeout_at(until, Limited::new(body, BODY_MOST).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(TOO_LONG),
        Ok(Err(_)) => Err(Rejected(StatusCode::BAD_REQUEST, "the body broke off")),
        Err(_) => Err(Rejected(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not come in time",
        )),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// A response of the balancer's own.
pub fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The response that carries a final answer.
pub fn response_of(answer: FinalResponse) -> Response<Full<Bytes>> {
    match answer {
        FinalResponse::Forwarded(served) => {
            let mut response = Response::new(Full::new(served.body));
            *response.headers_mut() = served.headers;
            response
        }
        FinalResponse::Rejected(retry_after) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let value = retry_after.and_then(|t| format!("{:.3}", t.as_secs_f64()).parse().ok());
            if let Some(value) = value {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        FinalResponse::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

//! Attempts: one request that is sent to one upstream, and its outcome.
//!
//! The outcome of an attempt says that the request was not executed only if this is certain: no connection was
//! established, the connection ended before the kernel accepted the request's last byte, or the upstream reports it.

use super::Upstreams;
use super::checkout::CheckedOutConnection;
use super::endpoint_state::Upstream;
use super::exchange::{ExchangeError, ForwardedRequest, exchange};
use crate::connection::wire_length;
use crate::headers::{self, CORRELATION_ID, LOAD_REPORT, UNPROCESSED};
use crate::memory_budget::{MemoryReservation, MemoryUse};
use bytes::Bytes;
use frostkeel_policy::{LoadReports, Outcome, UpstreamId};
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

/// The progress of an attempt, which its task shares with the event loop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt waits for a connection. Nothing has been written, so that aborting it has no effect on the upstream.
    #[default]
    WaitingForConnection,
    /// The request, or part of it, may have been written.
    Written,
    /// The event loop has processed the end of the attempt.
    Ended,
}

/// An upstream's response with status 200.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The response's end-to-end headers.
    pub headers: HeaderMap,
    /// The complete response body; empty if there is none.
    pub body: Bytes,
    /// The reservation for the memory of the headers.
    _memory: MemoryReservation,
}

/// The result of an attempt or a health check.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome, as it is reported to the decision module.
    pub outcome: Outcome,
    /// The response to forward; `None` unless the outcome is [`Outcome::Ok`].
    pub response: Option<UpstreamResponse>,
    /// The values of the load report, in the order of the settings; empty if there was no readable load report.
    pub load_report: Vec<f32>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            response: None,
            load_report: Vec::new(),
        }
    }
}

/// The progress of writing one request.
struct WriteProgress {
    /// The number of bytes of the request that the kernel has accepted.
    written: u64,
    /// The length of the complete request in bytes.
    length: u64,
}

impl WriteProgress {
    fn is_complete(&self) -> bool {
        self.written >= self.length
    }
}

impl Upstreams {
    /// Sends a request to an upstream and waits for the response until `expires_at`. `state` is set to
    /// [`AttemptState::Written`] before the first byte is written.
    pub async fn attempt(
        &self,
        id: UpstreamId,
        request: &ForwardedRequest,
        expires_at: Instant,
        state: &Cell<AttemptState>,
    ) -> AttemptResult {
        let upstream = self.upstreams.borrow().get(&id).map(Rc::clone);
        let Some(upstream) = upstream else {
            return Outcome::NotSent.into();
        };
        loop {
            state.set(AttemptState::WaitingForConnection);
            // Yielding lets the I/O driver process pending events first. An idle connection may have ended, and a
            // request on it would end with a reset; or the client may have disconnected.
            yield_now().await;
            let checked_out = match self.check_out(&upstream, expires_at).await {
                Ok(checked_out) => checked_out,
                Err(outcome) => return outcome.into(),
            };
            let now = Instant::now();
            let time_left = expires_at.saturating_duration_since(now);
            // The upstream may have started to drain, or the send pause may have begun, during the wait for a
            // connection.
            if !upstream.is_ready() || time_left.is_zero() || self.is_paused(now) {
                upstream.check_in(checked_out);
                return Outcome::NotSent.into();
            }
            state.set(AttemptState::Written);
            let correlation_id = request.headers.get(CORRELATION_ID);
            let is_reused = checked_out.is_reused;
            tracing::debug!(
                ?correlation_id,
                upstream = id.0,
                is_reused,
                ?time_left,
                "attempt written"
            );
            let request = request.for_attempt(time_left);
            if let Some(result) = self
                .run_exchange(id, &upstream, checked_out, request, expires_at)
                .await
            {
                return result;
            }
        }
    }

    /// Runs one exchange on a connection. `None` if a reused connection ended before any byte was sent, in which case
    /// the attempt continues on another connection.
    async fn run_exchange(
        &self,
        id: UpstreamId,
        upstream: &Upstream,
        mut checked_out: CheckedOutConnection,
        request: Request<Full<Bytes>>,
        expires_at: Instant,
    ) -> Option<AttemptResult> {
        let connection = &mut checked_out.connection;
        let (written_before, length) = (connection.written(), wire_length(&request));
        let exchanged = exchange(connection, request, &self.memory, expires_at);
        let exchanged = timeout_at(expires_at, exchanged).await;
        let progress = WriteProgress {
            written: connection.written() - written_before,
            length,
        };
        match exchanged {
            Ok(Ok(response)) => {
                Some(self.on_response(id, upstream, checked_out, &progress, response))
            }
            // The connection had already ended while it was idle.
            Ok(Err(ExchangeError::ConnectionEnded(_)))
                if checked_out.is_reused && progress.written == 0 =>
            {
                None
            }
            Ok(Err(error)) => Some(self.on_exchange_error(id, &progress, &error).into()),
            Err(_) if progress.is_complete() => Some(Outcome::TimedOut.into()),
            Err(_) => Some(Outcome::NotSent.into()),
        }
    }

    fn on_response(
        &self,
        id: UpstreamId,
        upstream: &Upstream,
        checked_out: CheckedOutConnection,
        progress: &WriteProgress,
        response: Response<Bytes>,
    ) -> AttemptResult {
        // A connection is reused only if the request on it was written completely.
        if progress.is_complete() {
            upstream.check_in(checked_out);
        } else if response.status() == StatusCode::OK {
            // An upstream processes a request only when it is complete, so this response may be to an earlier request.
            self.response_log.warn(|suppressed| {
                tracing::warn!(suppressed, upstream = id.0, "response before request");
            });
            return Outcome::ConnectFailed.into();
        }
        self.attempt_result(response)
    }

    fn on_exchange_error(
        &self,
        id: UpstreamId,
        progress: &WriteProgress,
        error: &ExchangeError,
    ) -> Outcome {
        if error.has_responded() {
            self.response_log.warn(|suppressed| {
                tracing::warn!(suppressed, upstream = id.0, %error, "response unreadable");
            });
            // The upstream's process has responded, so this does not count as a connection error.
            return Outcome::Error;
        }
        let WriteProgress { written, length } = *progress;
        tracing::debug!(upstream = id.0, written, length, %error, "connection ended in attempt");
        if progress.is_complete() {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        }
    }

    /// Converts a complete response into the result of its attempt.
    fn attempt_result(&self, response: Response<Bytes>) -> AttemptResult {
        let (parts, body) = response.into_parts();
        let mut headers = parts.headers;
        let load = headers
            .remove(LOAD_REPORT)
            .filter(|_| self.load_reports == LoadReports::Inline);
        let load_report = load.map_or_else(Vec::new, |load| self.read_load_report(load.as_bytes()));
        let is_unprocessed = headers
            .get(UNPROCESSED)
            .is_some_and(|value| value.as_bytes() == b"1");
        let outcome = match parts.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_unprocessed => {
                Outcome::Rejected
            }
            _ => Outcome::Error,
        };
        headers::strip_hop_by_hop(&mut headers);
        let response = (outcome == Outcome::Ok).then(|| UpstreamResponse {
            _memory: self
                .memory
                .force_reserve(MemoryUse::Exchange, headers::memory_bytes(&headers)),
            headers,
            body,
        });
        AttemptResult {
            outcome,
            response,
            load_report,
        }
    }
}

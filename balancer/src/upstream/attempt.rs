//! One attempt: a request to one upstream, and its outcome.
//!
//! An attempt is reported as not executed only if that can be proved: no connection was established, the kernel did
//! not accept the request's last byte before the connection ended, or the upstream itself reports it.

use super::Upstreams;
use super::checkout::CheckedOutConnection;
use super::endpoint_state::Upstream;
use super::exchange::{ExchangeError, ForwardedRequest, exchange};
use crate::connection::wire_length;
use crate::headers::{self, CORRELATION_ID, LOAD_REPORT, UNPROCESSED};
use bytes::Bytes;
use frostkeel_policy::{LoadReports, Outcome, UpstreamId};
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptState {
    /// Nothing has been written: the attempt can be dropped without any effect.
    #[default]
    WaitingForConnection,
    /// Part of the request may have been written.
    Written,
    /// It has ended.
    Ended,
}

/// An upstream's response with status 200.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// How an attempt or a health check ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The response, with [`Outcome::Ok`].
    pub response: Option<UpstreamResponse>,
    /// The values of a load report, in the order of the settings; empty if there was none.
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

/// How much of a request the kernel has accepted.
struct WriteProgress {
    written: u64,
    length: u64,
}

impl WriteProgress {
    fn is_complete(&self) -> bool {
        self.written >= self.length
    }
}

impl Upstreams {
    /// Sends a request to an upstream and waits for the response until `give_up_at`. `state` is set to
    /// [`AttemptState::Written`] before the first byte is written.
    pub async fn attempt(
        &self,
        id: UpstreamId,
        request: &ForwardedRequest,
        give_up_at: Instant,
        state: &Cell<AttemptState>,
    ) -> AttemptResult {
        let upstream = self.upstreams.borrow().get(&id).map(Rc::clone);
        let Some(upstream) = upstream else {
            return Outcome::NotSent.into();
        };
        loop {
            state.set(AttemptState::WaitingForConnection);
            // Let the poller run first: an idle connection may have ended, and a request on it would end as a reset;
            // or the client may have disconnected.
            yield_now().await;
            let checked_out = match self.check_out(&upstream, give_up_at).await {
                Ok(checked_out) => checked_out,
                Err(outcome) => return outcome.into(),
            };
            let now = Instant::now();
            let time_left = give_up_at.saturating_duration_since(now);
            // The upstream may have started to drain while the connection was being established.
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
                .run_exchange(id, &upstream, checked_out, request, give_up_at)
                .await
            {
                return result;
            }
        }
    }

    /// Runs one exchange on a connection. `None` if no byte was sent: the attempt continues on another connection.
    async fn run_exchange(
        &self,
        id: UpstreamId,
        upstream: &Upstream,
        mut checked_out: CheckedOutConnection,
        request: Request<Full<Bytes>>,
        give_up_at: Instant,
    ) -> Option<AttemptResult> {
        let connection = &mut checked_out.connection;
        let (written_before, length) = (connection.written(), wire_length(&request));
        let exchanged = timeout_at(give_up_at, exchange(connection, request)).await;
        let progress = WriteProgress {
            written: connection.written() - written_before,
            length,
        };
        match exchanged {
            Ok(Ok(response)) => {
                Some(self.on_response(id, upstream, checked_out, &progress, response))
            }
            // The connection had ended while it was idle.
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
        // A connection with an incompletely written request cannot be reused, even after a response.
        if progress.is_complete() {
            upstream.check_in(checked_out);
        } else if response.status() == StatusCode::OK {
            // An upstream processes a request only when it is complete: this response may be to an earlier request.
            self.response_log.warn(|suppressed| {
                tracing::warn!(suppressed, upstream = id.0, "response before request");
            });
            return Outcome::ConnectFailed.into();
        }
        self.result_of(response)
    }

    fn on_exchange_error(
        &self,
        id: UpstreamId,
        progress: &WriteProgress,
        error: &ExchangeError,
    ) -> Outcome {
        if error.has_responded() {
            // The upstream's process is alive, so that this does not count as a connection error.
            self.response_log.warn(|suppressed| {
                tracing::warn!(suppressed, upstream = id.0, %error, "response unreadable");
            });
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

    fn result_of(&self, response: Response<Bytes>) -> AttemptResult {
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
        let response = (outcome == Outcome::Ok).then_some(UpstreamResponse { headers, body });
        AttemptResult {
            outcome,
            response,
            load_report,
        }
    }
}

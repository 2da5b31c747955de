//! Health checks, and the load reports in responses to health checks and to attempts.

use super::Upstreams;
use super::attempt::AttemptResult;
use super::exchange::ForwardedRequest;
use crate::headers;
use bytes::Bytes;
use frostkeel_policy::{LoadReports, UpstreamId};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The timeout of a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// The path of a health check if the settings have load reports off.
const LIVENESS_PATH: &str = "/health/live";
/// The path of a health check whose response contains a load report.
const LOAD_REPORT_PATH: &str = "/stats";
/// The length to which an unreadable load report is cut in the log.
const MAX_LOGGED_REPORT_BYTES: usize = 80;

impl Upstreams {
    /// Checks the health of an upstream. Unless load reports are off, the result contains the load report in the
    /// response, if it is readable.
    pub async fn health_check(&self, id: UpstreamId) -> AttemptResult {
        let without_reports = self.load_reports == LoadReports::Off;
        let target = Uri::from_static(if without_reports {
            LIVENESS_PATH
        } else {
            LOAD_REPORT_PATH
        });
        let mut headers = HeaderMap::with_capacity(3);
        headers.insert(HOST, HeaderValue::from_static("upstream"));
        let request = ForwardedRequest {
            method: Method::GET,
            target,
            headers,
            body: Bytes::new(),
        };
        let expires_at = Instant::now() + HEALTH_CHECK_TIMEOUT;
        let mut result = self
            .attempt(id, &request, expires_at, &Cell::default())
            .await;
        if let Some(response) = &result.response
            && !without_reports
            && result.load_report.is_empty()
        {
            result.load_report = self.read_load_report(&response.body);
        }
        result
    }

    /// Parses a load report. If it is unreadable, logs a warning and returns no values.
    pub(super) fn read_load_report(&self, text: &[u8]) -> Vec<f32> {
        let report = std::str::from_utf8(text).ok();
        let values = report.and_then(|report| headers::load_report(report, &self.report_fields));
        values.unwrap_or_else(|| {
            self.report_log.warn(|suppressed| {
                let report =
                    String::from_utf8_lossy(&text[..text.len().min(MAX_LOGGED_REPORT_BYTES)]);
                tracing::warn!(suppressed, ?report, "load report unreadable");
            });
            Vec::new()
        })
    }
}

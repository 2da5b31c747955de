//! Health checks, and the load reports in their responses and in others.

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
/// The paths of a health check without and with load reports.
const LIVENESS_PATH: &str = "/health/live";
const LOAD_REPORT_PATH: &str = "/stats";
/// How much of an unreadable load report is logged.
const MAX_LOGGED_REPORT: usize = 80;

impl Upstreams {
    /// Checks the health of an upstream.
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
        let give_up_at = Instant::now() + HEALTH_CHECK_TIMEOUT;
        let mut result = self
            .attempt(id, &request, give_up_at, &Cell::default())
            .await;
        if let Some(response) = &result.response
            && !without_reports
            && result.load_report.is_empty()
        {
            result.load_report = self.read_load_report(&response.body);
        }
        result
    }

    pub(super) fn read_load_report(&self, text: &[u8]) -> Vec<f32> {
        let report = std::str::from_utf8(text).ok();
        let values = report.and_then(|report| headers::load_report(report, &self.report_fields));
        values.unwrap_or_else(|| {
            self.report_log.warn(|suppressed| {
                let report = String::from_utf8_lossy(&text[..text.len().min(MAX_LOGGED_REPORT)]);
                tracing::warn!(suppressed, ?report, "load report unreadable");
            });
            Vec::new()
        })
    }
}

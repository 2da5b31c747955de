//! Rates and exponential smoothing over spans of uneven length.

/// The shortest span that something is counted over.
const MIN_SPAN_S: f64 = 1e-6;

/// Events a second, by a count over a span.
pub(super) fn per_second(count: f64, span_s: f64) -> f64 {
    count / span_s.max(MIN_SPAN_S)
}

/// Weight of the newest value, of a span, in a mean over `memory_s`.
pub(super) fn newest_weight(span_s: f64, memory_s: f64) -> f64 {
    (span_s / memory_s).min(1.0)
}

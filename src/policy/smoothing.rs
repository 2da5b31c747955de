//! Rates and exponential smoothing over time spans of different length.

/// Lower limit, in seconds, of the span that a count is divided by.
const MIN_SPAN_S: f64 = 1e-6;

/// Returns the events per second for a count over a span.
pub(super) fn per_second(count: f64, span_s: f64) -> f64 {
    count / span_s.max(MIN_SPAN_S)
}

/// Returns the weight of the newest value, which covers `span_s` seconds, in an exponentially
/// smoothed mean with a time constant of `time_constant_s` seconds.
pub(super) fn newest_weight(span_s: f64, time_constant_s: f64) -> f64 {
    (span_s / time_constant_s).min(1.0)
}

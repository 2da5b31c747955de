//! Histograms of latencies.

use hdrhistogram::Histogram;

/// A histogram of latencies in microseconds.
pub type LatencyHistogram = Histogram<u64>;

/// The longest latency that the histogram can represent: one hour, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// The number of significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Creates an empty histogram of latencies.
pub fn latency_histogram() -> LatencyHistogram {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|e| unreachable!("the bounds are valid: {e}"))
}

/// Returns a quantile of the latencies, in milliseconds; `quantile` is from 0 to 1.
pub fn quantile_ms(latencies: &LatencyHistogram, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / 1e3
}

//! Histograms of latencies.

use hdrhistogram::Histogram;

/// Latencies in microseconds.
pub type LatencyHistogram = Histogram<u64>;

/// The longest latency of the histogram, one hour in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Significant decimal digits.
const PRECISION: u8 = 3;

/// An empty histogram.
pub fn latency_histogram() -> LatencyHistogram {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, PRECISION)
        .unwrap_or_else(|e| unreachable!("the bounds are valid: {e}"))
}

/// A quantile in milliseconds.
pub fn quantile_ms(latencies: &LatencyHistogram, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / 1e3
}

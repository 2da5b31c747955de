//! Measurements: latencies, the processor time and memory of processes, and the figures of a run.

pub mod figures;
mod latencies;
mod process_usage;

pub use latencies::{LatencyHistogram, latency_histogram, quantile_ms};
pub use process_usage::{processor_seconds, resident_memory_kb};

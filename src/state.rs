//! What a balancer keeps: plain data, filled and read by the files of `policy`. Times are seconds.

/// Trials of upstreams that are ejected for one class.
#[derive(Clone, Default)]
pub(crate) struct ClassTrials {
    /// Since the last one that was answered.
    pub(crate) unsuccessful: u32,
    pub(crate) next_at_s: f64,
}

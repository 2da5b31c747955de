//! The processor time and memory of processes, as the kernel reports them under `/proc`.

/// Clock ticks per second, the unit of processor times in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// The number of fields between the name of a process and its user time in `stat`.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Returns the processor time of a process, user and system, in seconds, from the text of its
/// `/proc/<pid>/stat`.
pub fn processor_seconds(stat: &str) -> f64 {
    // The name is in parentheses and may contain any character.
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let ticks: u64 = fields
        .skip(FIELDS_BEFORE_USER_TIME)
        .take(2)
        .filter_map(|ticks| ticks.parse::<u64>().ok())
        .sum();
    ticks as f64 / TICKS_PER_S
}

/// Returns the resident memory of a process in KB, from the text of its `/proc/<pid>/status`.
/// Returns `None` if the text has no valid `VmRSS` line.
pub fn resident_memory_kb(status: &str) -> Option<u64> {
    let value = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    value.trim().strip_suffix("kB")?.trim().parse().ok()
}

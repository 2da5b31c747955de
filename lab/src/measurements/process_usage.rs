//! The resource usage of processes, as the kernel reports it under `/proc`.

/// Clock ticks of the kernel in a second.
const TICKS_PER_S: f64 = 100.0;
/// Fields between the name of a process and its user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Processor time by the text of a process's `stat`, in seconds: its user and its system time.
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

/// Resident memory by the text of a process's `status`, in KB.
pub fn resident_memory_kb(status: &str) -> Option<u64> {
    let value = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    value.trim().strip_suffix("kB")?.trim().parse().ok()
}

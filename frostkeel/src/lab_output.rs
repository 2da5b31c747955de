//! What the lab's commands print: how a play goes on, and what came of it.

use frostkeel_lab::experiment::Experiment;
use frostkeel_lab::{RunOutcome, RunProgress};
use std::io::{IsTerminal, Write};

/// Processes up to which a terminal shows a line for each.
const TABLE_MOST: usize = 24;

/// Prints the figures of a play and what broke.
pub fn table(played: &RunOutcome) {
    let f = &played.figures;
    println!(
        "{:16} {:>7} {:>8} {:>6} {:>8} {:>7}",
        "class", "asked", "in time", "late", "refused", "failed"
    );
    for class in &f.classes {
        let c = &class.counts;
        println!(
            "{:16} {:>7} {:>8} {:>6} {:>8} {:>7}",
            class.class, c.requested, c.in_time, c.late, c.rejected, c.failed
        );
    }
    println!(
        "served {:.1}% of the worth in time; answers {:.0} ms (median), {:.0} ms (99th percentile); \
         {:.2} attempts a request; {} calls of one balancer for its list in a second at most",
        f.served_share * 100.0,
        f.p50_ms,
        f.p99_ms,
        f.upstream_attempts,
        f.max_discovery_calls
    );
    let lab = &played.lab;
    println!(
        "the lab: {:.1} ms late (99th percentile), {:.2} cores",
        lab.late_p99_ms, lab.cores
    );
    if let Some(members) = &played.membership {
        let f = &members.figures;
        println!(
            "members: {} kills known to 99% after {:.2} s (median), {:.2} s at worst, {} never; {} leaves, {:.2} s at \
             worst, {} taken for gone; living ones taken for gone {} times, stopped ones {} times; suspected {} times; \
             views equal since {}, {} unequal",
            f.kill_count,
            f.detection_p50_s,
            f.detection_max_s,
            f.undetected_count,
            f.leave_count,
            f.leave_detection_max_s,
            f.leave_as_failure_count,
            f.false_failure_count,
            f.paused_failure_count,
            f.suspicion_count,
            f.converged_since_s
                .map_or_else(|| "never".into(), |s| format!("{s:.1} s")),
            f.divergent_view_count
        );
        println!(
            "each sent {:.2} datagrams and {:.0} bytes a second; balancers took {:.4} cores (mean), {:.4} at most",
            members.datagrams_per_s,
            members.bytes_per_s,
            played.balancer_cores.mean,
            played.balancer_cores.max
        );
    }
    match &played.void_reason {
        Some(why) => println!("VOID: {why}"),
        None if played.violations.is_empty() => println!("all rules kept"),
        None => println!("{} BREACHES of the rules", played.violations.len()),
    }
    for broken in played.violations.iter().take(10) {
        println!("  {}: {}", broken.rule, broken.description);
    }
    for missed in &played.missed_expectations {
        println!("  missed: {missed}");
    }
}

/// The line that tells how a play goes on: over itself on a terminal, else one every few seconds.
pub struct Shown {
    terminal: bool,
    length: f64,
    faults: Vec<f64>,
    /// Tries that each balancer had answered.
    answered: Vec<u64>,
    /// Lines of the table that stands on the terminal.
    lines: usize,
}

impl Shown {
    /// For a play of an experiment, at its start.
    pub fn new(experiment: &Experiment) -> Self {
        println!(
            "{}: starting {} balancers",
            experiment.name, experiment.fleet.balancers
        );
        let faults = experiment
            .faults
            .iter()
            .map(|f| f.start.as_secs_f64())
            .collect();
        Self {
            terminal: std::io::stdout().is_terminal(),
            length: experiment.length.as_secs_f64(),
            faults,
            answered: vec![0; experiment.fleet.balancers as usize],
            lines: 0,
        }
    }

    /// Says how it goes on.
    pub fn show(&mut self, progress: &RunProgress) {
        let at = progress.elapsed.as_secs_f64();
        if !self.terminal && !(at as u64).is_multiple_of(5) {
            return;
        }
        let begun = self.faults.iter().filter(|f| **f <= at).count();
        let running = progress
            .balancers
            .iter()
            .filter(|balancer| balancer.state != "down")
            .count();
        let up = progress
            .upstreams
            .iter()
            .filter(|row| row.state == "up")
            .count();
        let holds: usize = progress.upstreams.iter().map(|row| row.in_flight).sum();
        let line = format!(
            "{at:5.0} of {:.0} s  {running} balancers  {up} upstreams hold {holds} requests  {begun} of {} faults \
             begun",
            self.length,
            self.faults.len()
        );
        if !self.terminal {
            println!("{line}");
            return;
        }
        let mut table = vec![line];
        if progress.balancers.len() + progress.upstreams.len() <= TABLE_MOST {
            table.extend(self.rows(progress));
        }
        // Back to the first line of the table before, then over it.
        let back = if self.lines > 0 {
            format!("\x1b[{}A", self.lines)
        } else {
            String::new()
        };
        println!("{back}{}\x1b[J", table.join("\x1b[K\n") + "\x1b[K");
        self.lines = table.len();
        let _ = std::io::stdout().flush();
    }

    /// One line for each process.
    fn rows(&mut self, progress: &RunProgress) -> Vec<String> {
        let mut rows = Vec::new();
        for (k, (balancer, before)) in progress
            .balancers
            .iter()
            .zip(&mut self.answered)
            .enumerate()
        {
            let answered = balancer.response_count;
            let since = answered - std::mem::replace(before, answered);
            rows.push(format!(
                "  b{k:<3} {:8} {since:>4} answers in the last second",
                balancer.state
            ));
        }
        for row in &progress.upstreams {
            let bar = "#".repeat((row.utilization * 20.0).round().clamp(0.0, 40.0) as usize);
            rows.push(format!(
                "  u{:<3} {:8} {:>4} held  {bar}",
                row.number, row.state, row.in_flight
            ));
        }
        rows
    }
}

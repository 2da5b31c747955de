//! The results that a run prints at its end.

use frostkeel_lab::{RunOutcome, runs::MembershipOutcome};

/// The maximum number of violations that are printed. The report has all of them.
const MAX_PRINTED_VIOLATIONS: usize = 10;

/// Prints the figures of a run, the rules that it violated and the expectations that it missed.
pub fn print_results(outcome: &RunOutcome) {
    print_classes(outcome);
    print_service(outcome);
    if let Some(membership) = &outcome.membership {
        print_membership(outcome, membership);
    }
    print_verdict(outcome);
}

fn print_classes(outcome: &RunOutcome) {
    println!(
        "{:16} {:>7} {:>8} {:>6} {:>8} {:>7}",
        "class", "asked", "in time", "late", "refused", "failed"
    );
    for class in &outcome.figures.classes {
        let counts = &class.counts;
        println!(
            "{:16} {:>7} {:>8} {:>6} {:>8} {:>7}",
            class.class,
            counts.requested,
            counts.in_time,
            counts.late,
            counts.rejected,
            counts.failed
        );
    }
}

fn print_service(outcome: &RunOutcome) {
    let figures = &outcome.figures;
    println!(
        "served {:.1}% of the priority weight in time; latency {:.0} ms (median), {:.0} ms (99th percentile); \
         {:.2} attempts per request; at most {} discovery requests by one balancer in a second",
        figures.served_share * 100.0,
        figures.p50_ms,
        figures.p99_ms,
        figures.upstream_attempts_per_request,
        figures.max_discovery_calls
    );
    println!(
        "lab overhead: requests sent {:.1} ms late (99th percentile), {:.2} cores used",
        outcome.lab.late_p99_ms, outcome.lab.cores
    );
}

fn print_membership(outcome: &RunOutcome, membership: &MembershipOutcome) {
    let figures = &membership.figures;
    let converged_since = figures
        .converged_since_s
        .map(|seconds| format!("{seconds:.1} s"));
    println!(
        "membership: {} kills, detected by 99% of the members after {:.2} s (median), {:.2} s at most, {} departures \
         undetected; {} leaves, detected after {:.2} s at most, {} declared dead; running members declared dead {} \
         times, paused members {} times; members suspected {} times; views equal since {}, {} unequal at the end",
        figures.kill_count,
        figures.detection_p50_s,
        figures.detection_max_s,
        figures.undetected_count,
        figures.leave_count,
        figures.leave_detection_max_s,
        figures.left_declared_dead_count,
        figures.running_declared_down_count,
        figures.paused_declared_down_count,
        figures.suspicion_count,
        converged_since.as_deref().unwrap_or("never"),
        figures.divergent_view_count
    );
    println!(
        "each balancer sent {:.2} datagrams and {:.0} bytes per second, and used {:.4} cores (mean), {:.4} at most",
        membership.datagrams_per_s,
        membership.bytes_per_s,
        outcome.balancer_cores.mean,
        outcome.balancer_cores.max
    );
}

fn print_verdict(outcome: &RunOutcome) {
    match &outcome.void_reason {
        Some(reason) => println!("VOID: {reason}"),
        None if outcome.violations.is_empty() => println!("no rule violated"),
        None => println!("{} VIOLATIONS of the rules", outcome.violations.len()),
    }
    for violation in outcome.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {}: {}", violation.rule, violation.description);
    }
    for missed in &outcome.missed_expectations {
        println!("  expectation missed: {missed}");
    }
}

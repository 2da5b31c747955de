//! The results of a run.

use frostkeel_lab::{RunOutcome, runs::MembershipOutcome};

/// Violations that are printed; the report has all of them.
const MAX_PRINTED_VIOLATIONS: usize = 10;

/// Prints the figures of a run, the rules that it broke and the expectations that it missed.
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
        "served {:.1}% of the worth in time; answers {:.0} ms (median), {:.0} ms (99th percentile); \
         {:.2} attempts a request; {} calls of one balancer for its list in a second at most",
        figures.served_share * 100.0,
        figures.p50_ms,
        figures.p99_ms,
        figures.upstream_attempts,
        figures.max_discovery_calls
    );
    println!(
        "the lab: {:.1} ms late (99th percentile), {:.2} cores",
        outcome.lab.late_p99_ms, outcome.lab.cores
    );
}

fn print_membership(outcome: &RunOutcome, membership: &MembershipOutcome) {
    let figures = &membership.figures;
    let converged_since = figures
        .converged_since_s
        .map(|seconds| format!("{seconds:.1} s"));
    println!(
        "members: {} kills known to 99% after {:.2} s (median), {:.2} s at worst, {} never; {} leaves, {:.2} s at \
         worst, {} taken for gone; living ones taken for gone {} times, stopped ones {} times; suspected {} times; \
         views equal since {}, {} unequal",
        figures.kill_count,
        figures.detection_p50_s,
        figures.detection_max_s,
        figures.undetected_count,
        figures.leave_count,
        figures.leave_detection_max_s,
        figures.leave_as_failure_count,
        figures.false_failure_count,
        figures.paused_failure_count,
        figures.suspicion_count,
        converged_since.as_deref().unwrap_or("never"),
        figures.divergent_view_count
    );
    println!(
        "each sent {:.2} datagrams and {:.0} bytes a second; balancers took {:.4} cores (mean), {:.4} at most",
        membership.datagrams_per_s,
        membership.bytes_per_s,
        outcome.balancer_cores.mean,
        outcome.balancer_cores.max
    );
}

fn print_verdict(outcome: &RunOutcome) {
    match &outcome.void_reason {
        Some(reason) => println!("VOID: {reason}"),
        None if outcome.violations.is_empty() => println!("all rules kept"),
        None => println!("{} BREACHES of the rules", outcome.violations.len()),
    }
    for violation in outcome.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {}: {}", violation.rule, violation.description);
    }
    for missed in &outcome.missed_expectations {
        println!("  missed: {missed}");
    }
}

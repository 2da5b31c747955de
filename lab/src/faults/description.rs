//! Descriptions of faults for the history and the report.

use crate::experiment::{Fault, FaultKind, LinkCondition, Target};

/// Returns a text with the target and the effect of a fault.
pub(super) fn describe(fault: &Fault) -> String {
    format!(
        "{}: {}",
        describe_target(&fault.target),
        describe_kind(&fault.kind)
    )
}

fn describe_target(target: &Target) -> String {
    match target {
        Target::Balancer(number) => format!("b{number}"),
        Target::Upstream(number) => format!("u{number}"),
        Target::BalancerRange { first, last } => format!("b{first} to b{last}"),
        Target::OtherBalancers => "the other balancers".into(),
        Target::BalancerShare(share) => format!("{:.0}% of balancers", share * 100.0),
        Target::UpstreamShare(share) => format!("{:.0}% of upstreams", share * 100.0),
        Target::Discovery => "discovery".into(),
        Target::Clients => "clients".into(),
    }
}

fn describe_kind(kind: &FaultKind) -> String {
    match kind {
        FaultKind::Kill {
            restart_after: None,
            ..
        } => "killed".into(),
        FaultKind::Kill {
            restart_after: Some(after),
            new_name: None,
        } => {
            format!("killed, restarted after {after:?}")
        }
        FaultKind::Kill {
            restart_after: Some(after),
            new_name: Some(name),
        } => {
            format!("killed, restarted after {after:?} under the name {name}")
        }
        FaultKind::Terminate => "shut down with SIGTERM, then restarted".into(),
        FaultKind::Pause { duration } => format!("paused for {duration:?}"),
        FaultKind::SlowDown { factor, duration } => {
            format!("{factor} times slower for {duration:?}")
        }
        FaultKind::Unresponsive { duration } => format!("unresponsive for {duration:?}"),
        FaultKind::RollingReplacement {
            batch_size,
            interval,
            ..
        } => {
            format!("replaced in batches of {batch_size}, one every {interval:?}")
        }
        FaultKind::ImpairLinks {
            conditions,
            duration,
        } => format!(
            "outbound links {}, inbound links {}, for {duration:?}",
            describe_condition(&conditions.outbound),
            describe_condition(&conditions.inbound)
        ),
        FaultKind::ResetConnections => "all connections reset".into(),
        FaultKind::ReplayDatagrams => "earlier datagrams replayed".into(),
        FaultKind::InjectDatagrams {
            rate_per_s,
            duration,
        } => {
            format!("{rate_per_s} corrupted datagrams per second for {duration:?}")
        }
    }
}

fn describe_condition(condition: &LinkCondition) -> String {
    if condition.is_cut {
        return "cut".into();
    }
    if *condition == LinkCondition::default() {
        return "normal".into();
    }
    if condition.loss_share + condition.duplicate_share > 0.0 {
        return format!(
            "{:.0}% lost, {:.0}% duplicated, delayed by up to {:?}",
            condition.loss_share * 100.0,
            condition.duplicate_share * 100.0,
            condition.delay + condition.jitter
        );
    }
    format!(
        "delayed by {:?} and up to {:?} of jitter",
        condition.delay, condition.jitter
    )
}

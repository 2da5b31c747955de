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
            format!("killed, back after {after:?}")
        }
        FaultKind::Kill {
            restart_after: Some(after),
            new_name: Some(name),
        } => {
            format!("killed, back after {after:?} by the name of {name}")
        }
        FaultKind::Terminate => "asked to leave, started again".into(),
        FaultKind::Pause { duration } => format!("stopped for {duration:?}"),
        FaultKind::SlowDown { factor, duration } => {
            format!("{factor} times slower for {duration:?}")
        }
        FaultKind::Unresponsive { duration } => format!("silent for {duration:?}"),
        FaultKind::RollingReplacement {
            batch_size,
            interval,
            ..
        } => {
            format!("replaced, {batch_size} every {interval:?}")
        }
        FaultKind::ImpairLinks {
            conditions,
            duration,
        } => format!(
            "links from balancers {}, back {}, for {duration:?}",
            describe_condition(&conditions.outbound),
            describe_condition(&conditions.inbound)
        ),
        FaultKind::ResetConnections => "all connections reset".into(),
        FaultKind::ReplayDatagrams => "old datagrams come once more".into(),
        FaultKind::InjectDatagrams {
            rate_per_s,
            duration,
        } => {
            format!("{rate_per_s} bad datagrams a second for {duration:?}")
        }
    }
}

fn describe_condition(condition: &LinkCondition) -> String {
    if condition.is_cut {
        return "cut".into();
    }
    if *condition == LinkCondition::default() {
        return "open".into();
    }
    if condition.loss_share + condition.duplicate_share > 0.0 {
        return format!(
            "{:.0}% lost, {:.0}% twice, up to {:?} late",
            condition.loss_share * 100.0,
            condition.duplicate_share * 100.0,
            condition.delay + condition.jitter
        );
    }
    format!(
        "{:?} later, up to {:?} more",
        condition.delay, condition.jitter
    )
}

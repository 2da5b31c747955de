//! Parses the target of a fault.

use super::Fleet;
use super::fault_error::InvalidFault;
use super::faults::Target;

/// Parses a target, such as `b3`, `b0..b9`, `other balancers`, `u0`, `discovery`, `clients`,
/// `all balancers` or `30% of upstreams`.
pub(super) fn parse_target(text: &str, fleet: &Fleet) -> Result<Target, InvalidFault> {
    if let Some(number) = parse_process('b', text, fleet.balancers) {
        return number.map(Target::Balancer);
    }
    if let Some((first, last)) = text.split_once("..")
        && let Some(Ok(first)) = parse_process('b', first, fleet.balancers)
        && let Some(Ok(last)) = parse_process('b', last, fleet.balancers)
        && first <= last
    {
        return Ok(Target::BalancerRange { first, last });
    }
    if let Some(number) = parse_process('u', text, fleet.upstreams) {
        return number.map(Target::Upstream);
    }
    match text {
        "discovery" => Ok(Target::Discovery),
        "clients" => Ok(Target::Clients),
        "other balancers" => Ok(Target::OtherBalancers),
        _ => parse_share(text).ok_or_else(|| InvalidFault::UnknownTarget(text.into())),
    }
}

/// Parses the number of one process from its name, such as `b3` with the prefix `b`. Returns `None`
/// if the text has another form, and an error if the number is not below `count`.
fn parse_process(prefix: char, text: &str, count: u32) -> Option<Result<u32, InvalidFault>> {
    let number: u32 = text.strip_prefix(prefix)?.parse().ok()?;
    let not_in_fleet = || InvalidFault::NotInFleet {
        text: text.into(),
        count,
    };
    Some((number < count).then_some(number).ok_or_else(not_in_fleet))
}

/// Parses a share of the balancers or upstreams, such as `all balancers` or `30% of upstreams`.
/// Returns `None` if the text has another form or the share is not between 0 and 100%.
fn parse_share(text: &str) -> Option<Target> {
    let (share, kind) = match text.split_once("% of ") {
        Some((percent, kind)) => (percent.trim().parse::<f64>().ok()? / 100.0, kind),
        None => (1.0, text.strip_prefix("all ")?),
    };
    match kind {
        _ if !(0.0..=1.0).contains(&share) => None,
        "balancers" => Some(Target::BalancerShare(share)),
        "upstreams" => Some(Target::UpstreamShare(share)),
        _ => None,
    }
}

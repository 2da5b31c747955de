//! Parses a `[[fault]]` table.

use super::Fleet;
use super::fault_error::InvalidFault;
use super::faults::{Fault, FaultKind, LinkCondition, LinkConditions, Target};
use super::target_parsing::parse_target;
use super::value_range::check_range;
use serde::Deserialize;
use std::time::Duration;

/// The largest value of `for_s`, `every_s`, `drain_s` and `again_s`, in seconds.
const MAX_FAULT_SPAN_S: f64 = 3600.0;
/// The largest value of `delay_ms` and of `jitter_ms`, in milliseconds.
const MAX_DELAY_MS: f64 = 60_000.0;
/// The shortest interval between two occurrences of a repeated fault.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// The values of the key `kind`, which select the effect of a fault.
#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Kind {
    Kill,
    Term,
    Stop,
    Slow,
    Silent,
    Replace,
    Cut,
    Delay,
    Reset,
    Lossy,
    Replay,
    Storm,
}

/// The values of `way`, the directions of a link that a fault affects: `to` is outbound, `back` is
/// inbound (see [`LinkConditions`]).
#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Direction {
    #[default]
    Both,
    To,
    Back,
}

/// The keys of a `[[fault]]` table.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FaultTable {
    at_s: f64,
    kind: Kind,
    target: String,
    for_s: Option<f64>,
    name: Option<String>,
    factor: Option<f64>,
    batch: Option<u32>,
    every_s: Option<f64>,
    drain_s: Option<f64>,
    with: Option<String>,
    way: Option<Direction>,
    delay_ms: Option<f64>,
    jitter_ms: Option<f64>,
    bytes_per_s: Option<u32>,
    loss: Option<f64>,
    duplicate: Option<f64>,
    rate: Option<f64>,
    again_s: Option<f64>,
    until_s: Option<f64>,
}

/// The settings of the experiment that the validity of a fault depends on.
pub(super) struct FaultContext<'a> {
    pub fleet: &'a Fleet,
    /// The length of the run, within which a fault must start.
    pub length: Duration,
    pub has_membership: bool,
    pub has_registry: bool,
}

/// Validates the table of one fault and converts it.
pub(super) fn parse_fault(
    table: FaultTable,
    context: &FaultContext<'_>,
) -> Result<Fault, InvalidFault> {
    let target = parse_target(&table.target, context.fleet)?;
    let length_s = context.length.as_secs_f64();
    if !(0.0..=length_s).contains(&table.at_s) {
        return Err(InvalidFault::StartOutOfRange {
            at_s: table.at_s,
            length_s,
        });
    }
    let kind = table.fault_kind()?;
    if !applies_to(&kind, &target, context) {
        return Err(InvalidFault::WrongTarget(table.target));
    }
    table.check_applicable(&kind, &target)?;
    let peer = table
        .with
        .as_deref()
        .map(|text| parse_target(text, context.fleet))
        .transpose()?;
    table.check_links(&kind, &target, peer.as_ref(), context)?;
    let repeat_interval = table
        .again_s
        .map(|_| seconds("again_s", table.again_s))
        .transpose()?;
    if repeat_interval.is_some_and(|interval| interval < MIN_REPEAT_INTERVAL) {
        return Err(InvalidFault::RepeatsTooSoon);
    }
    Ok(Fault {
        start: Duration::from_secs_f64(table.at_s),
        target,
        kind,
        peer,
        repeat_interval,
        repeat_until: table.until_s.map(Duration::from_secs_f64),
    })
}

impl FaultTable {
    fn duration(&self) -> Result<Duration, InvalidFault> {
        seconds("for_s", self.for_s)
    }

    fn fault_kind(&self) -> Result<FaultKind, InvalidFault> {
        Ok(match self.kind {
            Kind::Cut => self.impairment(LinkCondition {
                is_cut: true,
                ..Default::default()
            })?,
            Kind::Delay => self.impairment(self.delay()?)?,
            Kind::Lossy => self.impairment(self.loss()?)?,
            Kind::Replay => FaultKind::ReplayDatagrams,
            Kind::Storm => {
                let rate = self.rate.filter(|rate| (1.0..=100_000.0).contains(rate));
                let rate_per_s = rate.ok_or(InvalidFault::InvalidRate)?;
                FaultKind::InjectDatagrams {
                    rate_per_s,
                    duration: self.duration()?,
                }
            }
            Kind::Reset => FaultKind::ResetConnections,
            Kind::Kill => FaultKind::Kill {
                restart_after: self.for_s.map(|_| self.duration()).transpose()?,
                new_name: self.name.clone(),
            },
            Kind::Term => FaultKind::Terminate,
            Kind::Stop => FaultKind::Pause {
                duration: self.duration()?,
            },
            Kind::Silent => FaultKind::Unresponsive {
                duration: self.duration()?,
            },
            Kind::Slow => {
                let factor = self.factor.ok_or(InvalidFault::MissingFactor)?;
                let factor = check_range("factor", factor, 1.0, 1000.0)?;
                FaultKind::SlowDown {
                    factor,
                    duration: self.duration()?,
                }
            }
            Kind::Replace => FaultKind::RollingReplacement {
                batch_size: self
                    .batch
                    .filter(|n| *n > 0)
                    .ok_or(InvalidFault::MissingBatch)?,
                interval: seconds("every_s", self.every_s)?,
                drain: seconds("drain_s", self.drain_s)?,
            },
        })
    }

    fn impairment(&self, condition: LinkCondition) -> Result<FaultKind, InvalidFault> {
        let normal = LinkCondition::default();
        let conditions = match self.way.unwrap_or_default() {
            Direction::Both => LinkConditions {
                outbound: condition,
                inbound: condition,
            },
            Direction::To => LinkConditions {
                outbound: condition,
                inbound: normal,
            },
            Direction::Back => LinkConditions {
                outbound: normal,
                inbound: condition,
            },
        };
        Ok(FaultKind::ImpairLinks {
            conditions,
            duration: self.duration()?,
        })
    }

    fn delay(&self) -> Result<LinkCondition, InvalidFault> {
        let condition = LinkCondition {
            delay: milliseconds("delay_ms", self.delay_ms)?,
            jitter: milliseconds("jitter_ms", self.jitter_ms)?,
            bytes_per_s: self.bytes_per_s,
            ..LinkCondition::default()
        };
        if condition == LinkCondition::default() || condition.bytes_per_s == Some(0) {
            return Err(InvalidFault::MissingDelay);
        }
        Ok(condition)
    }

    fn loss(&self) -> Result<LinkCondition, InvalidFault> {
        Ok(LinkCondition {
            delay: milliseconds("delay_ms", self.delay_ms)?,
            jitter: milliseconds("jitter_ms", self.jitter_ms)?,
            loss_share: check_range("loss", self.loss.unwrap_or(0.0), 0.0, 1.0)?,
            duplicate_share: check_range("duplicate", self.duplicate.unwrap_or(0.0), 0.0, 1.0)?,
            ..LinkCondition::default()
        })
    }

    /// Rejects keys that have no effect with the kind, the target and the other keys of the fault.
    fn check_applicable(&self, kind: &FaultKind, target: &Target) -> Result<(), InvalidFault> {
        let is_replacement = matches!(kind, FaultKind::RollingReplacement { .. });
        let is_lossy = self.kind == Kind::Lossy;
        let has_duration = !matches!(
            kind,
            FaultKind::RollingReplacement { .. }
                | FaultKind::Terminate
                | FaultKind::ResetConnections
                | FaultKind::ReplayDatagrams
        );
        let can_be_renamed = self.for_s.is_some() && matches!(target, Target::Balancer(_));
        for (key, is_given, is_applicable) in [
            (
                "factor",
                self.factor.is_some(),
                matches!(kind, FaultKind::SlowDown { .. }),
            ),
            ("batch", self.batch.is_some(), is_replacement),
            ("every_s", self.every_s.is_some(), is_replacement),
            ("drain_s", self.drain_s.is_some(), is_replacement),
            ("for_s", self.for_s.is_some(), has_duration),
            ("loss", self.loss.is_some(), is_lossy),
            ("duplicate", self.duplicate.is_some(), is_lossy),
            ("rate", self.rate.is_some(), self.kind == Kind::Storm),
            ("until_s", self.until_s.is_some(), self.again_s.is_some()),
            ("name", self.name.is_some(), can_be_renamed),
            ("with", self.with.is_some(), affects_links(kind)),
            (
                "way",
                self.way.is_some(),
                matches!(kind, FaultKind::ImpairLinks { .. }),
            ),
            (
                "delay_ms",
                self.delay_ms.is_some(),
                is_lossy || self.kind == Kind::Delay,
            ),
            (
                "jitter_ms",
                self.jitter_ms.is_some(),
                is_lossy || self.kind == Kind::Delay,
            ),
            (
                "bytes_per_s",
                self.bytes_per_s.is_some(),
                self.kind == Kind::Delay,
            ),
        ] {
            if is_given && !is_applicable {
                return Err(InvalidFault::Inapplicable(key));
            }
        }
        Ok(())
    }

    /// Rejects links that do not exist, and faults that do not apply to the traffic of a link:
    /// links between balancers carry datagrams, all others carry connections.
    fn check_links(
        &self,
        kind: &FaultKind,
        target: &Target,
        peer: Option<&Target>,
        context: &FaultContext<'_>,
    ) -> Result<(), InvalidFault> {
        let is_between_balancers = target.is_balancers() && peer.is_some_and(Target::is_balancers);
        if !target.is_balancers() && peer.is_some_and(|peer| !peer.is_balancers()) {
            return Err(InvalidFault::NoBalancerAtLink(
                self.with.clone().unwrap_or_default(),
            ));
        }
        let affects_datagrams = is_between_balancers
            || matches!(
                kind,
                FaultKind::ReplayDatagrams | FaultKind::InjectDatagrams { .. }
            );
        if affects_datagrams && !context.has_membership {
            return Err(InvalidFault::NoMembership);
        }
        if self.kind == Kind::Lossy && !is_between_balancers {
            return Err(InvalidFault::LossOnConnections);
        }
        if self.kind == Kind::Reset && is_between_balancers {
            return Err(InvalidFault::ResetOfDatagrams);
        }
        Ok(())
    }
}

fn affects_links(kind: &FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::ImpairLinks { .. } | FaultKind::ResetConnections
    )
}

/// Returns whether a kind of fault applies to a target.
fn applies_to(kind: &FaultKind, target: &Target, context: &FaultContext<'_>) -> bool {
    match kind {
        FaultKind::ImpairLinks { .. } | FaultKind::ResetConnections => true,
        FaultKind::Kill { .. } => *target != Target::Clients,
        FaultKind::Pause { .. } if context.has_registry && *target == Target::Discovery => true,
        FaultKind::Terminate
        | FaultKind::Pause { .. }
        | FaultKind::ReplayDatagrams
        | FaultKind::InjectDatagrams { .. } => target.is_balancers(),
        FaultKind::SlowDown { .. }
        | FaultKind::Unresponsive { .. }
        | FaultKind::RollingReplacement { .. } => target.is_upstreams(),
    }
}

fn seconds(key: &'static str, value: Option<f64>) -> Result<Duration, InvalidFault> {
    let value = value.ok_or(InvalidFault::Missing(key))?;
    Ok(Duration::from_secs_f64(check_range(
        key,
        value,
        0.0,
        MAX_FAULT_SPAN_S,
    )?))
}

fn milliseconds(key: &'static str, value: Option<f64>) -> Result<Duration, InvalidFault> {
    let value = value.map_or(Ok(0.0), |value| check_range(key, value, 0.0, MAX_DELAY_MS))?;
    Ok(Duration::from_secs_f64(value / 1e3))
}

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
    /// SIGKILL to a balancer or the registry, or a crash of a stand-in.
    Kill,
    /// SIGTERM to a balancer, which is restarted once it has exited.
    Term,
    /// SIGSTOP to a process, and SIGCONT after `for_s`.
    Stop,
    /// Requests take `factor` times as long at an upstream.
    Slow,
    /// An upstream accepts requests without responding.
    Silent,
    /// Upstreams are replaced in batches.
    Replace,
    /// Links are blocked, in one direction or both.
    Cut,
    /// Links delay their traffic or have a limited bandwidth.
    Delay,
    /// All connections on the affected links are reset.
    Reset,
    /// Links between balancers lose, duplicate or delay datagrams.
    Lossy,
    /// The first datagrams that balancers sent to each other are sent again.
    Replay,
    /// Corrupted datagrams are sent to balancers at a constant rate.
    #[serde(rename = "storm")]
    InjectDatagrams,
}

/// The values of `way`: the directions of the links that are affected (see [`LinkConditions`]).
#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Direction {
    #[default]
    Both,
    /// From the balancer to the other party; between balancers, from the target to the peer.
    #[serde(rename = "to")]
    Outbound,
    /// From the other party to the balancer; between balancers, from the peer to the target.
    #[serde(rename = "back")]
    Inbound,
}

/// The keys of a `[[fault]]` table. If a field has a `rename`, that name is the key in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FaultTable {
    /// The start of the first occurrence, in seconds from the start of the load.
    at_s: f64,
    kind: Kind,
    /// The affected processes, such as `b0` or `30% of upstreams`.
    target: String,
    /// The duration of each occurrence, in seconds, 0 to 3600. For `kill`, the time until the
    /// restart; `None` for no restart.
    for_s: Option<f64>,
    /// For `kill`, the name of the balancer from its restart on; `None` leaves it unchanged.
    name: Option<String>,
    /// For `slow`, the factor by which the service time of requests grows, 1 to 1000.
    factor: Option<f64>,
    /// For `replace`, the number of upstreams in a batch, at least 1.
    batch: Option<u32>,
    /// For `replace`, the time between the starts of two batches, in seconds, 0 to 3600.
    #[serde(rename = "every_s")]
    batch_interval_s: Option<f64>,
    /// For `replace`, the time for which a replaced upstream drains, in seconds, 0 to 3600.
    drain_s: Option<f64>,
    /// The processes at the other ends of the affected links, in the same form as `target`; the
    /// meaning of `None` is stated at [`Fault::peer`].
    with: Option<String>,
    /// The affected directions of the links; `None` for both.
    way: Option<Direction>,
    /// For `delay` and `lossy`, the minimum delay in ms, 0 to 60000; `None` for 0.
    delay_ms: Option<f64>,
    /// For `delay` and `lossy`, the largest random extra delay in ms, 0 to 60000; `None` for 0.
    jitter_ms: Option<f64>,
    /// For `delay`, the bandwidth of each connection, in bytes per second; `None` is unlimited.
    bytes_per_s: Option<u32>,
    /// For `lossy`, the share of the datagrams that are lost, 0 to 1; `None` for 0.
    loss: Option<f64>,
    /// For `lossy`, the share of the datagrams that are duplicated, 0 to 1; `None` for 0.
    duplicate: Option<f64>,
    /// For `storm`, the number of corrupted datagrams per second, 1 to 100000.
    #[serde(rename = "rate")]
    datagrams_per_s: Option<f64>,
    /// The interval between the starts of two occurrences, in seconds, 0.1 to 3600; `None` if the
    /// fault occurs once.
    #[serde(rename = "again_s")]
    repeat_interval_s: Option<f64>,
    /// The time before which each repetition must start, in seconds from the start of the load;
    /// `None` stands for the end of the run.
    until_s: Option<f64>,
}

/// The settings of the experiment that the validity of a fault depends on.
pub(super) struct FaultContext<'a> {
    pub fleet: &'a Fleet,
    /// The length of the run, within which the first occurrence of a fault must start.
    pub length: Duration,
    pub has_membership: bool,
    /// Whether a real registry serves as discovery. Without one, `stop` cannot target discovery.
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
        .repeat_interval_s
        .map(|_| required_seconds("again_s", table.repeat_interval_s))
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
        required_seconds("for_s", self.for_s)
    }

    fn fault_kind(&self) -> Result<FaultKind, InvalidFault> {
        Ok(match self.kind {
            Kind::Cut => self.impairment(LinkCondition {
                is_cut: true,
                ..Default::default()
            })?,
            Kind::Delay => self.impairment(self.delay_condition()?)?,
            Kind::Lossy => self.impairment(self.lossy_condition()?)?,
            Kind::Replay => FaultKind::ReplayDatagrams,
            Kind::InjectDatagrams => {
                let valid_rate = self
                    .datagrams_per_s
                    .filter(|rate| (1.0..=100_000.0).contains(rate));
                let rate_per_s = valid_rate.ok_or(InvalidFault::InvalidRate)?;
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
                interval: required_seconds("every_s", self.batch_interval_s)?,
                drain: required_seconds("drain_s", self.drain_s)?,
            },
        })
    }

    /// Returns a fault kind that sets `condition` on the affected links, in the directions selected
    /// by `way`. A direction that is not selected stays normal.
    fn impairment(&self, condition: LinkCondition) -> Result<FaultKind, InvalidFault> {
        let normal = LinkCondition::default();
        let conditions = match self.way.unwrap_or_default() {
            Direction::Both => LinkConditions {
                outbound: condition,
                inbound: condition,
            },
            Direction::Outbound => LinkConditions {
                outbound: condition,
                inbound: normal,
            },
            Direction::Inbound => LinkConditions {
                outbound: normal,
                inbound: condition,
            },
        };
        Ok(FaultKind::ImpairLinks {
            conditions,
            duration: self.duration()?,
        })
    }

    fn delay_condition(&self) -> Result<LinkCondition, InvalidFault> {
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

    fn lossy_condition(&self) -> Result<LinkCondition, InvalidFault> {
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
            ("every_s", self.batch_interval_s.is_some(), is_replacement),
            ("drain_s", self.drain_s.is_some(), is_replacement),
            ("for_s", self.for_s.is_some(), has_duration),
            ("loss", self.loss.is_some(), is_lossy),
            ("duplicate", self.duplicate.is_some(), is_lossy),
            (
                "rate",
                self.datagrams_per_s.is_some(),
                self.kind == Kind::InjectDatagrams,
            ),
            (
                "until_s",
                self.until_s.is_some(),
                self.repeat_interval_s.is_some(),
            ),
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

    /// Rejects links that do not exist, and faults that do not apply to the traffic of the links:
    /// links between balancers carry datagrams, and all other links carry connections.
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

fn required_seconds(key: &'static str, value: Option<f64>) -> Result<Duration, InvalidFault> {
    let value = value.ok_or(InvalidFault::Missing(key))?;
    Ok(Duration::from_secs_f64(check_range(
        key,
        value,
        0.0,
        MAX_FAULT_SPAN_S,
    )?))
}

/// Converts a value of 0 to 60000 ms; a missing value counts as 0.
fn milliseconds(key: &'static str, value: Option<f64>) -> Result<Duration, InvalidFault> {
    let value = value.map_or(Ok(0.0), |value| check_range(key, value, 0.0, MAX_DELAY_MS))?;
    Ok(Duration::from_secs_f64(value / 1e3))
}

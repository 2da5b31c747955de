//! What goes wrong in a play, and how an experiment file says it.

use crate::experiment::Fleet;
use serde::Deserialize;
use std::time::Duration;

/// What happens to what travels one way on a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// It takes this much longer ...
    pub delay: Duration,
    /// ... and up to this much more, drawn for each piece; order is kept.
    pub jitter: Duration,
    /// Bytes a second that pass; `None`: as many as come.
    pub bytes_per_s: Option<u32>,
    /// Nothing passes: it waits until the way is open again; a datagram is lost.
    pub cut: bool,
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Share of the datagrams that come twice.
    pub duplicate: f64,
}

/// Whom a fault meets.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One balancer, by number.
    Balancer(u32),
    /// One upstream, by number.
    Upstream(u32),
    /// A share of the balancers, drawn from the seed.
    Balancers(f64),
    /// Balancers by number, from one to another, both included.
    Range(u32, u32),
    /// All balancers but those that the fault's target is.
    Others,
    /// A share of the upstreams, drawn from the seed.
    Upstreams(f64),
    /// The list service.
    Discovery,
    /// The clients: only their links with balancers.
    Clients,
}

/// Something that goes wrong.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When, from the start of the load.
    pub at: Duration,
    /// Whom it meets.
    pub target: Target,
    /// What happens.
    pub act: Act,
    /// For faults of links, whom the other ends belong to; `None`: all that `target` has links with.
    pub with: Option<Target>,
    /// It begins again and again after so long ...
    pub every: Option<Duration>,
    /// ... before this time.
    pub until: Option<Duration>,
}

impl Fault {
    /// When it has ended, as often as it happens, in a play of some length.
    pub fn ends(&self, length: Duration) -> Duration {
        let lasts = match &self.act {
            Act::Kill { back, .. } => back.unwrap_or_default(),
            Act::Stop(lasts) | Act::Slow(_, lasts) | Act::Silent(lasts) | Act::Links(_, lasts) => {
                *lasts
            }
            Act::Storm { lasts, .. } => *lasts,
            Act::Term | Act::Replace { .. } | Act::Reset | Act::Replay => Duration::ZERO,
        };
        let last = match self.every {
            Some(_) => self.until.unwrap_or(length).max(self.at),
            None => self.at,
        };
        last + lasts
    }
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// SIGKILL to a balancer; a crash of a stand-in. It is back after `back`, an upstream cold.
    Kill {
        /// `None`: it stays away.
        back: Option<Duration>,
        /// What a balancer is called from then on, if not as before.
        name: Option<String>,
    },
    /// SIGTERM to a balancer, which is started again once it has ended.
    Term,
    /// SIGSTOP to a balancer, and SIGCONT after so long.
    Stop(Duration),
    /// An upstream takes so many times as long, for so long.
    Slow(f64, Duration),
    /// An upstream takes requests and says nothing, for so long.
    Silent(Duration),
    /// Upstreams drain and are replaced by cold ones, `batch` at a time.
    Replace {
        /// How many at a time.
        batch: u32,
        /// Time from one batch to the next.
        every: Duration,
        /// Time to drain.
        drain: Duration,
    },
    /// Links turn so: from the balancer, and back to it; for so long.
    Links([Way; 2], Duration),
    /// All connections on links end at once.
    Reset,
    /// The first datagrams that passed between balancers come once more, from the target to all.
    Replay,
    /// Bad datagrams in the name of the target come to all.
    Storm {
        /// So many a second.
        rate: f64,
        /// For so long.
        lasts: Duration,
    },
}

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

#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Direction {
    #[default]
    Both,
    To,
    Back,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawFault {
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

/// Reads a fault of a fleet; `real` says whether membership and the list service are real.
pub fn read(
    raw: RawFault,
    fleet: &Fleet,
    length: Duration,
    real: (bool, bool),
) -> Result<Fault, String> {
    let (membership, registry) = real;
    let target = read_target(&raw.target, fleet)?;
    if !(0.0..=length.as_secs_f64()).contains(&raw.at_s) {
        return Err(format!(
            "at_s is {}: the play takes 0 to {} s",
            raw.at_s,
            length.as_secs_f64()
        ));
    }
    let span = |what: &str, value: Option<f64>| match value {
        None => Err(format!("{what} is missing: this kind of fault needs it")),
        Some(x) if (0.0..=3600.0).contains(&x) => Ok(Duration::from_secs_f64(x)),
        Some(x) => Err(format!("{what} is {x}: 0 to 3600 can be played")),
    };
    let for_s = || span("for_s", raw.for_s);
    let ways = |way: Way| match raw.way.unwrap_or_default() {
        Direction::Both => [way, way],
        Direction::To => [way, Way::default()],
        Direction::Back => [Way::default(), way],
    };
    let millis = |what: &str, value: Option<f64>| match value {
        None => Ok(Duration::ZERO),
        Some(x) if (0.0..=60_000.0).contains(&x) => Ok(Duration::from_secs_f64(x / 1e3)),
        Some(x) => Err(format!("{what} is {x}: 0 to 60000 can be played")),
    };
    let act = match raw.kind {
        Kind::Cut => Act::Links(
            ways(Way {
                cut: true,
                ..Way::default()
            }),
            for_s()?,
        ),
        Kind::Delay => {
            let (delay, jitter) = (
                millis("delay_ms", raw.delay_ms)?,
                millis("jitter_ms", raw.jitter_ms)?,
            );
            let way = Way {
                delay,
                jitter,
                bytes_per_s: raw.bytes_per_s,
                ..Way::default()
            };
            if way == Way::default() || way.bytes_per_s == Some(0) {
                return Err(
                    "delay_ms, jitter_ms or bytes_per_s is missing: what slows the link?".into(),
                );
            }
            Act::Links(ways(way), for_s()?)
        }
        Kind::Lossy => {
            let share = |what: &str, value: Option<f64>| match value.unwrap_or(0.0) {
                x if (0.0..=1.0).contains(&x) => Ok(x),
                x => Err(format!("{what} is {x}: 0 to 1 can be played")),
            };
            let (delay, jitter) = (
                millis("delay_ms", raw.delay_ms)?,
                millis("jitter_ms", raw.jitter_ms)?,
            );
            let (loss, duplicate) = (share("loss", raw.loss)?, share("duplicate", raw.duplicate)?);
            Act::Links(
                ways(Way {
                    delay,
                    jitter,
                    loss,
                    duplicate,
                    ..Way::default()
                }),
                for_s()?,
            )
        }
        Kind::Replay => Act::Replay,
        Kind::Storm => {
            let rate = raw.rate.filter(|rate| (1.0..=100_000.0).contains(rate));
            Act::Storm {
                rate: rate.ok_or("rate: 1 to 100000 a second can be played")?,
                lasts: for_s()?,
            }
        }
        Kind::Reset => Act::Reset,
        Kind::Kill => Act::Kill {
            back: raw.for_s.map(|_| for_s()).transpose()?,
            name: raw.name.clone(),
        },
        Kind::Term => Act::Term,
        Kind::Stop => Act::Stop(for_s()?),
        Kind::Silent => Act::Silent(for_s()?),
        Kind::Slow => {
            let factor = raw
                .factor
                .ok_or("factor is missing: how many times slower?")?;
            if !(1.0..=1000.0).contains(&factor) {
                return Err(format!("factor is {factor}: 1 to 1000 can be played"));
            }
            Act::Slow(factor, for_s()?)
        }
        Kind::Replace => Act::Replace {
            batch: raw
                .batch
                .filter(|n| *n > 0)
                .ok_or("batch is missing: how many at a time, 1 or more?")?,
            every: span("every_s", raw.every_s)?,
            drain: span("drain_s", raw.drain_s)?,
        },
    };
    let among_balancers = |t: &Target| {
        matches!(
            t,
            Target::Balancer(_) | Target::Balancers(_) | Target::Range(..) | Target::Others
        )
    };
    let of_balancers = among_balancers(&target);
    let of_upstreams = matches!(target, Target::Upstream(_) | Target::Upstreams(_));
    let meant = match act {
        Act::Kill { .. } | Act::Links(..) | Act::Reset => true,
        Act::Stop(_) if registry && target == Target::Discovery => true,
        Act::Term | Act::Stop(_) | Act::Replay | Act::Storm { .. } => of_balancers,
        Act::Slow(..) | Act::Silent(_) | Act::Replace { .. } => of_upstreams,
    };
    let of_links = matches!(act, Act::Links(..) | Act::Reset);
    let meant = meant && (of_links || target != Target::Clients);
    if !meant {
        return Err(format!("this kind of fault cannot meet {:?}", raw.target));
    }
    for (given, what, goes_with) in [
        (raw.factor.is_some(), "factor", matches!(act, Act::Slow(..))),
        (
            raw.batch.is_some(),
            "batch",
            matches!(act, Act::Replace { .. }),
        ),
        (
            raw.every_s.is_some(),
            "every_s",
            matches!(act, Act::Replace { .. }),
        ),
        (
            raw.drain_s.is_some(),
            "drain_s",
            matches!(act, Act::Replace { .. }),
        ),
        (
            raw.for_s.is_some(),
            "for_s",
            !matches!(
                act,
                Act::Replace { .. } | Act::Term | Act::Reset | Act::Replay
            ),
        ),
        (raw.loss.is_some(), "loss", raw.kind == Kind::Lossy),
        (
            raw.duplicate.is_some(),
            "duplicate",
            raw.kind == Kind::Lossy,
        ),
        (raw.rate.is_some(), "rate", raw.kind == Kind::Storm),
        (raw.until_s.is_some(), "until_s", raw.again_s.is_some()),
        (
            raw.name.is_some(),
            "name",
            raw.for_s.is_some() && matches!(target, Target::Balancer(_)),
        ),
        (raw.with.is_some(), "with", of_links),
        (raw.way.is_some(), "way", matches!(act, Act::Links(..))),
        (
            raw.delay_ms.is_some(),
            "delay_ms",
            matches!(raw.kind, Kind::Delay | Kind::Lossy),
        ),
        (
            raw.jitter_ms.is_some(),
            "jitter_ms",
            matches!(raw.kind, Kind::Delay | Kind::Lossy),
        ),
        (
            raw.bytes_per_s.is_some(),
            "bytes_per_s",
            raw.kind == Kind::Delay,
        ),
    ] {
        if given && !goes_with {
            return Err(format!("{what} says nothing to this kind of fault"));
        }
    }
    let with = raw
        .with
        .as_deref()
        .map(|text| read_target(text, fleet))
        .transpose()?;
    let between_balancers = of_balancers && with.as_ref().is_some_and(among_balancers);
    if !of_balancers && with.as_ref().is_some_and(|with| !among_balancers(with)) {
        return Err(format!(
            "with {:?}: one end of a link is a balancer's",
            raw.with.unwrap_or_default()
        ));
    }
    let for_datagrams = between_balancers || matches!(act, Act::Replay | Act::Storm { .. });
    if for_datagrams && !membership {
        return Err(
            "balancers have links with each other only where there is a [membership]".into(),
        );
    }
    if raw.kind == Kind::Lossy && !between_balancers {
        return Err(
            "only datagrams between balancers are lost or come twice: with = \"other balancers\"?"
                .into(),
        );
    }
    if raw.kind == Kind::Reset && between_balancers {
        return Err("datagrams have no connection to be reset".into());
    }
    let every = raw
        .again_s
        .map(|_| span("again_s", raw.again_s))
        .transpose()?;
    if every.is_some_and(|every| every < Duration::from_millis(100)) {
        return Err("again_s: 0.1 or more can be played".into());
    }
    let until = raw.until_s.map(Duration::from_secs_f64);
    Ok(Fault {
        at: Duration::from_secs_f64(raw.at_s),
        target,
        act,
        with,
        every,
        until,
    })
}

/// `b3`, `b0..b9`, `other balancers`, `u0`, `discovery`, `clients`, `all balancers`, `30% of upstreams`.
fn read_target(text: &str, fleet: &Fleet) -> Result<Target, String> {
    let unknown = || {
        format!(
            "target {text:?}: b0, b0..b9, other balancers, u0, discovery, clients, all upstreams or 30% of \
             upstreams can be meant"
        )
    };
    let within = |prefix: char, text: &str, most: u32| -> Option<Result<u32, String>> {
        let n: u32 = text.strip_prefix(prefix)?.parse().ok()?;
        Some(if n < most {
            Ok(n)
        } else {
            Err(format!("target {text:?}: there are only {most}"))
        })
    };
    let numbered = |prefix, most| within(prefix, text, most);
    let number = |prefix, text| within(prefix, text, fleet.balancers);
    if let Some(n) = numbered('b', fleet.balancers) {
        return n.map(Target::Balancer);
    }
    if let Some((first, last)) = text.split_once("..")
        && let (Some(Ok(first)), Some(Ok(last))) = (number('b', first), number('b', last))
        && first <= last
    {
        return Ok(Target::Range(first, last));
    }
    if let Some(n) = numbered('u', fleet.upstreams) {
        return n.map(Target::Upstream);
    }
    match text {
        "discovery" => return Ok(Target::Discovery),
        "clients" => return Ok(Target::Clients),
        "other balancers" => return Ok(Target::Others),
        _ => {}
    }
    let (share, whom) = match text.split_once("% of ") {
        Some((percent, whom)) => (
            percent.trim().parse::<f64>().map_err(|_| unknown())? / 100.0,
            whom,
        ),
        None => (1.0, text.strip_prefix("all ").ok_or_else(unknown)?),
    };
    if !(0.0..=1.0).contains(&share) {
        return Err(unknown());
    }
    match whom {
        "balancers" => Ok(Target::Balancers(share)),
        "upstreams" => Ok(Target::Upstreams(share)),
        _ => Err(unknown()),
    }
}

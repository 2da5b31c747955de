//! How an experiment is read from its file.

use crate::experiment::faults::{self, RawFault};
use crate::experiment::{
    BALANCERS_MOST, Class, Effect, Expect, Experiment, Fleet, ListService, Load, Model, Peers,
    Refused, Registry, SECONDS_MOST, Tenant, UPSTREAMS_MOST,
};
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    name: String,
    seconds: Spanned<f64>,
    #[serde(default = "one")]
    seed: u64,
    fleet: Spanned<Fleet>,
    #[serde(default = "spanned::<Load>")]
    load: Spanned<Load>,
    #[serde(default = "spanned::<Model>")]
    upstream: Spanned<Model>,
    #[serde(default)]
    discovery: ListService,
    membership: Option<Peers>,
    registry: Option<Registry>,
    #[serde(default)]
    class: Vec<Spanned<Class>>,
    #[serde(default)]
    tenant: Vec<Spanned<Tenant>>,
    #[serde(default)]
    fault: Vec<Spanned<RawFault>>,
    #[serde(default)]
    expect: Expect,
}

fn one() -> u64 {
    1
}

fn spanned<T: Default>() -> Spanned<T> {
    Spanned::new(0..0, T::default())
}

/// The classes of the site that the balancer was built for, where a file names none.
fn site_classes() -> Vec<Class> {
    let class = |name: &str, share, work_ms, io_ms, aim_ms, deadline_ms, worth, effect| Class {
        name: name.into(),
        share,
        work_ms,
        io_ms,
        aim_ms,
        deadline_ms,
        worth,
        effect,
    };
    vec![
        class(
            "station-status",
            0.37,
            100.0,
            230.0,
            1200.0,
            3000.0,
            1.0,
            Effect::Safe,
        ),
        class(
            "session-meter",
            0.36,
            130.0,
            440.0,
            1500.0,
            6000.0,
            2.0,
            Effect::Safe,
        ),
        class(
            "session-start",
            0.18,
            180.0,
            600.0,
            2500.0,
            6000.0,
            10.0,
            Effect::Keyed,
        ),
        class(
            "session-settle",
            0.09,
            190.0,
            420.0,
            2000.0,
            6000.0,
            10.0,
            Effect::Unsafe,
        ),
    ]
}

fn site_tenants() -> Vec<Tenant> {
    let shares = [
        ("gyeonggi", 0.3),
        ("seoul", 0.3),
        ("busan", 0.2),
        ("incheon", 0.12),
        ("jeju", 0.08),
    ];
    shares
        .iter()
        .map(|(name, share)| Tenant {
            name: (*name).into(),
            share: *share,
        })
        .collect()
}

impl Experiment {
    /// Reads an experiment's text.
    pub fn parse(text: &str) -> Result<Self, Refused> {
        let line = |at: usize| {
            1 + text
                .as_bytes()
                .iter()
                .take(at)
                .filter(|b| **b == b'\n')
                .count()
        };
        let refused = |at: usize, reason: String| Refused {
            line: line(at),
            reason,
        };
        let raw: Raw = toml::from_str(text).map_err(|e| {
            refused(
                e.span().map_or(0, |s| s.start),
                e.message().trim_end().to_owned(),
            )
        })?;
        let within = |span: std::ops::Range<usize>, what: &str, x: f64, least: f64, most: f64| {
            if (least..=most).contains(&x) {
                return Ok(());
            }
            Err(refused(
                span.start,
                format!("{what} is {x}: {least} to {most} can be played"),
            ))
        };
        within(
            raw.seconds.span(),
            "seconds",
            *raw.seconds.get_ref(),
            1.0,
            SECONDS_MOST,
        )?;
        let (span, fleet) = (raw.fleet.span(), raw.fleet.into_inner());
        within(
            span.clone(),
            "balancers",
            f64::from(fleet.balancers),
            1.0,
            f64::from(BALANCERS_MOST),
        )?;
        within(
            span,
            "upstreams",
            f64::from(fleet.upstreams),
            1.0,
            f64::from(UPSTREAMS_MOST),
        )?;
        let (span, load) = (raw.load.span(), raw.load.into_inner());
        within(span.clone(), "rate", load.rate, 0.1, 20_000.0)?;
        within(span.clone(), "swing", load.swing, 0.0, 0.95)?;
        within(span.clone(), "period_s", load.period_s, 0.1, SECONDS_MOST)?;
        within(span.clone(), "retries", f64::from(load.retries), 0.0, 6.0)?;
        within(span.clone(), "honour", load.honour, 0.0, 1.0)?;
        within(span.clone(), "try_share", load.try_share, 0.05, 1.0)?;
        within(span.clone(), "notice_s", load.notice_s, 0.0, 60.0)?;
        within(span, "keys", f64::from(load.keys), 1.0, 1e6)?;
        let (span, upstream) = (raw.upstream.span(), raw.upstream.into_inner());
        within(span.clone(), "cores", f64::from(upstream.cores), 1.0, 64.0)?;
        within(span.clone(), "speed", upstream.speed, 0.01, 100.0)?;
        within(span.clone(), "cold_from", upstream.cold_from, 0.01, 1.0)?;
        within(span.clone(), "cold_s", upstream.cold_s, 0.0, 600.0)?;
        within(span, "report_ms", upstream.report_ms, 10.0, 60_000.0)?;
        let mut classes = Vec::new();
        for class in raw.class {
            let (span, class) = (class.span(), class.into_inner());
            within(span.clone(), "share", class.share, 0.0, 1.0)?;
            within(span.clone(), "work_ms", class.work_ms, 0.0, 60_000.0)?;
            within(span.clone(), "aim_ms", class.aim_ms, 1.0, 600_000.0)?;
            within(
                span,
                "deadline_ms",
                class.deadline_ms,
                class.aim_ms,
                600_000.0,
            )?;
            classes.push(class);
        }
        if classes.is_empty() {
            classes = site_classes();
        }
        let mut tenants: Vec<Tenant> = raw.tenant.into_iter().map(Spanned::into_inner).collect();
        if tenants.is_empty() {
            tenants = site_tenants();
        }
        for (what, sum) in [
            ("classes", classes.iter().map(|c| c.share).sum::<f64>()),
            ("tenants", tenants.iter().map(|t| t.share).sum::<f64>()),
        ] {
            if !(0.98..=1.02).contains(&sum) {
                return Err(refused(
                    0,
                    format!("the shares of the {what} add up to {sum:.3}, not to 1"),
                ));
            }
        }
        let length = Duration::from_secs_f64(*raw.seconds.get_ref());
        let mut faults = Vec::new();
        for fault in raw.fault {
            let span = fault.span();
            let real = (raw.membership.is_some(), raw.registry.is_some());
            let fault = faults::read(fault.into_inner(), &fleet, length, real);
            faults.push(fault.map_err(|reason| refused(span.start, reason))?);
        }
        faults.sort_by_key(|f| f.at);
        let (name, seed) = (raw.name, raw.seed);
        let (discovery, membership, registry) = (raw.discovery, raw.membership, raw.registry);
        let expect = raw.expect;
        Ok(Self {
            name,
            length,
            seed,
            fleet,
            load,
            upstream,
            discovery,
            membership,
            registry,
            classes,
            tenants,
            faults,
            expect,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::faults::{Act, Target};

    const GOOD: &str = "name = \"x\"\nseconds = 5.0\n[fleet]\nbalancers = 2\nupstreams = 4\n\
                        [[fault]]\nat_s = 1\nkind = \"kill\"\ntarget = \"u1\"\nfor_s = 2\n";

    #[test]
    fn what_can_be_meant_is_read() {
        let read = Experiment::parse(GOOD).expect("it can be meant");
        assert_eq!(
            (read.classes.len(), read.tenants.len(), read.seed),
            (4, 5, 1)
        );
        let fault = &read.faults[0];
        assert_eq!(
            (&fault.target, fault.at),
            (&Target::Upstream(1), Duration::from_secs(1))
        );
        assert_eq!(
            fault.act,
            Act::Kill {
                back: Some(Duration::from_secs(2)),
                name: None
            }
        );
    }

    #[test]
    fn what_cannot_be_meant_is_refused_with_line_and_reason() {
        for (from, to, line, reason) in [
            ("seconds = 5.0", "seconds = 0.0", 2, "seconds is 0"),
            (
                "balancers = 2",
                "balancers = 2\nbalancer = 1",
                5,
                "balancer",
            ),
            ("balancers = 2", "balancers = 0", 3, "balancers is 0"),
            ("kind = \"kill\"", "kind = \"burn\"", 8, "burn"),
            ("\"u1\"", "\"u9\"", 6, "only 4"),
            ("\"u1\"", "\"some of us\"", 6, "can be meant"),
            ("at_s = 1", "at_s = 9", 6, "the play takes"),
            ("kind = \"kill\"", "kind = \"stop\"", 6, "cannot meet"),
            ("kind = \"kill\"", "kind = \"slow\"", 6, "factor is missing"),
            ("for_s = 2", "for_s = 2\nbatch = 1", 6, "says nothing"),
            (
                "kind = \"kill\"",
                "kind = \"cut\"\nwith = \"u2\"",
                6,
                "one end",
            ),
            (
                "kind = \"kill\"\ntarget = \"u1\"",
                "kind = \"cut\"\ntarget = \"b1\"\nwith = \"b0\"",
                6,
                "[membership]",
            ),
            ("kind = \"kill\"", "kind = \"delay\"", 6, "what slows"),
            ("\"u1\"", "\"clients\"", 6, "cannot meet"),
            (
                "for_s = 2",
                "for_s = 2\nname = \"x\"",
                6,
                "name says nothing",
            ),
            ("name = \"x\"", "", 1, "name"),
        ] {
            let refused = Experiment::parse(&GOOD.replace(from, to)).expect_err(to);
            assert_eq!(refused.line, line, "{to}: {refused}");
            assert!(refused.reason.contains(reason), "{to}: {refused}");
        }
    }
}

//! How an experiment is read from its file.

use super::class_defaults::{site_classes, site_tenants};
use super::fault_error::InvalidFault;
use super::fault_parsing::{FaultContext, FaultTable, parse_fault};
use super::value_range::{ValueOutOfRange, check_range};
use super::{
    Class, DiscoverySettings, Expectations, Experiment, Fault, Fleet, Load, MAX_BALANCERS,
    MAX_SECONDS, MAX_UPSTREAMS, MembershipSettings, RegistrySettings, Tenant, UpstreamSettings,
};
use serde::Deserialize;
use std::ops::Range;
use std::time::Duration;
use thiserror::Error;
use toml::Spanned;

/// The least sum of the shares of classes, and of tenants.
const MIN_SHARE_SUM: f64 = 0.98;
/// The largest.
const MAX_SHARE_SUM: f64 = 1.02;

/// Why a text is no experiment, and where.
#[derive(Debug, PartialEq, Error)]
#[error("line {line}: {reason}")]
pub struct ParseError {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong, and what would be right.
    pub reason: InvalidExperiment,
}

/// Why a text is no experiment.
#[derive(Debug, PartialEq, Error)]
pub enum InvalidExperiment {
    /// It is no TOML, or has unknown or missing keys.
    #[error("{0}")]
    Form(String),
    /// A value is out of range.
    #[error(transparent)]
    OutOfRange(#[from] ValueOutOfRange),
    /// Shares do not add up.
    #[error("the shares of the {of} add up to {sum:.3}, not to 1")]
    Shares {
        /// Of classes or tenants.
        of: &'static str,
        /// Their sum.
        sum: f64,
    },
    /// A fault is not valid.
    #[error(transparent)]
    Fault(#[from] InvalidFault),
}

/// The tables of a file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExperimentFile {
    name: String,
    seconds: Spanned<f64>,
    #[serde(default = "default_seed")]
    seed: u64,
    fleet: Spanned<Fleet>,
    #[serde(default = "spanned_default::<Load>")]
    load: Spanned<Load>,
    #[serde(default = "spanned_default::<UpstreamSettings>")]
    upstream: Spanned<UpstreamSettings>,
    #[serde(default)]
    discovery: DiscoverySettings,
    membership: Option<MembershipSettings>,
    registry: Option<RegistrySettings>,
    #[serde(default)]
    class: Vec<Spanned<Class>>,
    #[serde(default)]
    tenant: Vec<Spanned<Tenant>>,
    #[serde(default)]
    fault: Vec<Spanned<FaultTable>>,
    #[serde(default)]
    expect: Expectations,
}

fn default_seed() -> u64 {
    1
}

fn spanned_default<T: Default>() -> Spanned<T> {
    Spanned::new(0..0, T::default())
}

impl Experiment {
    /// Parses the text of an experiment file.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        let located = |Invalid { offset, reason }| ParseError {
            line: line_at(text, offset),
            reason,
        };
        let file: ExperimentFile = toml::from_str(text).map_err(|e| {
            let offset = e.span().map_or(0, |span| span.start);
            located(Invalid {
                offset,
                reason: InvalidExperiment::Form(e.message().trim_end().into()),
            })
        })?;
        file.into_experiment().map_err(located)
    }
}

/// The line of a position in a text, from 1.
fn line_at(text: &str, offset: usize) -> usize {
    1 + text
        .as_bytes()
        .iter()
        .take(offset)
        .filter(|byte| **byte == b'\n')
        .count()
}

/// What is not valid, and at which byte.
struct Invalid {
    offset: usize,
    reason: InvalidExperiment,
}

impl ExperimentFile {
    fn into_experiment(self) -> Result<Experiment, Invalid> {
        check_length(&self.seconds)?;
        check_fleet(&self.fleet)?;
        check_load(&self.load)?;
        check_upstream(&self.upstream)?;
        self.class.iter().try_for_each(check_class)?;
        let mut classes: Vec<Class> = self.class.into_iter().map(Spanned::into_inner).collect();
        if classes.is_empty() {
            classes = site_classes();
        }
        let mut tenants: Vec<Tenant> = self.tenant.into_iter().map(Spanned::into_inner).collect();
        if tenants.is_empty() {
            tenants = site_tenants();
        }
        check_shares("classes", classes.iter().map(|class| class.share).sum())?;
        check_shares("tenants", tenants.iter().map(|tenant| tenant.share).sum())?;
        let length = Duration::from_secs_f64(*self.seconds.get_ref());
        let fleet = self.fleet.into_inner();
        let context = FaultContext {
            fleet: &fleet,
            length,
            has_membership: self.membership.is_some(),
            has_registry: self.registry.is_some(),
        };
        let faults = parse_faults(self.fault, &context)?;
        Ok(Experiment {
            name: self.name,
            length,
            seed: self.seed,
            fleet,
            load: self.load.into_inner(),
            upstream: self.upstream.into_inner(),
            discovery: self.discovery,
            membership: self.membership,
            registry: self.registry,
            classes,
            tenants,
            faults,
            expect: self.expect,
        })
    }
}

fn parse_faults(
    tables: Vec<Spanned<FaultTable>>,
    context: &FaultContext<'_>,
) -> Result<Vec<Fault>, Invalid> {
    let mut faults = Vec::new();
    for table in tables {
        let offset = table.span().start;
        let fault = parse_fault(table.into_inner(), context);
        faults.push(fault.map_err(|reason| Invalid {
            offset,
            reason: reason.into(),
        })?);
    }
    faults.sort_by_key(|fault| fault.start);
    Ok(faults)
}

/// Checks values of one table.
struct RangeCheck {
    offset: usize,
}

impl RangeCheck {
    fn at(span: &Range<usize>) -> Self {
        Self { offset: span.start }
    }

    fn within(&self, key: &'static str, value: f64, min: f64, max: f64) -> Result<(), Invalid> {
        check_range(key, value, min, max).map_err(|error| Invalid {
            offset: self.offset,
            reason: error.into(),
        })?;
        Ok(())
    }
}

fn check_length(seconds: &Spanned<f64>) -> Result<(), Invalid> {
    RangeCheck::at(&seconds.span()).within("seconds", *seconds.get_ref(), 1.0, MAX_SECONDS)
}

fn check_fleet(fleet: &Spanned<Fleet>) -> Result<(), Invalid> {
    let (check, fleet) = (RangeCheck::at(&fleet.span()), fleet.get_ref());
    check.within(
        "balancers",
        f64::from(fleet.balancers),
        1.0,
        f64::from(MAX_BALANCERS),
    )?;
    check.within(
        "upstreams",
        f64::from(fleet.upstreams),
        1.0,
        f64::from(MAX_UPSTREAMS),
    )
}

fn check_load(load: &Spanned<Load>) -> Result<(), Invalid> {
    let (check, load) = (RangeCheck::at(&load.span()), load.get_ref());
    check.within("rate", load.rate_per_s, 0.1, 20_000.0)?;
    check.within("swing", load.rate_amplitude, 0.0, 0.95)?;
    check.within("period_s", load.period_s, 0.1, MAX_SECONDS)?;
    check.within("retries", f64::from(load.retries), 0.0, 6.0)?;
    check.within("honour", load.retry_after_compliance, 0.0, 1.0)?;
    check.within("try_share", load.attempt_timeout_share, 0.05, 1.0)?;
    check.within("notice_s", load.failover_delay_s, 0.0, 60.0)?;
    check.within("keys", f64::from(load.key_count), 1.0, 1e6)
}

fn check_upstream(upstream: &Spanned<UpstreamSettings>) -> Result<(), Invalid> {
    let (check, upstream) = (RangeCheck::at(&upstream.span()), upstream.get_ref());
    check.within("cores", f64::from(upstream.cores), 1.0, 64.0)?;
    check.within("speed", upstream.speed, 0.01, 100.0)?;
    check.within("cold_from", upstream.slow_start_initial_share, 0.01, 1.0)?;
    check.within("cold_s", upstream.slow_start_s, 0.0, 600.0)?;
    check.within("report_ms", upstream.report_interval_ms, 10.0, 60_000.0)
}

fn check_class(class: &Spanned<Class>) -> Result<(), Invalid> {
    let (check, class) = (RangeCheck::at(&class.span()), class.get_ref());
    check.within("share", class.share, 0.0, 1.0)?;
    check.within("work_ms", class.work_ms, 0.0, 60_000.0)?;
    check.within("aim_ms", class.latency_objective_ms, 1.0, 600_000.0)?;
    check.within(
        "deadline_ms",
        class.deadline_ms,
        class.latency_objective_ms,
        600_000.0,
    )
}

fn check_shares(of: &'static str, sum: f64) -> Result<(), Invalid> {
    if (MIN_SHARE_SUM..=MAX_SHARE_SUM).contains(&sum) {
        return Ok(());
    }
    Err(Invalid {
        offset: 0,
        reason: InvalidExperiment::Shares { of, sum },
    })
}

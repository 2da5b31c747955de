//! Parses and validates an experiment file.

use super::class_defaults::{default_classes, default_tenants};
use super::fault_error::InvalidFault;
use super::fault_parsing::{FaultContext, FaultTable, parse_fault};
use super::value_range::{ValueOutOfRange, check_range};
use super::{
    Class, DiscoverySettings, Expectations, Experiment, Fault, Fleet, Load, MAX_BALANCERS,
    MAX_RUN_S, MAX_UPSTREAMS, MembershipSettings, RegistrySettings, Tenant, UpstreamSettings,
};
use serde::Deserialize;
use std::ops::Range;
use std::time::Duration;
use thiserror::Error;
use toml::Spanned;

/// The smallest valid sum of the shares of all classes, and of all tenants.
const MIN_SHARE_SUM: f64 = 0.98;
/// The largest valid sum of the shares of all classes, and of all tenants.
const MAX_SHARE_SUM: f64 = 1.02;

/// An error in an experiment file, with its line.
#[derive(Debug, PartialEq, Error)]
#[error("line {line}: {reason}")]
pub struct ParseError {
    /// The line number, from 1.
    pub line: usize,
    /// The reason, which states the value or form that is expected.
    pub reason: InvalidExperiment,
}

/// The reason why an experiment file is invalid.
#[derive(Debug, PartialEq, Error)]
pub enum InvalidExperiment {
    /// The text is not TOML, has unknown or missing keys, or has a value of the wrong type; the
    /// field is the parser's message.
    #[error("{0}")]
    Syntax(String),
    /// A value is outside its range.
    #[error(transparent)]
    OutOfRange(#[from] ValueOutOfRange),
    /// The shares of the classes or tenants do not add up to 1.
    #[error("the shares of the {of} must add up to 1, within 0.02, got {sum:.3}")]
    Shares {
        /// The entries whose shares are summed: `classes` or `tenants`.
        of: &'static str,
        /// The sum of the shares in the file, where 1 is expected.
        sum: f64,
    },
    /// A `[[fault]]` table is invalid.
    #[error(transparent)]
    Fault(#[from] InvalidFault),
}

/// The keys and tables of an experiment file. [`Experiment`] documents their meaning.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExperimentFile {
    name: String,
    /// The length of the run, in seconds, 1 to 3600.
    #[serde(rename = "seconds")]
    length_s: Spanned<f64>,
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
    /// The `[[class]]` tables; the default classes apply if there are none.
    #[serde(default, rename = "class")]
    classes: Vec<Spanned<Class>>,
    /// The `[[tenant]]` tables; the default tenants apply if there are none.
    #[serde(default, rename = "tenant")]
    tenants: Vec<Spanned<Tenant>>,
    /// The `[[fault]]` tables.
    #[serde(default, rename = "fault")]
    faults: Vec<Spanned<FaultTable>>,
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
    /// Parses and validates the text of an experiment file.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        let located = |Invalid { offset, reason }| ParseError {
            line: line_at(text, offset),
            reason,
        };
        let file: ExperimentFile = toml::from_str(text).map_err(|e| {
            let offset = e.span().map_or(0, |span| span.start);
            located(Invalid {
                offset,
                reason: InvalidExperiment::Syntax(e.message().trim_end().into()),
            })
        })?;
        file.into_experiment().map_err(located)
    }
}

/// Returns the line number, from 1, of a byte offset in a text.
fn line_at(text: &str, offset: usize) -> usize {
    1 + text
        .as_bytes()
        .iter()
        .take(offset)
        .filter(|byte| **byte == b'\n')
        .count()
}

/// The reason of an error, with the byte offset of its value or table in the file.
struct Invalid {
    offset: usize,
    reason: InvalidExperiment,
}

impl ExperimentFile {
    fn into_experiment(self) -> Result<Experiment, Invalid> {
        check_length(&self.length_s)?;
        check_fleet(&self.fleet)?;
        check_load(&self.load)?;
        check_upstream(&self.upstream)?;
        self.classes.iter().try_for_each(check_class)?;
        let mut classes: Vec<Class> = self.classes.into_iter().map(Spanned::into_inner).collect();
        if classes.is_empty() {
            classes = default_classes();
        }
        let mut tenants: Vec<Tenant> = self.tenants.into_iter().map(Spanned::into_inner).collect();
        if tenants.is_empty() {
            tenants = default_tenants();
        }
        check_shares("classes", classes.iter().map(|class| class.share).sum())?;
        check_shares("tenants", tenants.iter().map(|tenant| tenant.share).sum())?;
        let length = Duration::from_secs_f64(*self.length_s.get_ref());
        let fleet = self.fleet.into_inner();
        let context = FaultContext {
            fleet: &fleet,
            length,
            has_membership: self.membership.is_some(),
            has_registry: self.registry.is_some(),
        };
        let faults = parse_faults(self.faults, &context)?;
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

/// Range checks for the values of one table; an error carries the byte offset of the table.
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

fn check_length(length_s: &Spanned<f64>) -> Result<(), Invalid> {
    RangeCheck::at(&length_s.span()).within("seconds", *length_s.get_ref(), 1.0, MAX_RUN_S)
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
    check.within("period_s", load.period_s, 0.1, MAX_RUN_S)?;
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
    check.within("cold_from", upstream.slow_start_initial_fraction, 0.01, 1.0)?;
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

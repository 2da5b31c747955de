//! Reads the configuration of the faults from environment variables.

use crate::errors::error_number;
use libc::c_int;

const MILLIS_PER_SECOND: i64 = 1000;

/// A kind of system call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SyscallKind {
    Accept,
    Connect,
    Read,
    Write,
}

impl SyscallKind {
    /// Returns the name of the environment variable that contains the fault rule for this kind of call.
    fn variable(self) -> &'static str {
        match self {
            Self::Accept => "FAULT_ACCEPT",
            Self::Connect => "FAULT_CONNECT",
            Self::Read => "FAULT_READ",
            Self::Write => "FAULT_WRITE",
        }
    }
}

/// The fraction of the calls of one kind that fail, and the errors of the failing calls. By default, no call fails.
#[derive(Debug, Default)]
pub(crate) struct FaultRule {
    /// The fraction of the calls that fail, from 0 to 1.
    pub(crate) fraction: f64,
    /// The error numbers of the failing calls, all equally probable; empty if no call fails.
    pub(crate) errors: Vec<c_int>,
}

impl FaultRule {
    fn from_env(kind: SyscallKind) -> Self {
        let value = std::env::var(kind.variable());
        value.map_or_else(|_| Self::default(), |text| Self::parse(&text))
    }

    /// Parses a rule in the form `FRACTION:ERROR,ERROR`. Panics at an invalid rule: if the rule were ignored, a test
    /// would run without its faults and pass.
    fn parse(text: &str) -> Self {
        let Some((fraction, names)) = text.split_once(':') else {
            panic!("fault rule must have the form FRACTION:ERROR,ERROR, got {text:?}");
        };
        let number = |name: &str| {
            error_number(name).unwrap_or_else(|| {
                panic!("fault rule must name errors such as EINTR, got {name:?}")
            })
        };
        Self {
            fraction: fraction.parse().unwrap_or_else(|error| {
                panic!("fault rule must begin with a number, got {fraction:?}: {error}")
            }),
            errors: names.split(',').map(number).collect(),
        }
    }
}

/// The configuration of all faults of the process.
#[derive(Debug)]
pub(crate) struct FaultConfig {
    accept: FaultRule,
    connect: FaultRule,
    read: FaultRule,
    write: FaultRule,
    /// The number of seconds added to the wall clock; negative if the clock is to be behind. The variable
    /// `FAULT_WALL_MS` states the offset in milliseconds, which are rounded towards zero to whole seconds.
    pub(crate) wall_clock_offset_s: i64,
    /// The seed of the random numbers, which decide whether a call fails and with which error.
    pub(crate) seed: u64,
}

impl FaultConfig {
    pub(crate) fn from_env() -> Self {
        Self {
            accept: FaultRule::from_env(SyscallKind::Accept),
            connect: FaultRule::from_env(SyscallKind::Connect),
            read: FaultRule::from_env(SyscallKind::Read),
            write: FaultRule::from_env(SyscallKind::Write),
            wall_clock_offset_s: integer_from_env("FAULT_WALL_MS") / MILLIS_PER_SECOND,
            seed: integer_from_env("FAULT_SEED") as u64,
        }
    }

    /// Returns the fault rule for this kind of call.
    pub(crate) fn rule(&self, kind: SyscallKind) -> &FaultRule {
        match kind {
            SyscallKind::Accept => &self.accept,
            SyscallKind::Connect => &self.connect,
            SyscallKind::Read => &self.read,
            SyscallKind::Write => &self.write,
        }
    }
}

/// Returns the value of an environment variable, or 0 if the variable is missing or not an integer.
fn integer_from_env(variable: &str) -> i64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

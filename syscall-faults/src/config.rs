//! What the environment says about the calls that fail.

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
    fn variable(self) -> &'static str {
        match self {
            Self::Accept => "FAULT_ACCEPT",
            Self::Connect => "FAULT_CONNECT",
            Self::Read => "FAULT_READ",
            Self::Write => "FAULT_WRITE",
        }
    }
}

/// How many of the calls of a kind fail, and with which errors.
#[derive(Debug, Default)]
pub(crate) struct FaultRule {
    /// The share of the calls that fail.
    pub(crate) share: f64,
    /// The errors that they fail with, equally often; empty if none fail.
    pub(crate) errors: Vec<c_int>,
}

impl FaultRule {
    fn from_env(kind: SyscallKind) -> Self {
        let value = std::env::var(kind.variable());
        value.map_or_else(|_| Self::default(), |text| Self::parse(&text))
    }

    /// Parses `SHARE:ERROR,ERROR`. A mistake in a test's environment ends the process, or it would pass unnoticed.
    fn parse(text: &str) -> Self {
        let Some((share, names)) = text.split_once(':') else {
            panic!("{text}: SHARE:ERROR,... is expected");
        };
        let number =
            |name: &str| error_number(name).unwrap_or_else(|| panic!("{name}: unknown error"));
        Self {
            share: share
                .parse()
                .unwrap_or_else(|error| panic!("{share}: {error}")),
            errors: names.split(',').map(number).collect(),
        }
    }
}

/// All that the environment says.
#[derive(Debug)]
pub(crate) struct FaultConfig {
    accept: FaultRule,
    connect: FaultRule,
    read: FaultRule,
    write: FaultRule,
    /// The offset of the wall clock.
    pub(crate) wall_clock_offset_s: i64,
    /// The seed of the random numbers.
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

    /// The rule for the calls of a kind.
    pub(crate) fn rule(&self, kind: SyscallKind) -> &FaultRule {
        match kind {
            SyscallKind::Accept => &self.accept,
            SyscallKind::Connect => &self.connect,
            SyscallKind::Read => &self.read,
            SyscallKind::Write => &self.write,
        }
    }
}

/// The value of a variable; 0 if it is missing or no integer.
fn integer_from_env(variable: &str) -> i64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

//! What fails, and how often: read once from the environment, drawn by a seed.

use libc::c_int;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// A kind of system call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    Accept,
    Connect,
    Read,
    Write,
}

const CALLS: [(Call, &str); 4] = [
    (Call::Accept, "FAULT_ACCEPT"),
    (Call::Connect, "FAULT_CONNECT"),
    (Call::Read, "FAULT_READ"),
    (Call::Write, "FAULT_WRITE"),
];

/// The errors that can be named.
const ERRORS: [(&str, c_int); 11] = [
    ("EINTR", libc::EINTR),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("EMFILE", libc::EMFILE),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOMEM", libc::ENOMEM),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("ETIMEDOUT", libc::ETIMEDOUT),
    ("EPROTO", libc::EPROTO),
];

/// A share of the calls, and the errors with which these end.
#[derive(Default)]
struct Rule {
    share: f64,
    errors: Vec<c_int>,
}

struct Faults {
    rules: [Rule; CALLS.len()],
    wall_offset_s: i64,
    drawn: AtomicU64,
}

impl Rule {
    /// Reads `SHARE:ERROR,ERROR`; a test that words it wrongly ends at once.
    fn parse(text: &str) -> Self {
        let (share, names) = text
            .split_once(':')
            .unwrap_or_else(|| panic!("{text}: SHARE:ERROR,..."));
        let number = |name: &str| {
            ERRORS
                .iter()
                .find(|(known, _)| *known == name)
                .map(|(_, number)| *number)
        };
        Self {
            share: share.parse().unwrap_or_else(|e| panic!("{share}: {e}")),
            errors: names
                .split(',')
                .map(|n| number(n).unwrap_or_else(|| panic!("{n}: unknown")))
                .collect(),
        }
    }
}

impl Faults {
    fn from_env() -> Self {
        let number = |name: &str| {
            std::env::var(name)
                .ok()
                .and_then(|text| text.parse::<i64>().ok())
        };
        let rule = |(_, name): (Call, &str)| {
            std::env::var(name).map_or_else(|_| Rule::default(), |t| Rule::parse(&t))
        };
        Self {
            rules: CALLS.map(rule),
            wall_offset_s: number("FAULT_WALL_MS").unwrap_or(0) / 1000,
            drawn: AtomicU64::new(number("FAULT_SEED").unwrap_or(0) as u64),
        }
    }

    /// A number drawn by the seed (splitmix64).
    fn draw(&self) -> u64 {
        let state = self
            .drawn
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

fn faults() -> &'static Faults {
    static FAULTS: OnceLock<Faults> = OnceLock::new();
    FAULTS.get_or_init(Faults::from_env)
}

/// Whether a call is to fail now; `errno` is set then.
pub(crate) fn fail(call: Call) -> bool {
    let faults = faults();
    let rule = &faults.rules[call as usize];
    if rule.errors.is_empty() || faults.draw() as f64 / u64::MAX as f64 >= rule.share {
        return false;
    }
    let error = rule.errors[faults.draw() as usize % rule.errors.len()];
    // SAFETY: the address is that of this thread's own `errno`.
    unsafe { *libc::__errno_location() = error };
    true
}

/// By how many seconds the wall clock is off.
pub(crate) fn wall_offset_s() -> i64 {
    faults().wall_offset_s
}

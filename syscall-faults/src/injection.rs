//! Decides which calls fail, and sets `errno` for the failing calls.

use crate::config::{FaultConfig, SyscallKind};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// The number that the random number generator splitmix64 adds to its state at each step.
const SPLITMIX_STEP: u64 = 0x9e37_79b9_7f4a_7c15;
/// The first factor of the mixing function of splitmix64.
const SPLITMIX_FACTOR_1: u64 = 0xbf58_476d_1ce4_e5b9;
/// The second factor of the mixing function of splitmix64.
const SPLITMIX_FACTOR_2: u64 = 0x94d0_49bb_1331_11eb;

struct FaultInjector {
    config: FaultConfig,
    random_state: AtomicU64,
}

impl FaultInjector {
    fn from_env() -> Self {
        let config = FaultConfig::from_env();
        let random_state = AtomicU64::new(config.seed);
        Self {
            config,
            random_state,
        }
    }

    /// Returns the injector of this process. The first call reads the environment.
    fn global() -> &'static Self {
        static INJECTOR: OnceLock<FaultInjector> = OnceLock::new();
        INJECTOR.get_or_init(Self::from_env)
    }

    /// Returns the next random number of splitmix64.
    fn random(&self) -> u64 {
        let state = self
            .random_state
            .fetch_add(SPLITMIX_STEP, Ordering::Relaxed);
        let mixed = (state ^ (state >> 30)).wrapping_mul(SPLITMIX_FACTOR_1);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(SPLITMIX_FACTOR_2);
        mixed ^ (mixed >> 31)
    }
}

/// Returns whether the present call, which is of this kind, is to fail. If so, sets `errno` to an error of the rule.
pub(crate) fn inject_error(kind: SyscallKind) -> bool {
    let injector = FaultInjector::global();
    let rule = injector.config.rule(kind);
    if rule.errors.is_empty() || injector.random() as f64 / u64::MAX as f64 >= rule.fraction {
        return false;
    }
    let error = rule.errors[injector.random() as usize % rule.errors.len()];
    // SAFETY: the address is that of this thread's own `errno`.
    unsafe { *libc::__errno_location() = error };
    true
}

/// Returns the number of seconds to add to the wall clock; may be negative.
pub(crate) fn wall_clock_offset_s() -> i64 {
    FaultInjector::global().config.wall_clock_offset_s
}

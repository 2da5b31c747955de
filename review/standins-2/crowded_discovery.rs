//! A watch ends instead of telling a drain, and calls for a new one fail because they have waited too long in line.

#[path = "common.rs"]
mod common;
#[path = "discovery_case.rs"]
mod discovery_case;

use common::*;
use discovery_case::{DRAINED, Fleet};

/// How long a call waits in line before it fails: `timeout_ms` of `[discovery]` in the site file.
const LINE_MS: u64 = 3000;
/// How long discovery has too many callers.
const CROWDED_S: f64 = 14.0;

fn main() {
    main_of(|case| {
        let fleet = Fleet::start(case)?;
        sleep_s(5.0);
        let drained_at = case.record.now();
        fleet.discovery.change(|state| {
            if case.has_trouble {
                state.mode = Mode::Crowded(LINE_MS);
                state.watch_generation += 1;
            }
        });
        fleet.discovery.set_states(&DRAINED, "Terminating");
        case.record.line(&format!("drained: {DRAINED:?}"));
        sleep_s(CROWDED_S);
        fleet.discovery.change(|state| state.mode = Mode::Sound);
        case.record.line("discovery has few callers again");
        sleep_s(6.0);
        // With the watch open the drain is told when it is written; otherwise "at the latest 6 s after discovery had it".
        let told_at = drained_at + if case.has_trouble { 6.0 } else { 0.0 };
        Ok(fleet.judge(case, told_at))
    });
}

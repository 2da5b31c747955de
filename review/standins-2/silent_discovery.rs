//! Discovery falls silent and stays silent, and nodes begin to drain meanwhile.

#[path = "common.rs"]
mod common;
#[path = "discovery_case.rs"]
mod discovery_case;

use common::*;
use discovery_case::{DRAINED, Fleet};

/// How long discovery is silent.
const SILENT_S: f64 = 40.0;

fn main() {
    main_of(|case| {
        let fleet = Fleet::start(case)?;
        sleep_s(5.0);
        let silent_at = case.record.now();
        if case.has_trouble {
            fleet.discovery.change(|state| state.mode = Mode::Silent);
            case.record.line("discovery falls silent");
        }
        sleep_s(2.0);
        let drained_at = case.record.now();
        fleet.discovery.set_states(&DRAINED, "Terminating");
        case.record.line(&format!("drained: {DRAINED:?}"));
        sleep_s(SILENT_S - 2.0);
        fleet.discovery.change(|state| state.mode = Mode::Sound);
        case.record.line("discovery speaks again");
        sleep_s(5.0);
        // The watch misses the drain, which counts as told "at the latest 6 s after it fell silent". The time begins
        // with the last line, which was written before `silent_at`, so this is in favour of the balancer.
        let told_at = if case.has_trouble {
            silent_at + 6.0
        } else {
            drained_at
        };
        Ok(fleet.judge(case, told_at))
    });
}

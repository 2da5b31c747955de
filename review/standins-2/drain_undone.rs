//! An operator drains a node; then the node's agent is cut off from the registry for longer than its lease.

#[path = "common.rs"]
mod common;
#[path = "registry_case.rs"]
mod registry_case;

use common::*;
use registry_case::{Agent, Path, Registry, Service, arrivals};
use std::process::Command;

const TTL_S: u32 = 4;
/// How long the agent is cut off.
const CUT_S: f64 = 6.0;
/// After its start a registry ends no lease for this long (`grace_s`).
const GRACE_S: f64 = 15.0;

fn main() {
    main_of(|case| {
        let registry = Registry::start(case, "")?;
        let path = Path::to(registry.write)?;
        let mut agents = vec![Agent::start(case, "s-0", path.address, TTL_S, 2)?];
        for uid in ["s-1", "s-2", "s-3"] {
            agents.push(Agent::start(case, uid, registry.write, TTL_S, 0)?);
        }
        for uid in ["s-0", "s-1", "s-2", "s-3"] {
            if !registry.wait_for(uid, "\"Ready\"", 5.0)? {
                return Ok((Verdict::CouldNotRun, format!("{uid} is not on the list")));
            }
        }
        let mut service = Service::start(case, &registry)?;
        sleep_s(GRACE_S + 1.0);
        let command = format!(
            "target/release/frostkeel drain s-0 --write {}",
            registry.write
        );
        let drained = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(&case.root)
            .output()?;
        let output = String::from_utf8_lossy(&drained.stdout).trim().to_owned();
        case.record.line(&format!("operator: {command}: {output}"));
        if !drained.status.success() {
            return Ok((
                Verdict::CouldNotRun,
                "the drain was not accepted".to_owned(),
            ));
        }
        let drained_ms = unix_ms();
        case.record
            .line(&format!("drained at Unix ms {drained_ms}"));
        sleep_s(2.0);
        if case.has_trouble {
            path.cut(true);
            case.record
                .line("the agent of s-0 is cut off from the registry");
        }
        sleep_s(CUT_S);
        path.cut(false);
        case.record.line("the agent of s-0 reaches the registry");
        sleep_s(8.0);
        let entry = registry.entry("s-0")?;
        case.record
            .line(&format!("the list says of s-0: {entry:?}"));
        service.end(case);
        drop(agents);
        // Told when the registry has written it to the watch, which is at most some milliseconds after the answer; 1 s of
        // grace; 0.05 s of slack; 0.5 s in favour of all programs.
        let limit_ms = drained_ms + 1550;
        let arrived = arrivals(case);
        let late = arrived
            .iter()
            .filter(|(at, uid, ..)| uid == "s-0" && *at > limit_ms);
        let late: Vec<u64> = late.map(|(at, ..)| at - drained_ms).collect();
        if arrived.len() < 100 {
            return Ok((Verdict::CouldNotRun, "too few requests arrived".to_owned()));
        }
        Ok(match late.first() {
            Some(first) => (
                Verdict::Broken,
                format!(
                    "{} new requests at the drained node, from {:.1} s after the drain was accepted; the list says {}",
                    late.len(),
                    *first as f64 / 1e3,
                    entry.unwrap_or_default()
                ),
            ),
            None => (
                Verdict::Held,
                format!(
                    "no new request at the drained node, {} arrivals",
                    arrived.len()
                ),
            ),
        })
    });
}

//! Tests the checks of the lab on real processes: each check fails on a balancer that violates its
//! rule, and no check fails on a balancer that violates none.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

#[path = "common/folder.rs"]
mod folder;
#[path = "common/misbehavior.rs"]
mod misbehavior;

use folder::empty_folder;
use frostkeel_lab::checks::Rule;
use misbehavior::Misbehavior;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;

/// An experiment that replaces an upstream after 1.5 s: one is drained, and its successor is in slow
/// start. Both balancers are asked to shut down at the end. The rate of the load is too low to
/// overload the successor, except where that is the misbehavior.
const EXPERIMENT: &str = "name = \"bad\"\nseconds = 6.0\nseed = 2\n[fleet]\nbalancers = 2\n\
    upstreams = 4\nmemory_mb = 80\n[load]\nrate = RATE\nretries = 0\nswing = 0.0\n[discovery]\n\
    notice_s = 0.1\n[[fault]]\nat_s = 1.5\nkind = \"replace\"\ntarget = \"u0\"\nbatch = 1\n\
    every_s = 1.0\ndrain_s = 1.0\n";

/// The files that a run has written.
struct RunFiles {
    /// The contents of `result.json`.
    result: Value,
    /// The contents of `events.jsonl`, one event a line.
    events: String,
}

fn run(misbehavior: Misbehavior) -> RunFiles {
    let name = misbehavior.name();
    let folder = empty_folder(&format!("bad-{name}"));
    let file = folder.join("bad.toml");
    let rate = match misbehavior {
        Misbehavior::OverloadsSlowStart => "40.0",
        _ => "12.0",
    };
    std::fs::write(&file, EXPERIMENT.replace("RATE", rate)).expect("written");
    let frostkeel = Path::new(env!("CARGO_BIN_EXE_frostkeel"));
    let balancer: PathBuf = frostkeel.with_file_name("examples").join("bad_balancer");
    let output = Command::new(frostkeel)
        .args(["lab", "run"])
        .arg(&file)
        .arg("--balancer")
        .arg(&balancer)
        .arg("--out")
        .arg(&folder)
        .env("MISBEHAVIOR", name)
        .output()
        .expect("frostkeel starts");
    let result = std::fs::read_to_string(folder.join("result.json"));
    let stderr = String::from_utf8_lossy(&output.stderr);
    let result = result.unwrap_or_else(|e| panic!("{name}: {e}: {stderr}"));
    RunFiles {
        result: serde_json::from_str(&result).expect("a result"),
        events: std::fs::read_to_string(folder.join("events.jsonl")).expect("events"),
    }
}

/// Returns the rule that a misbehavior violates. A balancer that ignores shutdown is killed, which violates no rule.
fn violated_rule(misbehavior: Misbehavior) -> Option<Rule> {
    match misbehavior {
        Misbehavior::Nothing | Misbehavior::IgnoresShutdown => None,
        Misbehavior::ClosesWithoutResponse => Some(Rule::ExactlyOneResponse),
        Misbehavior::RespondsByItself => Some(Rule::ServedByUpstream),
        Misbehavior::SendsTwice => Some(Rule::AtMostOnce),
        Misbehavior::ExceedsAttemptLimit => Some(Rule::AttemptLimit),
        Misbehavior::IgnoresDrains => Some(Rule::DrainRespected),
        Misbehavior::OverloadsSlowStart => Some(Rule::SlowStartRespected),
        Misbehavior::Crashes | Misbehavior::ExceedsMemory => Some(Rule::ProcessHealthy),
    }
}

/// Returns the names of the violated rules, each once, as they are in the result.
fn violated_rules(result: &Value) -> Vec<Value> {
    let violations = result["broken"].as_array().expect("a list");
    let mut rules: Vec<Value> = violations.iter().map(|v| v["rule"].clone()).collect();
    rules.sort_by_key(Value::to_string);
    rules.dedup();
    rules
}

#[test]
fn each_check_fails_on_a_process_that_violates_its_rule() {
    std::thread::scope(|scope| {
        let shuts_down = |misbehavior: &Misbehavior| *misbehavior != Misbehavior::IgnoresShutdown;
        for misbehavior in Misbehavior::ALL.into_iter().filter(shuts_down) {
            scope.spawn(move || {
                let result = run(misbehavior).result;
                let name = |rule: Rule| serde_json::to_value(rule).expect("a name");
                let expected = Vec::from_iter(violated_rule(misbehavior).map(name));
                let first = &result["broken"][0];
                assert_eq!(
                    violated_rules(&result),
                    expected,
                    "{misbehavior:?}: {first}"
                );
            });
        }
    });
}

/// The lab sends SIGKILL to balancers that ignore SIGTERM, so that the run ends and both balancers have ended.
#[test]
fn a_child_that_ignores_shutdown_is_killed() {
    let RunFiles { result, events } = run(Misbehavior::IgnoresShutdown);
    assert_eq!(violated_rules(&result), Vec::<Value>::new());
    let state_count = |state: &str| {
        let state = format!("\"became\":\"{state}\"");
        let of_balancers = events.lines().filter(|line| line.contains("\"balancer\":"));
        of_balancers.filter(|line| line.contains(&state)).count()
    };
    let counts = (
        state_count("asked"),
        state_count("killed"),
        state_count("ended"),
    );
    assert_eq!(
        counts,
        (2, 2, 2),
        "expected both balancers to be asked to end, killed, and ended"
    );
}

//! Each check of the lab is seen to fail on a real process that breaks its rule, and on one that breaks none it is not.

use std::path::{Path, PathBuf};
use std::process::Command;

/// A drain and a cold successor after 1.5 s, and two balancers that are asked to leave at the end. Only a load that is
/// meant to can push the successor over.
const EXPERIMENT: &str = "name = \"bad\"\nseconds = 6.0\nseed = 2\n[fleet]\nbalancers = 2\nupstreams = 4\n\
    memory_mb = 80\n[load]\nrate = RATE\nretries = 0\nswing = 0.0\n[discovery]\nnotice_s = 0.1\n\
    [[fault]]\nat_s = 1.5\nkind = \"replace\"\ntarget = \"u0\"\nbatch = 1\nevery_s = 1.0\ndrain_s = 1.0\n";

fn played(breaks: &str) -> (serde_json::Value, String) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("bad-{breaks}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("bad.toml");
    let rate = if breaks == "cold-spared" {
        "40.0"
    } else {
        "12.0"
    };
    std::fs::write(&file, EXPERIMENT.replace("RATE", rate)).expect("written");
    let frostkeel = Path::new(env!("CARGO_BIN_EXE_frostkeel"));
    let bad: PathBuf = frostkeel.with_file_name("examples").join("bad_balancer");
    let done = Command::new(frostkeel)
        .args(["lab", "run"])
        .args([
            file.as_os_str(),
            "--balancer".as_ref(),
            bad.as_os_str(),
            "--out".as_ref(),
            folder.as_os_str(),
        ])
        .env("BREAKS", breaks)
        .output()
        .expect("it starts");
    let result = std::fs::read_to_string(folder.join("result.json"));
    let result = result
        .unwrap_or_else(|e| panic!("{breaks}: {e}: {}", String::from_utf8_lossy(&done.stderr)));
    let events = std::fs::read_to_string(folder.join("events.jsonl")).expect("events");
    (serde_json::from_str(&result).expect("a result"), events)
}

/// The rules that were broken, each once.
fn rules(result: &serde_json::Value) -> Vec<String> {
    let broken = result["broken"].as_array().expect("a list").iter();
    let mut rules: Vec<String> = broken
        .filter_map(|b| b["rule"].as_str().map(str::to_owned))
        .collect();
    rules.sort();
    rules.dedup();
    rules
}

#[test]
fn each_check_is_seen_to_fail_on_a_process_that_breaks_its_rule() {
    let cases = [
        ("nothing", None),
        ("one-answer", Some("one-answer")),
        ("truly-served", Some("truly-served")),
        ("never-twice", Some("never-twice")),
        ("three-attempts", Some("three-attempts")),
        ("drained", Some("drained")),
        ("cold-spared", Some("cold-spared")),
        ("crash", Some("sound")),
        ("memory", Some("sound")),
    ];
    std::thread::scope(|scope| {
        for (breaks, rule) in cases {
            scope.spawn(move || {
                let (result, _) = played(breaks);
                assert_eq!(
                    rules(&result),
                    Vec::from_iter(rule),
                    "{breaks}: {}",
                    result["broken"][0]
                );
            });
        }
    });
}

/// SIGKILL follows where SIGTERM is not heeded: the lab ends all the same, and leaves nobody.
#[test]
fn a_child_that_does_not_leave_is_killed() {
    let (result, events) = played("stays");
    assert_eq!(rules(&result), Vec::<String>::new());
    let became = |what: &str| {
        let what = format!("\"became\":\"{what}\"");
        events
            .lines()
            .filter(|line| line.contains("\"balancer\":") && line.contains(&what))
            .count()
    };
    assert_eq!(
        (became("asked"), became("killed"), became("ended")),
        (2, 2, 2),
        "both had to be killed"
    );
}

//! The lab by its command line, with the real balancer as children.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const FROSTKEEL: &str = env!("CARGO_BIN_EXE_frostkeel");

fn frostkeel(arguments: &[&str]) -> Output {
    Command::new(FROSTKEEL)
        .args(arguments)
        .output()
        .expect("it starts")
}

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Plays an experiment; returns the folder with its results, what it said, and its result.
fn played(experiment: &str) -> (PathBuf, String, serde_json::Value) {
    let out = folder(experiment);
    let file = format!(
        "{}/../lab/experiments/{experiment}.toml",
        env!("CARGO_MANIFEST_DIR")
    );
    let done = frostkeel(&["lab", "run", &file, "--out", out.to_str().expect("a path")]);
    let said = String::from_utf8_lossy(&done.stdout).into_owned();
    let result = std::fs::read_to_string(out.join("result.json")).expect(&said);
    let result = serde_json::from_str(&result).expect("a result");
    (out, said, result)
}

/// Guards the whole way: children start, are killed and come back, requests are answered, no rule is broken, and the
/// report says so. How late a busy machine made the lab is no part of the verdict.
#[test]
fn a_short_play_with_faults_keeps_every_rule() {
    let (out, said, result) = played("balancer-short");
    assert_eq!(result["broken"], serde_json::json!([]), "{said}");
    let asked = result["figures"]["classes"].as_array().expect("classes");
    let asked: u64 = asked
        .iter()
        .filter_map(|class| class["asked"].as_u64())
        .sum();
    assert!(asked > 150, "{asked} requests of some 240 drawn");
    let events = std::fs::read_to_string(out.join("events.jsonl")).expect("events");
    for (what, least) in [
        ("\"what\":\"fault\"", 3),
        ("\"became\":\"killed\"", 2),
        ("\"what\":\"arrived\"", 100),
    ] {
        assert!(
            events.matches(what).count() >= least,
            "{what} in the events"
        );
    }
    assert!(
        std::fs::read_to_string(out.join("report.html"))
            .expect("a page")
            .contains("<svg")
    );
}

/// Guards requests that come while a balancer stands still, on connections whose time is over when it wakes.
#[test]
fn a_balancer_that_stood_still_answers_what_came_meanwhile() {
    let (out, said, result) = played("balancer-stopped");
    assert_eq!(result["broken"], serde_json::json!([]), "{said}");
    let events = std::fs::read_to_string(out.join("events.jsonl")).expect("events");
    assert_eq!(
        events.matches("\"became\":\"released\"").count(),
        2,
        "two were stopped"
    );
}

/// Guards the whole way of membership: real balancers find each other, know of a kill and of a leave, show their views, and
/// serve meanwhile.
#[test]
fn balancers_know_of_a_kill_and_of_a_leave() {
    let out = folder("members");
    let file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../lab/experiments/membership-short.toml"
    );
    let mut lab = Command::new(FROSTKEEL)
        .args(["lab", "run", file, "--out", out.to_str().expect("a path")])
        .stdout(std::process::Stdio::null())
        .spawn()
        .expect("it starts");
    let pages = out.join("pages");
    let pages = pages.to_str().expect("a path");
    let start = std::time::Instant::now();
    let shown = loop {
        let shown = frostkeel(&["members", "--all", "--file", pages]);
        let said = String::from_utf8_lossy(&shown.stdout).into_owned();
        // As long as the play runs; what is judged is what it says of itself at its end.
        if said.contains("all views are alike") || lab.try_wait().expect("a child").is_some() {
            break said;
        }
        assert!(start.elapsed().as_secs() < 60, "in vain: {said}");
        std::thread::sleep(std::time::Duration::from_millis(50));
    };
    lab.wait().expect("ended");
    assert!(shown.contains("all views are alike"), "{shown}");
    let result = std::fs::read_to_string(out.join("result.json")).expect("a result");
    let result: serde_json::Value = serde_json::from_str(&result).expect("a result");
    assert_eq!(result["broken"], serde_json::json!([]));
    let members = &result["members"];
    assert_eq!(
        (&members["kills"], &members["leaves"], &members["unknown"]),
        (&1.into(), &1.into(), &0.into())
    );
    assert_eq!(
        (&members["left_as_gone"], &members["unequal"]),
        (&0.into(), &0.into()),
        "{members}"
    );
}

#[test]
fn what_cannot_be_meant_is_refused_with_file_line_and_reason() {
    let file = folder("refused").join("wrong.toml");
    let text = "name = \"x\"\nseconds = 5.0\n[fleet]\nbalancers = 0\nupstreams = 1\n";
    std::fs::write(&file, text).expect("written");
    let done = frostkeel(&["lab", "check", file.to_str().expect("a path")]);
    let said = String::from_utf8_lossy(&done.stderr);
    assert!(!done.status.success());
    assert!(
        said.contains("wrong.toml: line 3: balancers is 0"),
        "{said}"
    );
}

/// A lab that is killed outright must leave nobody behind.
#[test]
fn children_end_when_the_lab_is_killed() {
    let out = folder("killed");
    let file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../lab/experiments/balancer-short.toml"
    );
    let mut lab = Command::new(FROSTKEEL)
        .args(["lab", "run", file, "--out", out.to_str().expect("a path")])
        .stdout(std::process::Stdio::null())
        .spawn()
        .expect("it starts");
    let config = out.join("b1.json");
    let children = || -> Vec<PathBuf> {
        let config = config.to_str().expect("a path");
        let processes = std::fs::read_dir("/proc")
            .expect("processes")
            .filter_map(Result::ok);
        let named = |path: &PathBuf| {
            std::fs::read(path.join("environ"))
                .is_ok_and(|e| String::from_utf8_lossy(&e).contains(config))
        };
        processes.map(|p| p.path()).filter(named).collect()
    };
    let until = |what: &str, holds: &dyn Fn() -> bool| {
        let start = std::time::Instant::now();
        while !holds() {
            assert!(start.elapsed().as_secs() < 30, "in vain: {what}");
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    };
    until("a balancer serves", &|| {
        std::fs::read_to_string(out.join("b1.log")).is_ok_and(|log| log.contains("listen="))
    });
    assert_eq!(children().len(), 1);
    lab.kill().expect("killed");
    lab.wait().expect("ended");
    until("the balancer has ended", &|| children().is_empty());
}

//! Tests `frostkeel lab` and `frostkeel members` with the real balancer program as child processes.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

#[path = "common/command.rs"]
mod command;
#[path = "common/folder.rs"]
mod folder;

use command::{FROSTKEEL, run_frostkeel};
use folder::empty_folder;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The results of an experiment that was run to its end.
struct Run {
    /// The folder with the files that the run has written.
    folder: PathBuf,
    /// The standard output.
    printed: String,
    /// The contents of `result.json`.
    result: serde_json::Value,
}

impl Run {
    fn events(&self) -> String {
        std::fs::read_to_string(self.folder.join("events.jsonl")).expect("events")
    }
}

fn experiment_file(name: &str) -> String {
    let crate_folder = env!("CARGO_MANIFEST_DIR");
    format!("{crate_folder}/../lab/experiments/{name}.toml")
}

/// Starts an experiment without waiting for its end.
fn start_experiment(name: &str, out: &Path) -> Child {
    let file = experiment_file(name);
    Command::new(FROSTKEEL)
        .args(["lab", "run", &file, "--out", out.to_str().expect("a path")])
        .stdout(Stdio::null())
        .spawn()
        .expect("frostkeel starts")
}

fn run_experiment(name: &str) -> Run {
    let folder = empty_folder(name);
    let file = experiment_file(name);
    let out = folder.to_str().expect("a path");
    let output = run_frostkeel(&["lab", "run", &file, "--out", out]);
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    let result = std::fs::read_to_string(folder.join("result.json")).expect(&printed);
    let result = serde_json::from_str(&result).expect("a result");
    Run {
        folder,
        printed,
        result,
    }
}

/// Checks a complete run: balancers start, are killed and restarted, requests receive responses, no rule is violated,
/// and the report is written. A run that is void because the machine is busy passes too.
#[test]
fn short_experiment_with_faults_keeps_every_rule() {
    let run = run_experiment("balancer-short");
    assert_eq!(
        run.result["broken"],
        serde_json::json!([]),
        "{}",
        run.printed
    );
    let classes = run.result["figures"]["classes"]
        .as_array()
        .expect("classes");
    let requests = classes.iter().filter_map(|class| class["asked"].as_u64());
    let request_count: u64 = requests.sum();
    assert!(
        request_count > 150,
        "expected over 150 of about 240 requests to be sent, got {request_count}"
    );
    let events = run.events();
    for (event, min_count) in [
        ("\"what\":\"fault\"", 3),
        ("\"became\":\"killed\"", 2),
        ("\"what\":\"arrived\"", 100),
    ] {
        assert!(
            events.matches(event).count() >= min_count,
            "expected at least {min_count} events with {event}"
        );
    }
    let report = std::fs::read_to_string(run.folder.join("report.html")).expect("a page");
    assert!(report.contains("<svg"));
}

/// Checks that no rule is violated by requests that arrive while a balancer is paused, on connections whose timeouts
/// have passed when it resumes.
#[test]
fn paused_balancer_responds_to_requests_that_arrived_during_the_pause() {
    let run = run_experiment("balancer-stopped");
    assert_eq!(
        run.result["broken"],
        serde_json::json!([]),
        "{}",
        run.printed
    );
    let resumed = run.events().matches("\"became\":\"released\"").count();
    assert_eq!(
        resumed, 2,
        "expected two balancers to be paused and resumed"
    );
}

/// Checks membership with real balancers: they discover each other, detect a kill and a graceful leave, show equal
/// views, and serve requests throughout.
#[test]
fn balancers_detect_a_kill_and_a_graceful_leave() {
    let out = empty_folder("members");
    let mut lab = start_experiment("membership-short", &out);
    let pages = out.join("pages");
    let pages = pages.to_str().expect("a path");
    let start = std::time::Instant::now();
    let views = loop {
        let output = run_frostkeel(&["members", "--all", "--file", pages]);
        let views = String::from_utf8_lossy(&output.stdout).into_owned();
        // The views may differ while balancers start. Errors of the run itself are checked after its end.
        if views.contains("all views are equal") || lab.try_wait().expect("a child").is_some() {
            break views;
        }
        assert!(start.elapsed().as_secs() < 60, "timed out: {views}");
        std::thread::sleep(std::time::Duration::from_millis(50));
    };
    lab.wait().expect("ended");
    assert!(views.contains("all views are equal"), "{views}");
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
fn rejects_invalid_experiment_with_file_line_and_reason() {
    let file = empty_folder("rejected").join("wrong.toml");
    let text = "name = \"x\"\nseconds = 5.0\n[fleet]\nbalancers = 0\nupstreams = 1\n";
    std::fs::write(&file, text).expect("written");
    let output = run_frostkeel(&["lab", "check", file.to_str().expect("a path")]);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(
        error.contains("wrong.toml: line 3: balancers must be between 1 and 300, got 0\n"),
        "{error}"
    );
}

/// Checks that the child processes of a lab end when the lab is killed.
#[test]
fn children_end_when_the_lab_is_killed() {
    let out = empty_folder("killed");
    let mut lab = start_experiment("balancer-short", &out);
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
    let wait_until = |what: &str, condition: &dyn Fn() -> bool| {
        let start = std::time::Instant::now();
        while !condition() {
            assert!(start.elapsed().as_secs() < 30, "timed out: {what}");
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    };
    wait_until("a balancer serves", &|| {
        std::fs::read_to_string(out.join("b1.log")).is_ok_and(|log| log.contains("listen="))
    });
    assert_eq!(children().len(), 1);
    lab.kill().expect("killed");
    lab.wait().expect("ended");
    wait_until("the balancer has ended", &|| children().is_empty());
}

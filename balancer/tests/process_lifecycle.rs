//! Start, reload and exit of the balancer process.

mod common;

use common::{
    Behavior, Discovery, READINESS_REQUEST, TestConfig, Upstream, at_most_once_request,
    endpoint_json, endpoint_list_json, wait_until,
};
use std::process::{Command, Stdio};
use std::time::Duration;

/// After SIGTERM, the balancer must report that it is not ready, close each connection after its
/// next response, send a final response to each request in flight, and exit.
#[test]
fn shutdown_answers_all_accepted_requests() {
    let upstream = Upstream::start(Behavior::NeverRespond);
    let mut config = TestConfig::with_upstreams(&[upstream.address]);
    config.deadline_and_objective_ms = 60_000;
    let mut process = config.start();
    let (mut waiting, mut idle) = (process.connect(), process.connect());
    assert_eq!(idle.exchange(READINESS_REQUEST).status(), 200);
    waiting.write(&at_most_once_request(60_000, "x"));
    wait_until("the upstream has the request", || {
        upstream.request_count() == 1
    });
    process.terminate();
    wait_until("the balancer is no longer ready", || {
        let response = process.connect().exchange(READINESS_REQUEST);
        let status = response.status();
        assert!(status == 200 || response.header("connection") == Some("close"));
        status == 503
    });
    let response = waiting
        .read_response()
        .expect("a response before the balancer exits");
    assert!(
        ![200, 429, 503].contains(&response.status()),
        "the request may have run, but the status says otherwise: {response:?}"
    );
    assert!(idle.is_closed_without_data(), "idle connections are closed");
    assert!(process.wait_for_exit().success());
}

/// A reload at SIGHUP must not interrupt the service. After it, updates come from discovery's new
/// address. An unreadable configuration file must change nothing.
#[test]
fn reload_follows_discovery_to_its_new_address() {
    let upstream = Upstream::healthy();
    let (discovery, moved_discovery) = (Discovery::start(), Discovery::start());
    let mut config = TestConfig::with_upstreams(&[]);
    config.discovery = discovery.address;
    config.watches_discovery_directly = true;
    let mut process = config.start();
    let mut client = process.connect();
    let request = at_most_once_request(5000, "x");
    let watch = discovery.next_watch();
    let ready = endpoint_json("s-0", upstream.address, "Ready");
    watch.send(&endpoint_list_json(5, true, &[ready]));
    wait_until("the list has arrived", || {
        client.exchange(&request).status() == 200
    });
    process.reload("{");
    assert_eq!(client.exchange(&request).status(), 200);
    config.discovery = moved_discovery.address;
    process.reload(&config.to_json());
    let watch = moved_discovery.next_watch();
    let target = &watch.target;
    assert!(
        target.contains("stream=1") && target.contains("index=5"),
        "{target}"
    );
    let drain = endpoint_json("s-0", upstream.address, "Terminating");
    watch.send(&endpoint_list_json(6, false, &[drain]));
    wait_until("the update has arrived", || {
        client.exchange(&request).status() == 503
    });
    assert!(process.is_running());
}

fn balancer_command() -> Command {
    Command::new(env!("CARGO_BIN_EXE_frostkeel-balancer"))
}

/// A balancer with an invalid configuration must not start, and its error must name the setting.
#[test]
fn startup_error_names_the_invalid_setting() {
    let name = format!("frostkeel-balancer-bad-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    let valid = TestConfig::with_upstreams(&[]).to_json();
    for (from, to, named) in [
        ("idempotent", "perhaps", "perhaps"),
        ("\"seed\"", "\"seeds\"", "seed"),
        ("\"balancers\":1", "\"balancers\":0", "balancers"),
        ("{", "[", "frostkeel-balancer:"),
    ] {
        std::fs::write(&path, valid.replacen(from, to, 1)).unwrap();
        let mut command = balancer_command();
        command.env("NODE_CONFIG", &path).stderr(Stdio::piped());
        let output = command.output().unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && error.contains(named),
            "the error must name {named}: {error}"
        );
    }
    std::fs::remove_file(&path).unwrap();
    let without_config = balancer_command().env_remove("NODE_CONFIG").output();
    assert!(!without_config.unwrap().status.success());
}

/// Guards against a balancer that ends because nobody reads its log any more.
#[test]
fn serves_on_when_the_reader_of_its_log_has_ended() {
    let name = format!("frostkeel-balancer-log-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    // Discovery is unreachable, so the balancer logs a failed watch several times a second.
    std::fs::write(&path, TestConfig::with_upstreams(&[]).to_json()).unwrap();
    let mut command = balancer_command();
    command.env("NODE_CONFIG", &path).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    drop(child.stderr.take());
    std::thread::sleep(Duration::from_secs(2));
    let ended = child.try_wait().unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(ended.is_none(), "the balancer has ended: {ended:?}");
}

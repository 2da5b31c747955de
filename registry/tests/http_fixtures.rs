//! Compares the bytes of the service's responses with those that Git revision d26284e sent. See
//! `data/README.md`.

#![expect(clippy::expect_used, reason = "a test helper fails by panicking")]

mod support;

use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};
use support::{
    TestService, Watch, assert_recorded, connect, data, exchange, expect_ok, mask_dates, new_folder,
};

/// All limits and lease settings. The grace period is so long that no endpoint is removed because
/// of its lease during a test.
const CONFIG_TABLES: &str = "[limits]\ncalls = 8\nwatches = 2\nwrites = 8\nentries = 4\nchanges = 1000\n[leases]\nlapse_share = 0.5\ngrace_s = 3600.0\n";

fn step_names(folder: &Path) -> Vec<String> {
    let files = fs::read_dir(folder).expect("the recorded requests");
    let names = files.map(|file| {
        file.expect("a file")
            .file_name()
            .into_string()
            .expect("text")
    });
    let mut steps: Vec<String> = names
        .filter_map(|name| name.strip_suffix(".request").map(str::to_owned))
        .collect();
    steps.sort();
    steps
}

/// Sends all recorded requests to one service in the order of their names, each on a new
/// connection.
#[test]
fn each_recorded_request_gets_the_recorded_response() {
    let service = TestService::start(&new_folder("http-responses"), CONFIG_TABLES);
    let steps = step_names(&data("responses"));
    assert_eq!(steps.len(), 77, "recorded requests");
    for step in steps {
        let request =
            fs::read(data("responses").join(format!("{step}.request"))).expect("a request");
        let address = if step.contains("-read-") {
            service.read
        } else {
            service.write
        };
        let response = mask_dates(&exchange(address, &request));
        assert_recorded(&data(&format!("responses/{step}.response")), &response);
    }
}

const U1_REGISTRATION: &str =
    r#"{"endpoint":"10.0.0.1:80","boot_ms":100,"ttl_s":60,"az":"a","model":"m"}"#;
const U2_REGISTRATION: &str =
    r#"{"endpoint":"10.0.0.2:80","boot_ms":200,"ttl_s":60,"az":"b","model":"m"}"#;

/// Registers, changes and removes endpoints, and calls `on_change` after each request.
fn change_endpoints(service: &TestService, mut on_change: impl FnMut()) {
    for (head, body) in [
        ("PUT /upstreams/u1", U1_REGISTRATION),
        ("PUT /upstreams/u2", U2_REGISTRATION),
        ("POST /upstreams/u1/drain", ""),
        ("PUT /upstreams/u2/weight", r#"{"capacity_hint":0.25}"#),
        // This endpoint has the address of u2 and replaces it: two changes in one line of a watch.
        (
            "PUT /upstreams/u0",
            r#"{"endpoint":"10.0.0.2:80","boot_ms":300,"ttl_s":60}"#,
        ),
        ("DELETE /upstreams/u1", r#"{"boot_ms":100}"#),
        ("PUT /upstreams/u1", U1_REGISTRATION),
    ] {
        expect_ok(&service.write(head, body));
        on_change();
    }
}

#[test]
fn a_watch_gets_the_recorded_lines() {
    let service = TestService::start(&new_folder("http-watch"), CONFIG_TABLES);
    let mut watch = Watch::open(&service, "stream=1&index=0");
    watch.read_updates(1);
    let mut updates = 1;
    change_endpoints(&service, || {
        updates += 1;
        watch.read_updates(updates);
    });
    watch.read_empty_line();
    assert_recorded(&data("watch/from-empty.response"), &watch.masked());
    drop(watch);

    for (name, query, updates) in [
        ("without-index", "stream=1", 1),
        ("from-older-revision", "stream=1&index=3", 1),
        ("from-first-revision", "index=1&stream=1", 1),
        ("from-later-revision", "stream=1&index=99", 1),
        ("malformed-index", "stream=1&index=x", 1),
        ("from-current-revision", "stream=1&index=8", 0),
    ] {
        let mut watch = Watch::open(&service, query);
        watch.read_updates(updates);
        watch.read_empty_line();
        assert_recorded(&data(&format!("watch/{name}.response")), &watch.masked());
    }
}

#[test]
fn a_watch_beyond_the_limit_gets_the_recorded_rejection() {
    let service = TestService::start(&new_folder("http-watch-limit"), CONFIG_TABLES);
    let mut watches = [0; 2].map(|_| Watch::open(&service, "stream=1&index=0"));
    watches.iter_mut().for_each(|watch| watch.read_updates(1));
    let request = "GET /registry/instances?stream=1&index=0";
    let response = exchange(service.read, &support::request(request, ""));
    assert_recorded(&data("watch/beyond-limit.response"), &mask_dates(&response));
}

#[test]
fn a_watch_from_a_compacted_revision_gets_a_snapshot() {
    let tables = CONFIG_TABLES.replace("changes = 1000", "changes = 2");
    let folder = new_folder("http-watch-compacted");
    let service = TestService::start(&folder, &tables);
    change_endpoints(&service, || {});
    for (name, index) in [("compacted-revision", 5), ("retained-revision", 6)] {
        let mut watch = Watch::open(&service, &format!("stream=1&index={index}"));
        watch.read_updates(1);
        assert_recorded(&data(&format!("watch/{name}.response")), &watch.masked());
    }
    drop(service);
    let service = TestService::start(&folder, &tables);
    let mut watch = Watch::open(&service, "stream=1&index=7");
    watch.read_updates(1);
    assert_recorded(&data("watch/from-before-restart.response"), &watch.masked());
}

#[test]
fn an_expired_lease_is_published_as_recorded() {
    let tables = CONFIG_TABLES.replace("grace_s = 3600.0", "grace_s = 0");
    let service = TestService::start(&new_folder("http-lease"), &tables);
    let mut watch = Watch::open(&service, "stream=1&index=0");
    watch.read_updates(1);
    expect_ok(&service.write("PUT /upstreams/u1", &U1_REGISTRATION.replace("60", "1")));
    watch.read_updates(3);
    assert_recorded(&data("watch/lease-ended.response"), &watch.masked());
}

#[test]
fn the_status_reports_self_preservation_as_recorded() {
    let service = TestService::start(&new_folder("http-retained"), CONFIG_TABLES);
    expect_ok(&service.write("PUT /upstreams/u1", &U1_REGISTRATION.replace("60", "1")));
    let start = Instant::now();
    loop {
        // A new lease duration is committed, which updates the gauges, but does not change the
        // revision.
        for ttl_s in ["60", "61"] {
            expect_ok(&service.write("PUT /upstreams/u2", &U2_REGISTRATION.replace("60", ttl_s)));
        }
        let status = service.write("GET /status", "");
        if status.windows(12).any(|window| window == b"\"holds\":true") {
            assert_recorded(&data("retained-status.response"), &mask_dates(&status));
            break;
        }
        assert!(
            start.elapsed() < Duration::from_secs(30),
            "{}",
            status.escape_ascii()
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_request_without_its_body_times_out_as_recorded() {
    use std::io::{Read, Write};
    let service = TestService::start(&new_folder("http-body-timeout"), CONFIG_TABLES);
    let mut stream = connect(service.write);
    stream
        .write_all(b"PUT /upstreams/u1 HTTP/1.1\r\nhost: registry\r\ncontent-length: 9\r\n\r\n{")
        .expect("sent");
    let mut response = Vec::new();
    stream
        .read_to_end(&mut response)
        .expect("closed by the service");
    assert_recorded(&data("body-timeout.response"), &mask_dates(&response));
}

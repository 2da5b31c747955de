//! Compares what the service persists and recovers with folders that Git revision d26284e wrote.
//! The folders are those of the store's tests: see `../store/tests/data/README.md`.

#![expect(clippy::expect_used, reason = "a test helper fails by panicking")]

mod support;

use frostkeel_store::{Owner, Store, StoredRecord};
use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use support::{TestService, Watch, assert_recorded, data, expect_ok, mask_dates, new_folder};

const CONFIG_TABLES: &str = "[leases]\ngrace_s = 3600\n";

fn store_data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../store/tests/data")
        .join(name)
}

/// Registers endpoints with several lease durations, then drains, removes and replaces some of them
/// and changes the weights of others.
fn write_endpoints(service: &TestService) {
    for n in 1..=12 {
        let ttl_s = ["10", "1.5", "3600", "90.125"][n % 4];
        let body = format!(
            r#"{{"endpoint":"10.0.0.{n}:80","boot_ms":{n}000,"ttl_s":{ttl_s},"az":"zone-{}","model":"m{}","pod_group":{n}}}"#,
            n % 3,
            n % 2
        );
        expect_ok(&service.write(&format!("PUT /upstreams/u{n:02}"), &body));
    }
    for (head, body) in [
        ("POST /upstreams/u02/drain", ""),
        ("POST /upstreams/u03/drain", ""),
        ("PUT /upstreams/u04/weight", r#"{"capacity_hint":0.1}"#),
        ("PUT /upstreams/u05/weight", r#"{"capacity_hint":1000000}"#),
        ("DELETE /upstreams/u06", ""),
        ("DELETE /upstreams/u07", r#"{"boot_ms":7000}"#),
        (
            "PUT /upstreams/u07",
            r#"{"endpoint":"[::1]:7","boot_ms":7001,"ttl_s":7}"#,
        ),
        (
            "PUT /upstreams/u08",
            r#"{"endpoint":"10.0.1.8:80","boot_ms":8001,"ttl_s":8}"#,
        ),
        (
            "PUT /upstreams/later",
            r#"{"endpoint":"10.0.0.9:80","boot_ms":9001,"ttl_s":9,"az":"zône \"b\"","model":"m\\2"}"#,
        ),
        ("POST /upstreams/u10/renew", r#"{"boot_ms":10000}"#),
        ("DELETE /upstreams/u11", ""),
    ] {
        expect_ok(&service.write(head, body));
    }
}

fn clone_folder(from: &Path, to: &Path) {
    fs::create_dir_all(to).expect("a folder");
    fs::copy(from.join("list.redb"), to.join("list.redb")).expect("copied");
}

/// Returns the revision and the entries of a store's folder, as text.
fn persisted(folder: &Path) -> Vec<u8> {
    let owner = Owner {
        fleet: "fixtures".into(),
        process: "r0".into(),
    };
    let (_store, persisted) = Store::open(folder, &owner).expect("its own folder");
    let mut text = format!("version {}\n", persisted.revision).into_bytes();
    for StoredRecord { key, value } in persisted.records {
        text.extend_from_slice(format!("{key}\t").as_bytes());
        text.extend_from_slice(&value);
        text.push(b'\n');
    }
    text
}

#[test]
fn the_service_persists_the_recorded_entries() {
    let folder = new_folder("store-written");
    let service = TestService::start(&folder, CONFIG_TABLES);
    write_endpoints(&service);
    drop(service);
    assert_recorded(&store_data("records.txt"), &persisted(&folder));
}

/// The folder `closed` was copied after the service had stopped, `killed` while it was running.
#[test]
fn the_service_recovers_the_recorded_folders() {
    for written in ["closed", "killed"] {
        let folder = new_folder(&format!("store-{written}"));
        clone_folder(&store_data(written), &folder);
        let service = TestService::start(&folder, CONFIG_TABLES);
        let list = mask_dates(&service.read("GET /registry/instances"));
        assert_recorded(&data("recovered/list.response"), &list);
        let status = mask_dates(&service.write("GET /status", ""));
        assert_recorded(&data("recovered/status.response"), &status);
        let mut watch = Watch::open(&service, "stream=1&index=20");
        watch.read_updates(1);
        assert_recorded(&data("recovered/watch.response"), &watch.masked());
        for (name, head, body) in [
            ("renew", "POST /upstreams/u10/renew", r#"{"boot_ms":10000}"#),
            (
                "renew-older-boot",
                "POST /upstreams/u08/renew",
                r#"{"boot_ms":8000}"#,
            ),
            (
                "renew-removed",
                "POST /upstreams/u06/renew",
                r#"{"boot_ms":6000}"#,
            ),
            ("drain-again", "POST /upstreams/u02/drain", ""),
            ("delete", "DELETE /upstreams/u12", ""),
        ] {
            let response = mask_dates(&service.write(head, body));
            assert_recorded(&data(&format!("recovered/{name}.response")), &response);
        }
        watch.read_updates(2);
        assert_recorded(&data("recovered/watch-on.response"), &watch.masked());
        drop(service);
        assert_recorded(&data("recovered/records.txt"), &persisted(&folder));
    }
}

/// A recovered lease must start again with its persisted duration.
#[test]
fn a_recovered_lease_expires_after_its_duration() {
    let folder = new_folder("store-lease");
    clone_folder(&store_data("closed"), &folder);
    let started = Instant::now();
    let service = TestService::start(&folder, "[leases]\ngrace_s = 0\nlapse_share = 1.0\n");
    let mut watch = Watch::open(&service, "stream=1&index=0");
    watch.read_updates(2);
    let lines = String::from_utf8(watch.masked()).expect("text");
    let removed: Vec<&str> = lines
        .split(r#"{"uid":""#)
        .filter(|entry| entry.contains(r#""state":"Gone""#))
        .filter_map(|entry| entry.split('"').next())
        .collect();
    assert_eq!(removed, ["u01", "u05"], "{lines}");
    assert!(
        started.elapsed() >= Duration::from_millis(1500),
        "{:?}",
        started.elapsed()
    );
}

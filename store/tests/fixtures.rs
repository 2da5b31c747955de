//! Opens store folders that Git revision d26284e wrote, and compares their entries with the
//! recorded ones. See `data/README.md`.

#![expect(clippy::expect_used, reason = "a test helper fails by panicking")]

use frostkeel_store::{Change, Owner, Snapshot, Store, StoreError, StoredRecord};
use std::fs;
use std::path::{Path, PathBuf};

const FOLDERS: [&str; 2] = ["closed", "killed"];

fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name)
}

/// Creates a folder with a copy of a recorded one, because opening a store writes to its folder.
fn prepare_folder(recorded: &str, test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{recorded}"));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    fs::copy(data(recorded).join("list.redb"), folder.join("list.redb")).expect("copied");
    folder
}

fn owner() -> Owner {
    Owner {
        fleet: "fixtures".into(),
        process: "r0".into(),
    }
}

/// Reads the recorded content: a line `version N` with the revision, then a line `KEY<tab>VALUE`
/// for each entry.
fn recorded() -> Snapshot {
    let text = fs::read_to_string(data("records.txt")).expect("the recorded entries");
    let mut lines = text.lines();
    let version = lines
        .next()
        .and_then(|line| line.strip_prefix("version "))
        .expect("a version");
    let entry = |line: &str| {
        let (key, value) = line.split_once('\t').expect("a key and a value");
        StoredRecord {
            key: key.to_owned(),
            value: value.as_bytes().to_vec(),
        }
    };
    Snapshot {
        revision: version.parse().expect("a number"),
        records: lines.map(entry).collect(),
    }
}

#[test]
fn a_recorded_folder_contains_the_recorded_entries() {
    let recorded = recorded();
    assert_eq!(recorded.records.len(), 10, "recorded entries");
    for folder in FOLDERS {
        let (_store, found) =
            Store::open(&prepare_folder(folder, "open"), &owner()).expect("opened");
        assert_eq!(found.revision, recorded.revision, "{folder}");
        assert_eq!(found.records.len(), recorded.records.len(), "{folder}");
        for (found, recorded) in found.records.iter().zip(&recorded.records) {
            let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
            assert_eq!(found.key, recorded.key, "{folder}");
            assert_eq!(text(&found.value), text(&recorded.value), "{folder}");
        }
        for removed in ["u06", "u09", "u11"] {
            assert!(
                found.records.iter().all(|record| record.key != removed),
                "{folder}: {removed} was deleted"
            );
        }
    }
}

#[test]
fn a_recorded_folder_accepts_new_commits() {
    for folder in FOLDERS {
        let copied = prepare_folder(folder, "commit");
        let (mut store, mut expected) = Store::open(&copied, &owner()).expect("opened");
        let changes = [
            Change::Put {
                key: "u06".into(),
                value: b"{}".to_vec(),
            },
            Change::Delete { key: "u12".into() },
        ];
        store
            .commit(expected.revision + 1, &changes)
            .expect("written");
        drop(store);
        expected.revision += 1;
        expected.records.retain(|record| record.key != "u12");
        expected.records.push(StoredRecord {
            key: "u06".into(),
            value: b"{}".to_vec(),
        });
        expected.records.sort_by(|a, b| a.key.cmp(&b.key));
        let (_store, found) = Store::open(&copied, &owner()).expect("opened again");
        assert_eq!(found, expected, "{folder}");
    }
}

#[test]
fn a_recorded_folder_rejects_another_owner() {
    for folder in FOLDERS {
        for (fleet, process) in [("fixtures", "r1"), ("other", "r0")] {
            let other = Owner {
                fleet: fleet.into(),
                process: process.into(),
            };
            match Store::open(&prepare_folder(folder, "owner"), &other) {
                Err(StoreError::Foreign {
                    found, expected, ..
                }) => assert_eq!((found, expected), (owner(), other)),
                opened => panic!("{folder}: {opened:?}"),
            }
        }
    }
}

/// Operators see these messages, so they must not change.
#[test]
fn an_unusable_folder_is_rejected_with_the_recorded_message() {
    let message = |folder: &Path, owner: &Owner| {
        let error = Store::open(folder, owner)
            .expect_err("rejected")
            .to_string();
        let shown = folder.display().to_string();
        error.replace(&shown, "FOLDER")
    };
    let folder = prepare_folder("closed", "messages");
    let (store, _) = Store::open(&folder, &owner()).expect("opened");
    let in_use = message(&folder, &owner());
    drop(store);
    let foreign = message(
        &folder,
        &Owner {
            fleet: "other".into(),
            process: "r1".into(),
        },
    );
    let file = folder.join("file");
    fs::write(&file, b"").expect("written");
    let no_folder = message(&file, &owner());
    let mut bytes = fs::read(folder.join("list.redb")).expect("read");
    bytes[..64].fill(0xff);
    fs::write(folder.join("list.redb"), &bytes).expect("written");
    let damaged = message(&folder, &owner());
    let messages = [in_use, foreign, no_folder, damaged].join("\n") + "\n";
    assert_eq!(
        messages,
        fs::read_to_string(data("messages.txt")).expect("the recorded messages")
    );
}

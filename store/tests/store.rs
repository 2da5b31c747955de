//! Opening, committing and reopening a store in a folder, and the folders that are rejected.

use frostkeel_store::{Change, Owner, Snapshot, Store, StoreError, StoredRecord};
use std::fs;
use std::path::{Path, PathBuf};

fn owner(process: &str) -> Owner {
    Owner {
        fleet: "f".into(),
        process: process.into(),
    }
}

fn new_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("store-{name}"));
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn put(key: &str, value: &[u8]) -> Change {
    Change::Put {
        key: key.into(),
        value: value.to_vec(),
    }
}

#[test]
fn committed_records_survive_a_restart() {
    let folder = new_folder("restart");
    let (mut store, snapshot) = Store::open(&folder, &owner("r0")).expect("a new store");
    assert_eq!(snapshot, Snapshot::default());
    store
        .commit(3, &[put("a", b"1"), put("b", b"2")])
        .expect("committed");
    store
        .commit(4, &[Change::Delete { key: "a".into() }])
        .expect("committed");
    store.commit(2, &[]).expect("committed");
    drop(store);
    let (_, snapshot) = Store::open(&folder, &owner("r0")).expect("opened by its owner");
    let records = vec![StoredRecord {
        key: "b".into(),
        value: b"2".to_vec(),
    }];
    assert_eq!(
        snapshot,
        Snapshot {
            revision: 4,
            records
        }
    );
}

#[test]
fn opening_rejects_a_folder_that_is_in_use_foreign_damaged_or_no_folder() {
    let folder = new_folder("rejected");
    let (store, _) = Store::open(&folder, &owner("r0")).expect("a new store");
    assert!(matches!(
        Store::open(&folder, &owner("r0")),
        Err(StoreError::InUse(_))
    ));
    drop(store);
    let error = Store::open(&folder, &owner("r1")).expect_err("the store of another process");
    assert!(error.to_string().contains("belongs to r0"), "{error}");
    fs::write(folder.join("list.redb"), b"no database").expect("written");
    let error = Store::open(&folder, &owner("r0")).expect_err("damaged");
    assert!(matches!(error, StoreError::Damaged { .. }), "{error}");
    let file = folder.join("file");
    fs::write(&file, b"").expect("written");
    assert!(matches!(
        Store::open(&file, &owner("r0")),
        Err(StoreError::Folder { .. })
    ));
}

//! Durable storage of a registry service: records by key, and one revision for all of them.
//!
//! [`Store::commit`] returns once its changes are durable, and applies all of them or none. A
//! caller acknowledges a write only after that, and batches the writes that arrive meanwhile into
//! the next commit.
//!
//! The file is a `redb` database. It carries checksums and falls back to its last complete commit
//! after a crash. The database is always verified when it is opened: the faster ways to open it
//! skip the check, and corruption must be detected. After a failed commit the state of the file is
//! unknown, so the store rejects every later commit and the process has to restart.

mod error;
mod tables;

pub use error::StoreError;

use redb::{Builder, Database, DatabaseError, StorageBackend};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The database's file in the store's folder.
const FILE_NAME: &str = "list.redb";

/// The process that a store belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The name of the fleet.
    pub fleet: String,
    /// The name of the process, which stays the same over restarts.
    pub process: String,
}

/// The effect of a commit on one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Inserts the record or replaces its value.
    Put {
        /// The record's key.
        key: String,
        /// The record's new value.
        value: Vec<u8>,
    },
    /// Removes the record, if it exists.
    Delete {
        /// The record's key.
        key: String,
    },
}

/// A stored record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The record's key.
    pub key: String,
    /// The record's value.
    pub value: Vec<u8>,
}

/// The content of a store when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The revision of the last commit.
    pub revision: u64,
    /// The records, in the order of their keys.
    pub records: Vec<StoredRecord>,
}

/// An open store.
#[derive(Debug)]
pub struct Store {
    database: Database,
    path: PathBuf,
    has_failed: bool,
}

impl Store {
    /// Opens the store in a folder. Creates the folder and an empty store if there is none.
    pub fn open(folder: &Path, owner: &Owner) -> Result<(Self, Snapshot), StoreError> {
        let folder_error = |source| StoreError::Folder {
            path: folder.to_owned(),
            source,
        };
        fs::create_dir_all(folder).map_err(folder_error)?;
        let path = folder.join(FILE_NAME);
        let file = open_or_create(&path).map_err(folder_error)?;
        match redb::backends::FileBackend::new(file) {
            Ok(backend) => Self::open_on_backend(backend, path, owner),
            Err(e) => Err(StoreError::damaged(path, e)),
        }
    }

    /// Opens a store on a storage backend, for example one that simulates power losses. `path`
    /// names it in errors.
    pub fn open_on_backend(
        backend: impl StorageBackend,
        path: PathBuf,
        owner: &Owner,
    ) -> Result<(Self, Snapshot), StoreError> {
        let database = match Builder::new().create_with_backend(backend) {
            Ok(database) => database,
            Err(DatabaseError::DatabaseAlreadyOpen) => return Err(StoreError::InUse(path)),
            Err(e) => return Err(StoreError::damaged(path, e)),
        };
        match tables::read_identity(&database) {
            Ok(Some(identity)) => identity.check(&path, owner)?,
            Ok(None) => {
                tables::initialize(&database, owner).map_err(|e| StoreError::damaged(&path, e))?;
            }
            Err(e) => return Err(StoreError::damaged(path, e)),
        }
        let snapshot =
            tables::read_snapshot(&database).map_err(|e| StoreError::damaged(&path, e))?;
        Ok((
            Self {
                database,
                path,
                has_failed: false,
            },
            snapshot,
        ))
    }

    /// Makes all changes durable or none of them. The stored revision never decreases: a lower one
    /// is ignored.
    pub fn commit(&mut self, revision: u64, changes: &[Change]) -> Result<(), StoreError> {
        if self.has_failed {
            return Err(StoreError::FailedEarlier {
                path: self.path.clone(),
            });
        }
        tables::write_changes(&self.database, revision, changes).map_err(|e| {
            if e.is_disk_full() {
                return StoreError::DiskFull;
            }
            self.has_failed = true;
            StoreError::CommitFailed {
                path: self.path.clone(),
                source: e.into(),
            }
        })
    }
}

fn open_or_create(path: &Path) -> io::Result<fs::File> {
    fs::OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)
}

//! Durable storage for a registry service: records with unique keys, and one revision for all of
//! them.
//!
//! [`Store::commit`] makes all of its changes durable, or none. The caller acknowledges a write
//! only after the commit returns, and batches the writes that arrive meanwhile into the next
//! commit.
//!
//! The file is a `redb` database, which has checksums and recovers its last complete commit after a
//! crash. It is verified whenever it is opened, because faster ways to open it do not detect
//! corruption.
//!
//! A commit that finds the disk full writes nothing. After any other failed commit the state of the
//! file is unknown: later commits are rejected, and the process has to restart.

mod error;
mod tables;

pub use error::StoreError;

use redb::{Builder, Database, DatabaseError, StorageBackend};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The name of the database's file in the store's folder.
const FILE_NAME: &str = "list.redb";

/// The process that owns a store. The store cannot be opened for another owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The name of the fleet that the process belongs to.
    pub fleet: String,
    /// The name of the process, which stays the same over restarts.
    pub process: String,
}

/// A change that a commit makes to one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Inserts the record or replaces its value.
    Put {
        /// The key of the record to insert or replace.
        key: String,
        /// The value of the record after the commit.
        value: Vec<u8>,
    },
    /// Removes the record, if it exists.
    Delete {
        /// The key of the record to remove.
        key: String,
    },
}

/// A stored record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The key, which is unique within the store.
    pub key: String,
    /// The value from the last commit that changed it.
    pub value: Vec<u8>,
}

/// The content of a store at the time when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The highest revision that was committed, or 0 for a new store.
    pub revision: u64,
    /// The records, in the order of their keys.
    pub records: Vec<StoredRecord>,
}

/// An open store, to which changes can be committed.
#[derive(Debug)]
pub struct Store {
    database: Database,
    path: PathBuf,
    has_failed: bool,
}

impl Store {
    /// Opens the store in `folder`, and returns it with its content. Creates the folder and an
    /// empty store if they do not exist.
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
    /// identifies the store in error messages.
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

    /// Makes all changes durable, or none of them. The stored revision never decreases: if
    /// `revision` is lower than the stored one, the changes are applied and the stored revision
    /// stays.
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

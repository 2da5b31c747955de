//! Errors of the store.

use crate::Owner;
use crate::tables::FORMAT_VERSION;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why a store could not be opened, or why a commit failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store's folder or the file in it cannot be created or opened.
    #[error(
        "{path}: {source}; the folder has to be there and this process has to be able to write to it"
    )]
    Folder {
        /// The path of the store's folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another process has the store open.
    #[error("{0}: in use by another process; give this one a folder of its own, or end that one")]
    InUse(PathBuf),
    /// The store belongs to another process or fleet.
    #[error(
        "{path} belongs to {} of fleet {:?}, this is {} of {:?}: name the right folder, or move this one away",
        .found.process, .found.fleet, .expected.process, .expected.fleet
    )]
    Foreign {
        /// The path of the store's file.
        path: PathBuf,
        /// The owner that is recorded in the store.
        found: Owner,
        /// The owner that tried to open the store.
        expected: Owner,
    },
    /// The store was created by a newer version of the program, with a format version that this
    /// program does not support.
    #[error(
        "{path}: format version {found} is newer than {FORMAT_VERSION}, the latest one that this program supports; use the version of the program that created the store"
    )]
    NewerFormat {
        /// The path of the store's file.
        path: PathBuf,
        /// The format version that is recorded in the store.
        found: u64,
    },
    /// The file cannot be opened as a database, or its content cannot be read.
    #[error(
        "{path}: {source}; restore it from a copy, or move it away to begin with an empty list"
    )]
    Damaged {
        /// The path of the store's file.
        path: PathBuf,
        /// The error that the database reported.
        source: Box<redb::Error>,
    },
    /// The disk is full. Nothing was written; later commits may succeed.
    #[error("the disk is full; free some space on it")]
    DiskFull,
    /// A commit failed. It is unknown what was written, so the store rejects all later commits.
    #[error(
        "{path}: commit failed: {source}; it is unknown what was written, so restart this process to reopen the store"
    )]
    CommitFailed {
        /// The path of the store's file.
        path: PathBuf,
        /// The error that the database reported.
        source: Box<redb::Error>,
    },
    /// The commit was not attempted, because an earlier one failed.
    #[error(
        "{path}: commit rejected because an earlier one failed; it is unknown what the earlier one wrote, so restart this process to reopen the store"
    )]
    FailedEarlier {
        /// The path of the store's file.
        path: PathBuf,
    },
}

impl StoreError {
    pub(crate) fn damaged(path: impl Into<PathBuf>, source: impl Into<DatabaseFailure>) -> Self {
        Self::Damaged {
            path: path.into(),
            source: source.into().into(),
        }
    }
}

/// Any error of the database. It is boxed because `redb`'s errors are large.
#[derive(Debug)]
pub(crate) struct DatabaseFailure(Box<redb::Error>);

impl DatabaseFailure {
    pub(crate) fn is_disk_full(&self) -> bool {
        matches!(&*self.0, redb::Error::Io(e) if e.kind() == io::ErrorKind::StorageFull)
    }
}

impl<E: Into<redb::Error>> From<E> for DatabaseFailure {
    fn from(error: E) -> Self {
        Self(Box::new(error.into()))
    }
}

impl From<DatabaseFailure> for Box<redb::Error> {
    fn from(failure: DatabaseFailure) -> Self {
        failure.0
    }
}

//! Errors of the store.

use crate::Owner;
use crate::tables::FORMAT_VERSION;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a store could not be opened, or why a commit failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The folder or the file in it cannot be created or opened.
    #[error(
        "{path}: {source}; the folder has to be there and this process has to be able to write to it"
    )]
    Folder {
        /// The folder.
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
        /// The store's file.
        path: PathBuf,
        /// The owner that is recorded in it.
        found: Owner,
        /// The owner that tried to open it.
        expected: Owner,
    },
    /// The store was written by a later version of the program.
    #[error(
        "{path}: form {found} is newer than this program's ({FORMAT_VERSION}): use the program that wrote it"
    )]
    NewerFormat {
        /// The store's file.
        path: PathBuf,
        /// The format version that is recorded in it.
        found: u64,
    },
    /// The file cannot be read.
    #[error(
        "{path}: {source}; restore it from a copy, or move it away to begin with an empty list"
    )]
    Damaged {
        /// The store's file.
        path: PathBuf,
        /// The error of the database.
        source: Box<redb::Error>,
    },
    /// The disk is full. Nothing was written; later commits may succeed.
    #[error("no room on the disk: free some")]
    DiskFull,
    /// A commit failed: it is unknown what was written, and no other commit may follow.
    #[error(
        "not written: {path}: {source}; nothing is known of what was, so this process has to end and open it anew"
    )]
    CommitFailed {
        /// The store's file.
        path: PathBuf,
        /// The error of the database.
        source: Box<redb::Error>,
    },
    /// An earlier commit failed, so this one was not tried.
    #[error(
        "not written: {path}: an earlier write has failed; nothing is known of what was, so this process has to end and open it anew"
    )]
    FailedEarlier {
        /// The store's file.
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

/// Any error of the database. It is boxed, as `redb`'s errors are large.
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

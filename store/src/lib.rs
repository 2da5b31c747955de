//! What a list service keeps on disk: records by key, and one version for all of them.
//!
//! [`Store::commit`] returns once what it was given is durable, and all of it is there or none: a caller acknowledges only
//! after that, and puts what came meanwhile into the next commit. The file is `redb`'s, which carries checksums and falls
//! back on its last sound commit after a crash. Its quicker ways to open trust the file without looking at them: they are
//! not used, as what is damaged has to be seen. Where a commit fails nothing is known of it any more: the store refuses
//! every later one, and its process has to end.

use redb::{
    Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend,
    TableDefinition,
};
use std::fs;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The form of what is kept; a newer one is refused.
const FORMAT: u64 = 1;
const FILE: &str = "list.redb";
const RECORDS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("records");
const NUMBERS: TableDefinition<'_, &str, u64> = TableDefinition::new("numbers");
const OWNERS: TableDefinition<'_, &str, &str> = TableDefinition::new("owners");

/// Whose a store is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The fleet.
    pub fleet: String,
    /// The process, by the name that lasts.
    pub process: String,
}

/// Why a store cannot be opened, or was not written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The folder.
    #[error(
        "{path}: {source}; the folder has to be there and this process has to be able to write to it"
    )]
    Folder {
        /// Which.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// Another process has it open.
    #[error("{0}: in use by another process; give this one a folder of its own, or end that one")]
    InUse(PathBuf),
    /// It belongs to others.
    #[error(
        "{path} belongs to {} of fleet {:?}, this is {} of {:?}: name the right folder, or move this one away",
        .found.process, .found.fleet, .asked.process, .asked.fleet
    )]
    Foreign {
        /// Which folder.
        path: PathBuf,
        /// Whose it is.
        found: Owner,
        /// Whose it should be.
        asked: Owner,
    },
    /// It is of a later program.
    #[error(
        "{path}: form {found} is newer than this program's ({FORMAT}): use the program that wrote it"
    )]
    Newer {
        /// Which folder.
        path: PathBuf,
        /// Its form.
        found: u64,
    },
    /// It cannot be read.
    #[error(
        "{path}: {reason}; restore it from a copy, or move it away to begin with an empty list"
    )]
    Damaged {
        /// Which file.
        path: PathBuf,
        /// What was found.
        reason: String,
    },
    /// There is no room; what was given was not taken, and later commits may succeed.
    #[error("no room on the disk: free some")]
    Full,
    /// A commit failed: nothing is known of it, nor may another one follow.
    #[error(
        "not written: {0}; nothing is known of what was, so this process has to end and open it anew"
    )]
    Failed(String),
}

/// What a commit does to a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is this from now on.
    Put(String, Vec<u8>),
    /// It is no more.
    Delete(String),
}

/// What was kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    /// The version.
    pub version: u64,
    /// The records, in the order of their keys.
    pub records: Vec<(String, Vec<u8>)>,
}

/// An open store.
#[derive(Debug)]
pub struct Store {
    database: Database,
    path: PathBuf,
    failed: bool,
}

impl Store {
    /// Opens the store in a folder, or begins one there.
    pub fn open(folder: &Path, owner: &Owner) -> Result<(Self, Kept), StoreError> {
        let refused = |source| StoreError::Folder {
            path: folder.to_owned(),
            source,
        };
        fs::create_dir_all(folder).map_err(refused)?;
        let path = folder.join(FILE);
        let file = fs::OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path);
        let file = file.map_err(refused)?;
        match redb::backends::FileBackend::new(file) {
            Ok(backend) => Self::on(backend, path, owner),
            Err(e) => Err(StoreError::Damaged {
                path,
                reason: e.to_string(),
            }),
        }
    }

    /// Opens a store on any backend: what a test loses power with.
    pub fn on(
        backend: impl StorageBackend,
        path: PathBuf,
        owner: &Owner,
    ) -> Result<(Self, Kept), StoreError> {
        let damaged = |reason: String| StoreError::Damaged {
            path: path.clone(),
            reason,
        };
        let opened = Builder::new().create_with_backend(backend);
        let database = opened.map_err(|e| match e {
            DatabaseError::DatabaseAlreadyOpen => StoreError::InUse(path.clone()),
            e => damaged(e.to_string()),
        })?;
        let found = whose(&database).map_err(|e| damaged(e.to_string()))?;
        match found {
            None => begin(&database, owner).map_err(|e| damaged(e.to_string()))?,
            Some((format, _)) if format > FORMAT => {
                return Err(StoreError::Newer {
                    path,
                    found: format,
                });
            }
            Some((_, found)) if found != *owner => {
                return Err(StoreError::Foreign {
                    path,
                    found,
                    asked: owner.clone(),
                });
            }
            Some(_) => {}
        }
        let kept = read(&database).map_err(|e| damaged(e.to_string()))?;
        Ok((
            Self {
                database,
                path,
                failed: false,
            },
            kept,
        ))
    }

    /// Makes changes durable, all or none, under a version that is not below the last one.
    pub fn commit(&mut self, version: u64, changes: &[Change]) -> Result<(), StoreError> {
        if self.failed {
            return Err(StoreError::Failed(format!(
                "{}: an earlier write has failed",
                self.path.display()
            )));
        }
        let written = write(&self.database, version, changes);
        written.map_err(|e| {
            if let redb::Error::Io(io) = &*e.0
                && io.kind() == std::io::ErrorKind::StorageFull
            {
                return StoreError::Full;
            }
            self.failed = true;
            StoreError::Failed(format!("{}: {e}", self.path.display()))
        })
    }
}

/// Any of redb's errors: they are large.
struct Failure(Box<redb::Error>);

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl<E: Into<redb::Error>> From<E> for Failure {
    fn from(e: E) -> Self {
        Self(Box::new(e.into()))
    }
}

fn whose(database: &Database) -> Result<Option<(u64, Owner)>, Failure> {
    let transaction = database.begin_read()?;
    let owners = match transaction.open_table(OWNERS) {
        Ok(owners) => owners,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(e) => return Err(e.into()),
    };
    let numbers = transaction.open_table(NUMBERS)?;
    let text = |key| {
        Ok::<_, Failure>(
            owners
                .get(key)?
                .map(|v| v.value().to_owned())
                .unwrap_or_default(),
        )
    };
    let owner = Owner {
        fleet: text("fleet")?,
        process: text("process")?,
    };
    Ok(Some((
        numbers.get("format")?.map_or(0, |v| v.value()),
        owner,
    )))
}

fn begin(database: &Database, owner: &Owner) -> Result<(), Failure> {
    let transaction = database.begin_write()?;
    {
        let mut owners = transaction.open_table(OWNERS)?;
        owners.insert("fleet", owner.fleet.as_str())?;
        owners.insert("process", owner.process.as_str())?;
        let mut numbers = transaction.open_table(NUMBERS)?;
        numbers.insert("format", FORMAT)?;
        numbers.insert("version", 0)?;
        transaction.open_table(RECORDS)?;
    }
    transaction.commit()?;
    Ok(())
}

fn read(database: &Database) -> Result<Kept, Failure> {
    let transaction = database.begin_read()?;
    let version = transaction
        .open_table(NUMBERS)?
        .get("version")?
        .map_or(0, |v| v.value());
    let mut records = Vec::new();
    for record in transaction.open_table(RECORDS)?.iter()? {
        let (key, value) = record?;
        records.push((key.value().to_owned(), value.value().to_vec()));
    }
    Ok(Kept { version, records })
}

fn write(database: &Database, version: u64, changes: &[Change]) -> Result<(), Failure> {
    let transaction = database.begin_write()?;
    {
        let mut records = transaction.open_table(RECORDS)?;
        for change in changes {
            match change {
                Change::Put(key, value) => drop(records.insert(key.as_str(), value.as_slice())?),
                Change::Delete(key) => drop(records.remove(key.as_str())?),
            }
        }
        let mut numbers = transaction.open_table(NUMBERS)?;
        let before = numbers.get("version")?.map_or(0, |v| v.value());
        numbers.insert("version", version.max(before))?;
    }
    transaction.commit()?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn owner(process: &str) -> Owner {
        Owner {
            fleet: "f".into(),
            process: process.into(),
        }
    }

    fn folder(name: &str) -> PathBuf {
        let folder =
            std::env::temp_dir().join(format!("frostkeel-store-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        folder
    }

    #[test]
    fn what_was_committed_is_there_after_a_restart() {
        let folder = folder("restart");
        let (mut store, kept) = Store::open(&folder, &owner("r0")).expect("new");
        assert_eq!(kept, Kept::default());
        store
            .commit(
                3,
                &[
                    Change::Put("a".into(), b"1".to_vec()),
                    Change::Put("b".into(), b"2".to_vec()),
                ],
            )
            .expect("written");
        store
            .commit(4, &[Change::Delete("a".into())])
            .expect("written");
        store.commit(2, &[]).expect("written");
        drop(store);
        let (_, kept) = Store::open(&folder, &owner("r0")).expect("its own");
        assert_eq!(
            kept,
            Kept {
                version: 4,
                records: vec![("b".into(), b"2".to_vec())]
            }
        );
        let _ = fs::remove_dir_all(&folder);
    }

    #[test]
    fn what_is_not_its_own_is_refused_with_what_to_do() {
        let folder = folder("foreign");
        let (store, _) = Store::open(&folder, &owner("r0")).expect("new");
        assert!(matches!(
            Store::open(&folder, &owner("r0")),
            Err(StoreError::InUse(_))
        ));
        drop(store);
        let refused = Store::open(&folder, &owner("r1")).expect_err("another's");
        assert!(refused.to_string().contains("belongs to r0"), "{refused}");
        fs::write(folder.join(FILE), b"no database").expect("written");
        let refused = Store::open(&folder, &owner("r0")).expect_err("damaged");
        assert!(matches!(refused, StoreError::Damaged { .. }), "{refused}");
        let file = folder.join("file");
        fs::write(&file, b"").expect("written");
        assert!(matches!(
            Store::open(&file, &owner("r0")),
            Err(StoreError::Folder { .. })
        ));
        let _ = fs::remove_dir_all(&folder);
    }
}

//! The database's tables. Their names and keys are part of the stored format and must not change.

use crate::error::{DatabaseFailure, StoreError};
use crate::{Change, Owner, Snapshot, StoredRecord};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableError};
use std::path::Path;

/// The version of the stored format. A store with a higher version is rejected.
pub(crate) const FORMAT_VERSION: u64 = 1;

const RECORDS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("records");
const COUNTERS: TableDefinition<'_, &str, u64> = TableDefinition::new("numbers");
const OWNERS: TableDefinition<'_, &str, &str> = TableDefinition::new("owners");

const FORMAT_KEY: &str = "format";
const REVISION_KEY: &str = "version";
const FLEET_KEY: &str = "fleet";
const PROCESS_KEY: &str = "process";

/// The format version and the owner that a store was created with.
pub(crate) struct Identity {
    format_version: u64,
    owner: Owner,
}

impl Identity {
    /// Checks that this program supports the store's format, and that `expected` owns the store.
    pub(crate) fn check(self, path: &Path, expected: &Owner) -> Result<(), StoreError> {
        if self.format_version > FORMAT_VERSION {
            return Err(StoreError::NewerFormat {
                path: path.to_owned(),
                found: self.format_version,
            });
        }
        if self.owner != *expected {
            return Err(StoreError::Foreign {
                path: path.to_owned(),
                found: self.owner,
                expected: expected.clone(),
            });
        }
        Ok(())
    }
}

/// Reads the format version and the owner. Returns `None` for a new store, which has no tables.
pub(crate) fn read_identity(database: &Database) -> Result<Option<Identity>, DatabaseFailure> {
    let transaction = database.begin_read()?;
    let owners = match transaction.open_table(OWNERS) {
        Ok(owners) => owners,
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(e) => return Err(e.into()),
    };
    let counters = transaction.open_table(COUNTERS)?;
    let read_text = |key| {
        let value = owners.get(key)?.map(|value| value.value().to_owned());
        Ok::<_, DatabaseFailure>(value.unwrap_or_default())
    };
    let owner = Owner {
        fleet: read_text(FLEET_KEY)?,
        process: read_text(PROCESS_KEY)?,
    };
    let format_version = counters.get(FORMAT_KEY)?.map_or(0, |value| value.value());
    Ok(Some(Identity {
        format_version,
        owner,
    }))
}

/// Creates the tables of a new store, which begins at revision 0.
pub(crate) fn initialize(database: &Database, owner: &Owner) -> Result<(), DatabaseFailure> {
    let transaction = database.begin_write()?;
    {
        let mut owners = transaction.open_table(OWNERS)?;
        owners.insert(FLEET_KEY, owner.fleet.as_str())?;
        owners.insert(PROCESS_KEY, owner.process.as_str())?;
        let mut counters = transaction.open_table(COUNTERS)?;
        counters.insert(FORMAT_KEY, FORMAT_VERSION)?;
        counters.insert(REVISION_KEY, 0)?;
        transaction.open_table(RECORDS)?;
    }
    transaction.commit()?;
    Ok(())
}

pub(crate) fn read_snapshot(database: &Database) -> Result<Snapshot, DatabaseFailure> {
    let transaction = database.begin_read()?;
    let counters = transaction.open_table(COUNTERS)?;
    let revision = counters.get(REVISION_KEY)?.map_or(0, |value| value.value());
    let mut records = Vec::new();
    for entry in transaction.open_table(RECORDS)?.iter()? {
        let (key, value) = entry?;
        records.push(StoredRecord {
            key: key.value().to_owned(),
            value: value.value().to_vec(),
        });
    }
    Ok(Snapshot { revision, records })
}

/// Commits `changes` in one transaction. The stored revision becomes `revision`, unless it is
/// higher already.
pub(crate) fn write_changes(
    database: &Database,
    revision: u64,
    changes: &[Change],
) -> Result<(), DatabaseFailure> {
    let transaction = database.begin_write()?;
    {
        let mut records = transaction.open_table(RECORDS)?;
        for change in changes {
            match change {
                Change::Put { key, value } => drop(records.insert(key.as_str(), value.as_slice())?),
                Change::Delete { key } => drop(records.remove(key.as_str())?),
            }
        }
        let mut counters = transaction.open_table(COUNTERS)?;
        let stored = counters.get(REVISION_KEY)?.map_or(0, |value| value.value());
        counters.insert(REVISION_KEY, revision.max(stored))?;
    }
    transaction.commit()?;
    Ok(())
}

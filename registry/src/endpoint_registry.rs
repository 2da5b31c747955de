//! The endpoint list as a state machine: it takes commands and the time, and returns changes. It
//! does no I/O and reads no clock.

use crate::change_log::{ChangeLog, LoggedChange};
use crate::command::{Command, CommandError, validate_lease, validate_record, validate_weight};
use crate::endpoint::{
    DirtyEntry, EndpointChange, EndpointRecord, EndpointState, EndpointUpdate, PersistedEntry,
};
use crate::lease::{Lease, SelfPreservation};
use crate::policy::RegistryPolicy;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The number of endpoints by state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    /// The number of endpoints that accept requests.
    pub ready: usize,
    /// The number of endpoints that are draining.
    pub terminating: usize,
}

#[derive(Clone, Debug)]
struct Entry {
    record: EndpointRecord,
    /// The revision of the entry's last change, or of the list when the entry was restored.
    revision: u64,
    lease: Option<Lease>,
}

/// The endpoint list. A removed entry stays in it for as long as the change that removed it is
/// retained.
#[derive(Debug)]
pub struct EndpointRegistry {
    policy: RegistryPolicy,
    entries: BTreeMap<String, Entry>,
    changes: ChangeLog,
    self_preservation: SelfPreservation,
    /// The uids of the entries that have changed since the last call of `extract_dirty_entries`.
    dirty: BTreeSet<String>,
}

impl EndpointRegistry {
    /// Restores a list from its persisted entries. Each lease is renewed, so that none expires
    /// because of the restart.
    pub fn restore(
        policy: RegistryPolicy,
        now: Duration,
        revision: u64,
        persisted: Vec<PersistedEntry>,
    ) -> Self {
        let restore_entry = |PersistedEntry {
                                 record,
                                 lease_duration,
                             }| {
            let lease = lease_duration.map(|duration| Lease::new(duration, now));
            (
                record.uid.clone(),
                Entry {
                    record,
                    revision,
                    lease,
                },
            )
        };
        Self {
            entries: persisted.into_iter().map(restore_entry).collect(),
            changes: ChangeLog::new(revision, policy.max_retained_changes),
            self_preservation: SelfPreservation::new(&policy, now),
            dirty: BTreeSet::new(),
            policy,
        }
    }

    /// Returns the revision of the list, which increases by one with each change.
    pub fn revision(&self) -> u64 {
        self.changes.revision()
    }

    /// Returns whether endpoints with expired leases stay on the list, because too many leases are
    /// expired or a grace period is running.
    pub fn is_self_preserving(&self) -> bool {
        self.self_preservation.is_active()
    }

    /// Returns the number of endpoints by state.
    pub fn counts(&self) -> EndpointCounts {
        let count = |state| {
            self.entries
                .values()
                .filter(|entry| entry.record.state == state)
                .count()
        };
        EndpointCounts {
            ready: count(EndpointState::Ready),
            terminating: count(EndpointState::Terminating),
        }
    }

    /// Returns the update that brings a reader from `revision` to the current one. It is the
    /// complete list if the reader has none (`None`), or if not all changes since then are
    /// retained.
    pub fn update_since(&self, revision: Option<u64>) -> EndpointUpdate<&EndpointRecord> {
        match revision.filter(|revision| self.changes.can_resume_from(*revision)) {
            Some(revision) => self.delta_since(revision),
            None => self.snapshot(),
        }
    }

    fn delta_since(&self, revision: u64) -> EndpointUpdate<&EndpointRecord> {
        let changed = self.changes.changes_after(revision);
        let entries = changed.filter_map(|(_, uid)| self.entries.get(uid));
        let mut records: Vec<&EndpointRecord> = entries.map(|entry| &entry.record).collect();
        records.sort_by(|a, b| a.uid.cmp(&b.uid));
        EndpointUpdate {
            revision: self.revision(),
            is_snapshot: false,
            records,
        }
    }

    fn snapshot(&self) -> EndpointUpdate<&EndpointRecord> {
        let records = self.registered_records().collect();
        EndpointUpdate {
            revision: self.revision(),
            is_snapshot: true,
            records,
        }
    }

    fn registered_records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries
            .values()
            .map(|entry| &entry.record)
            .filter(|record| !record.is_removed())
    }

    /// Returns the entries that have changed since the last call, which are those to persist.
    pub fn extract_dirty_entries(&mut self) -> Vec<DirtyEntry> {
        let dirty = std::mem::take(&mut self.dirty);
        let to_persist = |uid: String| {
            let entry = self
                .entries
                .get(&uid)
                .filter(|entry| !entry.record.is_removed());
            let entry = entry.map(|entry| PersistedEntry {
                record: entry.record.clone(),
                lease_duration: entry.lease.map(|lease| lease.duration),
            });
            DirtyEntry { uid, entry }
        };
        dirty.into_iter().map(to_persist).collect()
    }

    /// Returns the last change of each endpoint that changed after `revision`, ordered by revision.
    pub fn changes_after(&self, revision: u64) -> Vec<EndpointChange> {
        let changed = self.changes.changes_after(revision);
        let changes = changed.filter_map(|(revision, uid)| {
            let record = self.entries.get(uid)?.record.clone();
            Some(EndpointChange { revision, record })
        });
        changes.collect()
    }

    /// Applies changes of another list, of which this list is a replica.
    pub fn replicate(&mut self, changes: Vec<EndpointChange>) {
        for EndpointChange { revision, record } in changes {
            let uid = record.uid.clone();
            let new_entry = || Entry {
                record: record.clone(),
                revision: 0,
                lease: None,
            };
            let entry = self.entries.entry(uid.clone()).or_insert_with(new_entry);
            entry.record = record;
            self.changes.replicate(&uid, entry.revision, revision);
            entry.revision = revision;
            self.compact();
        }
    }

    /// Executes a command, and returns the revision after it. The revision does not increase if
    /// nothing changes. With an `expected_revision`, the command is rejected at any other revision.
    pub fn apply(
        &mut self,
        now: Duration,
        command: Command,
        expected_revision: Option<u64>,
    ) -> Result<u64, CommandError> {
        let current = self.revision();
        if expected_revision.is_some_and(|expected| expected != current) {
            return Err(CommandError::RevisionMismatch { current });
        }
        match command {
            Command::Register {
                record,
                lease_duration,
            } => {
                self.register(now, record, lease_duration)?;
            }
            Command::Renew { uid, boot_ms } => self.renew(now, &uid, boot_ms)?,
            Command::Drain { uid } => self.drain(&uid)?,
            Command::Deregister { uid, boot_ms } => self.deregister(&uid, boot_ms)?,
            Command::SetWeight { uid, weight } => self.set_weight(&uid, weight)?,
        }
        Ok(self.revision())
    }

    /// Removes the endpoints whose leases have expired, unless self-preservation retains them.
    pub fn tick(&mut self, now: Duration) {
        self.self_preservation.on_tick(&self.policy, now);
        let leases = self
            .entries
            .values()
            .filter_map(|entry| Some((entry, entry.lease?)));
        let lease_count = leases.clone().count();
        let expired = leases.filter(|(_, lease)| lease.has_expired(now));
        let expired: Vec<String> = expired.map(|(entry, _)| entry.record.uid.clone()).collect();
        if self
            .self_preservation
            .permits_expiry(&self.policy, expired.len(), lease_count)
        {
            expired.iter().for_each(|uid| self.remove(uid));
        }
    }

    fn renew(&mut self, now: Duration, uid: &str, boot_ms: u64) -> Result<(), CommandError> {
        let entry = self.registered_entry(uid)?;
        if entry.record.boot_ms != boot_ms {
            return Err(CommandError::Superseded {
                boot_ms: entry.record.boot_ms,
            });
        }
        if let Some(lease) = &mut entry.lease {
            lease.renew(now);
        }
        Ok(())
    }

    fn drain(&mut self, uid: &str) -> Result<(), CommandError> {
        if self.registered_entry(uid)?.record.state == EndpointState::Ready {
            self.change(uid, |record| record.state = EndpointState::Terminating);
        }
        Ok(())
    }

    /// Removes an endpoint. It is no error if the endpoint is not on the list: removal is
    /// idempotent.
    fn deregister(&mut self, uid: &str, boot_ms: Option<u64>) -> Result<(), CommandError> {
        let Ok(entry) = self.registered_entry(uid) else {
            return Ok(());
        };
        let registered_boot_ms = entry.record.boot_ms;
        if boot_ms.is_some_and(|boot_ms| boot_ms != registered_boot_ms) {
            return Err(CommandError::Superseded {
                boot_ms: registered_boot_ms,
            });
        }
        self.remove(uid);
        Ok(())
    }

    fn set_weight(&mut self, uid: &str, weight: f64) -> Result<(), CommandError> {
        validate_weight(weight)?;
        if self.registered_entry(uid)?.record.weight != weight {
            self.change(uid, |record| record.weight = weight);
        }
        Ok(())
    }

    fn register(
        &mut self,
        now: Duration,
        mut record: EndpointRecord,
        lease_duration: Duration,
    ) -> Result<(), CommandError> {
        validate_record(&record)?;
        validate_lease(lease_duration)?;
        record.state = self.state_on_registration(&record)?;
        let replaced_uid = self.address_holder_to_replace(&record)?;
        if replaced_uid.is_none() {
            self.check_capacity(&record.uid)?;
        }
        if let Some(uid) = replaced_uid {
            self.remove(&uid);
        }
        self.upsert(record, Lease::new(lease_duration, now));
        Ok(())
    }

    /// Returns the state after a registration: ready for a new incarnation, and the current state
    /// for a registered one. A repeated registration must not undo a drain.
    fn state_on_registration(
        &self,
        record: &EndpointRecord,
    ) -> Result<EndpointState, CommandError> {
        let Some(known) = self.entries.get(&record.uid).map(|entry| &entry.record) else {
            return Ok(EndpointState::Ready);
        };
        if known.boot_ms > record.boot_ms {
            return Err(CommandError::Superseded {
                boot_ms: known.boot_ms,
            });
        }
        if known.boot_ms == record.boot_ms && !known.is_removed() {
            return Ok(known.state);
        }
        Ok(EndpointState::Ready)
    }

    /// Returns the uid of another endpoint with the same address, which `record` replaces. Fails if
    /// `record` did not start later than that endpoint.
    fn address_holder_to_replace(
        &self,
        record: &EndpointRecord,
    ) -> Result<Option<String>, CommandError> {
        let mut others = self
            .registered_records()
            .filter(|other| other.uid != record.uid);
        match others.find(|other| other.address == record.address) {
            Some(other) if other.boot_ms >= record.boot_ms => Err(CommandError::AddressInUse {
                uid: other.uid.clone(),
            }),
            other => Ok(other.map(|other| other.uid.clone())),
        }
    }

    fn check_capacity(&self, uid: &str) -> Result<(), CommandError> {
        let is_registered = self
            .entries
            .get(uid)
            .is_some_and(|entry| !entry.record.is_removed());
        let count = self.registered_records().count();
        if !is_registered && count >= self.policy.max_endpoints {
            return Err(CommandError::RegistryFull { count });
        }
        Ok(())
    }

    fn upsert(&mut self, record: EndpointRecord, lease: Lease) {
        let uid = record.uid.clone();
        let Some(entry) = self.entries.get_mut(&uid) else {
            let entry = Entry {
                record,
                revision: 0,
                lease: Some(lease),
            };
            self.entries.insert(uid.clone(), entry);
            return self.change(&uid, |_| {});
        };
        let previous_lease = entry.lease.replace(lease);
        if entry.record != record {
            return self.change(&uid, |known| *known = record);
        }
        if previous_lease.is_none_or(|previous| previous.duration != lease.duration) {
            self.dirty.insert(uid);
        }
    }

    fn remove(&mut self, uid: &str) {
        if let Some(entry) = self.entries.get_mut(uid) {
            entry.lease = None;
        }
        self.change(uid, |record| record.state = EndpointState::Removed);
    }

    fn registered_entry(&mut self, uid: &str) -> Result<&mut Entry, CommandError> {
        let entry = self
            .entries
            .get_mut(uid)
            .filter(|entry| !entry.record.is_removed());
        entry.ok_or_else(|| CommandError::UnknownEndpoint {
            uid: uid.to_owned(),
        })
    }

    /// Changes an entry with `edit`. The list and the entry get a new revision.
    fn change(&mut self, uid: &str, edit: impl FnOnce(&mut EndpointRecord)) {
        let Some(entry) = self.entries.get_mut(uid) else {
            return;
        };
        edit(&mut entry.record);
        entry.revision = self.changes.append(uid, entry.revision);
        self.dirty.insert(uid.to_owned());
        self.compact();
    }

    /// Discards the oldest changes beyond the limit, and the entries that they removed. A reader at
    /// an older revision gets the complete list, which contains no removed entries.
    fn compact(&mut self) {
        while let Some(LoggedChange { revision, uid }) = self.changes.compact_oldest() {
            let is_obsolete =
                |entry: &Entry| entry.record.is_removed() && entry.revision == revision;
            if self.entries.get(&uid).is_some_and(is_obsolete) {
                self.entries.remove(&uid);
            }
        }
    }
}

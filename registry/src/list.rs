//! The list as a state machine: commands and time in, changes out. It knows no sockets, no disk and no clock.

pub use crate::command::{Command, CommandError};
use crate::command::{sound, weight};
pub use crate::endpoint::{EndpointRecord, EndpointState, EndpointUpdate};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How the list judges leases.
#[derive(Clone, Debug)]
pub struct RegistryPolicy {
    /// Entries that there may be.
    pub max_endpoints: usize,
    /// Changes that a watch can go on from.
    pub max_retained_changes: usize,
    /// Share of the leased entries that may lapse together; if more do, the fault is likelier the service's own.
    pub lapse_share: f64,
    /// After its start, and after a pause of its own, it ends no entry for so long.
    pub grace: Duration,
    /// A tick that comes so late is a pause.
    pub pause: Duration,
}

impl Default for RegistryPolicy {
    fn default() -> Self {
        Self {
            max_endpoints: 20_000,
            max_retained_changes: 10_000,
            lapse_share: 0.2,
            grace: Duration::from_secs(15),
            pause: Duration::from_secs(2),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    lasts: Duration,
    until: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    record: EndpointRecord,
    rev: u64,
    lease: Option<Lease>,
}

/// The list.
#[derive(Debug)]
pub struct EndpointRegistry {
    rules: RegistryPolicy,
    entries: BTreeMap<String, Entry>,
    /// By the version of an entry's last change, whose it is.
    changed: BTreeMap<u64, String>,
    rev: u64,
    /// Changes up to this version are not known one by one any more.
    compacted_revision: u64,
    last_tick: Duration,
    /// No entry is ended before.
    grace_until: Duration,
    is_self_preserving: bool,
    /// Uids of entries changed since they were last taken, to be kept.
    dirty: BTreeSet<String>,
}

impl EndpointRegistry {
    /// The list as it was kept. Each lease begins anew: a restart of the service ends none.
    pub fn new(
        rules: RegistryPolicy,
        now: Duration,
        rev: u64,
        kept: Vec<(EndpointRecord, Duration)>,
    ) -> Self {
        let grace_until = now + rules.grace;
        let mut list = Self {
            rules,
            entries: BTreeMap::new(),
            changed: BTreeMap::new(),
            rev,
            compacted_revision: rev,
            last_tick: now,
            grace_until,
            is_self_preserving: false,
            dirty: BTreeSet::new(),
        };
        for (record, lasts) in kept {
            let lease = (!lasts.is_zero()).then(|| Lease {
                lasts,
                until: now + lasts,
            });
            list.entries
                .insert(record.uid.clone(), Entry { record, rev, lease });
        }
        list
    }

    /// Goes up by one with each change.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// Whether it keeps entries whose leases have ended, as too many have at once.
    pub fn is_self_preserving(&self) -> bool {
        self.is_self_preserving
    }

    /// How many entries are ready, and how many terminating.
    pub fn counts(&self) -> (usize, usize) {
        let count = |state| {
            self.entries
                .values()
                .filter(|e| e.record.state == state)
                .count()
        };
        (
            count(EndpointState::Ready),
            count(EndpointState::Terminating),
        )
    }

    /// What one at a version has to be told; `None`: one that has nothing.
    pub fn update_since(&self, rev: Option<u64>) -> EndpointUpdate<&EndpointRecord> {
        match rev.filter(|rev| (self.compacted_revision..=self.rev).contains(rev)) {
            Some(rev) => {
                let changed = self
                    .changed
                    .range(rev + 1..)
                    .filter_map(|(_, uid)| self.entries.get(uid));
                let mut records: Vec<&EndpointRecord> =
                    changed.map(|entry| &entry.record).collect();
                records.sort_by(|a, b| a.uid.cmp(&b.uid));
                EndpointUpdate {
                    revision: self.rev,
                    is_snapshot: false,
                    records,
                }
            }
            None => {
                let there = self
                    .entries
                    .values()
                    .map(|e| &e.record)
                    .filter(|r| r.state != EndpointState::Removed);
                EndpointUpdate {
                    revision: self.rev,
                    is_snapshot: true,
                    records: there.collect(),
                }
            }
        }
    }

    /// The entries that have changed since this was last asked, with their leases' lengths; `None`: gone.
    pub fn take_dirty(&mut self) -> Vec<(String, Option<(EndpointRecord, Duration)>)> {
        let dirty = std::mem::take(&mut self.dirty);
        let kept = |uid: String| {
            let entry = self
                .entries
                .get(&uid)
                .filter(|entry| entry.record.state != EndpointState::Removed);
            let kept = entry.map(|e| {
                (
                    e.record.clone(),
                    e.lease.map_or(Duration::ZERO, |lease| lease.lasts),
                )
            });
            (uid, kept)
        };
        dirty.into_iter().map(kept).collect()
    }

    /// Each entry that has changed after a version, with the version of its last change, in their order.
    pub fn changes_after(&self, rev: u64) -> Vec<(u64, EndpointRecord)> {
        let changed = self.changed.range(rev + 1..);
        changed
            .filter_map(|(rev, uid)| Some((*rev, self.entries.get(uid)?.record.clone())))
            .collect()
    }

    /// Takes over changes of a list that this one follows.
    pub fn follow(&mut self, changes: Vec<(u64, EndpointRecord)>) {
        for (rev, record) in changes {
            let uid = record.uid.clone();
            let entry = Entry {
                record: record.clone(),
                rev: 0,
                lease: None,
            };
            self.entries.entry(uid.clone()).or_insert(entry);
            // One step below, as each change goes one up.
            self.rev = rev - 1;
            self.change(&uid, |known| *known = record);
        }
        self.dirty.clear();
    }

    /// Carries out a command; the version then. What changes nothing leaves the version as it is.
    pub fn apply(
        &mut self,
        now: Duration,
        command: Command,
        if_rev: Option<u64>,
    ) -> Result<u64, CommandError> {
        if if_rev.is_some_and(|rev| rev != self.rev) {
            return Err(CommandError::Version(self.rev));
        }
        match command {
            Command::Register { record, lease } => self.register(now, record, lease)?,
            Command::Renew { uid, boot_ms } => {
                let entry = self.there(&uid)?;
                if entry.record.boot_ms != boot_ms {
                    return Err(CommandError::Replaced(entry.record.boot_ms));
                }
                if let Some(lease) = &mut entry.lease {
                    lease.until = now + lease.lasts;
                }
            }
            Command::Drain { uid } => {
                if self.there(&uid)?.record.state == EndpointState::Ready {
                    self.change(&uid, |record| record.state = EndpointState::Terminating);
                }
            }
            Command::Deregister { uid, boot_ms } => {
                let has = match self.there(&uid) {
                    Ok(entry) => entry.record.boot_ms,
                    // It is as the caller wants it.
                    Err(_) => return Ok(self.rev),
                };
                if boot_ms.is_some_and(|boot_ms| boot_ms != has) {
                    return Err(CommandError::Replaced(has));
                }
                self.end(&uid);
            }
            Command::Weight { uid, capacity_hint } => {
                weight(capacity_hint)?;
                if self.there(&uid)?.record.weight != capacity_hint {
                    self.change(&uid, |record| record.weight = capacity_hint);
                }
            }
        }
        Ok(self.rev)
    }

    fn there(&mut self, uid: &str) -> Result<&mut Entry, CommandError> {
        let there = self
            .entries
            .get_mut(uid)
            .filter(|entry| entry.record.state != EndpointState::Removed);
        there.ok_or_else(|| CommandError::Unknown(uid.to_owned()))
    }

    fn register(
        &mut self,
        now: Duration,
        mut record: EndpointRecord,
        lasts: Duration,
    ) -> Result<(), CommandError> {
        sound(&record)?;
        if !(Duration::from_secs(1)..=Duration::from_secs(3600)).contains(&lasts) {
            return Err(CommandError::Bad(format!(
                "ttl_s of {lasts:?}: 1 to 3600 s are possible"
            )));
        }
        record.state = EndpointState::Ready;
        let known = self.entries.get(&record.uid).map(|entry| &entry.record);
        let was_there = known.is_some_and(|known| known.state != EndpointState::Removed);
        if let Some(known) = known {
            if known.boot_ms > record.boot_ms {
                return Err(CommandError::Replaced(known.boot_ms));
            }
            if known.boot_ms == record.boot_ms && was_there {
                // The same life again: a drain is not undone by it.
                record.state = known.state;
            }
        }
        let there = |entry: &&Entry| entry.record.state != EndpointState::Removed;
        let mut others = self
            .entries
            .values()
            .filter(there)
            .filter(|e| e.record.uid != record.uid);
        let other = others
            .find(|entry| entry.record.address == record.address)
            .map(|e| &e.record);
        let taken = match other {
            Some(other) if other.boot_ms >= record.boot_ms => {
                return Err(CommandError::Taken(other.uid.clone()));
            }
            other => other.map(|other| other.uid.clone()),
        };
        let count = self.entries.values().filter(there).count();
        if !was_there && taken.is_none() && count >= self.rules.max_endpoints {
            return Err(CommandError::Full(count));
        }
        if let Some(taken) = taken {
            self.end(&taken);
        }
        let (uid, lease) = (
            record.uid.clone(),
            Some(Lease {
                lasts,
                until: now + lasts,
            }),
        );
        match self.entries.get_mut(&uid) {
            Some(entry) if entry.record == record => {
                if entry.lease.is_none_or(|lease| lease.lasts != lasts) {
                    self.dirty.insert(uid);
                }
                entry.lease = lease;
            }
            Some(entry) => {
                entry.lease = lease;
                self.change(&uid, |known| *known = record);
            }
            None => {
                let entry = Entry {
                    record: record.clone(),
                    rev: 0,
                    lease,
                };
                self.entries.insert(uid.clone(), entry);
                self.change(&uid, |known| *known = record);
            }
        }
        Ok(())
    }

    fn end(&mut self, uid: &str) {
        if let Some(entry) = self.entries.get_mut(uid) {
            entry.lease = None;
        }
        self.change(uid, |record| record.state = EndpointState::Removed);
    }

    fn change(&mut self, uid: &str, how: impl FnOnce(&mut EndpointRecord)) {
        let Some(entry) = self.entries.get_mut(uid) else {
            return;
        };
        how(&mut entry.record);
        self.rev += 1;
        self.changed.remove(&entry.rev);
        entry.rev = self.rev;
        self.changed.insert(self.rev, uid.to_owned());
        self.dirty.insert(uid.to_owned());
        while self.changed.len() > self.rules.max_retained_changes {
            let Some((rev, uid)) = self.changed.pop_first() else {
                break;
            };
            self.compacted_revision = rev;
            // Who is at an older version gets the whole list, which has no gone ones.
            if self
                .entries
                .get(&uid)
                .is_some_and(|e| e.record.state == EndpointState::Removed && e.rev == rev)
            {
                self.entries.remove(&uid);
            }
        }
    }

    /// Ends entries whose leases have ended, unless that is likelier the service's own fault; when the next one may.
    pub fn tick(&mut self, now: Duration) {
        if now.saturating_sub(self.last_tick) > self.rules.pause {
            // It stood still itself: renewals may be waiting to be read.
            self.grace_until = self.grace_until.max(now + self.rules.grace);
        }
        self.last_tick = now;
        let leased = || self.entries.values().filter(|entry| entry.lease.is_some());
        let lapsed = leased().filter(|entry| entry.lease.is_some_and(|lease| lease.until <= now));
        let lapsed: Vec<String> = lapsed.map(|entry| entry.record.uid.clone()).collect();
        let most = (leased().count() as f64 * self.rules.lapse_share).max(1.0);
        self.is_self_preserving =
            !lapsed.is_empty() && (now < self.grace_until || lapsed.len() as f64 > most);
        if !self.is_self_preserving {
            lapsed.iter().for_each(|uid| self.end(uid));
        }
    }
}

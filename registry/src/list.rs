//! The list as a state machine: commands and time in, changes out. It knows no sockets, no disk and no clock.

pub use crate::command::{Command, Record, Refused, State};
use crate::command::{sound, weight};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How the list judges leases.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Entries that there may be.
    pub entries_most: usize,
    /// Changes that a watch can go on from.
    pub changes_kept: usize,
    /// Share of the leased entries that may lapse together; if more do, the fault is likelier the service's own.
    pub lapse_share: f64,
    /// After its start, and after a pause of its own, it ends no entry for so long.
    pub grace: Duration,
    /// A tick that comes so late is a pause.
    pub pause: Duration,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            entries_most: 20_000,
            changes_kept: 10_000,
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
    record: Record,
    rev: u64,
    lease: Option<Lease>,
}

/// What a reader who is at some version has to be told.
#[derive(Clone, Debug, PartialEq)]
pub struct News<'a> {
    /// The version then.
    pub rev: u64,
    /// Whether it is the whole list.
    pub all: bool,
    /// The entries, in the order of their uids.
    pub records: Vec<&'a Record>,
}

/// The list.
#[derive(Debug)]
pub struct List {
    rules: Rules,
    entries: BTreeMap<String, Entry>,
    /// By the version of an entry's last change, whose it is.
    changed: BTreeMap<u64, String>,
    rev: u64,
    /// Changes up to this version are not known one by one any more.
    floor: u64,
    ticked: Duration,
    /// No entry is ended before.
    spared_until: Duration,
    holds: bool,
    /// Uids of entries changed since they were last taken, to be kept.
    touched: BTreeSet<String>,
}

impl List {
    /// The list as it was kept. Each lease begins anew: a restart of the service ends none.
    pub fn new(rules: Rules, now: Duration, rev: u64, kept: Vec<(Record, Duration)>) -> Self {
        let spared_until = now + rules.grace;
        let mut list = Self {
            rules,
            entries: BTreeMap::new(),
            changed: BTreeMap::new(),
            rev,
            floor: rev,
            ticked: now,
            spared_until,
            holds: false,
            touched: BTreeSet::new(),
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
    pub fn holds(&self) -> bool {
        self.holds
    }

    /// How many entries are ready, and how many terminating.
    pub fn counts(&self) -> (usize, usize) {
        let count = |state| {
            self.entries
                .values()
                .filter(|e| e.record.state == state)
                .count()
        };
        (count(State::Ready), count(State::Terminating))
    }

    /// What one at a version has to be told; `None`: one that has nothing.
    pub fn since(&self, rev: Option<u64>) -> News<'_> {
        match rev.filter(|rev| (self.floor..=self.rev).contains(rev)) {
            Some(rev) => {
                let changed = self
                    .changed
                    .range(rev + 1..)
                    .filter_map(|(_, uid)| self.entries.get(uid));
                let mut records: Vec<&Record> = changed.map(|entry| &entry.record).collect();
                records.sort_by(|a, b| a.uid.cmp(&b.uid));
                News {
                    rev: self.rev,
                    all: false,
                    records,
                }
            }
            None => {
                let there = self
                    .entries
                    .values()
                    .map(|e| &e.record)
                    .filter(|r| r.state != State::Gone);
                News {
                    rev: self.rev,
                    all: true,
                    records: there.collect(),
                }
            }
        }
    }

    /// The entries that have changed since this was last asked, with their leases' lengths; `None`: gone.
    pub fn take_touched(&mut self) -> Vec<(String, Option<(Record, Duration)>)> {
        let touched = std::mem::take(&mut self.touched);
        let kept = |uid: String| {
            let entry = self
                .entries
                .get(&uid)
                .filter(|entry| entry.record.state != State::Gone);
            let kept = entry.map(|e| {
                (
                    e.record.clone(),
                    e.lease.map_or(Duration::ZERO, |lease| lease.lasts),
                )
            });
            (uid, kept)
        };
        touched.into_iter().map(kept).collect()
    }

    /// Each entry that has changed after a version, with the version of its last change, in their order.
    pub fn changes_after(&self, rev: u64) -> Vec<(u64, Record)> {
        let changed = self.changed.range(rev + 1..);
        changed
            .filter_map(|(rev, uid)| Some((*rev, self.entries.get(uid)?.record.clone())))
            .collect()
    }

    /// Takes over changes of a list that this one follows.
    pub fn follow(&mut self, changes: Vec<(u64, Record)>) {
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
        self.touched.clear();
    }

    /// Carries out a command; the version then. What changes nothing leaves the version as it is.
    pub fn apply(
        &mut self,
        now: Duration,
        command: Command,
        if_rev: Option<u64>,
    ) -> Result<u64, Refused> {
        if if_rev.is_some_and(|rev| rev != self.rev) {
            return Err(Refused::Version(self.rev));
        }
        match command {
            Command::Register { record, lease } => self.register(now, record, lease)?,
            Command::Renew { uid, boot_ms } => {
                let entry = self.there(&uid)?;
                if entry.record.boot_ms != boot_ms {
                    return Err(Refused::Replaced(entry.record.boot_ms));
                }
                if let Some(lease) = &mut entry.lease {
                    lease.until = now + lease.lasts;
                }
            }
            Command::Drain { uid } => {
                if self.there(&uid)?.record.state == State::Ready {
                    self.change(&uid, |record| record.state = State::Terminating);
                }
            }
            Command::Deregister { uid, boot_ms } => {
                let has = match self.there(&uid) {
                    Ok(entry) => entry.record.boot_ms,
                    // It is as the caller wants it.
                    Err(_) => return Ok(self.rev),
                };
                if boot_ms.is_some_and(|boot_ms| boot_ms != has) {
                    return Err(Refused::Replaced(has));
                }
                self.end(&uid);
            }
            Command::Weight { uid, capacity_hint } => {
                weight(capacity_hint)?;
                if self.there(&uid)?.record.capacity_hint != capacity_hint {
                    self.change(&uid, |record| record.capacity_hint = capacity_hint);
                }
            }
        }
        Ok(self.rev)
    }

    fn there(&mut self, uid: &str) -> Result<&mut Entry, Refused> {
        let there = self
            .entries
            .get_mut(uid)
            .filter(|entry| entry.record.state != State::Gone);
        there.ok_or_else(|| Refused::Unknown(uid.to_owned()))
    }

    fn register(
        &mut self,
        now: Duration,
        mut record: Record,
        lasts: Duration,
    ) -> Result<(), Refused> {
        sound(&record)?;
        if !(Duration::from_secs(1)..=Duration::from_secs(3600)).contains(&lasts) {
            return Err(Refused::Bad(format!(
                "ttl_s of {lasts:?}: 1 to 3600 s are possible"
            )));
        }
        record.state = State::Ready;
        let known = self.entries.get(&record.uid).map(|entry| &entry.record);
        let was_there = known.is_some_and(|known| known.state != State::Gone);
        if let Some(known) = known {
            if known.boot_ms > record.boot_ms {
                return Err(Refused::Replaced(known.boot_ms));
            }
            if known.boot_ms == record.boot_ms && was_there {
                // The same life again: a drain is not undone by it.
                record.state = known.state;
            }
        }
        let there = |entry: &&Entry| entry.record.state != State::Gone;
        let mut others = self
            .entries
            .values()
            .filter(there)
            .filter(|e| e.record.uid != record.uid);
        let other = others
            .find(|entry| entry.record.endpoint == record.endpoint)
            .map(|e| &e.record);
        let taken = match other {
            Some(other) if other.boot_ms >= record.boot_ms => {
                return Err(Refused::Taken(other.uid.clone()));
            }
            other => other.map(|other| other.uid.clone()),
        };
        let count = self.entries.values().filter(there).count();
        if !was_there && taken.is_none() && count >= self.rules.entries_most {
            return Err(Refused::Full(count));
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
                    self.touched.insert(uid);
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
        self.change(uid, |record| record.state = State::Gone);
    }

    fn change(&mut self, uid: &str, how: impl FnOnce(&mut Record)) {
        let Some(entry) = self.entries.get_mut(uid) else {
            return;
        };
        how(&mut entry.record);
        self.rev += 1;
        self.changed.remove(&entry.rev);
        entry.rev = self.rev;
        self.changed.insert(self.rev, uid.to_owned());
        self.touched.insert(uid.to_owned());
        while self.changed.len() > self.rules.changes_kept {
            let Some((rev, uid)) = self.changed.pop_first() else {
                break;
            };
            self.floor = rev;
            // Who is at an older version gets the whole list, which has no gone ones.
            if self
                .entries
                .get(&uid)
                .is_some_and(|e| e.record.state == State::Gone && e.rev == rev)
            {
                self.entries.remove(&uid);
            }
        }
    }

    /// Ends entries whose leases have ended, unless that is likelier the service's own fault; when the next one may.
    pub fn tick(&mut self, now: Duration) {
        if now.saturating_sub(self.ticked) > self.rules.pause {
            // It stood still itself: renewals may be waiting to be read.
            self.spared_until = self.spared_until.max(now + self.rules.grace);
        }
        self.ticked = now;
        let leased = || self.entries.values().filter(|entry| entry.lease.is_some());
        let lapsed = leased().filter(|entry| entry.lease.is_some_and(|lease| lease.until <= now));
        let lapsed: Vec<String> = lapsed.map(|entry| entry.record.uid.clone()).collect();
        let most = (leased().count() as f64 * self.rules.lapse_share).max(1.0);
        self.holds = !lapsed.is_empty() && (now < self.spared_until || lapsed.len() as f64 > most);
        if !self.holds {
            lapsed.iter().for_each(|uid| self.end(uid));
        }
    }
}

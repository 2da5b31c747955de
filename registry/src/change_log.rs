//! The last change of each endpoint in the order of revisions. Watches resume from these changes.

use std::collections::BTreeMap;

/// The last change of an endpoint.
#[derive(Debug)]
pub(crate) struct LoggedChange {
    pub(crate) revision: u64,
    pub(crate) uid: String,
}

/// The retained changes. Each endpoint has at most one, with the revision of its last change.
#[derive(Debug)]
pub(crate) struct ChangeLog {
    uid_by_revision: BTreeMap<u64, String>,
    revision: u64,
    /// Changes up to this revision are not retained.
    compacted_revision: u64,
    max_changes: usize,
}

impl ChangeLog {
    /// Creates an empty log at `revision`, which retains no change up to that revision.
    pub(crate) fn new(revision: u64, max_changes: usize) -> Self {
        Self {
            uid_by_revision: BTreeMap::new(),
            revision,
            compacted_revision: revision,
            max_changes,
        }
    }

    /// Returns the current revision.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether all changes after `revision` are retained. A revision above the current one
    /// is not known, and gives `false`.
    pub(crate) fn can_resume_from(&self, revision: u64) -> bool {
        (self.compacted_revision..=self.revision).contains(&revision)
    }

    /// Returns the changes after `revision`, in the order of their revisions.
    pub(crate) fn changes_after(&self, revision: u64) -> impl Iterator<Item = (u64, &str)> {
        let changes = self.uid_by_revision.range(revision + 1..);
        changes.map(|(revision, uid)| (*revision, uid.as_str()))
    }

    /// Appends a change with the next revision, and returns that revision. The endpoint's previous
    /// change, at `previous_revision`, is removed.
    pub(crate) fn append(&mut self, uid: &str, previous_revision: u64) -> u64 {
        self.revision += 1;
        self.uid_by_revision.remove(&previous_revision);
        self.uid_by_revision.insert(self.revision, uid.to_owned());
        self.revision
    }

    /// Appends a change with the revision that it has in the log from which it is replicated.
    pub(crate) fn replicate(&mut self, uid: &str, previous_revision: u64, revision: u64) {
        self.revision = revision - 1;
        self.append(uid, previous_revision);
    }

    /// Removes and returns the oldest change if there are more than `max_changes`.
    pub(crate) fn compact_oldest(&mut self) -> Option<LoggedChange> {
        if self.uid_by_revision.len() <= self.max_changes {
            return None;
        }
        let (revision, uid) = self.uid_by_revision.pop_first()?;
        self.compacted_revision = revision;
        Some(LoggedChange { revision, uid })
    }
}

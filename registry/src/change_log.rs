//! The last change of each endpoint in the order of revisions, from which watches resume.

use std::collections::BTreeMap;

/// The change that an endpoint was last changed by.
#[derive(Debug)]
pub(crate) struct LoggedChange {
    pub(crate) revision: u64,
    pub(crate) uid: String,
}

/// The retained changes. An endpoint occurs once, with the revision of its last change.
#[derive(Debug)]
pub(crate) struct ChangeLog {
    uid_by_revision: BTreeMap<u64, String>,
    revision: u64,
    /// Changes up to this revision are not retained.
    compacted_revision: u64,
    max_changes: usize,
}

impl ChangeLog {
    /// A log that begins at a revision and retains no change before it.
    pub(crate) fn new(revision: u64, max_changes: usize) -> Self {
        Self {
            uid_by_revision: BTreeMap::new(),
            revision,
            compacted_revision: revision,
            max_changes,
        }
    }

    /// The current revision.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether all changes after a revision are retained.
    pub(crate) fn can_resume_from(&self, revision: u64) -> bool {
        (self.compacted_revision..=self.revision).contains(&revision)
    }

    /// The changes after a revision, in their order.
    pub(crate) fn changes_after(&self, revision: u64) -> impl Iterator<Item = (u64, &str)> {
        let changes = self.uid_by_revision.range(revision + 1..);
        changes.map(|(revision, uid)| (*revision, uid.as_str()))
    }

    /// Appends a change under the next revision, and returns that. It replaces the endpoint's
    /// previous change.
    pub(crate) fn append(&mut self, uid: &str, previous_revision: u64) -> u64 {
        self.revision += 1;
        self.uid_by_revision.remove(&previous_revision);
        self.uid_by_revision.insert(self.revision, uid.to_owned());
        self.revision
    }

    /// Appends a change under the revision that it has in the log that this one replicates.
    pub(crate) fn replicate(&mut self, uid: &str, previous_revision: u64, revision: u64) {
        self.revision = revision - 1;
        self.append(uid, previous_revision);
    }

    /// Drops the oldest change if there are more than may be retained.
    pub(crate) fn compact_oldest(&mut self) -> Option<LoggedChange> {
        if self.uid_by_revision.len() <= self.max_changes {
            return None;
        }
        let (revision, uid) = self.uid_by_revision.pop_first()?;
        self.compacted_revision = revision;
        Some(LoggedChange { revision, uid })
    }
}

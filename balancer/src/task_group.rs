//! Groups of background tasks that are aborted when their group is dropped.

use std::cell::RefCell;
use std::future::Future;
use tokio::task::JoinSet;

/// The background tasks of one owner, on the current thread. Dropping the group aborts them.
#[derive(Default)]
pub(crate) struct TaskGroup(RefCell<JoinSet<()>>);

impl TaskGroup {
    /// Starts a task in the group.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.0.borrow_mut();
        // The set retains a completed task until it is joined.
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(task);
    }

    /// Aborts all tasks. An owner whose tasks hold a reference to it must call this, because otherwise neither the
    /// owner nor its tasks would ever be dropped.
    pub(crate) fn abort_all(&self) {
        self.0.borrow_mut().abort_all();
    }
}

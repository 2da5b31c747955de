//! Tasks with an owner: they are aborted when it is dropped, if not earlier.

use std::cell::RefCell;
use std::future::Future;
use tokio::task::JoinSet;

/// The background tasks of one owner, on the current thread.
#[derive(Default)]
pub(crate) struct TaskGroup(RefCell<JoinSet<()>>);

impl TaskGroup {
    /// Starts a task.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.0.borrow_mut();
        // The set retains a completed task until it is joined.
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(task);
    }

    /// Aborts all tasks. Needed where a task references its owner: otherwise neither would ever be dropped.
    pub(crate) fn abort_all(&self) {
        self.0.borrow_mut().abort_all();
    }
}

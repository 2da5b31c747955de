//! Tasks with an owner: they end at the latest when it is dropped.

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
        // A task that has ended is kept by the set until it is joined.
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(task);
    }

    /// Ends all tasks. One that holds its owner must be ended so, or neither is ever dropped.
    pub(crate) fn abort_all(&self) {
        self.0.borrow_mut().abort_all();
    }
}

//! Turns, which keep a client that does not wait for its responses from delaying others.

use tokio::sync::Notify;
use tokio::task::yield_now;

/// The turns of all connections. Between two turns the runtime processes the I/O events of all connections. A task cannot
/// find that out by yielding, because another wake-up of the task ends the yield early.
#[derive(Default)]
pub(super) struct Turns {
    requested: Notify,
    begun: Notify,
}

impl Turns {
    /// Waits for the next turn.
    pub(super) async fn next(&self) {
        let begun = self.begun.notified();
        self.requested.notify_one();
        begun.await;
    }

    /// Begins a turn whenever one is requested; never returns.
    pub(super) async fn run(&self) {
        loop {
            self.requested.notified().await;
            yield_now().await;
            self.begun.notify_waiters();
        }
    }
}

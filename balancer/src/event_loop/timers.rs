//! Timers that the decision module starts.

use super::{EventLoop, LoopState, QueuedEvent};
use frostkeel_policy::{Event, TimerId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

impl EventLoop {
    /// Starts a timer, which queues one event when `after` has elapsed.
    pub(super) fn start_timer(self: &Rc<Self>, after: Duration, timer: TimerId) {
        let event_loop = Rc::clone(self);
        self.tasks.spawn(async move {
            sleep(after).await;
            event_loop.enqueue(QueuedEvent::TimerDue(timer));
        });
    }

    pub(super) fn on_timer(&self, state: &mut LoopState, now: Duration, timer: TimerId) {
        state.decide(now, Event::Timer { timer });
    }
}

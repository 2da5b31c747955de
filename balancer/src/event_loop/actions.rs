//! What the decision module wants done.

use super::{EventLoop, LoopState, QueuedEvent};
use crate::in_flight::FinalResponse;
use frostkeel_policy::{Action, TimerId, UpstreamId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

impl EventLoop {
    pub(super) fn perform(self: &Rc<Self>, state: &mut LoopState, action: Action) {
        match action {
            Action::Attempt {
                id,
                upstream,
                timeout,
            } => self.start_attempt(state, id, upstream, timeout),
            Action::Cancel { id, attempt } => self.cancel_attempt(state, id, attempt),
            Action::Reject {
                id,
                retry_after,
                reason,
            } => {
                tracing::debug!(
                    request_id = id.0,
                    ?retry_after,
                    reason = reason.as_str(),
                    "request rejected"
                );
                self.respond(state, id, FinalResponse::Rejected { retry_after }, reason);
            }
            Action::Fail { id, reason } => {
                tracing::debug!(
                    request_id = id.0,
                    reason = reason.as_str(),
                    "request failed"
                );
                self.respond(state, id, FinalResponse::Failed, reason);
            }
            Action::Timer { after, timer } => self.start_timer(after, timer),
            Action::WatchEndpoints => self.start_watch(),
            Action::CloseIdleConnections { upstream } => self.upstreams.close_idle(upstream),
            Action::HealthCheck { upstream } => self.start_health_check(upstream),
            Action::Log(event) => tracing::info!("{event}"),
        }
    }

    fn start_timer(self: &Rc<Self>, after: Duration, timer: TimerId) {
        let event_loop = Rc::clone(self);
        self.tasks.spawn(async move {
            sleep(after).await;
            event_loop.enqueue(QueuedEvent::TimerDue(timer));
        });
    }

    fn start_health_check(self: &Rc<Self>, upstream: UpstreamId) {
        let (event_loop, started_at) = (Rc::clone(self), Instant::now());
        self.tasks.spawn(async move {
            let result = event_loop.upstreams.health_check(upstream).await;
            let latency = started_at.elapsed();
            event_loop.enqueue(QueuedEvent::HealthCheckEnded {
                upstream,
                latency,
                result,
            });
        });
    }
}

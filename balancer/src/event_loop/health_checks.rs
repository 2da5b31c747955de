//! Health checks of upstreams. Each runs as its own task, which queues one event when the health check has ended.

use super::{EventLoop, LoopState, QueuedEvent};
use crate::upstream::AttemptResult;
use frostkeel_policy::{Event, UpstreamId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

impl EventLoop {
    pub(super) fn start_health_check(self: &Rc<Self>, upstream: UpstreamId) {
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

    pub(super) fn on_health_check_ended(
        &self,
        state: &mut LoopState,
        now: Duration,
        upstream: UpstreamId,
        result: &AttemptResult,
        latency: Duration,
    ) {
        let event = Event::HealthCheckEnded {
            upstream,
            outcome: result.outcome,
            latency,
            report: &result.load_report,
        };
        state.decide(now, event);
    }
}

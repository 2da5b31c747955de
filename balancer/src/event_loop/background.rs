//! Periodic background tasks: closing expired upstream connections and logging the balancer's status.

use super::EventLoop;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The interval between two log entries of the status and the request counters.
const STATUS_INTERVAL: Duration = Duration::from_secs(5);

impl EventLoop {
    pub(super) fn start_background_tasks(self: &Rc<Self>) {
        let event_loop = Rc::clone(self);
        self.tasks
            .spawn(async move { event_loop.upstreams.close_expired_periodically().await });
        let event_loop = Rc::clone(self);
        self.tasks
            .spawn(async move { event_loop.log_status_periodically().await });
    }

    async fn log_status_periodically(&self) {
        loop {
            sleep(STATUS_INTERVAL).await;
            self.log_status();
        }
    }

    fn log_status(&self) {
        let state = &mut *self.state.borrow_mut();
        let status = state.balancer.status();
        tracing::info!(counters = %state.counters, "request counters");
        state.counters.reset();
        tracing::info!(
            requests_in_flight = state.in_flight.len(),
            spare_capacity = status.spare_capacity,
            service_rate = status.service_rate,
            utilization = status.utilization,
            mean_latency_s = status.mean_latency_s,
            demand_per_s = status.demand_per_s,
            in_flight = status.in_flight,
            rotation_size = status.rotation_size,
            warming_up = status.warming_up,
            ejected = status.ejected,
            "status"
        );
    }
}

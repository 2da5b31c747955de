//! The actions that the decision module returns, and how the event loop performs them.

use super::{EventLoop, LoopState};
use crate::in_flight::FinalResponse;
use frostkeel_policy::{Action, LogEvent};
use std::rc::Rc;

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
            Action::Log(event) => log_policy_event(&event),
        }
    }
}

fn log_policy_event(event: &LogEvent) {
    match event {
        LogEvent::EndpointsConfirmed {
            paused_for_s,
            cause,
        } => {
            let paused_for_s = format_args!("{paused_for_s:.2}");
            tracing::info!(%paused_for_s, reason = cause.as_str(), "sends resumed");
        }
    }
}

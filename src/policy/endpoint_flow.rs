//! The flow of an endpoint update through polling, the lease, the upstreams and the subset.

use super::Balancer;
use super::endpoint_polling::PollFailure;
use super::endpoints::{UpdateContext, apply_update};
use crate::interface::{Action, Endpoint, UpdateScope, WatchEvent};

impl Balancer {
    /// Processes an update of the endpoint list, or the failure of a poll or a watch.
    pub(super) fn on_endpoints(&mut self, scope: UpdateScope, endpoints: &[Endpoint]) {
        self.polling.on_response_end();
        if scope == UpdateScope::Failed {
            let failure = PollFailure {
                was_partial: self.lease.has_partial_response(),
                was_rejected: self.lease.polls_are_rejected(),
            };
            self.polling
                .on_failure(&failure, self.now_s, &mut self.random);
            return;
        }
        if scope != UpdateScope::Cached {
            self.polling.on_update();
        }
        let log_event = self.lease.renew(self.now_s);
        self.actions.extend(log_event.map(Action::Log));
        let mut context = UpdateContext {
            endpoint_weights: self.settings.endpoint_weights,
            class_count: self.settings.classes.len(),
            weights: &self.weights,
            load_reports: &self.load_reports,
            random: &mut self.random,
            now_s: self.now_s,
        };
        if apply_update(&mut self.upstreams, scope, endpoints, &mut context) {
            self.choose_subset();
        } else {
            self.update_weights(0.0);
        }
    }

    /// Processes a change in the state of the endpoint watch or a poll.
    pub(super) fn on_watch_event(&mut self, event: WatchEvent) {
        self.lease.on_watch_event(event, self.now_s);
        if matches!(event, WatchEvent::Partial { .. }) {
            self.polling.on_partial_response();
        }
    }

    /// Chooses the subset again, closes the idle connections to upstreams that left it, adapts the
    /// capacity if a partial subset has grown, and restarts the round robin with the new members.
    pub(super) fn choose_subset(&mut self) {
        let choice = self.subset.choose(&mut self.upstreams, self.now_s);
        let close = |upstream| Action::CloseIdleConnections { upstream };
        self.actions
            .extend(choice.removed_ids.into_iter().map(close));
        let previous_member_count = self.rotation.member_slots().len();
        let growth_factor = choice.member_slots.len() as f64 / previous_member_count.max(1) as f64;
        if choice.is_partial && previous_member_count > 0 && growth_factor > 1.0 {
            self.capacity.on_rotation_grown(growth_factor);
        }
        let mut member_slots = choice.member_slots;
        self.random.shuffle(&mut member_slots);
        self.rotation.replace(member_slots);
        self.update_weights(0.0);
    }
}

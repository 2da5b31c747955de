//! Updates of the endpoint list, which the event loop passes to the decision module and applies to the upstreams.

use super::{EventLoop, LoopState, QueuedEvent};
use crate::discovery::{DiscoveryEvent, EndpointEntry, EndpointUpdate};
use crate::incarnations::{Incarnations, StartObservation};
use frostkeel_policy::{Endpoint, Event, UpdateScope, UpstreamId, WatchEvent};
use rustc_hash::FxHashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

impl EventLoop {
    /// Sets the address of discovery. If the address has changed, a watch at the old address is replaced by one at the
    /// new address.
    pub fn set_discovery_address(self: &Rc<Self>, address: SocketAddr) {
        if self.discovery.set_address(address) {
            self.enqueue(QueuedEvent::DiscoveryMoved);
            self.start_watch();
        }
    }

    /// Starts a watch, which replaces the previous one.
    pub(super) fn start_watch(self: &Rc<Self>) {
        let event_loop = Rc::clone(self);
        let watch = self.discovery.begin_watch();
        let task = spawn_local(async move {
            let report = |event| event_loop.enqueue(QueuedEvent::Discovery(event));
            event_loop.discovery.watch(watch, report).await;
        });
        self.discovery.set_watch_task(task.abort_handle());
    }

    pub(super) fn on_discovery_moved(&self, state: &mut LoopState, now: Duration) {
        state.decide(now, Event::Watch(WatchEvent::Moved));
        self.apply_send_pause(state);
    }

    pub(super) fn on_discovery_event(
        &self,
        state: &mut LoopState,
        now: Duration,
        event: DiscoveryEvent,
    ) {
        let at = |instant| self.clock.at(instant);
        let event = match event {
            DiscoveryEvent::Update(update) => return self.on_endpoint_update(state, now, &update),
            DiscoveryEvent::Silent(since) => WatchEvent::Silent { since: at(since) },
            DiscoveryEvent::Ended => WatchEvent::Ended,
            DiscoveryEvent::Partial(since) => WatchEvent::Partial { since: at(since) },
            DiscoveryEvent::Rejected(requested) => WatchEvent::Rejected {
                requested_at: at(requested),
            },
            DiscoveryEvent::Unreachable(requested) => WatchEvent::Unreachable {
                requested_at: at(requested),
            },
        };
        state.decide(now, Event::Watch(event));
        self.apply_send_pause(state);
    }

    fn on_endpoint_update(&self, state: &mut LoopState, now: Duration, update: &EndpointUpdate) {
        let endpoints = self.apply_update(update);
        state.decide(
            now,
            Event::EndpointsUpdated {
                scope: update.scope,
                endpoints: &endpoints,
            },
        );
        self.apply_send_pause(state);
    }

    /// Passes the send pause to the upstreams: the time after the end of the decision module's lease on the endpoint
    /// list, when the list may be outdated.
    fn apply_send_pause(&self, state: &LoopState) {
        let pause = state.balancer.send_pause();
        let instants =
            pause.map(|pause| self.clock.instant(pause.from)..self.clock.instant(pause.until));
        self.upstreams.pause_sends(instants);
    }

    /// Applies an update to the upstreams, and returns its entries in the form of the decision module.
    fn apply_update(&self, update: &EndpointUpdate) -> Vec<Endpoint> {
        let incarnations = &mut *self.incarnations.borrow_mut();
        let (now, is_first_list) = (self.clock.now(), incarnations.is_empty());
        if matches!(update.scope, UpdateScope::Snapshot | UpdateScope::Cached) {
            let listed: FxHashSet<UpstreamId> =
                update.entries.iter().map(|entry| entry.id).collect();
            self.upstreams.remove_unlisted(|id| listed.contains(&id));
            incarnations.remove_unlisted(&listed);
        }
        let apply = |entry| self.apply_entry(entry, incarnations, now, is_first_list);
        update.entries.iter().map(apply).collect()
    }

    fn apply_entry(
        &self,
        entry: &EndpointEntry,
        incarnations: &mut Incarnations,
        now: Duration,
        is_first_list: bool,
    ) -> Endpoint {
        self.upstreams.apply_endpoint(entry.id, &entry.state);
        let wall_clock_start = self.clock.at_unix_ms(entry.state.boot_ms);
        Endpoint {
            id: entry.id,
            zone: entry.zone,
            hardware_kind: entry.hardware_kind,
            cell: entry.cell,
            availability: entry.state.availability,
            weight: entry.weight,
            started: incarnations.observe(
                entry,
                &StartObservation {
                    now,
                    wall_clock_start,
                    is_first_list,
                },
            ),
        }
    }
}

//! The event loop that drives the decision module, the crate `frostkeel-policy`. It converts the results of I/O into
//! events for the module, and performs the actions that the module returns, in their order. It makes no decisions
//! itself.
//!
//! Events are queued and processed one at a time, so that an action that queues another event does not re-enter the
//! module.

mod actions;
mod attempts;
mod background;
mod endpoints;
mod health_checks;
mod requests;
mod timers;

use crate::abandoned_requests::AbandonedRequests;
use crate::clock::Clock;
use crate::discovery::{Discovery, DiscoveryEvent, EndpointUpdate};
use crate::in_flight::InFlightTable;
use crate::incarnations::Incarnations;
use crate::request_counters::RequestCounters;
use crate::task_group::TaskGroup;
use crate::upstream::{AttemptResult, Upstreams};
use frostkeel_policy::{Action, AttemptNo, Balancer, Event, RequestId, TimerId, UpstreamId};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// An event in the queue of the event loop.
enum QueuedEvent {
    /// An event of a watch on the endpoint list.
    Discovery(DiscoveryEvent),
    /// The address of discovery has changed.
    DiscoveryMoved,
    /// A client's request was submitted.
    RequestReceived(RequestId),
    /// An attempt has ended, or was cancelled or aborted.
    AttemptEnded {
        id: RequestId,
        attempt: AttemptNo,
        result: AttemptResult,
    },
    /// A health check has ended.
    HealthCheckEnded {
        upstream: UpstreamId,
        latency: Duration,
        result: AttemptResult,
    },
    /// The client of a request disconnected before its final response.
    ClientDisconnected(RequestId),
    /// A timer of the decision module is due.
    TimerDue(TimerId),
}

/// The state that is borrowed mutably for as long as an event is processed.
struct LoopState {
    balancer: Balancer,
    in_flight: InFlightTable,
    counters: RequestCounters,
    /// The actions that the decision module returned for the current event.
    actions: Vec<Action>,
}

impl LoopState {
    /// Passes an event to the decision module, which adds its actions to `actions`.
    fn decide(&mut self, now: Duration, event: Event<'_>) {
        self.balancer.handle(now, event, &mut self.actions);
    }
}

/// The event loop of one balancer. It owns the decision module, the requests in flight and the upstreams.
pub struct EventLoop {
    clock: Clock,
    state: RefCell<LoopState>,
    queue: RefCell<VecDeque<QueuedEvent>>,
    is_processing: Cell<bool>,
    upstreams: Upstreams,
    incarnations: RefCell<Incarnations>,
    discovery: Discovery,
    abandoned: AbandonedRequests,
    /// Whether all attempts must be aborted, shortly before the process ends.
    force_close: watch::Sender<bool>,
    tasks: TaskGroup,
}

impl EventLoop {
    /// Starts the loop. Its first event is `cached_list`, the endpoint list in the configuration.
    pub fn start(
        balancer: Balancer,
        counters: RequestCounters,
        upstreams: Upstreams,
        discovery: Discovery,
        cached_list: EndpointUpdate,
    ) -> Rc<Self> {
        let state = LoopState {
            balancer,
            in_flight: InFlightTable::default(),
            counters,
            actions: Vec::new(),
        };
        let event_loop = Rc::new(Self {
            clock: Clock::start(),
            state: RefCell::new(state),
            queue: RefCell::default(),
            is_processing: Cell::new(false),
            upstreams,
            incarnations: RefCell::default(),
            discovery,
            abandoned: AbandonedRequests::default(),
            force_close: watch::Sender::new(false),
            tasks: TaskGroup::default(),
        });
        event_loop.start_background_tasks();
        event_loop.enqueue(QueuedEvent::Discovery(DiscoveryEvent::Update(cached_list)));
        event_loop
    }

    /// Aborts all current and future attempts, so that the decision module gives every request in flight its final
    /// response before the process ends.
    pub fn force_close(&self) {
        self.force_close.send_replace(true);
    }

    /// Closes up to `count` idle connections to upstreams.
    pub fn close_idle_connections(&self, count: usize) {
        self.upstreams.close_oldest_idle(count);
    }

    /// Aborts the watch on the endpoint list and all background tasks of the loop.
    pub fn stop(&self) {
        self.discovery.stop();
        self.tasks.abort_all();
    }

    /// Queues an event, and processes the queue unless a caller is already processing it.
    fn enqueue(self: &Rc<Self>, event: QueuedEvent) {
        self.queue.borrow_mut().push_back(event);
        if self.is_processing.replace(true) {
            return;
        }
        loop {
            let next = self.queue.borrow_mut().pop_front();
            let Some(next) = next else { break };
            self.process_event(&mut self.state.borrow_mut(), next);
        }
        self.is_processing.set(false);
    }

    /// Passes one event to the decision module, and performs the actions that the module returns.
    fn process_event(self: &Rc<Self>, state: &mut LoopState, event: QueuedEvent) {
        let now = self.clock.now();
        match event {
            QueuedEvent::Discovery(event) => self.on_discovery_event(state, now, event),
            QueuedEvent::DiscoveryMoved => self.on_discovery_moved(state, now),
            QueuedEvent::RequestReceived(id) => self.on_request(state, now, id),
            QueuedEvent::AttemptEnded {
                id,
                attempt,
                result,
            } => self.on_attempt_ended(state, now, id, attempt, result),
            QueuedEvent::HealthCheckEnded {
                upstream,
                latency,
                result,
            } => self.on_health_check_ended(state, now, upstream, &result, latency),
            QueuedEvent::ClientDisconnected(id) => self.on_client_disconnected(state, now, id),
            QueuedEvent::TimerDue(timer) => self.on_timer(state, now, timer),
        }
        let mut actions = std::mem::take(&mut state.actions);
        for action in actions.drain(..) {
            self.perform(state, action);
        }
        state.actions = actions;
    }
}

//! The embedder of the decision module: sole owner of the `Balancer`. It turns what happens into events and
//! carries out the actions, in order. It decides nothing.
//!
//! Everything that happens is put in a queue and played from there, one event at a time, so that the module
//! is never entered twice; tasks only ever add to the queue.

use crate::clock::Clock;
use crate::discovery::{Discovery, DiscoveryEvent};
use crate::endpoint_list::EndpointUpdate;
use crate::headers::CORRELATION_ID;
use crate::in_flight::{Attempt, ClientRequest, FinalResponse, InFlightRequest};
use crate::incarnations::Incarnations;
use crate::pending_response::PendingResponse;
use crate::request_counters::RequestCounters;
use crate::upstream::{AttemptResult, Upstreams};
use frostkeel_policy::{
    Action, AttemptNo, Balancer, Endpoint, Event, FailureReason, Outcome, RequestId, TimerId,
    UpdateScope, UpstreamId, WatchEvent,
};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// How often the log says how the balancer stands.
const STATUS_INTERVAL: Duration = Duration::from_secs(5);

/// What is told to the module next.
enum QueuedEvent {
    Discovery(DiscoveryEvent),
    DiscoveryMoved,
    RequestReceived(RequestId),
    AttemptEnded(RequestId, AttemptNo, AttemptResult),
    HealthCheckEnded(UpstreamId, Duration, AttemptResult),
    ClientDisconnected(RequestId),
    TimerDue(TimerId),
}

struct Core {
    balancer: Balancer,
    requests: FxHashMap<RequestId, InFlightRequest>,
    actions: Vec<Action>,
    next_id: u32,
    counters: RequestCounters,
}

/// The event_loop of one `Balancer`.
pub struct EventLoop {
    clock: Clock,
    core: RefCell<Core>,
    queue: RefCell<VecDeque<QueuedEvent>>,
    is_processing: Cell<bool>,
    upstreams: Upstreams,
    incarnations: RefCell<Incarnations>,
    discovery: Discovery,
    /// Set when what is held has to end.
    force_close: watch::Sender<bool>,
}

impl EventLoop {
    /// A event_loop with the list of upstreams known before the start, and an empty counters of its classes.
    pub fn start(
        balancer: Balancer,
        counters: RequestCounters,
        upstreams: Upstreams,
        discovery: Discovery,
        known: EndpointUpdate,
    ) -> Rc<Self> {
        let core = Core {
            balancer,
            requests: FxHashMap::default(),
            actions: Vec::new(),
            next_id: 0,
            counters,
        };
        let event_loop = Rc::new(Self {
            clock: Clock::start(),
            core: RefCell::new(core),
            queue: RefCell::default(),
            is_processing: Cell::new(false),
            upstreams,
            incarnations: RefCell::default(),
            discovery,
            force_close: watch::Sender::new(false),
        });
        let sweeper = Rc::clone(&event_loop);
        spawn_local(async move { sweeper.upstreams.close_expired_periodically().await });
        let teller = Rc::clone(&event_loop);
        spawn_local(async move { teller.log_status_periodically().await });
        event_loop.enqueue(QueuedEvent::Discovery(DiscoveryEvent::Update(known)));
        event_loop
    }

    /// Hands a request to the module. Its final answer comes from what is returned; when that is dropped
    /// before, the client has gone.
    pub fn submit(self: &Rc<Self>, asked: ClientRequest) -> PendingResponse {
        let (reply, answer) = oneshot::channel();
        let id = {
            let core = &mut *self.core.borrow_mut();
            // Ids are not reused while one may be in use: they go round only after 2^32 requests.
            let id = RequestId(core.next_id);
            core.next_id = core.next_id.wrapping_add(1);
            let (came, reply) = (Instant::now(), Some(reply));
            let held = InFlightRequest {
                asked: Rc::new(asked),
                came,
                reply,
                attempts: Vec::new(),
            };
            core.requests.insert(id, held);
            id
        };
        self.enqueue(QueuedEvent::RequestReceived(id));
        PendingResponse::new(Rc::clone(self), id, answer)
    }

    /// The client of a request that is owed its answer has gone.
    pub(crate) fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        self.enqueue(QueuedEvent::ClientDisconnected(id));
    }

    /// Discovery has moved: a watch goes on there.
    pub fn set_discovery_address(self: &Rc<Self>, address: SocketAddr) {
        if self.discovery.move_to(address) {
            self.enqueue(QueuedEvent::DiscoveryMoved);
            self.watch();
        }
    }

    /// Watches discovery, in place of the watch before.
    fn watch(self: &Rc<Self>) {
        let event_loop = Rc::clone(self);
        let number = self.discovery.begin_watch();
        let watch = spawn_local(async move {
            event_loop
                .discovery
                .watch(number, |event| {
                    event_loop.enqueue(QueuedEvent::Discovery(event))
                })
                .await;
        });
        self.discovery.watched_by(watch.abort_handle());
    }

    /// Logs how the balancer stands, again and again.
    async fn log_status_periodically(&self) {
        loop {
            sleep(STATUS_INTERVAL).await;
            let core = &mut *self.core.borrow_mut();
            let status = core.balancer.status();
            tracing::info!(held = core.requests.len(), counters = %core.counters, ?status);
            core.counters.reset();
        }
    }

    /// Ends all attempts that are out, and each that may follow, so that the module gives what it holds its
    /// final answer: the process is about to end.
    pub fn force_close(&self) {
        self.force_close.send_replace(true);
    }

    /// Takes in what has happened and does what follows from it.
    fn enqueue(self: &Rc<Self>, event: QueuedEvent) {
        self.queue.borrow_mut().push_back(event);
        if self.is_processing.replace(true) {
            return;
        }
        loop {
            let next = self.queue.borrow_mut().pop_front();
            let Some(next) = next else { break };
            self.process_event(&mut self.core.borrow_mut(), next);
        }
        self.is_processing.set(false);
    }

    /// Plays one event into the module and carries out its actions.
    fn process_event(self: &Rc<Self>, core: &mut Core, event: QueuedEvent) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut core.actions);
        match event {
            QueuedEvent::Discovery(event) => self.watch_event(core, now, event, &mut actions),
            QueuedEvent::DiscoveryMoved => {
                core.balancer
                    .handle(now, Event::Watch(WatchEvent::Moved), &mut actions);
                self.pause_sends(core);
            }
            QueuedEvent::RequestReceived(id) => {
                let Some(held) = core.requests.get(&id) else {
                    return;
                };
                let asked = &held.asked;
                core.counters.count_received(asked.class);
                let event = Event::Request {
                    id,
                    class: asked.class,
                    tenant: asked.tenant,
                    time_left: asked.deadline.saturating_duration_since(Instant::now()),
                    work_ms: asked.work_ms,
                    is_retry: asked.is_retry,
                };
                let (class, tenant) = (asked.class.0, asked.tenant.0);
                let left = asked.deadline.saturating_duration_since(Instant::now());
                let correlation = asked.outgoing.headers.get(CORRELATION_ID);
                tracing::debug!(
                    id = id.0,
                    ?correlation,
                    class,
                    tenant,
                    ?left,
                    is_retry = asked.is_retry,
                    "asked"
                );
                core.balancer.handle(now, event, &mut actions);
            }
            QueuedEvent::AttemptEnded(id, no, ended) => {
                let Some(held) = core.requests.get_mut(&id) else {
                    return;
                };
                // One event for each: a cancelled attempt may have ended by itself just before.
                let Some(attempt) = held.attempts.get_mut(usize::from(no.0)).filter(|a| a.out)
                else {
                    return;
                };
                attempt.out = false;
                core.counters.count_attempt(held.asked.class, ended.outcome);
                let (upstream, latency) = (attempt.upstream, attempt.sent.elapsed());
                let (outcome, report) = (ended.outcome, &ended.report);
                tracing::debug!(
                    id = id.0,
                    no = no.0,
                    upstream = upstream.0,
                    ?latency,
                    ?outcome,
                    ?report
                );
                // A second copy's answer comes to a request that is over: it is dropped.
                if let Some(served) = ended.served
                    && let Some(reply) = held.reply.take()
                {
                    core.counters
                        .count_forwarded(held.asked.class, held.came.elapsed());
                    // Where the client has just gone, nobody waits for it.
                    let _ = reply.send(FinalResponse::Forwarded(served));
                }
                let finished = held.reply.is_none();
                let event = Event::AttemptEnded {
                    id,
                    attempt: no,
                    upstream,
                    outcome: ended.outcome,
                    latency,
                    finished,
                    report: &ended.report,
                };
                core.balancer.handle(now, event, &mut actions);
                self.release(core, id);
            }
            QueuedEvent::HealthCheckEnded(upstream, latency, ended) => {
                let event = Event::HealthCheckEnded {
                    upstream,
                    outcome: ended.outcome,
                    latency,
                    report: &ended.report,
                };
                core.balancer.handle(now, event, &mut actions);
            }
            QueuedEvent::ClientDisconnected(id) => {
                let Some(held) = core.requests.get_mut(&id) else {
                    return;
                };
                if held.reply.take().is_some() {
                    tracing::debug!(id = id.0, "client has left");
                    core.counters.count_client_disconnected(held.asked.class);
                    core.balancer
                        .handle(now, Event::ClientDisconnected { id }, &mut actions);
                }
                self.release(core, id);
            }
            QueuedEvent::TimerDue(timer) => {
                core.balancer
                    .handle(now, Event::Timer { timer }, &mut actions)
            }
        }
        for action in actions.drain(..) {
            self.perform(core, action);
        }
        core.actions = actions;
    }

    /// Tells the module what has come of a watch, and the connections for how long its list is sent by.
    fn watch_event(
        &self,
        core: &mut Core,
        now: Duration,
        event: DiscoveryEvent,
        actions: &mut Vec<Action>,
    ) {
        let endpoints;
        let event = match event {
            DiscoveryEvent::Update(update) => {
                endpoints = self.apply_update(&update);
                Event::EndpointsUpdated {
                    scope: update.scope,
                    endpoints: &endpoints,
                }
            }
            DiscoveryEvent::Silent(since) => Event::Watch(WatchEvent::Silent {
                since: self.clock.at(since),
            }),
            DiscoveryEvent::Ended => Event::Watch(WatchEvent::Ended),
            DiscoveryEvent::Partial(since) => Event::Watch(WatchEvent::Partial {
                since: self.clock.at(since),
            }),
            DiscoveryEvent::Refused(called) => Event::Watch(WatchEvent::Rejected {
                requested_at: self.clock.at(called),
            }),
            DiscoveryEvent::Unreachable(called) => Event::Watch(WatchEvent::Unreachable {
                requested_at: self.clock.at(called),
            }),
        };
        core.balancer.handle(now, event, actions);
        self.pause_sends(core);
    }

    fn pause_sends(&self, core: &Core) {
        let held = core.balancer.send_pause();
        self.upstreams
            .pause_sends(held.map(|h| self.clock.instant(h.from)..self.clock.instant(h.until)));
    }

    /// Applies update to the connections and words them for the module.
    fn apply_update(&self, update: &EndpointUpdate) -> Vec<Endpoint> {
        let incarnations = &mut *self.incarnations.borrow_mut();
        let (now, first) = (self.clock.now(), incarnations.is_empty());
        if matches!(update.scope, UpdateScope::Snapshot | UpdateScope::Cached) {
            let ids: FxHashSet<UpstreamId> = update.entries.iter().map(|e| e.id).collect();
            self.upstreams.retain_listed(|id| ids.contains(&id));
            incarnations.retain_listed(&ids);
        }
        let endpoints = update.entries.iter().map(|entry| {
            self.upstreams.apply_endpoint(entry.id, &entry.place);
            Endpoint {
                id: entry.id,
                zone: entry.zone,
                kind: entry.kind,
                cell: entry.cell,
                availability: entry.place.availability,
                weight: entry.weight,
                started: incarnations.observe(
                    entry,
                    now,
                    self.clock.at_unix_ms(entry.place.boot_ms),
                    first,
                ),
            }
        });
        endpoints.collect()
    }

    fn perform(self: &Rc<Self>, core: &mut Core, action: Action) {
        match action {
            Action::Attempt {
                id,
                upstream,
                timeout,
            } => self.attempt(core, id, upstream, timeout),
            Action::Cancel { id, attempt } => {
                let out = core
                    .requests
                    .get(&id)
                    .and_then(|held| held.attempts.get(usize::from(attempt.0)));
                if let Some(out) = out.filter(|a| a.out) {
                    out.task.abort();
                    let cancelled =
                        QueuedEvent::AttemptEnded(id, attempt, Outcome::Cancelled.into());
                    self.queue.borrow_mut().push_back(cancelled);
                }
            }
            Action::Reject {
                id,
                retry_after,
                reason,
            } => {
                tracing::debug!(id = id.0, ?retry_after, ?reason, "refused");
                self.answer(core, id, FinalResponse::Rejected(retry_after), reason);
            }
            Action::Fail { id, reason } => {
                tracing::debug!(id = id.0, ?reason, "failed");
                self.answer(core, id, FinalResponse::Failed, reason);
            }
            Action::Timer { after, timer } => {
                let event_loop = Rc::clone(self);
                spawn_local(async move {
                    sleep(after).await;
                    event_loop.enqueue(QueuedEvent::TimerDue(timer));
                });
            }
            Action::WatchEndpoints => self.watch(),
            Action::CloseIdleConnections { upstream } => self.upstreams.close_idle(upstream),
            Action::HealthCheck { upstream } => {
                let (event_loop, sent) = (Rc::clone(self), Instant::now());
                spawn_local(async move {
                    let ended = event_loop.upstreams.health_check(upstream).await;
                    event_loop.enqueue(QueuedEvent::HealthCheckEnded(
                        upstream,
                        sent.elapsed(),
                        ended,
                    ));
                });
            }
            Action::Log(event) => tracing::info!("{event}"),
        }
    }

    fn attempt(
        self: &Rc<Self>,
        core: &mut Core,
        id: RequestId,
        upstream: UpstreamId,
        timeout: Option<Duration>,
    ) {
        let Some(held) = core.requests.get_mut(&id) else {
            return;
        };
        let (sent, no) = (Instant::now(), AttemptNo(held.attempts.len() as u8));
        let give_up = timeout.map_or(held.asked.deadline, |t| held.asked.deadline.min(sent + t));
        let (event_loop, asked) = (Rc::clone(self), Rc::clone(&held.asked));
        let mut force_close = self.force_close.subscribe();
        let begun = Rc::new(Cell::new(false));
        let begins = Rc::clone(&begun);
        let task = spawn_local(async move {
            let ended = if *force_close.borrow() {
                Outcome::NotSent.into()
            } else {
                tokio::select! {
                    ended = event_loop.upstreams.attempt(upstream, &asked.outgoing, give_up, &begins) => ended,
                    _ = force_close.wait_for(|cut| *cut) => Outcome::TimedOut.into(),
                }
            };
            event_loop.enqueue(QueuedEvent::AttemptEnded(id, no, ended));
        });
        held.attempts.push(Attempt {
            upstream,
            sent,
            task: task.abort_handle(),
            begun,
            out: true,
        });
    }

    /// Gives a request its final answer, which is not an upstream's.
    fn answer(&self, core: &mut Core, id: RequestId, answer: FinalResponse, reason: FailureReason) {
        if let Some(held) = core.requests.get_mut(&id)
            && let Some(reply) = held.reply.take()
        {
            core.counters.count_failed(held.asked.class, reason);
            let _ = reply.send(answer);
        }
        self.release(core, id);
    }

    /// Lets go of a request that has its answer and no attempt out. Attempts that have not begun are dropped, also
    /// where the site allows none to be cancelled: nobody waits for them, and nothing of them has left.
    fn release(&self, core: &mut Core, id: RequestId) {
        let Some(held) = core.requests.get(&id).filter(|held| held.reply.is_none()) else {
            return;
        };
        for (no, attempt) in held
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, a)| a.out && !a.begun.get())
        {
            attempt.task.abort();
            let dropped =
                QueuedEvent::AttemptEnded(id, AttemptNo(no as u8), Outcome::NotSent.into());
            self.queue.borrow_mut().push_back(dropped);
        }
        let over = |held: &InFlightRequest| held.attempts.iter().all(|a| !a.out);
        if core.requests.get(&id).is_some_and(over) {
            core.requests.remove(&id);
        }
    }
}

//! The embedder of the decision module: sole owner of the `Balancer`. It turns what happens into events and
//! carries out the actions, in order. It decides nothing.
//!
//! Everything that happens is put in a queue and played from there, one event at a time, so that the module
//! is never entered twice; tasks only ever add to the queue.

use crate::clock::Clock;
use crate::discovery::{Discovery, DiscoveryEvent};
use crate::headers::CORRELATION_ID;
use crate::in_flight::{Answer, Asked, Attempt, Held};
use crate::list::ListUpdate;
use crate::pending::Pending;
use crate::starts::Starts;
use crate::tally::Tally;
use crate::upstream::{Ended, Upstreams};
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
const STANDING_EVERY: Duration = Duration::from_secs(5);

/// What is told to the module next.
enum Queued {
    Watch(DiscoveryEvent),
    Moved,
    Asked(RequestId),
    AttemptEnded(RequestId, AttemptNo, Ended),
    HealthCheckEnded(UpstreamId, Duration, Ended),
    Gone(RequestId),
    Timer(TimerId),
}

struct Core {
    balancer: Balancer,
    requests: FxHashMap<RequestId, Held>,
    actions: Vec<Action>,
    next_id: u32,
    tally: Tally,
}

/// The driver of one `Balancer`.
pub struct Driver {
    clock: Clock,
    core: RefCell<Core>,
    queue: RefCell<VecDeque<Queued>>,
    playing: Cell<bool>,
    upstreams: Upstreams,
    starts: RefCell<Starts>,
    discovery: Discovery,
    /// Set when what is held has to end.
    force_close: watch::Sender<bool>,
}

impl Driver {
    /// A driver with the list of upstreams known before the start, and an empty tally of its classes.
    pub fn start(
        balancer: Balancer,
        tally: Tally,
        upstreams: Upstreams,
        discovery: Discovery,
        known: ListUpdate,
    ) -> Rc<Self> {
        let core = Core {
            balancer,
            requests: FxHashMap::default(),
            actions: Vec::new(),
            next_id: 0,
            tally,
        };
        let driver = Rc::new(Self {
            clock: Clock::start(),
            core: RefCell::new(core),
            queue: RefCell::default(),
            playing: Cell::new(false),
            upstreams,
            starts: RefCell::default(),
            discovery,
            force_close: watch::Sender::new(false),
        });
        let sweeper = Rc::clone(&driver);
        spawn_local(async move { sweeper.upstreams.sweep().await });
        let teller = Rc::clone(&driver);
        spawn_local(async move { teller.tell_standing().await });
        driver.happened(Queued::Watch(DiscoveryEvent::Update(known)));
        driver
    }

    /// Hands a request to the module. Its final answer comes from what is returned; when that is dropped
    /// before, the client has gone.
    pub fn ask(self: &Rc<Self>, asked: Asked) -> Pending {
        let (reply, answer) = oneshot::channel();
        let id = {
            let core = &mut *self.core.borrow_mut();
            // Ids are not reused while one may be in use: they go round only after 2^32 requests.
            let id = RequestId(core.next_id);
            core.next_id = core.next_id.wrapping_add(1);
            let (came, reply) = (Instant::now(), Some(reply));
            let held = Held {
                asked: Rc::new(asked),
                came,
                reply,
                attempts: Vec::new(),
            };
            core.requests.insert(id, held);
            id
        };
        self.happened(Queued::Asked(id));
        Pending::new(Rc::clone(self), id, answer)
    }

    /// The client of a request that is owed its answer has gone.
    pub(crate) fn client_has_left(self: &Rc<Self>, id: RequestId) {
        self.happened(Queued::Gone(id));
    }

    /// Discovery has moved: a watch goes on there.
    pub fn discovery_at(self: &Rc<Self>, address: SocketAddr) {
        if self.discovery.move_to(address) {
            self.happened(Queued::Moved);
            self.watch();
        }
    }

    /// Watches discovery, in place of the watch before.
    fn watch(self: &Rc<Self>) {
        let driver = Rc::clone(self);
        let number = self.discovery.begin_watch();
        let watch = spawn_local(async move {
            driver
                .discovery
                .watch(number, |event| driver.happened(Queued::Watch(event)))
                .await;
        });
        self.discovery.watched_by(watch.abort_handle());
    }

    /// Logs how the balancer stands, again and again.
    async fn tell_standing(&self) {
        loop {
            sleep(STANDING_EVERY).await;
            let core = &mut *self.core.borrow_mut();
            let status = core.balancer.status();
            tracing::info!(held = core.requests.len(), tally = %core.tally, ?status);
            core.tally.clear();
        }
    }

    /// Ends all attempts that are out, and each that may follow, so that the module gives what it holds its
    /// final answer: the process is about to end.
    pub fn force_close(&self) {
        self.force_close.send_replace(true);
    }

    /// Takes in what has happened and does what follows from it.
    fn happened(self: &Rc<Self>, event: Queued) {
        self.queue.borrow_mut().push_back(event);
        if self.playing.replace(true) {
            return;
        }
        loop {
            let next = self.queue.borrow_mut().pop_front();
            let Some(next) = next else { break };
            self.play(&mut self.core.borrow_mut(), next);
        }
        self.playing.set(false);
    }

    /// Plays one event into the module and carries out its actions.
    fn play(self: &Rc<Self>, core: &mut Core, event: Queued) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut core.actions);
        match event {
            Queued::Watch(event) => self.watch_event(core, now, event, &mut actions),
            Queued::Moved => {
                core.balancer
                    .handle(now, Event::Watch(WatchEvent::Moved), &mut actions);
                self.hold_sends(core);
            }
            Queued::Asked(id) => {
                let Some(held) = core.requests.get(&id) else {
                    return;
                };
                let asked = &held.asked;
                core.tally.asked(asked.class);
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
            Queued::AttemptEnded(id, no, ended) => {
                let Some(held) = core.requests.get_mut(&id) else {
                    return;
                };
                // One event for each: a cancelled attempt may have ended by itself just before.
                let Some(attempt) = held.attempts.get_mut(usize::from(no.0)).filter(|a| a.out)
                else {
                    return;
                };
                attempt.out = false;
                core.tally.attempt(held.asked.class, ended.outcome);
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
                    core.tally.served(held.asked.class, held.came.elapsed());
                    // Where the client has just gone, nobody waits for it.
                    let _ = reply.send(Answer::Served(served));
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
                self.forget_if_over(core, id);
            }
            Queued::HealthCheckEnded(upstream, latency, ended) => {
                let event = Event::HealthCheckEnded {
                    upstream,
                    outcome: ended.outcome,
                    latency,
                    report: &ended.report,
                };
                core.balancer.handle(now, event, &mut actions);
            }
            Queued::Gone(id) => {
                let Some(held) = core.requests.get_mut(&id) else {
                    return;
                };
                if held.reply.take().is_some() {
                    tracing::debug!(id = id.0, "client has left");
                    core.tally.gone(held.asked.class);
                    core.balancer
                        .handle(now, Event::ClientDisconnected { id }, &mut actions);
                }
                self.forget_if_over(core, id);
            }
            Queued::Timer(timer) => core
                .balancer
                .handle(now, Event::Timer { timer }, &mut actions),
        }
        for action in actions.drain(..) {
            self.carry_out(core, action);
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
                endpoints = self.fleet(&update);
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
        self.hold_sends(core);
    }

    fn hold_sends(&self, core: &Core) {
        let held = core.balancer.send_pause();
        self.upstreams
            .hold_sends(held.map(|h| self.clock.instant(h.from)..self.clock.instant(h.until)));
    }

    /// Applies update to the connections and words them for the module.
    fn fleet(&self, update: &ListUpdate) -> Vec<Endpoint> {
        let starts = &mut *self.starts.borrow_mut();
        let (now, first) = (self.clock.now(), starts.is_empty());
        if matches!(update.scope, UpdateScope::Snapshot | UpdateScope::Cached) {
            let ids: FxHashSet<UpstreamId> = update.entries.iter().map(|e| e.id).collect();
            self.upstreams.keep_only(|id| ids.contains(&id));
            starts.keep_only(&ids);
        }
        let endpoints = update.entries.iter().map(|entry| {
            self.upstreams.place(entry.id, &entry.place);
            Endpoint {
                id: entry.id,
                zone: entry.zone,
                kind: entry.kind,
                cell: entry.cell,
                availability: entry.place.availability,
                weight: entry.weight,
                started: starts.seen(
                    entry,
                    now,
                    self.clock.at_unix_ms(entry.place.boot_ms),
                    first,
                ),
            }
        });
        endpoints.collect()
    }

    fn carry_out(self: &Rc<Self>, core: &mut Core, action: Action) {
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
                    let cancelled = Queued::AttemptEnded(id, attempt, Outcome::Cancelled.into());
                    self.queue.borrow_mut().push_back(cancelled);
                }
            }
            Action::Reject {
                id,
                retry_after,
                reason,
            } => {
                tracing::debug!(id = id.0, ?retry_after, ?reason, "refused");
                self.answer(core, id, Answer::Refused(retry_after), reason);
            }
            Action::Fail { id, reason } => {
                tracing::debug!(id = id.0, ?reason, "failed");
                self.answer(core, id, Answer::Failed, reason);
            }
            Action::Timer { after, timer } => {
                let driver = Rc::clone(self);
                spawn_local(async move {
                    sleep(after).await;
                    driver.happened(Queued::Timer(timer));
                });
            }
            Action::WatchEndpoints => self.watch(),
            Action::CloseIdleConnections { upstream } => self.upstreams.close_idle(upstream),
            Action::HealthCheck { upstream } => {
                let (driver, sent) = (Rc::clone(self), Instant::now());
                spawn_local(async move {
                    let ended = driver.upstreams.probe(upstream).await;
                    driver.happened(Queued::HealthCheckEnded(upstream, sent.elapsed(), ended));
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
        let (driver, asked) = (Rc::clone(self), Rc::clone(&held.asked));
        let mut force_close = self.force_close.subscribe();
        let begun = Rc::new(Cell::new(false));
        let begins = Rc::clone(&begun);
        let task = spawn_local(async move {
            let ended = if *force_close.borrow() {
                Outcome::NotSent.into()
            } else {
                tokio::select! {
                    ended = driver.upstreams.attempt(upstream, &asked.outgoing, give_up, &begins) => ended,
                    _ = force_close.wait_for(|cut| *cut) => Outcome::TimedOut.into(),
                }
            };
            driver.happened(Queued::AttemptEnded(id, no, ended));
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
    fn answer(&self, core: &mut Core, id: RequestId, answer: Answer, reason: FailureReason) {
        if let Some(held) = core.requests.get_mut(&id)
            && let Some(reply) = held.reply.take()
        {
            core.tally.lost(held.asked.class, reason);
            let _ = reply.send(answer);
        }
        self.forget_if_over(core, id);
    }

    /// Lets go of a request that has its answer and no attempt out. Attempts that have not begun are dropped, also
    /// where the site allows none to be cancelled: nobody waits for them, and nothing of them has left.
    fn forget_if_over(&self, core: &mut Core, id: RequestId) {
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
            let dropped = Queued::AttemptEnded(id, AttemptNo(no as u8), Outcome::NotSent.into());
            self.queue.borrow_mut().push_back(dropped);
        }
        let over = |held: &Held| held.attempts.iter().all(|a| !a.out);
        if core.requests.get(&id).is_some_and(over) {
            core.requests.remove(&id);
        }
    }
}

//! All decisions of a balancer, alone. Their types, events and actions stand in `interface.rs`.
//!
//! The ordinary path is the paper's: every tick refills one token bucket a tenant by a guaranteed rate and a
//! share, in proportion to demand, of the spare room W of the upstreams; a request that finds a token is
//! admitted, any other refused on arrival; admitted requests take turns round robin over the ready upstreams,
//! skipping one that holds clearly more than the next ones. Everything else here is an exception to that path
//! and says what it guards against. Times are seconds.

mod admission;
mod attempts;
mod class_statistics;
mod doubt;
mod endpoint_lease;
mod endpoint_polling;
mod idle_connections;
mod list;
mod turns;
mod upstreams;

use crate::interface::{
    Action, EndpointWeights, Event, LoadField, LoadReports, RequestId, SendPause, Settings,
    SettingsError, StatusSnapshot, TimerId, WatchEvent,
};
use crate::random::Random;
use crate::state::{Bucket, ClassTrials, Request};
use class_statistics::ClassStatistics;
use endpoint_lease::EndpointLease;
use endpoint_polling::EndpointPolling;
use idle_connections::IdleConnections;
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;
use upstreams::{Upstream, Upstreams};

/// Seconds between refills: short against any aim, long against one look over the fleet.
const TICK_S: f64 = 0.025;
/// Seconds over which C is counted under strain, and a rate once reached is forgotten otherwise.
const RATE_OVER: f64 = 2.0;
const RATE_KEPT: f64 = 30.0;
/// Share of the upstreams' cores that spare room may keep busy where reports tell, and what is added for
/// demand over the shares, by its worth: where it is worth little, so is the risk.
const BUSY: f64 = 0.62;
const BUSY_MORE: f64 = 0.4;
/// Seconds for which a report of it stands without a further one of the same upstream.
const BUSY_KEPT: f64 = 3.0;
/// Bucket size T_i: a second of the guarantee or this share of the tenant's demand, whichever is more, and
/// this many tokens, so that a small tenant's chance pairs are not refused.
const BUCKET: f64 = 0.2;
const BUCKET_LEAST: f64 = 3.0;
/// What an overdue attempt counts for, in held requests: its upstream is stuck or silent.
const OVERDUE_HELD: f64 = 4.0;
/// Further attempts earned by each request admitted, and how many of them can be saved up.
const RETRY_SHARE: f64 = 0.1;
const RETRY_SAVED: f64 = 10.0;
/// Doubt of an upstream, over all classes: part of what is left that an error, or an overdue attempt since
/// which nothing came back, adds; the same of a broken connection; and what an answer leaves of it.
const DOUBT: f64 = 0.4;
const DOUBT_BREAK: f64 = 0.3;
const DOUBT_LEFT: f64 = 0.6;
/// Doubt from which one is sent to only to see how it is, one at a time and nothing that can't be repeated;
/// and doubt at which it is ejected: two faults in a row, or three breaks where nothing came for a while.
const DOUBTED: f64 = 0.35;
const DOUBT_MOST: f64 = 0.6;
/// Seconds of the first ejection, and of the longest; each one more without a success doubles it. All who
/// send to an upstream try it again on their own: the first grows with the root of their number, between the
/// load that they are to it together and how late each then learns that it is well.
const EJECT: f64 = 1.5;
const EJECT_MOST: f64 = 12.0;
/// Share of the ready upstreams that may be ejected: when more seem ill, the fault is not theirs.
const EJECTED_MOST: f64 = 0.6;
/// Sends to an upstream that can be saved up, where many share it.
const BUDGET: f64 = 1.5;
/// Upstreams in a subset for each request a second that the balancer may get, and at the least.
const SUBSET_EACH: f64 = 0.7;
const SUBSET_LEAST: f64 = 2.0;
/// The timer of the tick.
const TICK_TIMER: TimerId = TimerId(0);

/// Share of the upstreams' cores that may be kept busy.
fn bound(set: &Settings) -> f64 {
    BUSY + BUSY_MORE * set.over_quota_weight_share.min(0.5)
}

/// One balancer's decisions. See the crate's page for its use.
#[derive(Default)]
pub struct Balancer {
    set: Settings,
    now: Duration, // of the event in hand
    at: f64,       // the same in seconds
    out: Vec<Action>,
    rng: Random,
    upstreams: Upstreams,
    turns: Vec<usize>,      // the subset, in this balancer's own order
    subset_least: usize,    // of an equal part of the traffic
    subset: usize,          // of what this balancer really gets
    sharers: f64,           // balancers that send to each upstream, by an equal spread of subsets
    choose_at: f64,         // when the subset is looked at again
    sigma: usize,           // the counter of the round robin
    ahead: VecDeque<usize>, // the turns after it
    requests: FxHashMap<RequestId, Request>,
    idle_connections: IdleConnections,
    due: BTreeSet<(Duration, RequestId, u8)>, // when attempts out become overdue
    buckets: Vec<Bucket>,
    classes: ClassStatistics,
    trials: Vec<ClassTrials>, // by class
    rate: f64,                // C for each unit of turn weight
    done: f64,                // completions of the running tick
    wanted: f64, // first tries of the running tick, or what was admitted where they can't be told
    flow: f64,   // the same a second, smoothed
    weights: f64, // turn weight of all in turn, smoothed
    rate_now: f64, // completions a second, smoothed
    room: f64,   // W
    held_back: f64, // 1: requests were refused by the clock of late
    saved: f64,  // sends earned by the clock, over all in turn
    saved_most: f64,
    crowd: f64, // what those in turn hold of others for their capacity, by their reports
    busy: f64,  // share of the upstreams' cores in use, by their reports
    load: f64,  // the same, but for the first seconds of reports
    told_for: f64, // seconds
    full: f64,  // what one of unit size holds with all its cores in use, and nothing waiting
    retries: f64,
    ticking: bool,
    last_tick: f64,
    polling: EndpointPolling,
    lease: EndpointLease,
}

impl Balancer {
    /// A balancer with these settings; `seed` is its only source of chance.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.check()?;
        let count = set.tenants.len().max(1);
        let stated: f64 = set
            .tenants
            .iter()
            .map(|t| t.quota_per_s)
            .filter(|a| a.is_finite())
            .sum();
        let buckets = (0..count).map(|i| {
            let stated = set.tenants.get(i).map_or(0.0, |t| t.quota_per_s);
            let guarantee = if stated > 0.0 {
                stated / f64::from(set.balancers)
            } else {
                1.0
            };
            Bucket {
                tokens: BUCKET_LEAST + guarantee, // full
                arrivals: 0.0,
                demand: 0.0,
                part: guarantee,
                guarantee,
            }
        });
        let each = stated.max(1.0) / f64::from(set.balancers);
        let subset = (SUBSET_EACH * each).clamp(SUBSET_LEAST, 1e6) as usize;
        // Where reports will tell how busy the cores are: as busy as they may be, until then.
        let telling = set.load_reports == LoadReports::Inline
            && set.report_fields.contains(&LoadField::Utilization);
        let busy = if telling { bound(&set) } else { 0.0 };
        Ok(Self {
            busy,
            load: busy,
            saved: 1.0,
            subset,
            subset_least: subset,
            rng: Random::with_seed(seed),
            buckets: buckets.collect(),
            trials: vec![ClassTrials::default(); set.classes.len()],
            classes: ClassStatistics::new(&set),
            // Where the list says nothing of their sizes the small ones would be full first.
            rate_now: if telling && set.endpoint_weights == EndpointWeights::Off {
                busy * each
            } else {
                each
            },
            flow: each,
            polling: EndpointPolling::new(&set),
            lease: EndpointLease::new(set.drain_grace, set.has_local_agent),
            set,
            retries: RETRY_SAVED,
            ..Self::default()
        })
    }

    /// Entries of state held: upstreams, requests, attempts to look after. Bounded: see the tests.
    pub fn entries(&self) -> usize {
        self.upstreams.entry_count() + self.requests.len() + self.due.len()
    }

    /// The upstreams in turn.
    fn in_turn(&self) -> impl Iterator<Item = &Upstream> {
        self.turns.iter().map(|j| &self.upstreams[*j])
    }

    /// The present state that decisions are based on.
    pub fn status(&self) -> StatusSnapshot {
        let warming_up = self.in_turn().filter(|u| u.started.is_some()).count();
        let ejected = self.in_turn().filter(|u| u.ejected_until > self.at).count();
        StatusSnapshot {
            spare_capacity: self.room,
            service_rate: self.rate * self.in_turn().map(|u| u.weight).sum::<f64>(),
            utilization: self.busy,
            mean_latency_s: self.classes.mean_latency_s(),
            demand_per_s: self.buckets.iter().map(|b| b.demand).sum(),
            in_flight: self.upstreams.iter().map(|u| u.in_flight).sum(),
            rotation_size: self.turns.len(),
            warming_up,
            ejected,
        }
    }

    /// When no new attempt may be sent, unless the endpoint list is confirmed before; `None`: it is
    /// confirmed. An embedder looks here again just before it writes an attempt.
    pub fn send_pause(&self) -> Option<SendPause> {
        self.lease.send_pause()
    }

    /// Takes in one event and adds what is to be done about it.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        std::mem::swap(&mut self.out, actions);
        let at = now.as_secs_f64();
        (self.now, self.at) = (now, at);
        if !std::mem::replace(&mut self.ticking, true) {
            self.last_tick = at;
            self.polling.start(at, &mut self.rng);
            let after = Duration::from_secs_f64(TICK_S * self.rng.f64());
            self.out.push(Action::Timer {
                after,
                timer: TICK_TIMER,
            });
        }
        match event {
            Event::EndpointsUpdated { scope, endpoints } => self.fleet(scope, endpoints),
            Event::Watch(event) => self.on_watch_event(event),
            Event::Request {
                id,
                class,
                tenant,
                time_left,
                is_retry,
                ..
            } => {
                self.wanted += f64::from(u8::from(self.set.retries_marked && !is_retry));
                self.request(
                    id,
                    usize::from(class.0),
                    tenant.0 as usize,
                    time_left,
                    is_retry,
                );
            }
            Event::StreamStarted { id, .. } => {
                self.requests
                    .get_mut(&id)
                    .into_iter()
                    .for_each(|r| r.streaming = true);
            }
            Event::AttemptEnded {
                id,
                attempt,
                upstream,
                outcome,
                latency,
                finished,
                report,
            } => {
                // One given up as overdue ends before the tick that would have found it so.
                self.look_for_overdue();
                self.report(upstream, report);
                self.attempt_ended(id, attempt.0, outcome, latency.as_secs_f64(), finished);
            }
            Event::ClientDisconnected { id } => self.end(id),
            Event::HealthCheckEnded {
                upstream, report, ..
            } => self.report(upstream, report),
            Event::Timer { timer: TICK_TIMER } => self.tick(),
            Event::Timer { .. } => {}
        }
        std::mem::swap(&mut self.out, actions);
    }

    /// Takes in what happened to the endpoint watch or a poll.
    fn on_watch_event(&mut self, event: WatchEvent) {
        self.lease.on_watch_event(event, self.at);
        if matches!(event, WatchEvent::Partial { .. }) {
            self.polling.on_partial_response();
        }
    }

    /// Discovery has confirmed the endpoint list.
    fn renew_lease(&mut self) {
        let log_event = self.lease.renew(self.at);
        self.out.extend(log_event.map(Action::Log));
    }

    /// The tick: W and the grants, then the fleet's weights, overdue attempts and discovery.
    fn tick(&mut self) {
        let (at, tau) = (self.at, (self.at - self.last_tick).clamp(0.0, 1.0));
        self.last_tick = at;
        // Traffic is uneven: several times the mean on an equal part of the upstreams would crowd them as
        // others idle. Repeats that are not marked would count as that. Both ways by leaps, so that chance
        // moves nothing.
        self.flow += (tau / RATE_OVER).min(1.0) * (self.wanted / tau.max(1e-6) - self.flow);
        self.wanted = 0.0;
        let due = (SUBSET_EACH * self.flow).clamp(self.subset_least as f64, 1e6) as usize;
        let more = due * 2 >= self.subset * 3 && self.turns.len() < self.upstreams.len();
        if more || due * 3 <= self.subset {
            (self.subset, self.choose_at) = (due, at);
        }
        if at >= self.choose_at {
            self.choose_subset();
        }
        self.weigh(tau);
        self.grant(tau);
        self.look_for_overdue();
        if self.polling.poll_if_due(at, &mut self.rng) {
            self.out.push(Action::WatchEndpoints);
        }
        self.out.push(Action::Timer {
            after: Duration::from_secs_f64(TICK_S),
            timer: TICK_TIMER,
        });
    }
}

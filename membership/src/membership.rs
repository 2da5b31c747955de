//! The state machine of one process, driven by datagrams and time.
//!
//! [`Membership`] owns the state of all parts and determines the order in which they act. Each
//! submodule contains the state or the decisions of one part.

mod anti_entropy;
mod join;
mod name_conflict;
mod neighbor_monitor;
mod receive;
mod suspicion;
mod view_updates;

use crate::config::{Config, ConfigError};
use crate::counters::Counters;
use crate::identity::{Identity, PeerIndex};
use crate::local_health::{LocalHealth, PAUSED_AFTER};
use crate::swim::Swim;
use crate::view::{MemberRecord, MemberState, View, ViewChange};
use crate::wire::{self, Message};
use anti_entropy::AntiEntropy;
use foca::{Member, Timer};
use join::{JoinSchedule, ResponseLimiter};
use name_conflict::NameClaim;
use neighbor_monitor::NeighborMonitor;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::collections::VecDeque;
use std::time::Duration;
use suspicion::Suspicions;

/// The number of join messages that are sent at the start. [`Membership::new`] sends all but one of
/// them, and the first timeout, which is due immediately, sends the last.
const INITIAL_JOIN_COUNT: usize = 3;

/// An action that the embedder has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram to a peer.
    Send {
        /// The peer that receives the datagram.
        to: PeerIndex,
        /// The datagram, at most [`MAX_DATAGRAM_LEN`](crate::MAX_DATAGRAM_LEN) bytes.
        datagram: Vec<u8>,
    },
    /// Record a change of the view.
    ViewChanged(ViewChange),
    /// Record that this process superseded another claimant to its name, which is given here: the
    /// claimant took precedence, but this process then took the incarnation after the claimant's.
    /// This happens only shortly after the start of this process, for example if the clock was set
    /// back before a restart, so that the claimant is the previous start of this process.
    SupersededClaimant(Identity),
    /// Record that this process yielded its name to the claimant that is given here, which takes
    /// precedence, and is no longer a member.
    YieldedTo(Identity),
}

/// The phase of this process in the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The process takes part in the membership.
    Member,
    /// The process has yielded its name to another claimant and is no longer a member.
    Yielded,
    /// The process has announced that it leaves and is no longer a member.
    Left,
}

/// The membership state machine of one process.
///
/// All times are on the monotonic clock of the embedder. Before the embedder calls
/// [`handle_timeout`](Self::handle_timeout), it must pass all received datagrams to
/// [`handle_datagram`](Self::handle_datagram), so that a response that was received in time is not
/// treated as late.
pub struct Membership {
    config: Config,
    swim: Swim,
    rng: StdRng,
    /// The time of the latest input.
    now: Duration,
    phase: Phase,
    view: View,
    health: LocalHealth,
    name_claim: NameClaim,
    neighbor_monitor: NeighborMonitor,
    suspicions: Suspicions,
    join_schedule: JoinSchedule,
    response_limiter: ResponseLimiter,
    anti_entropy: AntiEntropy,
    counters: Counters,
    outputs: VecDeque<Output>,
}

impl Membership {
    /// Creates the state machine of a process that joins at `now`; fails if the configuration is
    /// invalid.
    pub fn new(config: Config, now: Duration) -> Result<Self, ConfigError> {
        config.validate()?;
        let own_id = Identity {
            name: config.name,
            peer: config.peer,
            incarnation: config.incarnation,
            rejoin_count: 0,
            is_leaving: false,
        };
        let mut swim_rng = StdRng::seed_from_u64(config.seed);
        let mut rng = StdRng::seed_from_u64(swim_rng.random());
        let mut membership = Self {
            swim: Swim::new(own_id, &config, now, swim_rng),
            now,
            phase: Phase::Member,
            view: View::default(),
            health: LocalHealth::default(),
            name_claim: NameClaim::new(now),
            neighbor_monitor: NeighborMonitor::new(now, rng.random()),
            suspicions: Suspicions::new(config.max_members),
            join_schedule: JoinSchedule::new(now),
            response_limiter: ResponseLimiter::new(now),
            anti_entropy: AntiEntropy::default(),
            counters: Counters::default(),
            outputs: VecDeque::new(),
            rng,
            config,
        };
        membership.record(MemberRecord {
            id: own_id,
            state: MemberState::Alive,
            since: now,
            reported_by: None,
        });
        for _ in 1..INITIAL_JOIN_COUNT {
            membership.contact_absent_peer();
        }
        Ok(membership)
    }

    /// Adds the members that the embedder persisted before this start. They are assumed to be alive
    /// and are not disseminated; probes and checks detect those that have ended in the meantime.
    pub fn restore(&mut self, now: Duration, ids: impl Iterator<Item = Identity>) {
        self.set_now(now);
        let own_name = self.identity().name;
        let known = ids.filter(|id| id.name != own_name && self.is_plausible(id));
        let updates: Vec<Member<Identity>> = known.map(Member::alive).collect();
        self.swim.merge(updates);
        self.process_swim_outputs(None);
    }

    /// Returns the identity of this process.
    pub fn identity(&self) -> Identity {
        self.swim.identity()
    }

    /// Returns the view of this process.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the phase of this process in the membership.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the local health score of this process, from 0 (healthy) to 4 (worst).
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// Returns the counters of this process since its start.
    pub fn counters(&self) -> Counters {
        Counters {
            protocol_errors: self.swim.error_count(),
            ..self.counters
        }
    }

    /// Removes and returns the next action that the embedder has to carry out.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the time at which [`handle_timeout`](Self::handle_timeout) is to be called; `None`
    /// if this process is no longer a member.
    pub fn next_timeout(&self) -> Option<Duration> {
        if self.phase != Phase::Member {
            return None;
        }
        let timeouts = [
            Some(self.neighbor_monitor.next_timeout()),
            Some(self.join_schedule.next_at()),
            self.suspicions.next_timeout(),
            self.swim.next_timer_at(),
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Runs all timers and checks that are due at `now`.
    pub fn handle_timeout(&mut self, now: Duration) {
        let Some(due_at) = self.next_timeout() else {
            return;
        };
        self.set_now(now);
        self.allow_for_lateness(now.saturating_sub(due_at));
        self.handle_swim_timers();
        if self.neighbor_monitor.next_timeout() <= now {
            self.monitor_neighbor();
        }
        if self.join_schedule.next_at() <= now {
            self.contact_absent_peer();
            self.join_schedule.record_contact(now, &mut self.rng);
        }
        self.notify_suspects();
        self.expire_suspicions();
        self.swim.adapt_to_member_count();
    }

    /// Leaves the fleet: queues the leave announcements, after which this process sends nothing.
    pub fn leave(&mut self, now: Duration) {
        if self.phase != Phase::Member {
            return;
        }
        self.set_now(now);
        self.swim.leave();
        self.process_swim_outputs(None);
        self.phase = Phase::Left;
    }

    fn set_now(&mut self, now: Duration) {
        self.now = now;
        self.swim.set_now(now);
    }

    /// Records how late a timeout is handled. If this process was paused, abandons the check in
    /// progress, because a missing acknowledgement is then no evidence of a failure, and extends
    /// all suspicions by the lateness.
    fn allow_for_lateness(&mut self, lateness: Duration) {
        self.health.record_lateness(lateness);
        if lateness > PAUSED_AFTER {
            self.counters.pauses += 1;
            self.swim.postpone_suspicion_timers(lateness);
            self.suspicions.postpone(lateness);
            self.neighbor_monitor.abandon_check();
        }
    }

    fn handle_swim_timers(&mut self) {
        while let Some(timer) = self.swim.pop_due_timer(self.now) {
            self.swim.set_probe_time_factor(self.health.time_factor());
            self.handle_swim_timer(timer);
        }
    }

    fn handle_swim_timer(&mut self, timer: Timer<Identity>) {
        if let Timer::RemoveDown(id) = &timer {
            self.view.forget(id);
        }
        if self.is_refuted_suspicion(&timer) {
            return;
        }
        let is_probe = matches!(timer, Timer::ProbeRandomMember(_));
        self.swim.handle_timer(timer);
        self.process_swim_outputs(None);
        if is_probe {
            self.track_new_suspects();
        }
    }

    fn send_message(&mut self, to: PeerIndex, message: &Message) {
        let datagram = wire::encode_message(&self.config.fleet, message);
        self.send(to, datagram);
    }

    fn send(&mut self, to: PeerIndex, datagram: Vec<u8>) {
        self.counters.record_sent(&datagram);
        self.outputs.push_back(Output::Send { to, datagram });
    }
}

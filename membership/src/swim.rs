//! The SWIM protocol as implemented by `foca`, with its parameters and its runtime.

use crate::config::Config;
use crate::foca_runtime::{FocaRuntime, OutgoingPayload};
use crate::identity::Identity;
use crate::wire;
use foca::{
    Foca, Member, NoCustomBroadcast, OwnedNotification, PeriodicParams, PostcardCodec, State, Timer,
};
use rand::rngs::StdRng;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The interval between two random probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The time to wait for the response to a probe before indirect probes are requested.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The time that a suspect has to refute the suspicion in a fleet of up to
/// `SUSPICION_BASE_MEMBER_COUNT` members.
const BASE_SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);
const SUSPICION_BASE_MEMBER_COUNT: f64 = 128.0;
/// The addition to the suspicion timeout for each tenfold increase of the fleet's size beyond
/// `SUSPICION_BASE_MEMBER_COUNT`, because updates take longer to reach all members of a larger
/// fleet.
const SUSPICION_TIMEOUT_PER_DECADE: Duration = Duration::from_secs(1);
/// The periodic gossip while there are updates to disseminate.
const GOSSIP: Periodic = Periodic {
    interval: Duration::from_millis(200),
    member_count: 3,
};
/// The periodic announcement to a random member, which responds with a part of its view.
const ANNOUNCE: Periodic = Periodic {
    interval: Duration::from_secs(10),
    member_count: 1,
};
/// The minimum number of times that each member transmits an update. The binary logarithm of the
/// fleet's size is added to it. With n transmissions by each member, a fraction e^-n of the members
/// does not receive an update until anti-entropy delivers it.
const MIN_TRANSMISSIONS_PER_UPDATE: u8 = 8;
/// The number of gossip rounds in which a leave is announced.
const LEAVE_GOSSIP_ROUNDS: usize = 3;
/// The maximum number of stored timers is `TIMERS_PER_MEMBER` for each member that can be
/// remembered, plus `EXTRA_TIMERS`.
const TIMERS_PER_MEMBER: usize = 4;
const EXTRA_TIMERS: usize = 64;

/// A periodic activity of the SWIM protocol: in each interval it contacts `member_count` members.
struct Periodic {
    interval: Duration,
    member_count: usize,
}

impl Periodic {
    fn params(&self) -> Option<PeriodicParams> {
        let num_members = NonZeroUsize::new(self.member_count)?;
        Some(PeriodicParams {
            frequency: self.interval,
            num_members,
        })
    }
}

/// A member and its current refutation number. A suspicion refers to one refutation number, and
/// ends when the member refutes it with a higher one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SuspectId {
    /// The identity of the suspected member.
    pub(crate) id: Identity,
    /// The number of refutations by the member, which SWIM calls the incarnation number. It is
    /// unrelated to [`Identity::incarnation`].
    pub(crate) refutation_number: u16,
}

impl SuspectId {
    /// Returns the identity and refutation number of a member.
    pub(crate) fn of(member: &Member<Identity>) -> Self {
        Self {
            id: *member.id(),
            refutation_number: member.incarnation(),
        }
    }

    /// Returns the update that declares the member to be in `state`, at this refutation number.
    pub(crate) fn update(&self, state: State) -> Member<Identity> {
        Member::new(self.id, self.refutation_number, state)
    }
}

/// The state of the SWIM protocol in one process.
pub(crate) struct Swim {
    foca: Foca<Identity, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: FocaRuntime,
    /// The number of members for which the parameters of `foca` were last set.
    configured_size: usize,
    /// The time for which `foca` remembers a member after this process learned that the member left
    /// or died.
    down_member_retention: Duration,
    max_payload_len: usize,
    error_count: u64,
}

impl Swim {
    /// Creates the SWIM protocol for a process that knows no other member yet.
    pub(crate) fn new(id: Identity, config: &Config, now: Duration, rng: StdRng) -> Self {
        let configured_size = usize::from(config.peer_count);
        let max_payload_len = wire::payload_capacity(&config.fleet);
        let parameters = parameters(
            configured_size,
            config.down_member_retention,
            max_payload_len,
        );
        let max_timers = TIMERS_PER_MEMBER * config.max_members + EXTRA_TIMERS;
        Self {
            foca: Foca::new(id, parameters, rng, PostcardCodec),
            runtime: FocaRuntime::new(now, max_timers),
            configured_size,
            down_member_retention: config.down_member_retention,
            max_payload_len,
            error_count: 0,
        }
    }

    /// Returns the identity of this process.
    pub(crate) fn identity(&self) -> Identity {
        *self.foca.identity()
    }

    /// Returns the number of payloads, timers and requests that `foca` has rejected.
    pub(crate) fn error_count(&self) -> u64 {
        self.error_count
    }

    /// Sets the current time, to which the delays of new timers are added.
    pub(crate) fn set_now(&mut self, now: Duration) {
        self.runtime.set_now(now);
    }

    /// Sets the factor by which the intervals and timeouts of this process's probes are lengthened.
    pub(crate) fn set_probe_time_factor(&mut self, factor: u32) {
        self.runtime.set_probe_time_factor(factor);
    }

    /// Returns the time at which the next timer is due; `None` if there is no timer.
    pub(crate) fn next_timer_at(&self) -> Option<Duration> {
        self.runtime.next_timer_at()
    }

    /// Removes and returns the next timer if it is due.
    pub(crate) fn pop_due_timer(&mut self, now: Duration) -> Option<Timer<Identity>> {
        self.runtime.pop_due_timer(now)
    }

    /// Handles a timer that is due.
    pub(crate) fn handle_timer(&mut self, timer: Timer<Identity>) {
        let result = self.foca.handle_timer(timer, &mut self.runtime);
        self.count_error(result);
    }

    /// Handles the payload of a received datagram.
    pub(crate) fn handle_payload(&mut self, payload: &[u8]) {
        let result = self.foca.handle_data(payload, &mut self.runtime);
        self.count_error(result);
    }

    /// Merges updates without disseminating them further.
    pub(crate) fn merge(&mut self, updates: impl IntoIterator<Item = Member<Identity>>) {
        let result = self
            .foca
            .apply_many(updates.into_iter(), false, &mut self.runtime);
        self.count_error(result);
    }

    /// Applies an update and disseminates it.
    pub(crate) fn disseminate(&mut self, update: Member<Identity>) {
        let result = self
            .foca
            .apply_many(std::iter::once(update), true, &mut self.runtime);
        self.count_error(result);
    }

    /// Announces this process to a member, which responds with a part of its view.
    pub(crate) fn announce_to(&mut self, id: Identity) {
        let result = self.foca.announce(id, &mut self.runtime);
        self.count_error(result);
    }

    /// Changes the identity of this process and disseminates the new one.
    pub(crate) fn change_identity(&mut self, id: Identity) {
        let result = self.foca.change_identity(id, &mut self.runtime);
        self.count_error(result);
    }

    /// Announces in several gossip rounds that this process leaves, and stops the SWIM
    /// protocol.
    pub(crate) fn leave(&mut self) {
        let leaving = Identity {
            is_leaving: true,
            ..self.identity()
        };
        let mut result = self.foca.change_identity(leaving, &mut self.runtime);
        for _ in 1..LEAVE_GOSSIP_ROUNDS {
            result = result.and_then(|()| self.foca.gossip(&mut self.runtime));
        }
        let result = result.and_then(|()| self.foca.leave_cluster(&mut self.runtime));
        self.count_error(result);
    }

    /// Returns the members that `foca` considers alive or suspect, this process excluded.
    pub(crate) fn active_members(&self) -> impl Iterator<Item = &Member<Identity>> {
        self.foca.iter_members()
    }

    /// Returns all members that `foca` remembers, dead ones included.
    pub(crate) fn all_members(&self) -> impl Iterator<Item = &Member<Identity>> {
        self.foca.iter_membership_state()
    }

    /// Returns whether `foca` considers an identity alive or suspect.
    pub(crate) fn is_active(&self, id: &Identity) -> bool {
        self.active_members().any(|member| member.id() == id)
    }

    /// Returns whether `foca` still suspects a member at the given refutation number.
    pub(crate) fn is_suspect(&self, suspect: &SuspectId) -> bool {
        let mut active = self.active_members();
        active.any(|member| member.state() == State::Suspect && SuspectId::of(member) == *suspect)
    }

    /// Returns the time that a suspect has to refute a suspicion in a fleet of the current size.
    pub(crate) fn suspicion_timeout(&self) -> Duration {
        suspicion_timeout(self.foca.num_members())
    }

    /// Postpones, by a duration, the timers that declare suspects dead.
    pub(crate) fn postpone_suspicion_timers(&mut self, by: Duration) {
        self.runtime.postpone_suspicion_timers(by);
    }

    /// Sets the parameters of `foca` for the current number of members if the fleet has shrunk by
    /// more than a fifth or grown by more than a quarter since they were last set.
    pub(crate) fn adapt_to_member_count(&mut self) {
        let size = self.foca.num_members() + 1;
        let has_shrunk = size * 5 < self.configured_size * 4;
        let has_grown = size * 4 > self.configured_size * 5;
        if has_shrunk || has_grown {
            let parameters = parameters(size, self.down_member_retention, self.max_payload_len);
            let result = self.foca.set_config(parameters);
            self.count_error(result);
            self.configured_size = size;
        }
    }

    /// Removes and returns the payloads that are to be sent to other members.
    pub(crate) fn drain_payloads(&mut self) -> Vec<OutgoingPayload> {
        self.runtime.drain_payloads()
    }

    /// Removes and returns the notifications of changes of members' states or identities.
    pub(crate) fn drain_notifications(&mut self) -> Vec<OwnedNotification<Identity>> {
        self.runtime.drain_notifications()
    }

    fn count_error(&mut self, result: Result<(), foca::Error>) {
        self.error_count += u64::from(result.is_err());
    }
}

fn suspicion_timeout(member_count: usize) -> Duration {
    let decades = (member_count as f64 / SUSPICION_BASE_MEMBER_COUNT)
        .log10()
        .max(0.0);
    BASE_SUSPICION_TIMEOUT + SUSPICION_TIMEOUT_PER_DECADE.mul_f64(decades)
}

/// Returns the parameters of `foca` for a fleet of `size` members.
fn parameters(
    size: usize,
    down_member_retention: Duration,
    max_payload_len: usize,
) -> foca::Config {
    let mut parameters = foca::Config::simple();
    parameters.probe_period = PROBE_INTERVAL;
    parameters.probe_rtt = PROBE_TIMEOUT;
    let transmissions = MIN_TRANSMISSIONS_PER_UPDATE + size.max(1).ilog2() as u8;
    parameters.max_transmissions = NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN);
    parameters.suspect_to_down_after = suspicion_timeout(size);
    parameters.remove_down_after = Some(down_member_retention);
    let default_len = parameters.max_packet_size;
    parameters.max_packet_size = NonZeroUsize::new(max_payload_len).unwrap_or(default_len);
    parameters.notify_down_members = true;
    parameters.periodic_gossip = GOSSIP.params();
    parameters.periodic_announce = ANNOUNCE.params();
    parameters
}

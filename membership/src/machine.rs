//! The state machine.

use crate::config::{Config, ConfigError};
use crate::counters::Counters;
use crate::foca_runtime::{FocaRuntime, OutgoingPayload};
use crate::hash_tree::{self, FollowUp, HashPrefix};
use crate::hello::Hello;
use crate::identity::{Identity, Name, PeerIndex};
use crate::local_health::{LocalHealth, PAUSED_AFTER};
use crate::view::{MemberRecord, MemberState, View, ViewChange};
use crate::watch::{Want, Watch};
use crate::wire::{self, Decoded, DropReason, Message};
use foca::{
    Foca, Member, NoCustomBroadcast, OwnedNotification, PeriodicParams, PostcardCodec, State, Timer,
};
use rand::rngs::StdRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::collections::VecDeque;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The protocol's period, and how long the answer to a probe may take before others are asked to probe.
const PERIOD: Duration = Duration::from_secs(1);
const PROBE_ANSWER: Duration = Duration::from_millis(500);
/// How long a suspect may take to say that it is there, in a fleet of up to so many; and more for each ten times as many,
/// as news take longer to come round.
const SUSPICION: Duration = Duration::from_secs(3);
const SUSPICION_FLEET: f64 = 128.0;
const SUSPICION_MORE: Duration = Duration::from_secs(1);
/// News travel on by themselves so often, to so many, for as long as there are any.
const GOSSIP: (Duration, usize) = (Duration::from_millis(200), 3);
/// How often a random member is asked for a prefix of what it knows.
const ASK_EVERY: Duration = Duration::from_secs(10);
/// For so long after its start a process may take a name that another start of it had, so many times.
const JOINING: Duration = Duration::from_secs(5);
const OUTBIDS: u32 = 3;
/// How far ahead of this process's own clock an incarnation may be, in milliseconds.
const AHEAD_MOST: u64 = 86_400_000;
/// Places that are called at once at the start.
const FIRST_CALLS: usize = 3;
/// Checks in a row that found another view, after which the two are compared: most differences pass by themselves.
const DIFFER: u32 = 2;
/// How often a suspect is told.
const TELL_SUSPECT: Duration = Duration::from_millis(250);
/// Bytes that a telling takes besides whom it tells of.
const TELLING: usize = 56;
/// Times that a leave is told, each to a few others.
const FAREWELLS: usize = 3;

/// What the embedder has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram to a place.
    Send {
        /// Where to.
        to: PeerIndex,
        /// At most 256 bytes.
        datagram: Vec<u8>,
    },
    /// Know of a change of the view.
    ViewChanged(ViewChange),
    /// Know that this process had a name for itself that was claimed by an earlier start of it, with a later incarnation:
    /// it has taken a still later one.
    Superseded(Identity),
    /// Know that a later process claims its name: it has yielded, and takes prefix no more.
    Yielded(Identity),
}

/// How this process takes prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It does.
    Member,
    /// Another one has its name.
    Yielded,
    /// It has left.
    Left,
}

/// One that did not answer the watch.
struct Doubt {
    id: Identity,
    incarnation: u16,
    /// When it is told next.
    tell: Duration,
    due: Duration,
}

/// One process's prefix in the membership.
///
/// Times are the embedder's, on a clock that only goes forward. Before [`handle_timeout`](Self::handle_timeout) it hands in all datagrams
/// that have come: what was answered in time must not look late.
pub struct Membership {
    config: Config,
    foca: Foca<Identity, PostcardCodec, StdRng, NoCustomBroadcast>,
    runtime: FocaRuntime,
    rng: StdRng,
    view: View,
    health: LocalHealth,
    watch: Watch,
    hello: Hello,
    doubts: Vec<Doubt>,
    /// Checks in a row that found another view.
    differ: u32,
    counters: Counters,
    outputs: VecDeque<Output>,
    phase: Phase,
    started: Duration,
    outbids: u32,
    /// For how many members the protocol is set.
    set_for: usize,
}

fn suspicion(members: usize) -> Duration {
    let more = (members as f64 / SUSPICION_FLEET).log10().max(0.0);
    SUSPICION + SUSPICION_MORE.mul_f64(more)
}

fn protocol(members: usize, config: &Config) -> foca::Config {
    let mut protocol = foca::Config::simple();
    protocol.probe_period = PERIOD;
    protocol.probe_rtt = PROBE_ANSWER;
    // A piece of news is passed on so many times by each. Of n transmissions by each a share e^-n goes without it; those
    // would have to wait for a comparison.
    let transmissions = 8 + members.max(1).ilog2() as u8;
    protocol.max_transmissions = NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN);
    protocol.suspect_to_down_after = suspicion(members);
    protocol.remove_down_after = Some(config.forget_after);
    protocol.max_packet_size = NonZeroUsize::new(wire::payload_capacity(&config.fleet))
        .unwrap_or(protocol.max_packet_size);
    protocol.notify_down_members = true;
    let periodic = |frequency, members| {
        NonZeroUsize::new(members).map(|num_members| PeriodicParams {
            frequency,
            num_members,
        })
    };
    protocol.periodic_gossip = periodic(GOSSIP.0, GOSSIP.1);
    protocol.periodic_announce = periodic(ASK_EVERY, 1);
    protocol
}

impl Membership {
    /// A process that joins from now on.
    pub fn new(config: Config, now: Duration) -> Result<Self, ConfigError> {
        config.validate()?;
        let Config {
            name,
            peer,
            incarnation,
            seed,
            ..
        } = config;
        let me = Identity {
            name,
            peer,
            incarnation,
            rejoin_count: 0,
            is_leaving: false,
        };
        let mut rng = StdRng::seed_from_u64(seed);
        let own_rng = StdRng::seed_from_u64(rng.random());
        let set_for = usize::from(config.peer_count);
        let mut membership = Self {
            foca: Foca::new(me, protocol(set_for, &config), rng, PostcardCodec),
            runtime: FocaRuntime::new(now, 4 * config.max_members + 64),
            view: View::default(),
            health: LocalHealth::default(),
            watch: Watch::new(now, 0),
            hello: Hello::new(now),
            doubts: Vec::new(),
            differ: 0,
            counters: Counters::default(),
            outputs: VecDeque::new(),
            phase: Phase::Member,
            started: now,
            outbids: 0,
            set_for,
            rng: own_rng,
            config,
        };
        membership.watch = Watch::new(now, membership.rng.random());
        membership.put(MemberRecord {
            id: me,
            state: MemberState::Alive,
            since: now,
            reported_by: None,
        });
        for _ in 1..FIRST_CALLS {
            membership.call();
        }
        Ok(membership)
    }

    /// Takes lives for there without telling anybody: what is remembered from before the start. Those that are not there
    /// any more are found out in time.
    pub fn restore(&mut self, now: Duration, lives: impl Iterator<Item = Identity>) {
        self.runtime.set_now(now);
        let name = self.identity().name;
        let lives: Vec<_> = lives
            .filter(|id| id.name != name && self.possible(id).is_ok())
            .collect();
        let applied = self.foca.apply_many(
            lives.into_iter().map(Member::alive),
            false,
            &mut self.runtime,
        );
        self.counters.protocol_errors += u64::from(applied.is_err());
        self.settle(None);
    }

    /// Who this process is.
    pub fn identity(&self) -> Identity {
        *self.foca.identity()
    }

    /// Its view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// How it takes prefix.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// How well it does itself: 0 is well, 4 the worst.
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// What came and went.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// What the embedder has to do next.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`handle_timeout`](Self::handle_timeout) wants to be called; `None`: never again.
    pub fn next_timeout(&self) -> Option<Duration> {
        if self.phase != Phase::Member {
            return None;
        }
        let doubts = self
            .doubts
            .iter()
            .map(|doubt| doubt.due.min(doubt.tell))
            .min();
        let own = [
            Some(self.watch.due()),
            Some(self.hello.due()),
            doubts,
            self.runtime.next_timer_at(),
        ];
        own.into_iter().flatten().min()
    }

    /// A datagram came from an address that is none of the peers'.
    pub fn record_unknown_sender(&mut self) {
        self.counters.record_dropped(DropReason::UnknownSender);
    }

    /// A datagram came from a place; says why where it is dropped.
    pub fn handle_datagram(
        &mut self,
        now: Duration,
        from: PeerIndex,
        datagram: &[u8],
    ) -> Result<(), DropReason> {
        self.counters.record_received(datagram);
        if self.phase != Phase::Member {
            return Ok(());
        }
        let taken = self.take(now, from, datagram);
        if let Err(reason) = taken {
            self.counters.record_dropped(reason);
        }
        taken
    }

    fn take(&mut self, now: Duration, place: PeerIndex, datagram: &[u8]) -> Result<(), DropReason> {
        self.runtime.set_now(now);
        match wire::decode(&self.config.fleet, datagram)? {
            Decoded::Message(Message::Check { nonce }) => {
                let (from, digest) = (self.identity(), self.view.digest());
                self.say(
                    place,
                    &Message::CheckAck {
                        nonce,
                        from,
                        digest,
                    },
                );
            }
            Decoded::Message(Message::CheckAck {
                nonce,
                from,
                digest,
            }) => {
                self.admit(place, &from)?;
                if self.watch.answered(nonce, from.name) {
                    self.health.improve();
                    self.differ = if digest == self.view.digest() {
                        0
                    } else {
                        self.differ + 1
                    };
                    if self.differ >= DIFFER {
                        self.compare(place, HashPrefix::default());
                    }
                }
            }
            Decoded::Message(Message::IndirectCheckRequest { nonce, target }) => {
                if target.0 < self.config.peer_count && target != self.identity().peer {
                    self.say(
                        target,
                        &Message::IndirectCheck {
                            nonce,
                            requester: place,
                        },
                    );
                }
            }
            Decoded::Message(Message::IndirectCheck { nonce, requester }) => {
                let from = self.identity();
                self.say(
                    place,
                    &Message::IndirectCheckAck {
                        nonce,
                        requester,
                        from,
                    },
                );
            }
            Decoded::Message(Message::IndirectCheckAck {
                nonce,
                requester,
                from,
            }) => {
                self.admit(place, &from)?;
                if requester.0 < self.config.peer_count && requester != self.identity().peer {
                    self.say(requester, &Message::ForwardedCheckAck { nonce, from });
                }
            }
            Decoded::Message(Message::ForwardedCheckAck { nonce, from }) => {
                self.possible(&from)?;
                if self.watch.answered(nonce, from.name) {
                    self.health.improve();
                }
            }
            Decoded::Message(Message::ViewHashes {
                from,
                prefix,
                hashes,
            }) => {
                self.admit(place, &from)?;
                if !prefix.is_valid() {
                    return Err(DropReason::Implausible);
                }
                if self.hello.may_answer(now) && self.hears(&from) {
                    let own = prefix.child_hashes(self.view.hashed_live_members());
                    for follow in
                        prefix.follow_ups(&own, &hashes, self.view.positions(), &mut self.rng)
                    {
                        match follow {
                            FollowUp::SendHashes(prefix) => self.compare(place, prefix),
                            FollowUp::SendMembers(prefix) => self.tell(place, prefix, Some(prefix)),
                        }
                    }
                }
            }
            Decoded::Message(Message::ViewMembers {
                from,
                requested,
                members,
            }) => {
                self.admit(place, &from)?;
                members
                    .iter()
                    .try_for_each(|member| self.possible(member.id()))?;
                if requested.is_some_and(|prefix| !prefix.is_valid()) {
                    return Err(DropReason::Implausible);
                }
                if self.hears(&from) {
                    let doubted = self.take_news(&members);
                    if self.phase == Phase::Member {
                        // No news: those travel by themselves. This makes up for those that went past here.
                        let applied =
                            self.foca
                                .apply_many(members.iter().cloned(), false, &mut self.runtime);
                        self.counters.protocol_errors += u64::from(applied.is_err());
                        if doubted {
                            // Whoever says so hears at once that it is wrong; the others will.
                            let announced = self.foca.announce(from, &mut self.runtime);
                            self.counters.protocol_errors += u64::from(announced.is_err());
                        }
                        self.settle(Some(from.name));
                        self.look_for_suspects_among(&members, from.name);
                        if let Some(prefix) = requested.filter(|_| self.hello.may_answer(now)) {
                            self.tell(place, prefix, None);
                        }
                    }
                }
            }
            Decoded::Message(Message::Join { from }) => {
                self.admit(place, &from)?;
                if from.name == self.identity().name {
                    self.claimed(from, true);
                } else if self.hello.may_answer(now) {
                    let announced = self.foca.announce(from, &mut self.runtime);
                    self.counters.protocol_errors += u64::from(announced.is_err());
                    self.settle(None);
                }
            }
            Decoded::Swim {
                payload,
                from,
                updates,
            } => {
                self.admit(place, &from)?;
                for member in &updates {
                    self.possible(member.id())?;
                }
                let name = self.identity().name;
                if from.name == name {
                    self.claimed(from, true);
                    return Ok(());
                }
                self.take_news(&updates);
                if self.phase == Phase::Member {
                    self.runtime.set_probe_stretch(self.health.stretch_factor());
                    let handled = self.foca.handle_data(payload, &mut self.runtime);
                    self.counters.protocol_errors += u64::from(handled.is_err());
                    self.settle(Some(from.name));
                    self.look_for_suspects_among(&updates, from.name);
                }
            }
        }
        Ok(())
    }

    /// What others say of this process itself; whether they doubt it.
    fn take_news(&mut self, about: &[Member<Identity>]) -> bool {
        let (name, mut doubted) = (self.identity().name, false);
        for member in about.iter().filter(|member| member.id().name == name) {
            if *member.id() == self.identity() && member.state() == State::Suspect {
                self.counters.refutations += 1;
                self.health.degrade();
                doubted = true;
            }
            self.claimed(*member.id(), false);
        }
        doubted
    }

    /// Whether a sender counts as there. One that does not is told who is here, so that both learn how they stand.
    fn hears(&mut self, from: &Identity) -> bool {
        let known = self.view.get(&from.name);
        let there = known.is_some_and(|viewed| viewed.id == *from && viewed.state.is_live());
        if !there && from.name != self.identity().name && self.hello.may_answer(self.runtime.now())
        {
            let announced = self.foca.announce(*from, &mut self.runtime);
            self.counters.protocol_errors += u64::from(announced.is_err());
            self.settle(None);
        }
        there
    }

    fn compare(&mut self, to: PeerIndex, prefix: HashPrefix) {
        let (from, hashes) = (
            self.identity(),
            prefix.child_hashes(self.view.hashed_live_members()),
        );
        self.say(
            to,
            &Message::ViewHashes {
                from,
                prefix,
                hashes,
            },
        );
    }

    /// Tells what is known of a prefix, as far as it fits; what does not, at another time by chance.
    fn tell(&mut self, to: PeerIndex, prefix: HashPrefix, requested: Option<HashPrefix>) {
        let me = self.identity();
        let known = self
            .foca
            .iter_membership_state()
            .filter(|member| member.id().name != me.name);
        let mut known: Vec<Member<Identity>> = known
            .filter(|member| prefix.contains(hash_tree::name_position(&member.id().name)))
            .cloned()
            .collect();
        if prefix.contains(hash_tree::name_position(&me.name)) {
            known.push(Member::alive(me));
        }
        known.shuffle(&mut self.rng);
        let (mut members, mut left) = (
            Vec::new(),
            wire::payload_capacity(&self.config.fleet).saturating_sub(TELLING),
        );
        for member in known {
            let Some(rest) = left.checked_sub(wire::encoded_len(&member)) else {
                break;
            };
            left = rest;
            members.push(member);
        }
        self.say(
            to,
            &Message::ViewMembers {
                from: me,
                requested,
                members,
            },
        );
    }

    /// Whether a sender can be who it says.
    fn admit(&self, place: PeerIndex, from: &Identity) -> Result<(), DropReason> {
        if from.peer != place {
            return Err(DropReason::SenderMismatch);
        }
        self.possible(from)
    }

    /// Whether there can be such a member, and room for it.
    fn possible(&self, id: &Identity) -> Result<(), DropReason> {
        let known = self.view.get(&id.name).is_some();
        let room = self.view.len() < self.config.max_members;
        // By the clock of this process's start: it needs no later one, as a day is allowed for.
        let in_time = id.incarnation
            <= self
                .config
                .incarnation
                .saturating_add(AHEAD_MOST + self.runtime.now().as_millis() as u64);
        if id.peer.0 < self.config.peer_count && (known || room) && in_time {
            Ok(())
        } else {
            Err(DropReason::Implausible)
        }
    }

    /// Somebody has this process's name, itself or by another's word.
    fn claimed(&mut self, other: Identity, itself: bool) {
        let me = self.identity();
        if !other.supersedes(&me) {
            // A living one learns from the answer who has the name.
            if itself && me.supersedes(&other) && self.hello.may_answer(self.runtime.now()) {
                self.say(other.peer, &Message::Join { from: me });
            }
            return;
        }
        if self.runtime.now() < self.started + JOINING && self.outbids < OUTBIDS {
            self.outbids += 1;
            let next = Identity {
                incarnation: other.incarnation + 1,
                rejoin_count: 0,
                ..me
            };
            let changed = self.foca.change_identity(next, &mut self.runtime);
            self.counters.protocol_errors += u64::from(changed.is_err());
            self.outputs.push_back(Output::Superseded(other));
            self.settle(None);
        } else {
            self.phase = Phase::Yielded;
            self.outputs.push_back(Output::Yielded(other));
        }
    }

    /// Does what has become due.
    pub fn handle_timeout(&mut self, now: Duration) {
        let Some(due) = self.next_timeout() else {
            return;
        };
        self.runtime.set_now(now);
        let late = now.saturating_sub(due);
        self.health.record_lateness(late);
        if late > PAUSED_AFTER {
            self.counters.pauses += 1;
            self.runtime.postpone_suspicion_timers(late);
            self.doubts.iter_mut().for_each(|doubt| doubt.due += late);
            self.watch.drop_check();
        }
        while let Some(timer) = self.runtime.pop_due_timer(now) {
            self.runtime.set_probe_stretch(self.health.stretch_factor());
            let probed = matches!(timer, Timer::ProbeRandomMember(_));
            if let Timer::RemoveDown(id) = &timer {
                self.view.forget(id);
            }
            if let Timer::ChangeSuspectToDown {
                member_id,
                incarnation,
                ..
            } = &timer
                && !self.is_suspect(member_id, *incarnation)
            {
                // The protocol would change nothing, but tell a member that has said in time that it is there that
                // it is down, and make it begin a new life for nothing.
                continue;
            }
            let handled = self.foca.handle_timer(timer, &mut self.runtime);
            self.counters.protocol_errors += u64::from(handled.is_err());
            self.settle(None);
            if probed {
                for (id, incarnation) in
                    self.look_for_suspects(None, |m| m.state() == State::Suspect)
                {
                    self.remember_doubt(id, incarnation, now);
                }
            }
        }
        if self.watch.due() <= now {
            self.watch_next(now);
        }
        if self.hello.due() <= now {
            self.call();
            self.hello.made(now, &mut self.rng);
        }
        self.judge(now);
        self.set_for_size();
    }

    fn watch_next(&mut self, now: Duration) {
        match self.watch.timeout(now, &self.health) {
            Want::Choose => {
                let me = self.identity().name;
                if let Some(next) = self
                    .view
                    .successor(&me)
                    .map(|viewed| viewed.id)
                    .filter(|id| id.name != me)
                {
                    let nonce = self.watch.begin(next, now, &self.health);
                    self.say(next.peer, &Message::Check { nonce });
                }
            }
            Want::Ask(target, nonce) => {
                self.say(target.peer, &Message::Check { nonce });
                // Only the way from here may be cut: another one asks as well.
                let me = self.identity().name;
                let others = self
                    .view
                    .members()
                    .filter(|viewed| viewed.state == MemberState::Alive);
                let others = others
                    .map(|viewed| viewed.id)
                    .filter(|id| id.name != me && id.name != target.name);
                if let Some(other) = others.choose(&mut self.rng) {
                    self.say(
                        other.peer,
                        &Message::IndirectCheckRequest {
                            nonce,
                            target: target.peer,
                        },
                    );
                }
            }
            Want::Doubt(target) => self.doubt(target, now),
        }
    }

    /// One did not answer: it is suspected, and judged later if it does not say that it is there.
    fn doubt(&mut self, id: Identity, now: Duration) {
        let known = self.foca.iter_members().find(|member| *member.id() == id);
        let Some(incarnation) = known.map(Member::incarnation) else {
            return;
        };
        let suspect = Member::new(id, incarnation, State::Suspect);
        let applied = self
            .foca
            .apply_many([suspect].into_iter(), true, &mut self.runtime);
        self.counters.protocol_errors += u64::from(applied.is_err());
        self.settle(None);
        self.look_for_suspects(None, |member| *member.id() == id);
        self.remember_doubt(id, incarnation, now);
    }

    fn remember_doubt(&mut self, id: Identity, incarnation: u16, now: Duration) {
        let doubted = self
            .doubts
            .iter()
            .any(|d| d.id == id && d.incarnation == incarnation);
        if !doubted && self.doubts.len() < self.config.max_members {
            let due = now + suspicion(self.foca.num_members());
            self.doubts.push(Doubt {
                id,
                incarnation,
                tell: now,
                due,
            });
        }
    }

    /// Those doubted long enough, who have not said that they are there, are gone.
    fn judge(&mut self, now: Duration) {
        // A suspect hears of it from who doubts it, again and again: one that was only stopped can then say at once that
        // it is there.
        let due: Vec<(Identity, u16)> = self
            .doubts
            .iter_mut()
            .filter(|doubt| doubt.tell <= now)
            .map(|doubt| {
                doubt.tell = now + TELL_SUSPECT;
                (doubt.id, doubt.incarnation)
            })
            .collect();
        for (id, incarnation) in due {
            let about = vec![Member::new(id, incarnation, State::Suspect)];
            let said = Message::ViewMembers {
                from: self.identity(),
                requested: None,
                members: about,
            };
            self.say(id.peer, &said);
        }
        for doubt in self
            .doubts
            .extract_if(.., |doubt| doubt.due <= now)
            .collect::<Vec<_>>()
        {
            if self.is_suspect(&doubt.id, doubt.incarnation) {
                let down = Member::new(doubt.id, doubt.incarnation, State::Down);
                let applied = self
                    .foca
                    .apply_many([down].into_iter(), true, &mut self.runtime);
                self.counters.protocol_errors += u64::from(applied.is_err());
                self.settle(None);
            }
        }
    }

    /// Whether one is still suspected as it was, and has not said since that it is there.
    fn is_suspect(&self, id: &Identity, incarnation: u16) -> bool {
        self.foca.iter_members().any(|member| {
            member.id() == id
                && member.incarnation() == incarnation
                && member.state() == State::Suspect
        })
    }

    /// Calls a place at which nobody is present.
    fn call(&mut self) {
        if self.view.live_count() >= usize::from(self.config.peer_count) {
            return;
        }
        let mut taken = vec![false; usize::from(self.config.peer_count)];
        for viewed in self.view.members().filter(|viewed| viewed.state.is_live()) {
            if let Some(taken) = taken.get_mut(usize::from(viewed.id.peer.0)) {
                *taken = true;
            }
        }
        let free = (0u16..)
            .zip(&taken)
            .filter(|(_, taken)| !**taken)
            .map(|(place, _)| PeerIndex(place));
        if let Some(place) = free.choose(&mut self.rng) {
            let from = self.identity();
            self.say(place, &Message::Join { from });
        }
    }

    /// Leaves: the others are told, and nothing more is sent afterwards.
    pub fn leave(&mut self, now: Duration) {
        if self.phase != Phase::Member {
            return;
        }
        self.runtime.set_now(now);
        let leaving = Identity {
            is_leaving: true,
            ..self.identity()
        };
        let mut done = self.foca.change_identity(leaving, &mut self.runtime);
        for _ in 1..FAREWELLS {
            done = done.and_then(|()| self.foca.gossip(&mut self.runtime));
        }
        done = done.and_then(|()| self.foca.leave_cluster(&mut self.runtime));
        self.counters.protocol_errors += u64::from(done.is_err());
        self.settle(None);
        self.phase = Phase::Left;
    }

    fn put(&mut self, viewed: MemberRecord) {
        let there = self.view.live_count();
        if let Some(change) = self.view.record(viewed) {
            self.outputs.push_back(Output::ViewChanged(change));
            if self.view.live_count() != there {
                self.hello.again(self.runtime.now(), &mut self.rng);
            }
        }
    }

    /// Takes over what the protocol has sent and found.
    fn settle(&mut self, from: Option<Name>) {
        let me = self.identity();
        let since = self.runtime.now();
        for note in self.runtime.take_notifications() {
            let (id, state) = match note {
                OwnedNotification::MemberUp(id) if id.is_leaving => (id, MemberState::Left),
                OwnedNotification::MemberUp(id) => (id, MemberState::Alive),
                OwnedNotification::MemberDown(id) if id.is_leaving => (id, MemberState::Left),
                OwnedNotification::MemberDown(id) => (id, MemberState::Dead),
                OwnedNotification::Rename(_, now) if now.is_leaving => (now, MemberState::Left),
                // No other note follows where the earlier life counted as there with the protocol: one that leaves
                // does so until its end has come round.
                OwnedNotification::Rename(_, now)
                    if self.foca.iter_members().any(|m| *m.id() == now) =>
                {
                    (now, MemberState::Alive)
                }
                OwnedNotification::Rename(_, now) => (now, MemberState::Dead),
                _ => continue,
            };
            if id.name != me.name {
                self.put(MemberRecord {
                    id,
                    state,
                    since,
                    reported_by: from,
                });
            }
        }
        if self.view.get(&me.name).is_none_or(|viewed| viewed.id != me) {
            let state = if me.is_leaving {
                MemberState::Left
            } else {
                MemberState::Alive
            };
            self.put(MemberRecord {
                id: me,
                state,
                since,
                reported_by: from,
            });
        }
        for OutgoingPayload { to, payload } in self.runtime.take_payloads() {
            if to.name != me.name {
                let datagram = wire::encode_swim(&self.config.fleet, &payload);
                self.send(to.peer, datagram);
            }
        }
    }

    /// The same among those of whom a datagram tells, and its sender, where it can have changed that.
    fn look_for_suspects_among(&mut self, about: &[Member<Identity>], from: Name) {
        let suspect = |name: &Name| {
            self.view
                .get(name)
                .is_some_and(|viewed| viewed.state == MemberState::Suspect)
        };
        let of = about
            .iter()
            .filter(|m| m.state() == State::Suspect || suspect(&m.id().name));
        let of = of
            .map(|member| member.id().name)
            .chain(Some(from).filter(suspect));
        let of: Vec<Name> = of.collect();
        if !of.is_empty() {
            self.look_for_suspects(Some(from), |member| of.contains(&member.id().name));
        }
    }

    /// Takes over who is suspected, and who no longer is, among some; those that now are, with their incarnations.
    fn look_for_suspects(
        &mut self,
        from: Option<Name>,
        of: impl Fn(&Member<Identity>) -> bool,
    ) -> Vec<(Identity, u16)> {
        let (mut changed, mut suspects) = (Vec::new(), Vec::new());
        for member in self.foca.iter_members().filter(|member| of(member)) {
            let state = match member.state() {
                State::Suspect => MemberState::Suspect,
                _ if member.id().is_leaving => MemberState::Left,
                _ => MemberState::Alive,
            };
            let known = self.view.get(&member.id().name);
            if known.is_some_and(|viewed| viewed.state.is_live() && viewed.state != state) {
                changed.push(MemberRecord {
                    id: *member.id(),
                    state,
                    since: self.runtime.now(),
                    reported_by: from,
                });
                if state == MemberState::Suspect {
                    suspects.push((*member.id(), member.incarnation()));
                }
            }
        }
        for viewed in changed {
            self.put(viewed);
        }
        suspects
    }

    /// Sets the protocol for the number of members, where that has changed by much.
    fn set_for_size(&mut self) {
        let members = self.foca.num_members() + 1;
        if members * 5 < self.set_for * 4 || members * 4 > self.set_for * 5 {
            let set = self.foca.set_config(protocol(members, &self.config));
            self.counters.protocol_errors += u64::from(set.is_err());
            self.set_for = members;
        }
    }

    fn say(&mut self, to: PeerIndex, said: &Message) {
        let datagram = wire::encode_message(&self.config.fleet, said);
        self.send(to, datagram);
    }

    fn send(&mut self, to: PeerIndex, datagram: Vec<u8>) {
        self.counters.record_sent(&datagram);
        self.outputs.push_back(Output::Send { to, datagram });
    }
}

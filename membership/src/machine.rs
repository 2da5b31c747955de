//! The state machine.

use crate::config::{Config, ConfigError};
use crate::health::{Health, PAUSE};
use crate::hello::Hello;
use crate::identity::{Identity, Name, Place};
use crate::io::Io;
use crate::sync::{self, Follow, Part};
use crate::view::{Change, MemberState, View, Viewed};
use crate::watch::{Want, Watch};
use crate::wire::{self, Dropped, Own, Said};
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
/// How often a random member is asked for a part of what it knows.
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
        to: Place,
        /// At most 256 bytes.
        datagram: Vec<u8>,
    },
    /// Know of a change of the view.
    Changed(Change),
    /// Know that this process had a name for itself that was claimed by an earlier start of it, with a later incarnation:
    /// it has taken a still later one.
    Outbid(Identity),
    /// Know that a later process claims its name: it has yielded, and takes part no more.
    Yielded(Identity),
}

/// How this process takes part.
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

/// What came and went, and what was dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that came.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Dropped: cannot be read.
    pub broken: u64,
    /// Dropped: another version.
    pub other_version: u64,
    /// Dropped: another fleet.
    pub other_fleet: u64,
    /// Dropped: sender's address unknown.
    pub unknown_sender: u64,
    /// Dropped: the sender is not at the place it says.
    pub impostor: u64,
    /// Dropped: tells of what cannot be.
    pub beyond: u64,
    /// Could be read, but not be meant in this state.
    pub odd: u64,
    /// Times that others doubted this process and it said that it is there.
    pub refuted: u64,
    /// Times that it ran late enough to doubt itself.
    pub pauses: u64,
}

/// One that did not answer the watch.
struct Doubt {
    id: Identity,
    incarnation: u16,
    /// When it is told next.
    tell: Duration,
    due: Duration,
}

/// One process's part in the membership.
///
/// Times are the embedder's, on a clock that only goes forward. Before [`timeout`](Self::timeout) it hands in all datagrams
/// that have come: what was answered in time must not look late.
pub struct Membership {
    config: Config,
    foca: Foca<Identity, PostcardCodec, StdRng, NoCustomBroadcast>,
    io: Io,
    rng: StdRng,
    view: View,
    health: Health,
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
    protocol.max_packet_size =
        NonZeroUsize::new(wire::room(&config.fleet)).unwrap_or(protocol.max_packet_size);
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
        config.check()?;
        let Config {
            name,
            place,
            boot,
            seed,
            ..
        } = config;
        let me = Identity {
            name,
            place,
            boot,
            turn: 0,
            leaving: false,
        };
        let mut rng = StdRng::seed_from_u64(seed);
        let own_rng = StdRng::seed_from_u64(rng.random());
        let set_for = usize::from(config.places);
        let mut membership = Self {
            foca: Foca::new(me, protocol(set_for, &config), rng, PostcardCodec),
            io: Io::new(now, 4 * config.members_most + 64),
            view: View::default(),
            health: Health::default(),
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
        membership.put(Viewed {
            id: me,
            standing: MemberState::Present,
            since: now,
            from: None,
        });
        for _ in 1..FIRST_CALLS {
            membership.call();
        }
        Ok(membership)
    }

    /// Takes lives for there without telling anybody: what is remembered from before the start. Those that are not there
    /// any more are found out in time.
    pub fn remember(&mut self, now: Duration, lives: impl Iterator<Item = Identity>) {
        self.io.now = now;
        let name = self.me().name;
        let lives: Vec<_> = lives
            .filter(|id| id.name != name && self.possible(id).is_ok())
            .collect();
        let applied =
            self.foca
                .apply_many(lives.into_iter().map(Member::alive), false, &mut self.io);
        self.counters.odd += u64::from(applied.is_err());
        self.settle(None);
    }

    /// Who this process is.
    pub fn me(&self) -> Identity {
        *self.foca.identity()
    }

    /// Its view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// How it takes part.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// How well it does itself: 0 is well, 4 the worst.
    pub fn health(&self) -> u32 {
        self.health.score()
    }

    /// What came and went.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// What the embedder has to do next.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`timeout`](Self::timeout) wants to be called; `None`: never again.
    pub fn due(&self) -> Option<Duration> {
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
            self.io.due(),
        ];
        own.into_iter().flatten().min()
    }

    /// A datagram came from an address that is none of the peers'.
    pub fn unknown_sender(&mut self) {
        self.counters.unknown_sender += 1;
    }

    /// A datagram came from a place; says why where it is dropped.
    pub fn datagram(&mut self, now: Duration, from: Place, datagram: &[u8]) -> Result<(), Dropped> {
        self.counters.received += 1;
        self.counters.received_bytes += datagram.len() as u64;
        if self.phase != Phase::Member {
            return Ok(());
        }
        let taken = self.take(now, from, datagram);
        match taken {
            Ok(()) => {}
            Err(Dropped::Broken) => self.counters.broken += 1,
            Err(Dropped::Version) => self.counters.other_version += 1,
            Err(Dropped::Fleet) => self.counters.other_fleet += 1,
            Err(Dropped::UnknownSender) => self.counters.unknown_sender += 1,
            Err(Dropped::Impostor) => self.counters.impostor += 1,
            Err(Dropped::Beyond) => self.counters.beyond += 1,
        }
        taken
    }

    fn take(&mut self, now: Duration, place: Place, datagram: &[u8]) -> Result<(), Dropped> {
        self.io.now = now;
        match wire::read(&self.config.fleet, datagram)? {
            Said::Own(Own::Check { nonce }) => {
                let (from, digest) = (self.me(), self.view.digest());
                self.say(
                    place,
                    &Own::Checked {
                        nonce,
                        from,
                        digest,
                    },
                );
            }
            Said::Own(Own::Checked {
                nonce,
                from,
                digest,
            }) => {
                self.admit(place, &from)?;
                if self.watch.answered(nonce, from.name) {
                    self.health.better();
                    self.differ = if digest == self.view.digest() {
                        0
                    } else {
                        self.differ + 1
                    };
                    if self.differ >= DIFFER {
                        self.compare(place, Part::default());
                    }
                }
            }
            Said::Own(Own::PassCheck { nonce, to }) => {
                if to.0 < self.config.places && to != self.me().place {
                    self.say(to, &Own::CheckVia { nonce, back: place });
                }
            }
            Said::Own(Own::CheckVia { nonce, back }) => {
                let from = self.me();
                self.say(place, &Own::CheckedVia { nonce, back, from });
            }
            Said::Own(Own::CheckedVia { nonce, back, from }) => {
                self.admit(place, &from)?;
                if back.0 < self.config.places && back != self.me().place {
                    self.say(back, &Own::Passed { nonce, from });
                }
            }
            Said::Own(Own::Passed { nonce, from }) => {
                self.possible(&from)?;
                if self.watch.answered(nonce, from.name) {
                    self.health.better();
                }
            }
            Said::Own(Own::Compare { from, part, hashes }) => {
                self.admit(place, &from)?;
                if !part.is_sound() {
                    return Err(Dropped::Beyond);
                }
                if self.hello.may_answer(now) && self.hears(&from) {
                    let own = part.hashes(self.view.hashes());
                    for follow in part.follow(&own, &hashes, self.view.positions(), &mut self.rng) {
                        match follow {
                            Follow::Compare(part) => self.compare(place, part),
                            Follow::Tell(part) => self.tell(place, part, Some(part)),
                        }
                    }
                }
            }
            Said::Own(Own::Tell { from, back, about }) => {
                self.admit(place, &from)?;
                about
                    .iter()
                    .try_for_each(|member| self.possible(member.id()))?;
                if back.is_some_and(|part| !part.is_sound()) {
                    return Err(Dropped::Beyond);
                }
                if self.hears(&from) {
                    let doubted = self.take_news(&about);
                    if self.phase == Phase::Member {
                        // No news: those travel by themselves. This makes up for those that went past here.
                        let applied =
                            self.foca
                                .apply_many(about.iter().cloned(), false, &mut self.io);
                        self.counters.odd += u64::from(applied.is_err());
                        if doubted {
                            // Whoever says so hears at once that it is wrong; the others will.
                            let announced = self.foca.announce(from, &mut self.io);
                            self.counters.odd += u64::from(announced.is_err());
                        }
                        self.settle(Some(from.name));
                        self.look_for_suspects_among(&about, from.name);
                        if let Some(part) = back.filter(|_| self.hello.may_answer(now)) {
                            self.tell(place, part, None);
                        }
                    }
                }
            }
            Said::Own(Own::Hello { from }) => {
                self.admit(place, &from)?;
                if from.name == self.me().name {
                    self.claimed(from, true);
                } else if self.hello.may_answer(now) {
                    let announced = self.foca.announce(from, &mut self.io);
                    self.counters.odd += u64::from(announced.is_err());
                    self.settle(None);
                }
            }
            Said::Swim {
                payload,
                from,
                about,
            } => {
                self.admit(place, &from)?;
                for member in &about {
                    self.possible(member.id())?;
                }
                let name = self.me().name;
                if from.name == name {
                    self.claimed(from, true);
                    return Ok(());
                }
                self.take_news(&about);
                if self.phase == Phase::Member {
                    self.io.stretch = 1 + self.health.score();
                    let handled = self.foca.handle_data(payload, &mut self.io);
                    self.counters.odd += u64::from(handled.is_err());
                    self.settle(Some(from.name));
                    self.look_for_suspects_among(&about, from.name);
                }
            }
        }
        Ok(())
    }

    /// What others say of this process itself; whether they doubt it.
    fn take_news(&mut self, about: &[Member<Identity>]) -> bool {
        let (name, mut doubted) = (self.me().name, false);
        for member in about.iter().filter(|member| member.id().name == name) {
            if *member.id() == self.me() && member.state() == State::Suspect {
                self.counters.refuted += 1;
                self.health.worse();
                doubted = true;
            }
            self.claimed(*member.id(), false);
        }
        doubted
    }

    /// Whether a sender counts as there. One that does not is told who is here, so that both learn how they stand.
    fn hears(&mut self, from: &Identity) -> bool {
        let known = self.view.get(&from.name);
        let there = known.is_some_and(|viewed| viewed.id == *from && viewed.standing.is_there());
        if !there && from.name != self.me().name && self.hello.may_answer(self.io.now) {
            let announced = self.foca.announce(*from, &mut self.io);
            self.counters.odd += u64::from(announced.is_err());
            self.settle(None);
        }
        there
    }

    fn compare(&mut self, to: Place, part: Part) {
        let (from, hashes) = (self.me(), part.hashes(self.view.hashes()));
        self.say(to, &Own::Compare { from, part, hashes });
    }

    /// Tells what is known of a part, as far as it fits; what does not, at another time by chance.
    fn tell(&mut self, to: Place, part: Part, back: Option<Part>) {
        let me = self.me();
        let known = self
            .foca
            .iter_membership_state()
            .filter(|member| member.id().name != me.name);
        let mut known: Vec<Member<Identity>> = known
            .filter(|member| part.holds(sync::position(&member.id().name)))
            .cloned()
            .collect();
        if part.holds(sync::position(&me.name)) {
            known.push(Member::alive(me));
        }
        known.shuffle(&mut self.rng);
        let (mut about, mut left) = (
            Vec::new(),
            wire::room(&self.config.fleet).saturating_sub(TELLING),
        );
        for member in known {
            let Some(rest) = left.checked_sub(wire::size(&member)) else {
                break;
            };
            left = rest;
            about.push(member);
        }
        self.say(
            to,
            &Own::Tell {
                from: me,
                back,
                about,
            },
        );
    }

    /// Whether a sender can be who it says.
    fn admit(&self, place: Place, from: &Identity) -> Result<(), Dropped> {
        if from.place != place {
            return Err(Dropped::Impostor);
        }
        self.possible(from)
    }

    /// Whether there can be such a member, and room for it.
    fn possible(&self, id: &Identity) -> Result<(), Dropped> {
        let known = self.view.get(&id.name).is_some();
        let room = self.view.len() < self.config.members_most;
        // By the clock of this process's start: it needs no later one, as a day is allowed for.
        let in_time = id.boot
            <= self
                .config
                .boot
                .saturating_add(AHEAD_MOST + self.io.now.as_millis() as u64);
        if id.place.0 < self.config.places && (known || room) && in_time {
            Ok(())
        } else {
            Err(Dropped::Beyond)
        }
    }

    /// Somebody has this process's name, itself or by another's word.
    fn claimed(&mut self, other: Identity, itself: bool) {
        let me = self.me();
        if !other.wins(&me) {
            // A living one learns from the answer who has the name.
            if itself && me.wins(&other) && self.hello.may_answer(self.io.now) {
                self.say(other.place, &Own::Hello { from: me });
            }
            return;
        }
        if self.io.now < self.started + JOINING && self.outbids < OUTBIDS {
            self.outbids += 1;
            let next = Identity {
                boot: other.boot + 1,
                turn: 0,
                ..me
            };
            let changed = self.foca.change_identity(next, &mut self.io);
            self.counters.odd += u64::from(changed.is_err());
            self.outputs.push_back(Output::Outbid(other));
            self.settle(None);
        } else {
            self.phase = Phase::Yielded;
            self.outputs.push_back(Output::Yielded(other));
        }
    }

    /// Does what has become due.
    pub fn timeout(&mut self, now: Duration) {
        let Some(due) = self.due() else { return };
        self.io.now = now;
        let late = now.saturating_sub(due);
        self.health.ran(late);
        if late > PAUSE {
            self.counters.pauses += 1;
            self.io.put_off_judgements(late);
            self.doubts.iter_mut().for_each(|doubt| doubt.due += late);
            self.watch.drop_check();
        }
        while let Some(timer) = self.io.take_due(now) {
            self.io.stretch = 1 + self.health.score();
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
            let handled = self.foca.handle_timer(timer, &mut self.io);
            self.counters.odd += u64::from(handled.is_err());
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
                let me = self.me().name;
                if let Some(next) = self
                    .view
                    .after(&me)
                    .map(|viewed| viewed.id)
                    .filter(|id| id.name != me)
                {
                    let nonce = self.watch.begin(next, now, &self.health);
                    self.say(next.place, &Own::Check { nonce });
                }
            }
            Want::Ask(target, nonce) => {
                self.say(target.place, &Own::Check { nonce });
                // Only the way from here may be cut: another one asks as well.
                let me = self.me().name;
                let others = self
                    .view
                    .members()
                    .filter(|viewed| viewed.standing == MemberState::Present);
                let others = others
                    .map(|viewed| viewed.id)
                    .filter(|id| id.name != me && id.name != target.name);
                if let Some(other) = others.choose(&mut self.rng) {
                    self.say(
                        other.place,
                        &Own::PassCheck {
                            nonce,
                            to: target.place,
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
            .apply_many([suspect].into_iter(), true, &mut self.io);
        self.counters.odd += u64::from(applied.is_err());
        self.settle(None);
        self.look_for_suspects(None, |member| *member.id() == id);
        self.remember_doubt(id, incarnation, now);
    }

    fn remember_doubt(&mut self, id: Identity, incarnation: u16, now: Duration) {
        let doubted = self
            .doubts
            .iter()
            .any(|d| d.id == id && d.incarnation == incarnation);
        if !doubted && self.doubts.len() < self.config.members_most {
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
            let said = Own::Tell {
                from: self.me(),
                back: None,
                about,
            };
            self.say(id.place, &said);
        }
        for doubt in self
            .doubts
            .extract_if(.., |doubt| doubt.due <= now)
            .collect::<Vec<_>>()
        {
            if self.is_suspect(&doubt.id, doubt.incarnation) {
                let down = Member::new(doubt.id, doubt.incarnation, State::Down);
                let applied = self.foca.apply_many([down].into_iter(), true, &mut self.io);
                self.counters.odd += u64::from(applied.is_err());
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
        if self.view.there() >= usize::from(self.config.places) {
            return;
        }
        let mut taken = vec![false; usize::from(self.config.places)];
        for viewed in self
            .view
            .members()
            .filter(|viewed| viewed.standing.is_there())
        {
            if let Some(taken) = taken.get_mut(usize::from(viewed.id.place.0)) {
                *taken = true;
            }
        }
        let free = (0u16..)
            .zip(&taken)
            .filter(|(_, taken)| !**taken)
            .map(|(place, _)| Place(place));
        if let Some(place) = free.choose(&mut self.rng) {
            let from = self.me();
            self.say(place, &Own::Hello { from });
        }
    }

    /// Leaves: the others are told, and nothing more is sent afterwards.
    pub fn leave(&mut self, now: Duration) {
        if self.phase != Phase::Member {
            return;
        }
        self.io.now = now;
        let leaving = Identity {
            leaving: true,
            ..self.me()
        };
        let mut done = self.foca.change_identity(leaving, &mut self.io);
        for _ in 1..FAREWELLS {
            done = done.and_then(|()| self.foca.gossip(&mut self.io));
        }
        done = done.and_then(|()| self.foca.leave_cluster(&mut self.io));
        self.counters.odd += u64::from(done.is_err());
        self.settle(None);
        self.phase = Phase::Left;
    }

    fn put(&mut self, viewed: Viewed) {
        let there = self.view.there();
        if let Some(change) = self.view.put(viewed) {
            self.outputs.push_back(Output::Changed(change));
            if self.view.there() != there {
                self.hello.again(self.io.now, &mut self.rng);
            }
        }
    }

    /// Takes over what the protocol has sent and found.
    fn settle(&mut self, from: Option<Name>) {
        let me = self.me();
        let since = self.io.now;
        for note in std::mem::take(&mut self.io.notes) {
            let (id, standing) = match note {
                OwnedNotification::MemberUp(id) if id.leaving => (id, MemberState::Left),
                OwnedNotification::MemberUp(id) => (id, MemberState::Present),
                OwnedNotification::MemberDown(id) if id.leaving => (id, MemberState::Left),
                OwnedNotification::MemberDown(id) => (id, MemberState::Gone),
                OwnedNotification::Rename(_, now) if now.leaving => (now, MemberState::Left),
                // No other note follows where the earlier life counted as there with the protocol: one that leaves
                // does so until its end has come round.
                OwnedNotification::Rename(_, now)
                    if self.foca.iter_members().any(|m| *m.id() == now) =>
                {
                    (now, MemberState::Present)
                }
                OwnedNotification::Rename(_, now) => (now, MemberState::Gone),
                _ => continue,
            };
            if id.name != me.name {
                self.put(Viewed {
                    id,
                    standing,
                    since,
                    from,
                });
            }
        }
        if self.view.get(&me.name).is_none_or(|viewed| viewed.id != me) {
            let standing = if me.leaving {
                MemberState::Left
            } else {
                MemberState::Present
            };
            self.put(Viewed {
                id: me,
                standing,
                since,
                from,
            });
        }
        for (to, payload) in std::mem::take(&mut self.io.sends) {
            if to.name != me.name {
                let datagram = wire::swim(&self.config.fleet, &payload);
                self.send(to.place, datagram);
            }
        }
    }

    /// The same among those of whom a datagram tells, and its sender, where it can have changed that.
    fn look_for_suspects_among(&mut self, about: &[Member<Identity>], from: Name) {
        let suspect = |name: &Name| {
            self.view
                .get(name)
                .is_some_and(|viewed| viewed.standing == MemberState::Suspect)
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
            let standing = match member.state() {
                State::Suspect => MemberState::Suspect,
                _ if member.id().leaving => MemberState::Left,
                _ => MemberState::Present,
            };
            let known = self.view.get(&member.id().name);
            if known.is_some_and(|viewed| viewed.standing.is_there() && viewed.standing != standing)
            {
                changed.push(Viewed {
                    id: *member.id(),
                    standing,
                    since: self.io.now,
                    from,
                });
                if standing == MemberState::Suspect {
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
            self.counters.odd += u64::from(set.is_err());
            self.set_for = members;
        }
    }

    fn say(&mut self, to: Place, said: &Own) {
        let datagram = wire::own(&self.config.fleet, said);
        self.send(to, datagram);
    }

    fn send(&mut self, to: Place, datagram: Vec<u8>) {
        self.counters.sent += 1;
        self.counters.sent_bytes += datagram.len() as u64;
        self.outputs.push_back(Output::Send { to, datagram });
    }
}

//! The model that plays events: a clock, what is due, and the digests of what the balancer does.

mod clients;
mod environment;

use crate::adapter::{Entry, Input, Output, Player, Site};
use crate::digest::Digest;
use crate::{ACTION_KINDS, HEALTH_CHECK, REASONS};
use std::collections::BTreeMap;
use std::time::Duration;

/// How the model's upstream answers.
#[derive(Clone, Copy, PartialEq)]
enum Behavior {
    Normal,
    Slow,
    Silent,
    Failing,
    Rejecting,
    Dead,
    Resetting,
}

const BEHAVIORS: [Behavior; 10] = [
    Behavior::Normal,
    Behavior::Normal,
    Behavior::Normal,
    Behavior::Normal,
    Behavior::Slow,
    Behavior::Silent,
    Behavior::Failing,
    Behavior::Rejecting,
    Behavior::Dead,
    Behavior::Resetting,
];

const OK: usize = 0;
const ERROR: usize = 1;
const REJECTED: usize = 2;
const TIMED_OUT: usize = 3;
const CONNECT_FAILED: usize = 4;
const RESET: usize = 5;
const CANCELLED: usize = 6;
const NOT_SENT: usize = 7;

struct Server {
    entry: Entry,
    behavior: Behavior,
    /// In thousandths.
    speed: u64,
    in_flight: u64,
}

struct SentAttempt {
    upstream: u64,
    at: Duration,
    is_out: bool,
}

struct Request {
    class: usize,
    deadline: Duration,
    sends: Vec<SentAttempt>,
    is_answered: bool,
    is_gone: bool,
    is_streaming: bool,
}

/// What happens in the model at some time.
enum Due {
    Arrival,
    Timer(u32),
    /// An attempt ends by itself, at its time limit, or as it is cancelled.
    End {
        id: u32,
        attempt: u8,
        outcome: usize,
    },
    StreamStart {
        id: u32,
        attempt: u8,
    },
    Disconnect {
        id: u32,
    },
    /// Behaviors, load and list change.
    Behavior,
    Load,
    List,
    /// What discovery does about a call made then.
    Discovery {
        called: Duration,
    },
    HealthCheck,
    Stall,
}

/// How discovery answers calls.
#[derive(Clone, Copy)]
enum Discovery {
    Up,
    Rejecting,
    Unreachable,
    Breaking,
    Mute,
}

pub struct Model {
    rng: fastrand::Rng,
    player: Player,
    site: Site,
    now: Duration,
    due: BTreeMap<(Duration, u64), Due>,
    sequence: u64,
    servers: BTreeMap<u64, Server>,
    requests: BTreeMap<u32, Request>,
    next_request: u32,
    next_server: u64,
    /// Mean nanoseconds between arrivals.
    gap: u64,
    gap_scale: u64,
    discovery: Discovery,
    is_watching: bool,
    pub events: u64,
    pub actions: Digest,
    pub status: Digest,
    pub kinds: [u64; ACTION_KINDS],
    pub reasons: [u64; REASONS],
    pub inputs: BTreeMap<&'static str, u64>,
}

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

impl Model {
    pub fn new(number: usize) -> Self {
        let (player, site) = Player::new(number, 1000 + number as u64);
        let mut model = Self {
            rng: fastrand::Rng::with_seed(77 + number as u64),
            player,
            site,
            now: ms(5000),
            due: BTreeMap::new(),
            sequence: 0,
            servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            next_server: 0,
            gap: 20_000_000,
            gap_scale: [1, 4, 3][number],
            discovery: Discovery::Up,
            is_watching: false,
            events: 0,
            actions: Digest::new(),
            status: Digest::new(),
            kinds: [0; ACTION_KINDS],
            reasons: [0; REASONS],
            inputs: BTreeMap::new(),
        };
        for _ in 0..[45, 14, 8][number] {
            model.add_server(None);
        }
        let entries = model.entries();
        model.play("cached", Input::Endpoints { scope: 2, entries });
        for first in [
            Due::Arrival,
            Due::Behavior,
            Due::Load,
            Due::List,
            Due::HealthCheck,
            Due::Stall,
        ] {
            model.after(ms(1), first);
        }
        model
    }

    fn add_server(&mut self, started: Option<Duration>) -> u64 {
        self.next_server += 1;
        let id = self.next_server * 7 + 3;
        let entry = Entry {
            id,
            zone: self.rng.u8(0..3),
            cell: self.rng.u16(0..4),
            availability: 0,
            weight: [1.0, 1.0, 2.0, 0.5][self.rng.usize(0..4)],
            started,
        };
        let speed = (entry.weight * 1000.0) as u64 * self.rng.u64(80..120) / 100;
        self.servers.insert(
            id,
            Server {
                entry,
                behavior: Behavior::Normal,
                speed,
                in_flight: 0,
            },
        );
        id
    }

    fn entries(&self) -> Vec<Entry> {
        self.servers
            .values()
            .map(|server| server.entry.clone())
            .collect()
    }

    fn after(&mut self, span: Duration, due: Due) {
        self.sequence += 1;
        self.due.insert((self.now + span, self.sequence), due);
    }

    fn span(&mut self, mean_ms: u64) -> Duration {
        Duration::from_micros(self.rng.u64(1..2000 * mean_ms))
    }

    /// Plays one event, adds its actions to the digest and carries them out.
    fn play(&mut self, name: &'static str, input: Input) {
        self.events += 1;
        *self.inputs.entry(name).or_default() += 1;
        for output in self.player.play(self.now, &input) {
            self.record(&output);
            self.carry_out(output);
        }
        if self.events.is_multiple_of(20) {
            self.player
                .status()
                .into_iter()
                .for_each(|word| self.status.word(word));
        }
    }

    fn record(&mut self, output: &Output) {
        let digest = &mut self.actions;
        digest.duration(Some(self.now));
        let kind = match output {
            Output::Attempt {
                id,
                upstream,
                timeout,
            } => {
                digest.word(u64::from(*id));
                digest.word(*upstream);
                digest.duration(*timeout);
                0
            }
            Output::Cancel { id, attempt } => {
                digest.word(u64::from(*id));
                digest.word(u64::from(*attempt));
                1
            }
            Output::Reject {
                id,
                retry_after,
                reason,
            } => {
                digest.word(u64::from(*id));
                digest.duration(*retry_after);
                digest.word(*reason as u64);
                self.reasons[*reason] += 1;
                2
            }
            Output::Fail { id, reason } => {
                digest.word(u64::from(*id));
                digest.word(*reason as u64);
                self.reasons[*reason] += 1;
                3
            }
            Output::Timer { after, number } => {
                digest.duration(Some(*after));
                digest.word(u64::from(*number));
                4
            }
            Output::Watch => 5,
            Output::CloseIdle { upstream } => {
                digest.word(*upstream);
                6
            }
            Output::HealthCheck { upstream } => {
                digest.word(*upstream);
                HEALTH_CHECK
            }
            Output::Log => 8,
        };
        digest.word(kind as u64);
        self.kinds[kind] += 1;
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Attempt {
                id,
                upstream,
                timeout,
            } => self.send(id, upstream, timeout),
            Output::Cancel { id, attempt } => {
                let span = ms(self.rng.u64(0..3));
                self.after(
                    span,
                    Due::End {
                        id,
                        attempt,
                        outcome: CANCELLED,
                    },
                );
            }
            Output::Reject { id, .. } | Output::Fail { id, .. } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    assert!(
                        !request.is_answered && !request.is_gone,
                        "two final answers"
                    );
                    request.is_answered = true;
                    self.forget(id);
                }
            }
            Output::Timer { after, number } => self.after(after, Due::Timer(number)),
            Output::Watch => {
                let called = self.now;
                let span = self.span(60);
                self.after(span, Due::Discovery { called });
            }
            Output::CloseIdle { .. } | Output::HealthCheck { .. } | Output::Log => {}
        }
    }

    pub fn step(&mut self) {
        let ((at, _), due) = self.due.pop_first().expect("arrivals go on");
        self.now = self.now.max(at);
        match due {
            Due::Arrival => self.arrive(),
            Due::Timer(number) => self.play("timer", Input::Timer { number }),
            Due::End {
                id,
                attempt,
                outcome,
            } => self.end(id, attempt, outcome),
            Due::StreamStart { id, attempt } => self.start_stream(id, attempt),
            Due::Disconnect { id } => self.disconnect(id),
            Due::Behavior => self.change_behavior(),
            Due::Load => self.change_load(),
            Due::List => self.change_list(),
            Due::Discovery { called } => self.answer_call(called),
            Due::HealthCheck => self.end_health_check(),
            Due::Stall => {
                // The process stood still: all that fell due meanwhile comes late and together.
                let span = self.span(9000);
                self.after(span, Due::Stall);
                self.now += ms(self.rng.u64(50..700));
                self.play("foreign timer", Input::Timer { number: 9 });
            }
        }
    }
}

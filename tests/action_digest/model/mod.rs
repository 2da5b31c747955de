//! The model that generates events. It has a clock, a schedule of events, and the digests of the
//! balancer's actions and status.

mod clients;
mod environment;

use crate::adapter::{BalancerRunner, Entry, Input, Output, Site};
use crate::digest::Digest;
use crate::{ACTION_KIND_COUNT, HEALTH_CHECK_KIND, REASON_COUNT};
use std::collections::BTreeMap;
use std::time::Duration;

/// How an upstream of the model responds.
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
    /// Work per unit of time, in thousandths of that of a standard upstream.
    speed: u64,
    in_flight: u64,
}

struct SentAttempt {
    upstream: u64,
    sent_at: Duration,
    is_in_flight: bool,
}

struct Request {
    class: usize,
    deadline: Duration,
    attempts: Vec<SentAttempt>,
    has_final_response: bool,
    is_disconnected: bool,
    is_streaming: bool,
}

/// Something that is scheduled to happen in the model.
enum Scheduled {
    Arrival,
    Timer(u32),
    /// An attempt ends: with an outcome of its upstream, at its timeout, or as it is cancelled.
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
    /// The behavior of one upstream or several changes.
    Behavior,
    /// The request rate and the state of discovery change.
    Load,
    /// An entry of the endpoint list changes, or the list is sent again.
    List,
    /// Discovery responds to a poll, or fails to.
    Discovery {
        polled_at: Duration,
    },
    HealthCheck,
    Stall,
}

/// The way in which discovery responds to polls.
#[derive(Clone, Copy)]
enum Discovery {
    Up,
    Rejecting,
    Unreachable,
    /// It sends only the beginning of a list.
    Truncating,
    /// It never responds.
    Unresponsive,
}

pub struct Model {
    rng: fastrand::Rng,
    runner: BalancerRunner,
    site: Site,
    now: Duration,
    schedule: BTreeMap<(Duration, u64), Scheduled>,
    sequence: u64,
    servers: BTreeMap<u64, Server>,
    requests: BTreeMap<u32, Request>,
    last_request_id: u32,
    last_server_number: u64,
    /// Mean time between the arrivals of two requests. Each change of load chooses a request rate,
    /// and sets this to the interval of that rate multiplied by `gap_scale`.
    mean_gap_ns: u64,
    /// Factor by which the arrivals are further apart than at the chosen request rate. It depends
    /// on the settings that the model runs, and does not change during the run.
    gap_scale: u64,
    discovery: Discovery,
    is_watching: bool,
    pub events: u64,
    pub actions: Digest,
    pub status: Digest,
    pub kinds: [u64; ACTION_KIND_COUNT],
    pub reasons: [u64; REASON_COUNT],
    pub inputs: BTreeMap<&'static str, u64>,
}

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

impl Model {
    pub fn new(number: usize) -> Self {
        let (runner, site) = BalancerRunner::new(number, 1000 + number as u64);
        let mut model = Self {
            rng: fastrand::Rng::with_seed(77 + number as u64),
            runner,
            site,
            now: ms(5000),
            schedule: BTreeMap::new(),
            sequence: 0,
            servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            last_request_id: 0,
            last_server_number: 0,
            mean_gap_ns: 20_000_000,
            gap_scale: [1, 4, 3][number],
            discovery: Discovery::Up,
            is_watching: false,
            events: 0,
            actions: Digest::new(),
            status: Digest::new(),
            kinds: [0; ACTION_KIND_COUNT],
            reasons: [0; REASON_COUNT],
            inputs: BTreeMap::new(),
        };
        for _ in 0..[45, 14, 8][number] {
            model.add_server(None);
        }
        let entries = model.entries();
        model.handle("cached", Input::Endpoints { scope: 2, entries });
        for first in [
            Scheduled::Arrival,
            Scheduled::Behavior,
            Scheduled::Load,
            Scheduled::List,
            Scheduled::HealthCheck,
            Scheduled::Stall,
        ] {
            model.schedule_after(ms(1), first);
        }
        model
    }

    fn add_server(&mut self, started: Option<Duration>) -> u64 {
        self.last_server_number += 1;
        let id = self.last_server_number * 7 + 3;
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

    fn schedule_after(&mut self, span: Duration, due: Scheduled) {
        self.sequence += 1;
        self.schedule.insert((self.now + span, self.sequence), due);
    }

    fn span(&mut self, mean_ms: u64) -> Duration {
        Duration::from_micros(self.rng.u64(1..2000 * mean_ms))
    }

    /// Passes one event to the balancer, adds its actions to the digest and performs them. `name`
    /// is the kind under which the event is counted.
    fn handle(&mut self, name: &'static str, input: Input) {
        self.events += 1;
        *self.inputs.entry(name).or_default() += 1;
        for output in self.runner.handle(self.now, &input) {
            self.record(&output);
            self.perform(output);
        }
        if self.events.is_multiple_of(20) {
            self.runner
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
                HEALTH_CHECK_KIND
            }
            Output::Log => 8,
        };
        digest.word(kind as u64);
        self.kinds[kind] += 1;
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::Attempt {
                id,
                upstream,
                timeout,
            } => self.send(id, upstream, timeout),
            Output::Cancel { id, attempt } => {
                let span = ms(self.rng.u64(0..3));
                self.schedule_after(
                    span,
                    Scheduled::End {
                        id,
                        attempt,
                        outcome: CANCELLED,
                    },
                );
            }
            Output::Reject { id, .. } | Output::Fail { id, .. } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    assert!(
                        !request.has_final_response && !request.is_disconnected,
                        "request {id} gets a final response after its end"
                    );
                    request.has_final_response = true;
                    self.remove_if_ended(id);
                }
            }
            Output::Timer { after, number } => self.schedule_after(after, Scheduled::Timer(number)),
            Output::Watch => {
                let polled_at = self.now;
                let span = self.span(60);
                self.schedule_after(span, Scheduled::Discovery { polled_at });
            }
            Output::CloseIdle { .. } | Output::HealthCheck { .. } | Output::Log => {}
        }
    }

    pub fn step(&mut self) {
        let ((due_at, _), due) = self
            .schedule
            .pop_first()
            .expect("another arrival is always scheduled");
        self.now = self.now.max(due_at);
        match due {
            Scheduled::Arrival => self.arrive(),
            Scheduled::Timer(number) => self.handle("timer", Input::Timer { number }),
            Scheduled::End {
                id,
                attempt,
                outcome,
            } => self.end(id, attempt, outcome),
            Scheduled::StreamStart { id, attempt } => self.start_stream(id, attempt),
            Scheduled::Disconnect { id } => self.disconnect(id),
            Scheduled::Behavior => self.change_behavior(),
            Scheduled::Load => self.change_load(),
            Scheduled::List => self.change_list(),
            Scheduled::Discovery { polled_at } => self.answer_poll(polled_at),
            Scheduled::HealthCheck => self.end_health_check(),
            Scheduled::Stall => {
                // The process is suspended for some time: the events that are due meanwhile are
                // late and arrive together.
                let span = self.span(9000);
                self.schedule_after(span, Scheduled::Stall);
                self.now += ms(self.rng.u64(50..700));
                self.handle("foreign timer", Input::Timer { number: 9 });
            }
        }
    }
}

//! A characterization test of the decision module: the same settings, seed and events give the same actions.
//!
//! A seeded generator plays a legal sequence of events against a model of upstreams, clients and discovery,
//! over three settings. All actions go into one digest per settings, as kinds, ids, upstreams, durations to
//! the nanosecond and failure reasons by position, never names; what the balancer says of itself (figures as
//! bits) goes into a second one.
//!
//! The last bit of `exp` may differ between processors, so the digests of the full sequences are compared
//! between two revisions on one machine, by `tests/compare-digest.sh`. The short sequences' digests of actions
//! are held here: they stayed the same with each result of `exp` moved by up to four units in its last place.
//!
//! Only `adapter` uses the crate's names.

use adapter::{Input, Output, Player};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Events a setting is played for: in the full sequences, some 100,000 over all, and in the short ones.
const FULL_EVENTS: u64 = 34_000;
const SHORT_EVENTS: u64 = 6_000;
/// Digests of actions of the short sequences, by settings.
const SHORT_DIGESTS: [u64; 3] = [
    0x3cdf_f75c_26cc_fcac,
    0x6192_2002_5a35_63a3,
    0x7176_c9c9_8df4_80b9,
];

/// Kinds of actions; the health check is asked for by no revision yet.
const ACTION_KINDS: usize = 9;
const HEALTH_CHECK: usize = 7;
const REASONS: usize = 12;

/// The crate's names, translated to and from the generator's.
mod adapter {
    use frostkeel_policy::{
        Action, AttemptNo, Availability, Balancer, CellId, Class, ClassId, DedupGroup, Effect,
        Endpoint, EndpointWeights, Event, FailureReason, KindId, LoadField, LoadReports, Outcome,
        Prices, RequestId, Settings, Tenant, TenantId, TimerId, UpdateScope, UpstreamId,
        WatchEvent, ZoneId,
    };
    use std::time::Duration;

    /// An entry of the endpoint list: availability 0 ready, 1 draining, 2 removed.
    #[derive(Clone)]
    pub struct Entry {
        pub id: u64,
        pub zone: u8,
        pub cell: u16,
        pub availability: u8,
        pub weight: f64,
        pub started: Option<Duration>,
    }

    /// An event. Scopes, kinds and outcomes are numbered in the order of the crate's enums.
    pub enum Input {
        Endpoints {
            scope: usize,
            entries: Vec<Entry>,
        },
        Watch {
            kind: usize,
            since: Duration,
        },
        Request {
            id: u32,
            class: u16,
            tenant: u32,
            left: Duration,
            work_ms: Option<f64>,
            again: bool,
        },
        StreamStarted {
            id: u32,
            attempt: u8,
            latency: Duration,
        },
        AttemptEnded {
            id: u32,
            attempt: u8,
            upstream: u64,
            outcome: usize,
            latency: Duration,
            finished: bool,
            report: Vec<f32>,
        },
        Disconnected {
            id: u32,
        },
        HealthCheckEnded {
            upstream: u64,
            outcome: usize,
            report: Vec<f32>,
        },
        Timer {
            number: u32,
        },
    }

    /// An action; reasons by their position.
    pub enum Output {
        Attempt {
            id: u32,
            upstream: u64,
            timeout: Option<Duration>,
        },
        Cancel {
            id: u32,
            attempt: u8,
        },
        Reject {
            id: u32,
            retry_after: Option<Duration>,
            reason: usize,
        },
        Fail {
            id: u32,
            reason: usize,
        },
        Timer {
            after: Duration,
            number: u32,
        },
        Watch,
        CloseIdle {
            upstream: u64,
        },
        HealthCheck {
            upstream: u64,
        },
        Log,
    }

    /// What the generator has to know of the settings.
    pub struct Site {
        pub classes: usize,
        pub streamed: Vec<bool>,
        pub deadlines: Vec<Duration>,
        pub tenants: u32,
        pub load_report_size: usize,
        pub utilization_field: Option<usize>,
        pub polls: bool,
        pub local_agent: bool,
    }

    pub struct Player {
        balancer: Balancer,
        actions: Vec<Action>,
    }

    const OUTCOMES: [Outcome; 8] = [
        Outcome::Ok,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
    ];

    impl Player {
        pub fn new(number: usize, seed: u64) -> (Self, Site) {
            let settings = settings(number);
            let site = Site {
                classes: settings.classes.len(),
                streamed: settings
                    .classes
                    .iter()
                    .map(|class| class.streamed)
                    .collect(),
                deadlines: settings
                    .classes
                    .iter()
                    .map(|class| class.deadline)
                    .collect(),
                tenants: settings.tenants.len() as u32,
                load_report_size: if settings.load_reports == LoadReports::Off {
                    0
                } else {
                    settings.report_fields.len()
                },
                utilization_field: settings
                    .report_fields
                    .iter()
                    .position(|field| *field == LoadField::Utilization),
                polls: settings.polls_endpoints,
                local_agent: settings.has_local_agent,
            };
            let balancer = Balancer::new(settings, seed).expect("settings permit decisions");
            (
                Self {
                    balancer,
                    actions: Vec::new(),
                },
                site,
            )
        }

        pub fn play(&mut self, now: Duration, input: &Input) -> Vec<Output> {
            self.actions.clear();
            let endpoints: Vec<Endpoint>;
            let event = match input {
                Input::Endpoints { scope, entries } => {
                    let scopes = [
                        UpdateScope::Delta,
                        UpdateScope::Snapshot,
                        UpdateScope::Cached,
                        UpdateScope::Failed,
                    ];
                    endpoints = entries.iter().map(endpoint).collect();
                    Event::EndpointsUpdated {
                        scope: scopes[*scope],
                        endpoints: &endpoints,
                    }
                }
                Input::Watch { kind, since } => Event::Watch(watch_event(*kind, *since)),
                Input::Request {
                    id,
                    class,
                    tenant,
                    left,
                    work_ms,
                    again,
                } => Event::Request {
                    id: RequestId(*id),
                    class: ClassId(*class),
                    tenant: TenantId(*tenant),
                    time_left: *left,
                    work_ms: *work_ms,
                    is_retry: *again,
                },
                Input::StreamStarted {
                    id,
                    attempt,
                    latency,
                } => Event::StreamStarted {
                    id: RequestId(*id),
                    attempt: AttemptNo(*attempt),
                    latency: *latency,
                },
                Input::AttemptEnded {
                    id,
                    attempt,
                    upstream,
                    outcome,
                    latency,
                    finished,
                    report,
                } => Event::AttemptEnded {
                    id: RequestId(*id),
                    attempt: AttemptNo(*attempt),
                    upstream: UpstreamId(*upstream),
                    outcome: OUTCOMES[*outcome],
                    latency: *latency,
                    finished: *finished,
                    report,
                },
                Input::Disconnected { id } => Event::ClientDisconnected { id: RequestId(*id) },
                Input::HealthCheckEnded {
                    upstream,
                    outcome,
                    report,
                } => Event::HealthCheckEnded {
                    upstream: UpstreamId(*upstream),
                    outcome: OUTCOMES[*outcome],
                    latency: Duration::from_millis(5),
                    report,
                },
                Input::Timer { number } => Event::Timer {
                    timer: TimerId(*number),
                },
            };
            self.balancer.handle(now, event, &mut self.actions);
            self.actions.iter().map(output).collect()
        }

        /// What the balancer says of itself: figures as bits, counts, and the span in which nothing is sent.
        pub fn status(&self) -> Vec<u64> {
            let status = self.balancer.status();
            let pause = self.balancer.send_pause();
            let mut words: Vec<u64> = [
                status.spare_capacity,
                status.service_rate,
                status.utilization,
                status.mean_latency_s,
                status.demand_per_s,
            ]
            .map(f64::to_bits)
            .to_vec();
            words.push(u64::from(status.in_flight));
            words.extend(
                [status.rotation_size, status.warming_up, status.ejected].map(|count| count as u64),
            );
            words.extend(
                pause
                    .iter()
                    .flat_map(|p| [p.from.as_nanos() as u64, p.until.as_nanos() as u64]),
            );
            words.push(self.balancer.entries() as u64);
            words
        }
    }

    fn endpoint(entry: &Entry) -> Endpoint {
        Endpoint {
            id: UpstreamId(entry.id),
            zone: ZoneId(entry.zone),
            kind: KindId(0),
            cell: CellId(entry.cell),
            availability: [
                Availability::Ready,
                Availability::Draining,
                Availability::Removed,
            ][usize::from(entry.availability)],
            weight: entry.weight,
            started: entry.started,
        }
    }

    fn watch_event(kind: usize, since: Duration) -> WatchEvent {
        match kind {
            0 => WatchEvent::Silent { since },
            1 => WatchEvent::Ended,
            2 => WatchEvent::Partial { since },
            3 => WatchEvent::Rejected {
                requested_at: since,
            },
            4 => WatchEvent::Unreachable {
                requested_at: since,
            },
            _ => WatchEvent::Moved,
        }
    }

    fn position(reason: FailureReason) -> usize {
        FailureReason::ALL
            .iter()
            .position(|other| *other == reason)
            .expect("each reason is among all of them")
    }

    fn output(action: &Action) -> Output {
        match action {
            Action::Attempt {
                id,
                upstream,
                timeout,
            } => Output::Attempt {
                id: id.0,
                upstream: upstream.0,
                timeout: *timeout,
            },
            Action::Cancel { id, attempt } => Output::Cancel {
                id: id.0,
                attempt: attempt.0,
            },
            Action::Reject {
                id,
                retry_after,
                reason,
            } => Output::Reject {
                id: id.0,
                retry_after: *retry_after,
                reason: position(*reason),
            },
            Action::Fail { id, reason } => Output::Fail {
                id: id.0,
                reason: position(*reason),
            },
            Action::Timer { after, timer } => Output::Timer {
                after: *after,
                number: timer.0,
            },
            Action::WatchEndpoints => Output::Watch,
            Action::CloseIdleConnections { upstream } => Output::CloseIdle {
                upstream: upstream.0,
            },
            Action::HealthCheck { upstream } => Output::HealthCheck {
                upstream: upstream.0,
            },
            Action::Log(_) => Output::Log,
        }
    }

    fn class(objective_ms: u64, deadline_ms: u64, effect: Effect) -> Class {
        let (latency_objective, deadline) = (
            Duration::from_millis(objective_ms),
            Duration::from_millis(deadline_ms),
        );
        Class {
            latency_objective,
            deadline,
            effect,
            ..Class::default()
        }
    }

    fn keyed(group: DedupGroup, ttl_ms: u64) -> Effect {
        Effect::Deduplicated {
            group,
            ttl: Duration::from_millis(ttl_ms),
        }
    }

    fn tenants(quotas: &[f64]) -> Vec<Tenant> {
        quotas
            .iter()
            .map(|quota| Tenant {
                quota_per_s: *quota,
            })
            .collect()
    }

    /// Three settings that differ in all that decisions go by.
    fn settings(number: usize) -> Settings {
        match number {
            0 => polled_by_many(),
            1 => local_agent(),
            _ => pushed(),
        }
    }

    /// A large fleet, polled for its list, with inline load reports.
    fn polled_by_many() -> Settings {
        let streamed = Class {
            streamed: true,
            ..class(300, 900, Effect::Idempotent)
        };
        Settings {
            balancers: 40,
            index: 7,
            zone: ZoneId(1),
            classes: vec![
                class(200, 600, Effect::Idempotent),
                class(300, 1200, Effect::AtMostOnce),
                Class {
                    priority_weight: 4.0,
                    ..class(150, 1500, keyed(DedupGroup::Cell, 700))
                },
                class(250, 1500, keyed(DedupGroup::Zone, 360)),
                Class {
                    priority_weight: 0.3,
                    late_weight_share: 0.5,
                    ..class(150, 1500, keyed(DedupGroup::All, 600))
                },
                streamed,
            ],
            tenants: tenants(&[500.0, 700.0, 0.0, 90.0]),
            polls_endpoints: true,
            hedging: true,
            cancellation: true,
            max_attempts: 3,
            drain_grace: Duration::from_millis(1000),
            load_reports: LoadReports::Inline,
            report_fields: vec![
                LoadField::InFlight,
                LoadField::Utilization,
                LoadField::Queue,
            ],
            endpoint_weights: EndpointWeights::Size,
            prices: Prices {
                cross_zone: 0.02,
                ..Prices::default()
            },
            ..Settings::default()
        }
    }

    /// A few balancers with an agent each, live weights, no hedging, no cancels, one tenant unnamed.
    fn local_agent() -> Settings {
        Settings {
            balancers: 6,
            index: 2,
            classes: vec![
                class(200, 800, Effect::Idempotent),
                Class {
                    priority_weight: 2.0,
                    objective_work_multiple: 2.0,
                    ..class(400, 1500, Effect::AtMostOnce)
                },
                class(250, 1200, keyed(DedupGroup::All, 900)),
            ],
            weight_by_work: true,
            polls_endpoints: true,
            has_local_agent: true,
            poll_interval: Duration::from_secs(6),
            hedging: false,
            cancellation: false,
            retries_marked: false,
            max_attempts: 2,
            load_reports: LoadReports::OnHealthCheck,
            health_checks: true,
            report_fields: vec![LoadField::Queue, LoadField::ErrorRate, LoadField::InFlight],
            endpoint_weights: EndpointWeights::Live,
            prices: Prices {
                cross_zone: 0.2,
                ..Prices::default()
            },
            ..Settings::default()
        }
    }

    /// One of two balancers whose list is pushed, without weights, with reports of every field.
    fn pushed() -> Settings {
        let streamed = Class {
            streamed: true,
            ..class(300, 900, Effect::Idempotent)
        };
        Settings {
            balancers: 2,
            index: 1,
            classes: vec![
                Class {
                    late_weight_share: 0.2,
                    ..class(100, 500, Effect::Idempotent)
                },
                Class {
                    priority_weight: 3.0,
                    ..class(300, 900, keyed(DedupGroup::Zone, 500))
                },
                streamed,
            ],
            tenants: tenants(&[120.0, 60.0]),
            over_quota_weight_share: 0.4,
            max_attempts: 4,
            slow_start_initial_share: 0.1,
            slow_start_duration: Duration::from_secs(4),
            overload_multiple: 2.0,
            load_reports: LoadReports::Inline,
            report_fields: vec![
                LoadField::Utilization,
                LoadField::ServiceMs,
                LoadField::InFlight,
                LoadField::RequestRate,
                LoadField::Other,
            ],
            endpoint_weights: EndpointWeights::Off,
            ..Settings::default()
        }
    }
}

/// FNV-1a, 64 bits, over little-endian words.
struct Digest(u64);

impl Digest {
    fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    fn word(&mut self, word: u64) {
        for byte in word.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn duration(&mut self, duration: Option<Duration>) {
        self.word(duration.map_or(u64::MAX, |d| d.as_nanos() as u64));
    }
}

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
    entry: adapter::Entry,
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

struct Model {
    rng: fastrand::Rng,
    player: Player,
    site: adapter::Site,
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
    events: u64,
    actions: Digest,
    status: Digest,
    kinds: [u64; ACTION_KINDS],
    reasons: [u64; REASONS],
    inputs: BTreeMap<&'static str, u64>,
}

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

impl Model {
    fn new(number: usize) -> Self {
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
        let entry = adapter::Entry {
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

    fn entries(&self) -> Vec<adapter::Entry> {
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

    /// Sends an attempt to the model's upstream and schedules its end.
    fn send(&mut self, id: u32, upstream: u64, timeout: Option<Duration>) {
        let request = self
            .requests
            .get_mut(&id)
            .expect("a request that was given");
        let attempt = request.sends.len() as u8;
        request.sends.push(SentAttempt {
            upstream,
            at: self.now,
            is_out: true,
        });
        let (class, left) = (request.class, request.deadline.saturating_sub(self.now));
        let limit = timeout.map_or(left, |timeout| timeout.min(left));
        self.after(
            limit,
            Due::End {
                id,
                attempt,
                outcome: TIMED_OUT,
            },
        );
        let server = self
            .servers
            .get_mut(&upstream)
            .expect("an upstream that was listed");
        server.in_flight += 1;
        let work = (20_000 + 15_000 * class as u64) * self.rng.u64(30..170) / 100;
        let work = if self.rng.u8(0..40) == 0 {
            work * 8
        } else {
            work
        };
        let service =
            Duration::from_micros(work * (4 + server.in_flight) / 4 * 1000 / server.speed);
        let chance = self.rng.u8(0..100);
        let (span, outcome) = match server.behavior {
            _ if chance == 99 => (ms(0), NOT_SENT),
            Behavior::Normal => (service, OK),
            Behavior::Slow => (service * 6, OK),
            Behavior::Silent => return,
            Behavior::Failing if chance < 70 => (ms(4), ERROR),
            Behavior::Rejecting if chance < 80 => (ms(2), REJECTED),
            Behavior::Dead => (ms(3), CONNECT_FAILED),
            Behavior::Resetting if chance < 60 => (service / 3, RESET),
            _ => (service, OK),
        };
        if self.site.streamed[class] && outcome == OK {
            self.after(span / 2, Due::StreamStart { id, attempt });
            self.after(
                span * 3,
                Due::End {
                    id,
                    attempt,
                    outcome,
                },
            );
        } else {
            self.after(
                span,
                Due::End {
                    id,
                    attempt,
                    outcome,
                },
            );
        }
    }

    /// Drops a request that has ended and has no attempt out.
    fn forget(&mut self, id: u32) {
        let is_over =
            |r: &Request| (r.is_answered || r.is_gone) && r.sends.iter().all(|send| !send.is_out);
        if self.requests.get(&id).is_some_and(is_over) {
            self.requests.remove(&id);
        }
    }

    fn report(&mut self, upstream: u64) -> Vec<f32> {
        let size = self.site.load_report_size;
        if size == 0 || self.rng.u8(0..6) == 0 {
            return Vec::new();
        }
        let in_flight = self
            .servers
            .get(&upstream)
            .map_or(0, |server| server.in_flight) as f32;
        let noise = self.rng.f32();
        let values = [in_flight + 3.0 * noise, 2.0 * noise];
        let mut report: Vec<f32> = (0..size).map(|field| values[field % 2]).collect();
        if let Some(field) = self.site.utilization_field {
            report[field] = (0.15 + 0.12 * in_flight) * (0.7 + 0.6 * noise);
        }
        match self.rng.u8(0..50) {
            0 => report[0] = f32::NAN,
            1 => report.truncate(1),
            2 => report[size - 1] = -4.0,
            3 => report[0] = 1e9,
            _ => {}
        }
        report
    }

    fn arrive(&mut self) {
        let gap = Duration::from_nanos(self.rng.u64(1..2 * self.gap));
        self.after(gap, Due::Arrival);
        let class = if self.rng.u16(0..300) == 0 {
            99
        } else {
            self.rng.usize(0..self.site.classes)
        };
        // One more than there are: an unknown tenant shares the last one's bucket.
        let tenant = self.rng.u32(0..self.site.tenants + 1);
        self.next_request += 1;
        let id = self.next_request;
        let longest = self.site.deadlines.get(class).copied().unwrap_or(ms(500));
        let left = longest.mul_f64([1.0, 1.0, 1.0, 0.5, 0.05][self.rng.usize(0..5)]);
        let request = Request {
            class,
            deadline: self.now + left,
            sends: Vec::new(),
            is_answered: false,
            is_gone: false,
            is_streaming: false,
        };
        self.requests.insert(id, request);
        if self.rng.u8(0..25) == 0 {
            let span = self.span(60);
            self.after(span, Due::Disconnect { id });
        }
        let work_ms = [None, Some(12.5), Some(f64::NAN)][self.rng.usize(0..3)];
        let again = self.rng.u8(0..5) == 0;
        self.play(
            "request",
            Input::Request {
                id,
                class: class as u16,
                tenant,
                left,
                work_ms,
                again,
            },
        );
    }

    fn end(&mut self, id: u32, attempt: u8, outcome: usize) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let send = &mut request.sends[usize::from(attempt)];
        if !send.is_out || (outcome == TIMED_OUT && request.is_streaming) {
            return;
        }
        send.is_out = false;
        let (upstream, latency) = (send.upstream, self.now - send.at);
        if !request.is_gone && (outcome == OK || request.is_streaming) {
            request.is_answered = true;
        }
        let finished = request.is_answered || request.is_gone;
        if let Some(server) = self.servers.get_mut(&upstream) {
            server.in_flight -= 1;
        }
        let report = if outcome <= REJECTED {
            self.report(upstream)
        } else {
            Vec::new()
        };
        let name = [
            "ok",
            "error",
            "rejected",
            "timed out",
            "connect failed",
            "reset",
            "cancelled",
            "not sent",
        ];
        let input = Input::AttemptEnded {
            id,
            attempt,
            upstream,
            outcome,
            latency,
            finished,
            report,
        };
        self.play(name[outcome], input);
        self.forget(id);
    }

    fn start_stream(&mut self, id: u32, attempt: u8) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let send = &request.sends[usize::from(attempt)];
        if !send.is_out || request.is_answered || request.is_gone || request.is_streaming {
            return;
        }
        request.is_streaming = true;
        let latency = self.now - send.at;
        self.play(
            "stream",
            Input::StreamStarted {
                id,
                attempt,
                latency,
            },
        );
    }

    fn disconnect(&mut self, id: u32) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.is_answered {
            return;
        }
        request.is_gone = true;
        self.play("disconnect", Input::Disconnected { id });
        self.forget(id);
    }

    fn change_behavior(&mut self) {
        let behavior = BEHAVIORS[self.rng.usize(0..BEHAVIORS.len())];
        let all: Vec<u64> = self.servers.keys().copied().collect();
        let mut mean_ms = 700;
        // Now and then a whole zone, or all for some time; often all are well again.
        match self.rng.u8(0..12) {
            0 | 1 => {
                let zone = self.rng.u8(0..3);
                let servers = self
                    .servers
                    .values_mut()
                    .filter(|server| server.entry.zone == zone);
                servers.for_each(|server| server.behavior = behavior);
            }
            2 => {
                self.servers
                    .values_mut()
                    .for_each(|server| server.behavior = behavior);
                mean_ms = 4000;
            }
            3..6 => self
                .servers
                .values_mut()
                .for_each(|server| server.behavior = Behavior::Normal),
            _ => {
                let id = all[self.rng.usize(0..all.len())];
                self.servers.get_mut(&id).expect("one of them").behavior = behavior;
            }
        }
        let span = self.span(mean_ms);
        self.after(span, Due::Behavior);
    }

    fn change_load(&mut self) {
        let span = self.span(4000);
        self.after(span, Due::Load);
        let per_second = [3, 12, 25, 40, 80, 160, 500][self.rng.usize(0..7)];
        self.gap = self.gap_scale * 1_000_000_000 / per_second;
        // Discovery fails for a while now and then.
        self.discovery = match self.rng.u8(0..14) {
            0 | 1 => Discovery::Rejecting,
            2 => Discovery::Unreachable,
            3 => Discovery::Breaking,
            4 => Discovery::Mute,
            _ => Discovery::Up,
        };
    }

    /// Changes the list and tells of it where it is pushed or watched.
    fn change_list(&mut self) {
        let span = self.span(200);
        self.after(span, Due::List);
        if self.site.polls && !self.is_watching {
            return;
        }
        let ids: Vec<u64> = self.servers.keys().copied().collect();
        let id = ids[self.rng.usize(0..ids.len())];
        match self.rng.u8(0..24) {
            0 | 1 => self.tell_of_change(id, |entry, _| entry.availability = 1),
            2 if ids.len() > 6 => self.tell_of_change(id, |entry, _| entry.availability = 2),
            3..5 => {
                // A restart: well again, and just started.
                self.servers.get_mut(&id).expect("one of them").behavior = Behavior::Normal;
                self.tell_of_change(id, |entry, now| {
                    (entry.availability, entry.started) = (0, Some(now))
                });
            }
            5 if ids.len() < 80 => {
                let started = if self.rng.bool() {
                    Some(self.now)
                } else {
                    None
                };
                let id = self.add_server(started);
                self.tell_of_change(id, |_, _| ());
            }
            6..9 => self.tell_of_change(id, |entry, _| entry.availability = 0),
            9 | 10 => {
                let weight = [0.0, 0.25, 0.6, 1.0, 1.7, f64::NAN][self.rng.usize(0..6)];
                self.tell_of_change(id, |entry, _| entry.weight = weight);
            }
            11 => {
                let mut entries = self.entries();
                // What is missing is removed, for a while.
                entries.retain(|_| self.rng.u8(0..15) > 0);
                self.play("snapshot", Input::Endpoints { scope: 1, entries });
            }
            12 => {
                let entries = self.entries();
                self.play("snapshot", Input::Endpoints { scope: 1, entries });
            }
            13 if self.rng.u8(0..4) == 0 => {
                let entries = self.entries();
                self.play("cached", Input::Endpoints { scope: 2, entries });
            }
            14..17 => self.break_watch(),
            // A heartbeat.
            _ => self.play(
                "delta",
                Input::Endpoints {
                    scope: 0,
                    entries: Vec::new(),
                },
            ),
        }
    }

    fn tell_of_change(&mut self, id: u64, change: impl Fn(&mut adapter::Entry, Duration)) {
        let now = self.now;
        let entry = &mut self.servers.get_mut(&id).expect("one of them").entry;
        change(entry, now);
        let entries = vec![entry.clone()];
        self.play("delta", Input::Endpoints { scope: 0, entries });
    }

    fn break_watch(&mut self) {
        let kind = [0, 1, 5, 2][self.rng.usize(0..4)];
        let back = if self.site.local_agent {
            ms(20)
        } else {
            ms(3000)
        };
        let since = self.now.saturating_sub(back);
        if kind != 2 || self.site.local_agent {
            self.play("watch event", Input::Watch { kind, since });
        }
        self.is_watching = false;
        self.play(
            "failed",
            Input::Endpoints {
                scope: 3,
                entries: Vec::new(),
            },
        );
    }

    fn answer_call(&mut self, called: Duration) {
        match self.discovery {
            Discovery::Up => {
                self.is_watching = true;
                let entries = self.entries();
                self.play("snapshot", Input::Endpoints { scope: 1, entries });
                return;
            }
            Discovery::Rejecting => self.play(
                "watch event",
                Input::Watch {
                    kind: 3,
                    since: called,
                },
            ),
            Discovery::Unreachable => self.play(
                "watch event",
                Input::Watch {
                    kind: 4,
                    since: called,
                },
            ),
            Discovery::Breaking => {
                let since = self.now;
                self.play("watch event", Input::Watch { kind: 2, since });
                self.now += ms(40);
            }
            Discovery::Mute => {
                self.play(
                    "watch event",
                    Input::Watch {
                        kind: 0,
                        since: called,
                    },
                );
                return;
            }
        }
        self.play(
            "failed",
            Input::Endpoints {
                scope: 3,
                entries: Vec::new(),
            },
        );
    }

    fn end_health_check(&mut self) {
        let span = self.span(300);
        self.after(span, Due::HealthCheck);
        let ids: Vec<u64> = self.servers.keys().copied().chain([999_999]).collect();
        let upstream = ids[self.rng.usize(0..ids.len())];
        let (outcome, report) = (self.rng.usize(0..8), self.report(upstream));
        self.play(
            "health check",
            Input::HealthCheckEnded {
                upstream,
                outcome,
                report,
            },
        );
    }

    fn step(&mut self) {
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

/// What a sequence has come to.
#[derive(Debug, PartialEq)]
struct Summary {
    actions: u64,
    status: u64,
    kinds: [u64; ACTION_KINDS],
    reasons: [u64; REASONS],
    inputs: BTreeMap<&'static str, u64>,
}

fn run(number: usize, events: u64) -> Summary {
    let mut model = Model::new(number);
    while model.events < events {
        model.step();
    }
    let (actions, status) = (model.actions.0, model.status.0);
    Summary {
        actions,
        status,
        kinds: model.kinds,
        reasons: model.reasons,
        inputs: model.inputs,
    }
}

/// That the sequences together are rich: else a digest would say little.
fn assert_rich(summaries: &[Summary]) {
    for kind in (0..ACTION_KINDS).filter(|kind| *kind != HEALTH_CHECK) {
        assert!(
            summaries.iter().any(|s| s.kinds[kind] > 0),
            "no action of kind {kind}: {summaries:?}"
        );
    }
    for reason in 0..REASONS {
        assert!(
            summaries.iter().any(|s| s.reasons[reason] > 0),
            "no reason {reason}: {summaries:?}"
        );
    }
    let inputs: BTreeSet<&str> = summaries
        .iter()
        .flat_map(|s| s.inputs.keys().copied())
        .collect();
    assert_eq!(inputs.len(), 19, "{inputs:?}");
}

fn run_all(events: u64) -> Vec<Summary> {
    (0..3).map(|number| run(number, events)).collect()
}

#[test]
fn same_events_give_the_same_actions() {
    let summaries = run_all(FULL_EVENTS);
    assert_rich(&summaries);
    assert_eq!(summaries, run_all(FULL_EVENTS));
}

#[test]
fn short_sequences_give_the_recorded_actions() {
    let digests: Vec<u64> = run_all(SHORT_EVENTS)
        .iter()
        .map(|summary| summary.actions)
        .collect();
    assert_eq!(digests, SHORT_DIGESTS, "{digests:#018x?}");
}

/// Prints the digests that `tests/compare-digest.sh` compares.
#[test]
#[ignore = "its digests are compared between two revisions, by tests/compare-digest.sh"]
fn full_digests() {
    let summaries = run_all(FULL_EVENTS);
    for (number, summary) in summaries.iter().enumerate() {
        println!(
            "digest settings={number} actions={:016x} status={:016x} kinds={:?} reasons={:?}",
            summary.actions, summary.status, summary.kinds, summary.reasons
        );
        println!("events settings={number} {:?}", summary.inputs);
    }
    assert_rich(&summaries);
}

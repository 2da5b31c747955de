//! Translates events and actions between the types of the crate and those of the model.

use crate::sites;
use frostkeel_policy::{
    Action, AttemptNo, Availability, Balancer, CellId, ClassId, Endpoint, Event, FailureReason,
    HardwareKindId, LoadField, LoadReports, Outcome, RequestId, TenantId, TimerId, UpdateScope,
    UpstreamId, WatchEvent, ZoneId,
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

/// The end of an attempt. `outcome` is a position in [`OUTCOMES`].
pub struct Ended {
    pub id: u32,
    pub attempt: u8,
    pub upstream: u64,
    pub outcome: usize,
    pub latency: Duration,
    pub request_finished: bool,
    pub report: Vec<f32>,
}

/// An event. Scopes, watch events and outcomes are numbers, in the order of the crate's enums.
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
        time_left: Duration,
        work_ms: Option<f64>,
        is_retry: bool,
    },
    StreamStarted {
        id: u32,
        attempt: u8,
        latency: Duration,
    },
    AttemptEnded(Ended),
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

/// An action. A failure reason is its position in [`FailureReason::ALL`].
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

/// The values of the settings that the model depends on.
pub struct Site {
    pub classes: usize,
    pub streamed: Vec<bool>,
    pub deadlines: Vec<Duration>,
    pub tenants: u32,
    pub load_report_size: usize,
    pub utilization_field: Option<usize>,
    pub polls_endpoints: bool,
    pub has_local_agent: bool,
}

/// A balancer that handles the model's events.
pub struct BalancerRunner {
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

const SCOPES: [UpdateScope; 4] = [
    UpdateScope::Delta,
    UpdateScope::Snapshot,
    UpdateScope::Cached,
    UpdateScope::Failed,
];

impl BalancerRunner {
    /// Creates a balancer with the settings of this number.
    pub fn new(number: usize, seed: u64) -> (Self, Site) {
        let settings = sites::settings(number);
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
            polls_endpoints: settings.polls_endpoints,
            has_local_agent: settings.has_local_agent,
        };
        let balancer = Balancer::new(settings, seed).expect("valid settings");
        (
            Self {
                balancer,
                actions: Vec::new(),
            },
            site,
        )
    }

    /// Handles an event and returns the actions that follow from it.
    pub fn handle(&mut self, now: Duration, input: &Input) -> Vec<Output> {
        self.actions.clear();
        let endpoints: Vec<Endpoint> = match input {
            Input::Endpoints { entries, .. } => entries.iter().map(endpoint).collect(),
            _ => Vec::new(),
        };
        let event = event(input, &endpoints);
        self.balancer.handle(now, event, &mut self.actions);
        self.actions.iter().map(output).collect()
    }

    /// Returns the status of the balancer as 64-bit words: the bits of floating-point estimates,
    /// counts, and the start and end of a pause of sends.
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

/// Returns the crate's event; `endpoints` are the entries of an endpoint update.
fn event<'a>(input: &'a Input, endpoints: &'a [Endpoint]) -> Event<'a> {
    match input {
        Input::Endpoints { scope, .. } => Event::EndpointsUpdated {
            scope: SCOPES[*scope],
            endpoints,
        },
        Input::Watch { kind, since } => Event::Watch(watch_event(*kind, *since)),
        Input::Request {
            id,
            class,
            tenant,
            time_left,
            work_ms,
            is_retry,
        } => Event::Request {
            id: RequestId(*id),
            class: ClassId(*class),
            tenant: TenantId(*tenant),
            time_left: *time_left,
            work_ms: *work_ms,
            is_retry: *is_retry,
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
        Input::AttemptEnded(ended) => attempt_ended(ended),
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
    }
}

fn attempt_ended(ended: &Ended) -> Event<'_> {
    Event::AttemptEnded {
        id: RequestId(ended.id),
        attempt: AttemptNo(ended.attempt),
        upstream: UpstreamId(ended.upstream),
        outcome: OUTCOMES[ended.outcome],
        latency: ended.latency,
        request_finished: ended.request_finished,
        report: &ended.report,
    }
}

fn endpoint(entry: &Entry) -> Endpoint {
    Endpoint {
        id: UpstreamId(entry.id),
        zone: ZoneId(entry.zone),
        hardware_kind: HardwareKindId(0),
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

/// Returns the position of a reason in [`FailureReason::ALL`].
fn reason_number(reason: FailureReason) -> usize {
    FailureReason::ALL
        .iter()
        .position(|other| *other == reason)
        .expect("ALL contains every reason")
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
            reason: reason_number(*reason),
        },
        Action::Fail { id, reason } => Output::Fail {
            id: id.0,
            reason: reason_number(*reason),
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

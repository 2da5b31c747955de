//! The interface of the decision module: settings, the events it handles, the actions it returns.
//!
//! All times are [`Duration`]s on one monotonic clock of the embedder's choice.

pub use crate::log_event::{LogEvent, StalenessCause};
pub use crate::settings::*;
use std::time::Duration;

/// A client's request; never reused by one embedder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u32);
/// A server behind the proxy. The number carries no meaning.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamId(pub u64);
/// Position in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub u16);
/// Position in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub u32);
/// A failure domain.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u8);
/// A hardware kind: upstreams of one kind are alike.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KindId(pub u16);
/// A small set of upstreams that share which idempotency keys they have seen.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u16);
/// The attempts of one request are numbered 0, 1, 2 ... in the order of [`Action::Attempt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNo(pub u8);
/// Names a timer set by [`Action::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u32);

/// The state of an upstream in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It accepts requests.
    Ready,
    /// It completes the requests in flight; no new attempt is sent to it.
    Draining,
    /// It is no longer part of the service.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its id.
    pub id: UpstreamId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it accepts requests.
    pub availability: Availability,
    /// Its weight; see [`Settings::endpoint_weights`].
    pub weight: f64,
    /// When its process last started, if that was not long ago.
    pub started: Option<Duration>,
}

/// What an endpoint update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Only the entries that changed.
    Delta,
    /// The complete list; upstreams missing from it are removed.
    Snapshot,
    /// The complete list as this balancer last had it, perhaps out of date.
    Cached,
    /// A poll failed or the watch broke; the present list stays in use.
    Failed,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A successful response.
    Ok,
    /// The upstream responded with an error; the request may have been processed.
    Error,
    /// Rejected without processing: the queue was full, or the upstream is draining.
    Rejected,
    /// No response in time; the request may have been processed, or may still be.
    TimedOut,
    /// No connection in time; the request was not processed.
    ConnectFailed,
    /// The connection was reset; the request may have been processed.
    Reset,
    /// Cancelled; the request may have been processed.
    Cancelled,
    /// The attempt was not sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the request was not processed.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// Why a request ended without a response that could be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// Its class is not in the settings.
    UnknownClass,
    /// Its tenant's token bucket was empty although there was spare capacity: the tenant is over
    /// its quota.
    QuotaExceeded,
    /// Its tenant's token bucket was empty, and there was no spare capacity W.
    NoSpareCapacity,
    /// Send pacing held back every upstream that could have taken it.
    Paced,
    /// No upstream in the rotation could take it: none is ready, or all are ejected or suspected.
    NoHealthyUpstream,
    /// Its last attempt got no response, and the upstream has responded to nothing else since it
    /// was sent.
    UpstreamUnresponsive,
    /// Its last attempt was abandoned or ran out of time, although the upstream responded to
    /// others.
    Timeout,
    /// The connection of its last attempt failed or could not be made.
    ConnectionError,
    /// Its last attempt ended with an error response.
    UpstreamError,
    /// The upstream rejected its last attempt without processing it.
    UpstreamRejected,
    /// Its last attempt was not sent: no connection was available, or the process is about to end.
    NotSent,
    /// Discovery has not confirmed the endpoint list for so long that any upstream may be draining.
    StaleEndpoints,
}

impl FailureReason {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [Self; 12] = [
        Self::UnknownClass,
        Self::QuotaExceeded,
        Self::NoSpareCapacity,
        Self::Paced,
        Self::NoHealthyUpstream,
        Self::UpstreamUnresponsive,
        Self::Timeout,
        Self::ConnectionError,
        Self::UpstreamError,
        Self::UpstreamRejected,
        Self::NotSent,
        Self::StaleEndpoints,
    ];

    /// The reason as the log writes it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownClass => "unknown-class",
            Self::QuotaExceeded => "quota-exceeded",
            Self::NoSpareCapacity => "no-spare-capacity",
            Self::Paced => "paced",
            Self::NoHealthyUpstream => "no-healthy-upstream",
            Self::UpstreamUnresponsive => "upstream-unresponsive",
            Self::Timeout => "timeout",
            Self::ConnectionError => "connection-error",
            Self::UpstreamError => "upstream-error",
            Self::UpstreamRejected => "upstream-rejected",
            Self::NotSent => "not-sent",
            Self::StaleEndpoints => "stale-endpoints",
        }
    }
}

/// A change in the state of the endpoint watch, or of a poll that should open one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// Nothing was received for so long that the watch, or the poll, counts as broken.
    Silent {
        /// When something was last received, or when the poll was made.
        since: Duration,
    },
    /// Discovery closed the watch: in place of an update, or while shutting down.
    Ended,
    /// The beginning of a list was received but not its end: the response may be truncated.
    Partial {
        /// When its first part was received.
        since: Duration,
    },
    /// Discovery rejected a poll.
    Rejected {
        /// When the poll was made.
        requested_at: Duration,
    },
    /// A poll could not connect, or was closed without a response.
    Unreachable {
        /// When the poll was made.
        requested_at: Duration,
    },
    /// Discovery has another address from now on.
    Moved,
}

/// An event that the embedder passes to [`Balancer`](crate::Balancer).
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// An endpoint update. The first event that a balancer handles is a `Cached` one.
    EndpointsUpdated {
        /// What it contains.
        scope: UpdateScope,
        /// The entries.
        endpoints: &'a [Endpoint],
    },
    /// A change in the state of the endpoint watch. The end of a watch is also reported as an
    /// update with [`UpdateScope::Failed`].
    Watch(WatchEvent),
    /// A client's request was received.
    Request {
        /// Its id.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: TenantId,
        /// How long the client still waits.
        time_left: Duration,
        /// Expected CPU time in milliseconds on a standard core, where known.
        work_ms: Option<f64>,
        /// The client marked the request as a retry.
        is_retry: bool,
    },
    /// A streamed response has started: the request has no deadline any more.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt that streams.
        attempt: AttemptNo,
        /// Time since it was sent.
        latency: Duration,
    },
    /// An attempt has ended; reported once for each attempt.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// Where it was sent.
        upstream: UpstreamId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Duration,
        /// The request has its final response, by this outcome or before it.
        finished: bool,
        /// A load report with values as in [`Settings::report_fields`]; empty if there was none.
        report: &'a [f32],
    },
    /// The client closed its connection; no response is due.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// The upstream that was checked.
        upstream: UpstreamId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Duration,
        /// A load report; empty if there was none.
        report: &'a [f32],
    },
    /// A timer set by [`Action::Timer`] is due.
    Timer {
        /// Which.
        timer: TimerId,
    },
}

/// Something that the embedder has to do for [`Balancer`](crate::Balancer), in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream.
    Attempt {
        /// The request.
        id: RequestId,
        /// Where to.
        upstream: UpstreamId,
        /// When to abandon this attempt; `None`: at the client's deadline.
        timeout: Option<Duration>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final response: rejected without any effect; the client may retry.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before a retry.
        retry_after: Option<Duration>,
        /// Why.
        reason: FailureReason,
    },
    /// Final response: failed; the request may have had an effect.
    Fail {
        /// The request.
        id: RequestId,
        /// Why.
        reason: FailureReason,
    },
    /// Deliver [`Event::Timer`] after some time.
    Timer {
        /// How long from now.
        after: Duration,
        /// Its name.
        timer: TimerId,
    },
    /// Poll discovery for the endpoint list and watch it for changes.
    WatchEndpoints,
    /// Close the idle connections to an upstream; those in use stay.
    CloseIdleConnections {
        /// Which.
        upstream: UpstreamId,
    },
    /// Send a health check to an upstream.
    HealthCheck {
        /// Which.
        upstream: UpstreamId,
    },
    /// Write a line to the operators' log.
    Log(LogEvent),
}

/// The state that a balancer's decisions are based on, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatusSnapshot {
    /// Spare capacity W in requests; negative where more is in flight than there is capacity for.
    pub spare_capacity: f64,
    /// Estimated service rate of all upstreams in the rotation, in requests a second.
    pub service_rate: f64,
    /// Share of the upstreams' cores in use, from load reports.
    pub utilization: f64,
    /// Mean duration of an attempt in seconds, over the classes as they are admitted.
    pub mean_latency_s: f64,
    /// Demand in requests a second.
    pub demand_per_s: f64,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Upstreams in the rotation.
    pub rotation_size: usize,
    /// Upstreams of the rotation in slow start.
    pub warming_up: usize,
    /// Upstreams of the rotation that are ejected.
    pub ejected: usize,
}

/// A span in which no new attempt may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendPause {
    /// Its start.
    pub from: Duration,
    /// Its end, unless the endpoint list is confirmed before.
    pub until: Duration,
}

//! The interface of the decision module: its identifiers, the events that an embedder passes to
//! [`Balancer`](crate::Balancer), and the actions that it returns.
//!
//! Points in time are [`Duration`]s since the zero of a monotonic clock, which the embedder
//! chooses and uses for all events.

pub use crate::log_event::{LogEvent, StalenessCause};
pub use crate::settings::*;
use std::time::Duration;

/// Identifies a client's request. An embedder chooses the number and never reuses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u32);
/// Identifies a server behind the balancer. The number carries no meaning.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamId(pub u64);
/// A class of requests, as its position in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub u16);
/// A tenant, as its position in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub u32);
/// Identifies a zone: a failure domain of upstreams and balancers.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneId(pub u8);
/// Identifies a hardware kind: upstreams of one kind have similar hardware.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HardwareKindId(pub u16);
/// Identifies a cell: a small set of upstreams that share a record of the idempotency keys they
/// have received.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellId(pub u16);
/// Identifies an attempt of a request. The attempts of one request are numbered 0, 1, 2 ... in the
/// order of [`Action::Attempt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNo(pub u8);
/// Identifies a timer that [`Action::Timer`] sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u32);

/// The state of an upstream in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The upstream accepts new requests and attempts.
    Ready,
    /// The upstream completes its requests in flight; no new attempt is sent to it.
    Draining,
    /// The upstream is no longer part of the service; no new attempt is sent to it.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The upstream that the entry describes.
    pub id: UpstreamId,
    /// The zone that the upstream runs in.
    pub zone: ZoneId,
    /// The hardware kind of the upstream; decisions do not depend on it.
    pub hardware_kind: HardwareKindId,
    /// The cell that the upstream belongs to.
    pub cell: CellId,
    /// Whether the upstream accepts requests.
    pub availability: Availability,
    /// The weight of the upstream, whose meaning [`Settings::endpoint_weights`] states. It counts
    /// as 1 if it is not finite or not above 0.
    pub weight: f64,
    /// When the upstream's process last started; `None` if that was long ago.
    pub started: Option<Duration>,
}

/// The kind of an endpoint update: which entries it contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Only the entries that changed. An update without entries is a heartbeat: it confirms the
    /// present list.
    Delta,
    /// The complete list; upstreams missing from it are removed.
    Snapshot,
    /// The complete list that this balancer last received, which may be out of date.
    Cached,
    /// No entries: a poll failed or the watch ended, and the present list stays in use.
    Failed,
}

/// The end of an attempt or of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream sent a successful response.
    Ok,
    /// The upstream responded with an error; the request may have been processed.
    Error,
    /// The upstream rejected the request without processing it: its queue was full, or it is
    /// draining.
    Rejected,
    /// No response arrived in time; the request may have been processed, or may still be.
    TimedOut,
    /// No connection was established in time; the request was not processed.
    ConnectFailed,
    /// The connection was reset; the request may have been processed.
    Reset,
    /// The attempt was cancelled; the request may have been processed.
    Cancelled,
    /// The embedder did not send the attempt; the request was not processed.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the request was not processed.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// Why a request ended without a response that could be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The request's class is not in the settings.
    UnknownClass,
    /// The token bucket of the request's tenant was empty although there was spare capacity: the
    /// tenant is over its quota.
    QuotaExceeded,
    /// The token bucket of the request's tenant was empty, and there was no spare capacity W.
    NoSpareCapacity,
    /// An upstream could have taken the request, but send pacing allowed no further attempt.
    Paced,
    /// No upstream in the rotation could take the request: none is ready, or all are ejected or
    /// suspected.
    NoHealthyUpstream,
    /// The request's last attempt got no response, and since it was sent, its upstream has
    /// responded to no other request either.
    UpstreamUnresponsive,
    /// The request's last attempt was abandoned or ran out of time, although its upstream responded
    /// to other requests meanwhile.
    Timeout,
    /// The connection of the request's last attempt failed or could not be established.
    ConnectionError,
    /// The request's last attempt ended with an error response.
    UpstreamError,
    /// The upstream rejected the request's last attempt without processing it.
    UpstreamRejected,
    /// The request's last attempt was not sent: no connection was available, or the embedder's
    /// process is about to end.
    NotSent,
    /// The endpoint list has gone unconfirmed by discovery for too long: any upstream may be
    /// draining.
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

    /// Returns the reason as the log writes it.
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
    /// The embedder received nothing for longer than its limit and treats the watch, or the poll,
    /// as failed.
    Silent {
        /// When something was last received on the watch, or when the poll was sent.
        since: Duration,
    },
    /// Discovery closed the watch, either where an update was due or because it is shutting down.
    Ended,
    /// The beginning of a list was received, but not yet its end: the response may be truncated.
    Partial {
        /// When the first part of the list was received.
        since: Duration,
    },
    /// Discovery rejected a poll, or closed its connection without a response.
    Rejected {
        /// The time at which the poll was sent.
        requested_at: Duration,
    },
    /// A poll could not connect to discovery.
    Unreachable {
        /// The time at which the poll was sent.
        requested_at: Duration,
    },
    /// Discovery has another address from now on.
    Moved,
}

/// An event that the embedder passes to [`Balancer`](crate::Balancer).
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// The endpoint list was updated, or an update failed. The first event that a balancer handles
    /// is an update with [`UpdateScope::Cached`].
    EndpointsUpdated {
        /// Which entries the update contains.
        scope: UpdateScope,
        /// The entries; none for a heartbeat and for [`UpdateScope::Failed`].
        endpoints: &'a [Endpoint],
    },
    /// The state of the endpoint watch changed. The embedder reports the end of a watch also as an
    /// update with [`UpdateScope::Failed`].
    Watch(WatchEvent),
    /// A client's request was received.
    Request {
        /// The id that the embedder gives the request.
        id: RequestId,
        /// The class of the request. A request whose class is not in the settings fails.
        class: ClassId,
        /// The tenant of the request. A tenant that is not in the settings shares the token bucket
        /// of the last one.
        tenant: TenantId,
        /// How long the client still waits for a response. The deadline of the request is this
        /// long after the event.
        time_left: Duration,
        /// The expected CPU time of the request in milliseconds on a standard core; `None` if it is
        /// not known. Decisions do not depend on it.
        work_ms: Option<f64>,
        /// Whether the client marked the request as a retry.
        is_retry: bool,
    },
    /// An attempt's response is a stream and has started: the request no longer has a deadline.
    StreamStarted {
        /// The request that the stream responds to.
        id: RequestId,
        /// The attempt whose response is the stream.
        attempt: AttemptNo,
        /// The time since the attempt was sent.
        latency: Duration,
    },
    /// An attempt has ended. The embedder reports this once for each attempt.
    AttemptEnded {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt that has ended.
        attempt: AttemptNo,
        /// The upstream that the attempt was sent to.
        upstream: UpstreamId,
        /// How the attempt ended, and with it whether the request may have been processed.
        outcome: Outcome,
        /// The time since the attempt was sent.
        latency: Duration,
        /// Whether the request needs no further response: this outcome or an earlier event gave it
        /// its final response, or its client has disconnected.
        request_finished: bool,
        /// A load report, with values in the order of [`Settings::report_fields`]; empty if there
        /// was none.
        report: &'a [f32],
    },
    /// The client closed its connection; its request needs no response any more.
    ClientDisconnected {
        /// The request whose client has disconnected.
        id: RequestId,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// The upstream that the health check was sent to.
        upstream: UpstreamId,
        /// How the health check ended. Decisions depend only on the load report.
        outcome: Outcome,
        /// The time since the health check was sent.
        latency: Duration,
        /// A load report, with values in the order of [`Settings::report_fields`]; empty if there
        /// was none.
        report: &'a [f32],
    },
    /// A timer set by [`Action::Timer`] is due.
    Timer {
        /// The timer that is due, as [`Action::Timer`] named it.
        timer: TimerId,
    },
}

/// Something that the embedder has to do for [`Balancer`](crate::Balancer). The embedder executes
/// the actions of an event in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to an upstream.
    Attempt {
        /// The request that is sent to the upstream.
        id: RequestId,
        /// The upstream to send it to.
        upstream: UpstreamId,
        /// How long the embedder waits for a response before it abandons the attempt; `None`: until
        /// the client's deadline.
        timeout: Option<Duration>,
    },
    /// Cancel an attempt that is in flight.
    Cancel {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt to cancel.
        attempt: AttemptNo,
    },
    /// Send the final response that the request is rejected. The client may retry: the request was
    /// not processed, or it is idempotent.
    Reject {
        /// The request that gets the final response.
        id: RequestId,
        /// How long the client should wait before a retry, at most [`Settings::max_retry_after`];
        /// `None`: the response does not say.
        retry_after: Option<Duration>,
        /// Why the request is rejected.
        reason: FailureReason,
    },
    /// Send the final response that the request failed. The request may have had an effect.
    Fail {
        /// The request that gets the final response.
        id: RequestId,
        /// Why the request failed.
        reason: FailureReason,
    },
    /// Deliver [`Event::Timer`] after a delay.
    Timer {
        /// The delay, counted from the time of the present event.
        after: Duration,
        /// The timer that the event names.
        timer: TimerId,
    },
    /// Poll discovery for the endpoint list and watch it for changes.
    WatchEndpoints,
    /// Close the idle connections to an upstream; connections in use stay open.
    CloseIdleConnections {
        /// The upstream whose idle connections are closed.
        upstream: UpstreamId,
    },
    /// Send a health check to an upstream.
    HealthCheck {
        /// The upstream that the health check is sent to.
        upstream: UpstreamId,
    },
    /// Write a line to the operators' log.
    Log(LogEvent),
}

/// The estimates and counts that a balancer's decisions are based on, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatusSnapshot {
    /// Spare capacity W, in requests; negative where more is in flight than there is capacity for.
    pub spare_capacity: f64,
    /// Estimated service rate of all upstreams in the rotation together for this balancer, in
    /// requests per second.
    pub service_rate: f64,
    /// Fraction of the upstreams' cores in use, 0 to 1, from load reports; 0 if it is not known.
    pub utilization: f64,
    /// Mean latency of an attempt in seconds, where each class counts by its fraction of the
    /// admitted requests.
    pub mean_latency_s: f64,
    /// Demand of all tenants at this balancer in requests per second, rejected ones included.
    pub demand_per_s: f64,
    /// Attempts of this balancer that are in flight.
    pub in_flight: u32,
    /// Number of upstreams in the rotation.
    pub rotation_size: usize,
    /// Number of upstreams in the rotation that are in slow start.
    pub warming_up: usize,
    /// Number of upstreams in the rotation that are ejected.
    pub ejected: usize,
}

/// A period in which no new attempt may be sent, as the endpoint list may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendPause {
    /// The time at which the pause starts.
    pub from: Duration,
    /// The time at which the pause ends, unless discovery confirms the endpoint list earlier.
    pub until: Duration,
}

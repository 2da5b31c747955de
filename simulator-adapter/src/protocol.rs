//! The numbers of the simulator's protocol, and the records of a batch.
//!
//! Integers and floats are big-endian, and there is no padding. Times are milliseconds in an `f64`.

use frostkeel_policy::{
    AttemptNo, Availability, ClassId, Endpoint, Outcome, RequestId, TenantId, TimerId, UpdateScope,
    UpstreamId,
};
use std::time::Duration;

/// Bytes of the length field that begins each frame; the length doesn't count them.
pub const LENGTH_BYTES: usize = 4;
/// Bytes of the clock that follows the length of a batch.
pub const CLOCK_BYTES: usize = 8;
/// Longer frames are rejected before any memory is reserved for them.
pub const MAX_FRAME_BYTES: usize = 1 << 30;
/// Bytes of one entry of an endpoint list.
pub const ENDPOINT_BYTES: usize = 24;
/// The highest number that an endpoint list can have.
pub const MAX_ENDPOINT_LIST_NUMBER: u32 = 15;
/// Bytes of an upstream's id: an address and a port.
pub const UPSTREAM_BYTES: usize = 6;

/// Bit of a request's flags: its work hint is valid.
pub const REQUEST_HAS_WORK_HINT: u8 = 1;
/// Bit of a request's flags: the client marked the request as a retry.
pub const REQUEST_IS_RETRY: u8 = 2;

/// The first byte of each record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum EventCode {
    /// `PEER_DATA`: a message of another instance.
    PeerMessage = 1,
    /// `VANISHED`: a client has disconnected.
    ClientDisconnected = 2,
    /// `OPENED`: a streamed response has started.
    StreamStarted = 3,
    /// `DIRECTORY`: defines a numbered endpoint list.
    EndpointList = 4,
    /// `POWER_ON`: starts an instance.
    Start = 5,
    /// `DEADLINE_HIT`: a timer is due.
    Timer = 6,
    /// `HEALTH`: the result of a health check.
    HealthCheckEnded = 7,
    /// `DETACH`: an instance is dead.
    Stop = 8,
    /// `FLEET`: an endpoint update for an instance.
    EndpointsUpdated = 9,
    /// `RETURNED`: the result of an attempt.
    AttemptEnded = 10,
    /// `ASK`: a client's request.
    Request = 11,
}

impl EventCode {
    /// The code with this number on the wire.
    pub fn from_wire(code: u8) -> Option<Self> {
        Some(match code {
            1 => Self::PeerMessage,
            2 => Self::ClientDisconnected,
            3 => Self::StreamStarted,
            4 => Self::EndpointList,
            5 => Self::Start,
            6 => Self::Timer,
            7 => Self::HealthCheckEnded,
            8 => Self::Stop,
            9 => Self::EndpointsUpdated,
            10 => Self::AttemptEnded,
            11 => Self::Request,
            _ => return None,
        })
    }
}

/// The first byte of each action in a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ActionCode {
    /// `OVERLOAD_REPLY`: rejects a request.
    Reject = 65,
    /// `FAIL`: fails a request.
    Fail = 66,
    /// `NOTIFY_ME`: sets a timer.
    Timer = 68,
    /// `SAY_LOG`: writes a log line.
    Log = 69,
    /// `FORWARD`: starts an attempt.
    Attempt = 72,
    /// `KEEP_INFORMED`: starts a watch on the endpoint list.
    WatchEndpoints = 73,
    /// `HEALTH_CHECK`: checks an upstream.
    HealthCheck = 74,
    /// `CANCEL`: cancels an attempt.
    Cancel = 75,
    /// `CLOSE_IDLE`: closes idle connections to an upstream.
    CloseIdleConnections = 76,
}

/// The outcome of an attempt or of a health check with this number on the wire.
pub fn outcome_from_wire(code: u16) -> Option<Outcome> {
    Some(match code {
        100 => Outcome::Ok,
        301 => Outcome::Error,
        302 => Outcome::Rejected,
        303 => Outcome::TimedOut,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        _ => return None,
    })
}

/// The scope of an endpoint update with this number on the wire.
pub fn update_scope_from_wire(code: u8) -> Option<UpdateScope> {
    Some(match code {
        0 => UpdateScope::Failed,
        1 => UpdateScope::Snapshot,
        2 => UpdateScope::Cached,
        3 => UpdateScope::Delta,
        _ => return None,
    })
}

/// The availability of an endpoint with this number on the wire.
pub fn availability_from_wire(code: u8) -> Option<Availability> {
    Some(match code {
        0 => Availability::Removed,
        1 => Availability::Ready,
        2 => Availability::Draining,
        _ => return None,
    })
}

/// A batch of events, all at one time.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// When they happen.
    pub clock: Duration,
    /// The events in order.
    pub records: Vec<LocatedRecord>,
}

/// A record with its position in the frame.
#[derive(Debug, PartialEq)]
pub struct LocatedRecord {
    /// Byte of the frame at which the record begins, the length field included.
    pub offset: usize,
    /// The record.
    pub record: Record,
}

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// Defines an endpoint list that later records refer to by its number. It belongs to no instance.
    EndpointList {
        /// The number of the list; a list defined before under the same number is replaced.
        number: u32,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// An instance starts.
    Start {
        /// The instance's number.
        instance: u32,
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings, in JSON.
        settings: String,
    },
    /// An instance is dead.
    Stop {
        /// The instance's number.
        instance: u32,
    },
    /// A message of another instance; balancers don't use them.
    PeerMessage {
        /// The number of the receiving instance.
        instance: u32,
    },
    /// An event for the balancer of an instance.
    Event {
        /// The instance's number.
        instance: u32,
        /// What happened.
        event: InstanceEvent,
    },
}

/// An event for the balancer of an instance.
#[derive(Debug, PartialEq)]
pub enum InstanceEvent {
    /// The endpoint list has changed, or an attempt to watch it has failed.
    EndpointsUpdated {
        /// How complete the update is.
        scope: UpdateScope,
        /// The number of the list with the entries; without meaning if the scope is `Failed`.
        list_number: u32,
    },
    /// A client's request has arrived.
    Request {
        /// Its id.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: TenantId,
        /// How long the client still waits.
        time_left: Duration,
        /// Expected work in milliseconds, where there was a valid hint.
        work_ms: Option<f64>,
        /// The client marked the request as a retry.
        is_retry: bool,
    },
    /// A streamed response has started.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt that streams.
        attempt: AttemptNo,
        /// Time since the attempt was sent.
        latency: Duration,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// The request has its final response.
        request_finished: bool,
        /// How the attempt ended.
        result: UpstreamResult,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// How the check ended.
        result: UpstreamResult,
    },
    /// A client has disconnected; no response is due.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer is due.
    Timer {
        /// Which.
        timer: TimerId,
    },
}

/// How an attempt or a health check ended, and its load report.
#[derive(Debug, PartialEq)]
pub struct UpstreamResult {
    /// The upstream it was sent to.
    pub upstream: UpstreamId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Duration,
    /// The values of the load report; empty if there was none.
    pub load_report: Vec<f32>,
}

//! The codes and limits of the simulator's protocol, and the records of a batch.
//!
//! A batch is a frame from the simulator. It contains a time and the records of what happens at that time. A reply is a
//! frame from the adapter, with the actions that result from one batch. An instance is a balancer, which the simulator
//! identifies by a number.
//!
//! Names in capitals, such as `PEER_DATA`, are the protocol's own names. Integers and floats are big-endian, without
//! padding. A point in time or a duration is an `f64` in milliseconds.

use frostkeel_policy::{
    AttemptNo, Availability, ClassId, Endpoint, Outcome, RequestId, TenantId, TimerId, UpdateScope,
    UpstreamId,
};
use std::time::Duration;

/// The size in bytes of the length field, which begins each frame. Its value is the number of bytes that
/// follow the field.
pub const LENGTH_BYTES: usize = 4;
/// The size in bytes of the time of a batch, which follows the length field.
pub const CLOCK_BYTES: usize = 8;
/// The highest value of the length field, in bytes. A longer frame is rejected before memory is reserved for it.
pub const MAX_FRAME_BYTES: usize = 1 << 30;
/// The size in bytes of one entry of an endpoint list.
pub const ENDPOINT_BYTES: usize = 24;
/// The highest number that identifies an endpoint list; the lowest is 0.
pub const MAX_ENDPOINT_LIST_NUMBER: u32 = 15;
/// The size in bytes of an upstream's id: an IPv4 address and a port.
pub const UPSTREAM_BYTES: usize = 6;

/// The bit in a request's flags that is set if the work hint in the request is valid. The work hint is the expected CPU
/// time of the request, in milliseconds.
pub const REQUEST_HAS_WORK_HINT: u8 = 1;
/// The bit in a request's flags that is set if the client marked the request as a retry.
pub const REQUEST_IS_RETRY: u8 = 2;

/// The code in the first byte of a record, which states the kind of the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum RecordCode {
    /// `PEER_DATA`: an instance has received a message from another instance.
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
    /// `DETACH`: stops an instance.
    Stop = 8,
    /// `FLEET`: an endpoint update for an instance.
    EndpointsUpdated = 9,
    /// `RETURNED`: the result of an attempt.
    AttemptEnded = 10,
    /// `ASK`: a client has sent a request.
    Request = 11,
}

impl RecordCode {
    /// Converts the first byte of a record into the record's code. Returns `None` for an unknown code.
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

/// The code in the first byte of an action in a reply, which states the kind of the action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ActionCode {
    /// `OVERLOAD_REPLY`: rejects a request, which the client may retry.
    Reject = 65,
    /// `FAIL`: ends a request as failed. The request may have had an effect.
    Fail = 66,
    /// `NOTIFY_ME`: sets a timer.
    Timer = 68,
    /// `SAY_LOG`: writes a log line.
    Log = 69,
    /// `FORWARD`: starts an attempt.
    Attempt = 72,
    /// `KEEP_INFORMED`: starts a watch on the endpoint list.
    WatchEndpoints = 73,
    /// `HEALTH_CHECK`: sends a health check to an upstream.
    HealthCheck = 74,
    /// `CANCEL`: cancels an attempt.
    Cancel = 75,
    /// `CLOSE_IDLE`: closes the idle connections to an upstream.
    CloseIdleConnections = 76,
}

/// Converts the wire code of the outcome of an attempt or of a health check. Returns `None` for an unknown code.
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

/// Converts the wire code of the scope of an endpoint update. Returns `None` for an unknown code.
pub fn update_scope_from_wire(code: u8) -> Option<UpdateScope> {
    Some(match code {
        0 => UpdateScope::Failed,
        1 => UpdateScope::Snapshot,
        2 => UpdateScope::Cached,
        3 => UpdateScope::Delta,
        _ => return None,
    })
}

/// Converts the wire code of the availability of an endpoint. Returns `None` for an unknown code.
pub fn availability_from_wire(code: u8) -> Option<Availability> {
    Some(match code {
        0 => Availability::Removed,
        1 => Availability::Ready,
        2 => Availability::Draining,
        _ => return None,
    })
}

/// A decoded batch: a time, and the records of what happens at that time.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// The point in time of all records of the batch, counted from the zero of the simulator's clock.
    pub simulator_time: Duration,
    /// The records in the order of the frame.
    pub records: Vec<LocatedRecord>,
}

/// A record with its position in the frame.
#[derive(Debug, PartialEq)]
pub struct LocatedRecord {
    /// The byte at which the record begins, counted from the start of the frame's length field.
    pub offset: usize,
    /// The record that begins at `offset`.
    pub record: Record,
}

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// Defines an endpoint list that later records refer to by its number. All instances share the list.
    EndpointList {
        /// The number of the list. A list that an earlier record defined with this number is replaced.
        number: u32,
        /// The entries of the list; may be empty.
        endpoints: Vec<Endpoint>,
    },
    /// Starts an instance. If an instance with this number is running, the new one replaces it.
    Start {
        /// The number of the instance to start.
        instance: u32,
        /// The seed of the instance's random numbers.
        seed: u64,
        /// The instance's settings as JSON, in the form of `frostkeel_settings`.
        settings: String,
    },
    /// Stops an instance and discards its actions that have not been sent yet.
    Stop {
        /// The number of the instance to stop.
        instance: u32,
    },
    /// A message from another instance. Its content is ignored, but the receiving instance must be running.
    PeerMessage {
        /// The number of the receiving instance.
        instance: u32,
    },
    /// An event for the balancer of an instance.
    Event {
        /// The number of the instance that receives the event.
        instance: u32,
        /// The event to pass to the balancer.
        event: InstanceEvent,
    },
}

/// An event for the balancer of an instance.
#[derive(Debug, PartialEq)]
pub enum InstanceEvent {
    /// The endpoint list was updated, or an update failed.
    EndpointsUpdated {
        /// The kind of update: a complete list (current or cached), the changed entries alone, or a failure.
        scope: UpdateScope,
        /// The number of the list that contains the entries of the update; ignored if the scope is `Failed`.
        list_number: u32,
    },
    /// A client's request has arrived.
    Request {
        /// The id of the request. An id is never reused.
        id: RequestId,
        /// The class of the request: a position in the settings' list of classes.
        class: ClassId,
        /// The tenant of the request: a position in the settings' list of tenants.
        tenant: TenantId,
        /// The time from this event to the client's deadline.
        time_left: Duration,
        /// The expected CPU time of the request in milliseconds; `None` if the request has no valid work hint.
        work_ms: Option<f64>,
        /// Whether the client marked the request as a retry.
        is_retry: bool,
    },
    /// A streamed response has started.
    StreamStarted {
        /// The id of the request whose response is streamed.
        id: RequestId,
        /// The number of the attempt whose response is streamed, counted from 0 for each request.
        attempt: AttemptNo,
        /// The time from the sending of the attempt to this event.
        latency: Duration,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The id of the request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt, counted from 0 for each request.
        attempt: AttemptNo,
        /// Whether the request is finished. A request is finished if this attempt or an earlier event brought the final
        /// response, or if the client has disconnected.
        request_finished: bool,
        /// The result of the attempt, with its load report.
        result: UpstreamResult,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// The result of the health check, with its load report.
        result: UpstreamResult,
    },
    /// A client has disconnected. The request of this client needs no response any more.
    ClientDisconnected {
        /// The id of the client's request.
        id: RequestId,
    },
    /// A timer that the balancer set earlier is due.
    Timer {
        /// The id that the balancer gave the timer.
        timer: TimerId,
    },
}

/// The result of an attempt or of a health check, with its load report.
#[derive(Debug, PartialEq)]
pub struct UpstreamResult {
    /// The upstream that the attempt or the health check was sent to.
    pub upstream: UpstreamId,
    /// How the attempt or the health check ended.
    pub outcome: Outcome,
    /// The time from the sending of the attempt or the health check to the event that contains this result.
    pub latency: Duration,
    /// The values of the load report, in the order of
    /// [`Settings::report_fields`](frostkeel_policy::Settings::report_fields); empty if there was no report.
    pub load_report: Vec<f32>,
}

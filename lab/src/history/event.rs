//! Events and their serialized form.

use crate::history::ClientAttemptId;
use frostkeel_membership::{MemberState, Name};
use serde::Serialize;

/// Why a client attempt ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptFailure {
    /// No connection was established: the balancer never received the request.
    NoConnection,
    /// The connection closed after the complete request was written.
    #[serde(rename = "broken")]
    ConnectionClosed,
    /// The client's timeout expired.
    #[serde(rename = "gave-up")]
    TimedOut,
}

/// The state of an upstream in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It finishes the requests in flight.
    Terminating,
    /// It is not listed any more.
    #[serde(rename = "gone")]
    Removed,
}

impl EndpointState {
    /// The name in the text of a violation.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ready => "Ready",
            Self::Terminating => "Terminating",
            Self::Removed => "Gone",
        }
    }
}

/// How an upstream responded to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamReply {
    /// It was processed.
    Served,
    /// It was rejected unprocessed.
    #[serde(rename = "turned-away")]
    Rejected,
}

/// A state that a process, or a stand-in for one, has entered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessState {
    /// It takes requests.
    Ready,
    /// The lab is about to kill it.
    Killed,
    /// The lab has sent it SIGTERM.
    #[serde(rename = "asked")]
    ShutdownRequested,
    /// The lab has paused it.
    #[serde(rename = "held")]
    Paused,
    /// The lab has resumed it.
    #[serde(rename = "released")]
    Resumed,
    /// It has exited after the lab sent it SIGKILL or SIGTERM.
    #[serde(rename = "ended")]
    Exited,
    /// It has exited by itself.
    Crashed,
    /// It used more memory than its limit.
    #[serde(rename = "over-memory")]
    MemoryLimitExceeded,
    /// It had not exited when the wait after SIGKILL was over.
    #[serde(rename = "outlived")]
    SurvivedKill,
    /// An upstream crashed under overload while it was warming up.
    #[serde(rename = "fell")]
    Overloaded,
    /// An upstream is slow or unresponsive.
    #[serde(rename = "ill")]
    Degraded,
    /// A degraded upstream is back to normal.
    #[serde(rename = "well")]
    Recovered,
}

impl ProcessState {
    /// The name in the text of a violation, where a violation can name it.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ready => "Ready",
            Self::Killed => "Killed",
            Self::ShutdownRequested => "Asked",
            Self::Paused => "Held",
            Self::Resumed => "Released",
            Self::Exited => "Ended",
            Self::Crashed => "Crashed",
            Self::MemoryLimitExceeded => "OverMemory",
            Self::SurvivedKill => "Outlived",
            Self::Overloaded => "Fell",
            Self::Degraded => "Ill",
            Self::Recovered => "Well",
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum EventKind {
    /// A client's request is due, whether or not a balancer can be reached.
    #[serde(rename = "wanted")]
    RequestDue {
        /// The request.
        request: u32,
        /// Index of its class.
        class: u16,
    },
    /// A client has written an attempt to a balancer, its last byte included.
    #[serde(rename = "asked")]
    AttemptSent {
        /// The attempt.
        id: ClientAttemptId,
        /// The client's request that it belongs to.
        request: u32,
        /// 0 for the first attempt.
        #[serde(rename = "again")]
        retry: u8,
        /// Index of its class.
        class: u16,
        /// Index of its tenant.
        tenant: u16,
        /// The balancer.
        balancer: u32,
    },
    /// The complete response to an attempt has arrived.
    #[serde(rename = "answered")]
    ResponseReceived {
        /// The attempt.
        id: ClientAttemptId,
        /// Its status.
        status: u16,
    },
    /// An attempt has ended without a response.
    #[serde(rename = "unanswered")]
    AttemptFailed {
        /// The attempt.
        id: ClientAttemptId,
        /// Why.
        #[serde(rename = "how")]
        failure: AttemptFailure,
    },
    /// An attempt has reached an upstream, its last byte included.
    #[serde(rename = "arrived")]
    UpstreamReceived {
        /// The attempt.
        id: ClientAttemptId,
        /// The upstream.
        upstream: u32,
    },
    /// An upstream has a response to it.
    #[serde(rename = "replied")]
    UpstreamReplied {
        /// The attempt.
        id: ClientAttemptId,
        /// The upstream.
        upstream: u32,
        /// Which.
        reply: UpstreamReply,
    },
    /// A balancer has connected to the discovery service.
    #[serde(rename = "called")]
    DiscoveryCalled {
        /// The balancer.
        balancer: u32,
    },
    /// The discovery service has notified a balancer of an upstream's state.
    #[serde(rename = "told")]
    EndpointNotified {
        /// The balancer.
        balancer: u32,
        /// The upstream.
        upstream: u32,
        /// The state.
        #[serde(rename = "listed")]
        state: EndpointState,
    },
    /// A sample of an upstream's load.
    #[serde(rename = "load")]
    UpstreamLoad {
        /// The upstream.
        upstream: u32,
        /// Requests in flight.
        #[serde(rename = "holds")]
        in_flight: u32,
        /// Share of its cores in use recently.
        #[serde(rename = "util")]
        utilization: f32,
    },
    /// A balancer has entered a state.
    #[serde(rename = "balancer")]
    BalancerState {
        /// Its number.
        balancer: u32,
        /// The state.
        #[serde(rename = "became")]
        state: ProcessState,
    },
    /// An upstream has entered a state.
    #[serde(rename = "upstream")]
    UpstreamState {
        /// Its number.
        upstream: u32,
        /// The state.
        #[serde(rename = "became")]
        state: ProcessState,
    },
    /// Connections between clients and a balancer were reset by a fault of their link.
    #[serde(rename = "unlinked")]
    ClientConnectionsReset {
        /// The balancer.
        balancer: u32,
    },
    /// A balancer's view of a member, or of itself, has changed.
    #[serde(rename = "saw")]
    ViewChanged {
        /// The balancer whose view it is.
        #[serde(rename = "by")]
        observer: u32,
        /// The member.
        name: Name,
        /// The member's incarnation; a later one has a higher number.
        incarnation: u64,
        /// The member's state.
        #[serde(rename = "standing")]
        state: MemberState,
        /// The view's version.
        version: u64,
    },
    /// A balancer has yielded its name to another one.
    #[serde(rename = "yielded")]
    NameYielded {
        /// Which.
        #[serde(rename = "by")]
        balancer: u32,
    },
    /// The registry has entered a state.
    #[serde(rename = "registry")]
    RegistryState {
        /// The state.
        #[serde(rename = "became")]
        state: ProcessState,
    },
    /// A fault of the experiment begins.
    #[serde(rename = "fault")]
    FaultStarted {
        /// A description.
        #[serde(rename = "text")]
        description: String,
        /// Seconds until it ends, where it lasts.
        #[serde(rename = "lasts")]
        duration_s: Option<f64>,
    },
}

/// Something that happened, and when.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// Microseconds from the start of the load; 0 for an earlier event.
    #[serde(rename = "at")]
    pub at_us: u64,
    /// What happened.
    #[serde(flatten)]
    pub kind: EventKind,
}

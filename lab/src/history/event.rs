//! Events of a run, and the form in which they are written to `events.jsonl`.

use crate::history::ClientAttemptId;
use frostkeel_membership::{MemberState, Name};
use serde::Serialize;

/// Why a client attempt ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptFailure {
    /// No connection was established, so the balancer never received the request.
    NoConnection,
    /// The connection to the balancer failed or closed before the complete response arrived.
    #[serde(rename = "broken")]
    ConnectionClosed,
    /// The deadline of the client's request passed before the response arrived.
    #[serde(rename = "gave-up")]
    TimedOut,
}

/// The state of an upstream in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// The upstream accepts requests.
    Ready,
    /// The upstream completes the requests in flight and accepts no new ones.
    Terminating,
    /// The upstream is no longer in the endpoint list.
    #[serde(rename = "gone")]
    Removed,
}

impl EndpointState {
    /// Returns the name of the state as printed in the description of a violation.
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
    /// The upstream processed the request.
    Served,
    /// The upstream rejected the request without processing it.
    #[serde(rename = "turned-away")]
    Rejected,
}

/// A state that a process of the run, or a stand-in for one, has entered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessState {
    /// The process accepts requests.
    Ready,
    /// The lab is about to kill the process.
    Killed,
    /// The lab has sent SIGTERM to the process.
    #[serde(rename = "asked")]
    ShutdownRequested,
    /// The lab has paused the process.
    #[serde(rename = "held")]
    Paused,
    /// The lab has resumed the paused process.
    #[serde(rename = "released")]
    Resumed,
    /// The process has exited after the lab sent it SIGKILL or SIGTERM.
    #[serde(rename = "ended")]
    Exited,
    /// The process has exited without a signal from the lab.
    Crashed,
    /// The process used more memory than its limit.
    #[serde(rename = "over-memory")]
    MemoryLimitExceeded,
    /// The process had not exited by the end of the wait that follows SIGKILL.
    #[serde(rename = "outlived")]
    SurvivedKill,
    /// An upstream crashed under overload while it was warming up.
    #[serde(rename = "fell")]
    Overloaded,
    /// An upstream is slow or unresponsive because of a fault.
    #[serde(rename = "ill")]
    Degraded,
    /// A degraded upstream works normally again.
    #[serde(rename = "well")]
    Recovered,
}

impl ProcessState {
    /// Returns the name of the state as printed in the description of a violation.
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

/// What an event records.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum EventKind {
    /// A client's request is due, whether or not any balancer can be reached.
    #[serde(rename = "wanted")]
    RequestDue {
        /// Number of the client's request.
        request: u32,
        /// Index of the request's class in the experiment.
        class: u16,
    },
    /// A client is connected to a balancer and starts to write an attempt to it.
    #[serde(rename = "asked")]
    AttemptSent {
        /// Id of the client attempt.
        id: ClientAttemptId,
        /// Number of the client's request that the attempt belongs to.
        request: u32,
        /// Number of the retry; 0 for the first attempt of the request.
        #[serde(rename = "again")]
        retry: u8,
        /// Index of the request's class in the experiment.
        class: u16,
        /// Index of the request's tenant in the experiment.
        tenant: u16,
        /// Number of the balancer.
        balancer: u32,
    },
    /// A client has received the complete response to an attempt.
    #[serde(rename = "answered")]
    ResponseReceived {
        /// Id of the client attempt.
        id: ClientAttemptId,
        /// HTTP status of the response.
        status: u16,
    },
    /// An attempt has ended without a response.
    #[serde(rename = "unanswered")]
    AttemptFailed {
        /// Id of the client attempt.
        id: ClientAttemptId,
        /// Reason why there is no response.
        #[serde(rename = "how")]
        failure: AttemptFailure,
    },
    /// An attempt has reached an upstream completely, with the last byte of its body.
    #[serde(rename = "arrived")]
    UpstreamReceived {
        /// Id of the client attempt.
        id: ClientAttemptId,
        /// Number of the upstream.
        upstream: u32,
    },
    /// An upstream is about to send its response to an attempt.
    #[serde(rename = "replied")]
    UpstreamReplied {
        /// Id of the client attempt.
        id: ClientAttemptId,
        /// Number of the upstream.
        upstream: u32,
        /// Whether the upstream processed or rejected the request.
        reply: UpstreamReply,
    },
    /// A balancer has connected to the discovery service.
    #[serde(rename = "called")]
    DiscoveryCalled {
        /// Number of the balancer.
        balancer: u32,
    },
    /// The discovery service has notified a balancer of an upstream's state, or the balancer counts
    /// as notified although a fault has cut its watch.
    #[serde(rename = "told")]
    EndpointNotified {
        /// Number of the balancer.
        balancer: u32,
        /// Number of the upstream.
        upstream: u32,
        /// State of the upstream in the endpoint list.
        #[serde(rename = "listed")]
        state: EndpointState,
    },
    /// A periodic sample of an upstream's load.
    #[serde(rename = "load")]
    UpstreamLoad {
        /// Number of the upstream.
        upstream: u32,
        /// Number of requests in flight at the upstream.
        #[serde(rename = "holds")]
        in_flight: u32,
        /// Utilization in the upstream's load report: the fraction of its cores in use.
        #[serde(rename = "util")]
        utilization: f32,
    },
    /// A balancer has entered a state.
    #[serde(rename = "balancer")]
    BalancerState {
        /// Number of the balancer.
        balancer: u32,
        /// State that the balancer has entered.
        #[serde(rename = "became")]
        state: ProcessState,
    },
    /// An upstream has entered a state.
    #[serde(rename = "upstream")]
    UpstreamState {
        /// Number of the upstream.
        upstream: u32,
        /// State that the upstream has entered.
        #[serde(rename = "became")]
        state: ProcessState,
    },
    /// A fault of the link between the clients and a balancer has reset their connections.
    #[serde(rename = "unlinked")]
    ClientConnectionsReset {
        /// Number of the balancer.
        balancer: u32,
    },
    /// A balancer's view of a member, or of itself, has changed.
    #[serde(rename = "saw")]
    ViewChanged {
        /// Number of the balancer that owns the view.
        #[serde(rename = "by")]
        observer: u32,
        /// Name of the member that the change is about.
        name: Name,
        /// Incarnation of the member; a later incarnation has a higher number.
        incarnation: u64,
        /// State of the member in the view after the change.
        #[serde(rename = "standing")]
        state: MemberState,
        /// Version of the view after the change; the first change of a process has version 1.
        version: u64,
    },
    /// A balancer has yielded its name to another balancer and is no longer a member.
    #[serde(rename = "yielded")]
    NameYielded {
        /// Number of the balancer that yielded its name.
        #[serde(rename = "by")]
        balancer: u32,
    },
    /// The registry has entered a state.
    #[serde(rename = "registry")]
    RegistryState {
        /// State that the registry has entered.
        #[serde(rename = "became")]
        state: ProcessState,
    },
    /// A fault of the experiment begins.
    #[serde(rename = "fault")]
    FaultStarted {
        /// Description of the fault, as printed in the report.
        #[serde(rename = "text")]
        description: String,
        /// Duration of the fault in seconds; `None` if the fault has no fixed duration.
        #[serde(rename = "lasts")]
        duration_s: Option<f64>,
    },
}

/// An event of a run, with its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// Microseconds since the start of the load; 0 for an event before the start.
    #[serde(rename = "at")]
    pub at_us: u64,
    /// What the event records.
    #[serde(flatten)]
    pub kind: EventKind,
}

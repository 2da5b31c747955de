//! The faults of an experiment: their targets, times and effects.

use std::time::Duration;

/// The condition of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// The minimum delay of each chunk of a connection, or of each datagram.
    pub delay: Duration,
    /// The upper limit of the random time that is added to `delay`. A new random time is drawn for
    /// each chunk or datagram. The chunks of a connection stay in order.
    pub jitter: Duration,
    /// The bandwidth of each connection, in bytes per second; `None` is unlimited. It does not
    /// apply to datagrams.
    pub bytes_per_s: Option<u32>,
    /// Whether the direction is blocked: data of a connection waits until the cut ends, datagrams
    /// are lost.
    pub is_cut: bool,
    /// The share of the datagrams that are lost, from 0 to 1.
    pub loss_share: f64,
    /// The share of the datagrams that are duplicated, from 0 to 1.
    pub duplicate_share: f64,
}

/// The conditions of both directions of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// The condition from the balancer to the other party; on a link between balancers, from the
    /// fault's target to its peer.
    pub outbound: LinkCondition,
    /// The condition from the other party to the balancer; on a link between balancers, from the
    /// fault's peer to its target.
    pub inbound: LinkCondition,
}

impl LinkConditions {
    /// Returns whether at least one direction is blocked.
    pub fn has_cut(&self) -> bool {
        self.outbound.is_cut || self.inbound.is_cut
    }
}

/// The processes that a fault affects.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One balancer, by number.
    Balancer(u32),
    /// A range of balancer numbers, both ends included.
    BalancerRange {
        /// The lowest balancer number of the range.
        first: u32,
        /// The highest balancer number of the range.
        last: u32,
    },
    /// A given share of the balancers, from 0 to 1. The balancers that belong to it are chosen at
    /// random with the seed of the run.
    BalancerShare(f64),
    /// All balancers that are not targets of the fault; meaningful only as [`Fault::peer`].
    OtherBalancers,
    /// One upstream, by number.
    Upstream(u32),
    /// A given share of the upstreams, from 0 to 1. The upstreams that belong to it are chosen at
    /// random with the seed of the run.
    UpstreamShare(f64),
    /// The discovery service: a stand-in, or the registry if the experiment has one.
    Discovery,
    /// The clients; only faults on the links between clients and balancers apply to them.
    Clients,
}

impl Target {
    /// Returns whether the target consists of balancers.
    pub fn is_balancers(&self) -> bool {
        matches!(
            self,
            Self::Balancer(_)
                | Self::BalancerShare(_)
                | Self::BalancerRange { .. }
                | Self::OtherBalancers
        )
    }

    /// Returns whether the target consists of upstreams.
    pub fn is_upstreams(&self) -> bool {
        matches!(self, Self::Upstream(_) | Self::UpstreamShare(_))
    }
}

/// A fault, which occurs once or is repeated.
#[derive(Clone, Debug)]
pub struct Fault {
    /// The time of the first occurrence, from the start of the load.
    pub start: Duration,
    /// The processes that the fault affects.
    pub target: Target,
    /// The effect of each occurrence on its targets.
    pub kind: FaultKind,
    /// The processes at the other ends of the affected links. `None` stands for all upstreams and
    /// discovery if the target consists of balancers, and for all balancers otherwise.
    pub peer: Option<Target>,
    /// The interval between the starts of two successive occurrences; `None` if the fault occurs
    /// once.
    pub repeat_interval: Option<Duration>,
    /// The time before which each repetition must start, from the start of the load; `None` stands
    /// for the end of the run.
    pub repeat_until: Option<Duration>,
}

impl Fault {
    /// Returns an upper limit for the time at which the last occurrence ends, from the start of the
    /// load. `length` is the length of the run. An occurrence without a known duration counts as
    /// ended at its start.
    pub fn end(&self, length: Duration) -> Duration {
        let last_start = match self.repeat_interval {
            Some(_) => self.repeat_until.unwrap_or(length).max(self.start),
            None => self.start,
        };
        last_start + self.kind.duration().unwrap_or_default()
    }

    /// Returns whether `peer` consists of balancers.
    pub fn has_balancer_peers(&self) -> bool {
        self.peer.as_ref().is_some_and(Target::is_balancers)
    }
}

/// The effect of a fault, with the parameters of that effect.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Sends SIGKILL to a balancer or the registry, or crashes a stand-in.
    Kill {
        /// The time from the kill to the restart; `None` for no restart. After its restart, an
        /// upstream is in slow start.
        restart_after: Option<Duration>,
        /// The name of the balancer from its restart on; `None` leaves it unchanged.
        new_name: Option<String>,
    },
    /// Sends SIGTERM to a balancer and restarts it once it has exited.
    Terminate,
    /// Sends SIGSTOP to a process, and SIGCONT at the end of the pause.
    Pause {
        /// The time between SIGSTOP and SIGCONT.
        duration: Duration,
    },
    /// Makes each request take longer at an upstream.
    SlowDown {
        /// The factor by which the service time of requests grows, 1 to 1000.
        factor: f64,
        /// The time after which requests take their normal time again.
        duration: Duration,
    },
    /// Makes an upstream accept requests without responding.
    Unresponsive {
        /// The length of the period without responses.
        duration: Duration,
    },
    /// Replaces upstreams in batches: the old ones drain, the new ones are in slow start.
    RollingReplacement {
        /// The number of upstreams in a batch, at least 1.
        batch_size: u32,
        /// The time from the start of one batch to the start of the next.
        interval: Duration,
        /// The time for which an old upstream drains.
        drain: Duration,
    },
    /// Makes links lose, duplicate, delay or block their traffic.
    ImpairLinks {
        /// The conditions of the affected links.
        conditions: LinkConditions,
        /// The time after which the links are normal again.
        duration: Duration,
    },
    /// Resets all connections on the affected links.
    ResetConnections,
    /// Sends recorded datagrams again, from each target to all other balancers. The lab records the
    /// first datagrams that balancers send to each other in a run.
    ReplayDatagrams,
    /// Sends corrupted datagrams, each from a random one of the targets to a random balancer.
    InjectDatagrams {
        /// The number of datagrams sent per second, 1 to 100000.
        rate_per_s: f64,
        /// The time for which datagrams are sent.
        duration: Duration,
    },
}

impl FaultKind {
    /// Returns the duration of one occurrence; `None` if its end is not known in advance.
    pub fn duration(&self) -> Option<Duration> {
        match self {
            Self::Kill { restart_after, .. } => *restart_after,
            Self::Pause { duration }
            | Self::SlowDown { duration, .. }
            | Self::Unresponsive { duration }
            | Self::ImpairLinks { duration, .. }
            | Self::InjectDatagrams { duration, .. } => Some(*duration),
            Self::Terminate
            | Self::RollingReplacement { .. }
            | Self::ResetConnections
            | Self::ReplayDatagrams => None,
        }
    }
}

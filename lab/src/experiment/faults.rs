//! The faults of an experiment.

use std::time::Duration;

/// The condition of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// It is delayed by this ...
    pub delay: Duration,
    /// ... and by up to this much more, drawn for each chunk or datagram; the order is retained.
    pub jitter: Duration,
    /// The bandwidth; `None`: unlimited.
    pub bytes_per_s: Option<u32>,
    /// Nothing passes: a connection waits until the cut ends, a datagram is lost.
    pub is_cut: bool,
    /// Share of the datagrams that are lost.
    pub loss_share: f64,
    /// Share of the datagrams that are duplicated.
    pub duplicate_share: f64,
}

/// The conditions of a link, in each direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// From the balancer, or from the fault's target.
    pub outbound: LinkCondition,
    /// To the balancer, or to the fault's target.
    pub inbound: LinkCondition,
}

impl LinkConditions {
    /// Whether nothing passes in one of the directions.
    pub fn has_cut(&self) -> bool {
        self.outbound.is_cut || self.inbound.is_cut
    }
}

/// The processes that a fault affects.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One balancer, by number.
    Balancer(u32),
    /// Balancers by number, both ends included.
    BalancerRange {
        /// The lowest number.
        first: u32,
        /// The highest number.
        last: u32,
    },
    /// A share of the balancers, drawn from the seed.
    BalancerShare(f64),
    /// All balancers but those that the fault's target is.
    OtherBalancers,
    /// One upstream, by number.
    Upstream(u32),
    /// A share of the upstreams, drawn from the seed.
    UpstreamShare(f64),
    /// The discovery service.
    Discovery,
    /// The clients: only their links with balancers.
    Clients,
}

impl Target {
    /// Whether it means balancers.
    pub fn is_balancers(&self) -> bool {
        matches!(
            self,
            Self::Balancer(_)
                | Self::BalancerShare(_)
                | Self::BalancerRange { .. }
                | Self::OtherBalancers
        )
    }

    /// Whether it means upstreams.
    pub fn is_upstreams(&self) -> bool {
        matches!(self, Self::Upstream(_) | Self::UpstreamShare(_))
    }
}

/// A fault.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When it begins, from the start of the load.
    pub start: Duration,
    /// The processes that it affects.
    pub target: Target,
    /// What happens.
    pub kind: FaultKind,
    /// For faults of links, the processes at the other ends; `None`: all that `target` has links
    /// with.
    pub peer: Option<Target>,
    /// It is repeated at this interval ...
    pub repeat_interval: Option<Duration>,
    /// ... before this time.
    pub repeat_until: Option<Duration>,
}

impl Fault {
    /// When its last occurrence has ended, in a run of some length.
    pub fn end(&self, length: Duration) -> Duration {
        let last_start = match self.repeat_interval {
            Some(_) => self.repeat_until.unwrap_or(length).max(self.start),
            None => self.start,
        };
        last_start + self.kind.duration().unwrap_or_default()
    }

    /// Whether the other ends of its links are balancers.
    pub fn has_balancer_peers(&self) -> bool {
        self.peer.as_ref().is_some_and(Target::is_balancers)
    }
}

/// What a fault does.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// SIGKILL to a balancer; a crash of a stand-in.
    Kill {
        /// It is restarted after so long, an upstream in slow start; `None`: it is not.
        restart_after: Option<Duration>,
        /// The name of a balancer from then on; `None`: its own.
        new_name: Option<String>,
    },
    /// SIGTERM to a balancer, which is started again once it has exited.
    Terminate,
    /// SIGSTOP, and SIGCONT after so long.
    Pause {
        /// For so long.
        duration: Duration,
    },
    /// An upstream needs more time for each request.
    SlowDown {
        /// So many times as long.
        factor: f64,
        /// For so long.
        duration: Duration,
    },
    /// An upstream accepts requests and does not respond.
    Unresponsive {
        /// For so long.
        duration: Duration,
    },
    /// Upstreams drain and are replaced by new ones in slow start, batch by batch.
    RollingReplacement {
        /// How many at a time.
        batch_size: u32,
        /// Time from one batch to the next.
        interval: Duration,
        /// Time to drain.
        drain: Duration,
    },
    /// Links lose, delay or block their traffic.
    ImpairLinks {
        /// In this way.
        conditions: LinkConditions,
        /// For so long.
        duration: Duration,
    },
    /// All connections on links are reset.
    ResetConnections,
    /// The first datagrams that passed between balancers are sent again, from the target to all.
    ReplayDatagrams,
    /// Corrupted datagrams are sent in the name of the target to all.
    InjectDatagrams {
        /// So many a second.
        rate_per_s: f64,
        /// For so long.
        duration: Duration,
    },
}

impl FaultKind {
    /// How long one occurrence lasts, as far as that is known before.
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

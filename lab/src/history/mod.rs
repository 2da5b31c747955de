//! What happened, in the order in which the lab saw it: the material of every check and figure.

use frostkeel_membership::{MemberState, Name};
use serde::Serialize;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A try of a client: unique in a play, and the number that it carries as its correlation id.
pub type TryId = u64;

/// How a try ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lost {
    /// No connection came up: the balancer never had it.
    NoConnection,
    /// The connection ended after the whole request was written.
    Broken,
    /// The client had waited for as long as it meant to.
    GaveUp,
}

/// How an upstream is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Listed {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Terminating,
    /// It is no more.
    Gone,
}

/// What an upstream did about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// It was served.
    Served,
    /// It was turned away unseen.
    TurnedAway,
}

/// What became of a process or a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Process {
    /// It takes requests.
    Ready,
    /// The lab is about to end it outright.
    Killed,
    /// The lab has asked it to leave.
    Asked,
    /// The lab holds it, or lets it go on.
    Held,
    /// See `Held`.
    Released,
    /// It has ended after the lab ended it or asked it to.
    Ended,
    /// It has ended by itself.
    Crashed,
    /// It took more memory than it may.
    OverMemory,
    /// It had not ended when the lab had waited for long enough after SIGKILL.
    Outlived,
    /// A cold upstream was sent too much by all together.
    Fell,
    /// An upstream takes longer, or says nothing; or is its usual self again.
    Ill,
    /// See `Ill`.
    Well,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum What {
    /// A client wants something: its first try is due, whether or not a balancer can be had.
    Wanted {
        /// The request.
        request: u32,
        /// Position of its class.
        class: u16,
    },
    /// A client has written a try to a balancer, its last byte included.
    Asked {
        /// The try.
        id: TryId,
        /// The client's request, of which it is one.
        request: u32,
        /// 0 for the first.
        again: u8,
        /// Position of its class.
        class: u16,
        /// Position of its tenant.
        tenant: u16,
        /// The balancer.
        balancer: u32,
    },
    /// The whole answer to a try has come.
    Answered {
        /// The try.
        id: TryId,
        /// Its status.
        status: u16,
    },
    /// A try has ended without one.
    Unanswered {
        /// The try.
        id: TryId,
        /// How.
        how: Lost,
    },
    /// A try has arrived at an upstream, its last byte included.
    Arrived {
        /// The try.
        id: TryId,
        /// The upstream.
        upstream: u32,
    },
    /// An upstream has an answer to it.
    Replied {
        /// The try.
        id: TryId,
        /// The upstream.
        upstream: u32,
        /// Which.
        reply: Reply,
    },
    /// A balancer has called the list service, or tried to.
    Called {
        /// Which.
        balancer: u32,
    },
    /// The list service has written to a balancer how an upstream stands.
    Told {
        /// The balancer.
        balancer: u32,
        /// The upstream.
        upstream: u32,
        /// How it stands.
        listed: Listed,
    },
    /// An upstream's load, as it is.
    Load {
        /// The upstream.
        upstream: u32,
        /// Requests it holds.
        holds: u32,
        /// Share of its cores in use, of late.
        util: f32,
    },
    /// Something became of a balancer.
    Balancer {
        /// Its number.
        balancer: u32,
        /// What.
        became: Process,
    },
    /// Something became of an upstream.
    Upstream {
        /// Its number.
        upstream: u32,
        /// What.
        became: Process,
    },
    /// Connections between clients and a balancer were reset by a fault of their link.
    Unlinked {
        /// The balancer.
        balancer: u32,
    },
    /// A balancer's view of another one, or of itself, has changed.
    Saw {
        /// Whose view.
        by: u32,
        /// Who is seen.
        name: Name,
        /// In which life; a later one has a higher number.
        incarnation: u64,
        /// How it stands.
        standing: MemberState,
        /// The view's version.
        version: u64,
    },
    /// A balancer has given up its name to another one.
    Yielded {
        /// Which.
        by: u32,
    },
    /// Something became of the list service.
    Registry {
        /// What.
        became: Process,
    },
    /// A fault of the experiment begins.
    Fault {
        /// In words.
        text: String,
        /// Seconds until it ends, where it lasts.
        lasts: Option<f64>,
    },
}

/// One thing that happened, and when.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// Microseconds from the start of the load; what came before counts as 0.
    pub at: u64,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// Keeps what happens, up to a bound.
pub struct History {
    start: OnceLock<Instant>,
    kept: Mutex<(Vec<Event>, u64)>,
    most: usize,
}

impl History {
    /// An empty one for at most so many events. Its time stands at nil until it [`begin`](Self::begin)s.
    pub fn new(most: usize) -> Self {
        Self {
            start: OnceLock::new(),
            kept: Mutex::default(),
            most,
        }
    }

    /// Time goes on from here.
    pub fn begin(&self) {
        self.start.get_or_init(Instant::now);
    }

    /// The time, from where it began.
    pub fn now(&self) -> Duration {
        self.start.get().map_or(Duration::ZERO, |start| {
            Instant::now().saturating_duration_since(*start)
        })
    }

    /// The moment at which it will be so many seconds.
    pub fn at(&self, seconds: f64) -> Instant {
        let start = self.start.get().copied().unwrap_or_else(Instant::now);
        start + Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::from_secs(3600))
    }

    /// Notes what has just happened.
    pub fn note(&self, what: What) {
        // Held while the time is taken, so that the order is that of the times.
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.now().as_micros() as u64;
        if kept.0.len() < self.most {
            kept.0.push(Event { at, what });
        } else {
            kept.1 += 1;
        }
    }

    /// All events so far, and how many were not kept; it is empty after that.
    pub fn take(&self) -> (Vec<Event>, u64) {
        std::mem::take(&mut *self.kept.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

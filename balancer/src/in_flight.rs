//! Requests in flight: what was asked, the attempts that are out, the answer that is owed.

use crate::exchange::ForwardedRequest;
use crate::upstream::UpstreamResponse;
use frostkeel_policy::{ClassId, TenantId, UpstreamId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// An upstream's.
    Forwarded(UpstreamResponse),
    /// Trying again is harmless, after some time if one is given.
    Rejected(Option<Duration>),
    /// Nothing is promised.
    Failed,
}

/// A request for the module to decide on.
pub struct ClientRequest {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// Expected work in milliseconds, where the client says so.
    pub work_ms: Option<f64>,
    /// The client says that it has tried this before.
    pub is_retry: bool,
    /// What is passed on.
    pub outgoing: ForwardedRequest,
}

/// One attempt of it.
pub(crate) struct Attempt {
    pub(crate) upstream: UpstreamId,
    pub(crate) sent: Instant,
    pub(crate) task: AbortHandle,
    /// Something of it may have been written.
    pub(crate) begun: Rc<Cell<bool>>,
    pub(crate) out: bool,
}

/// A request that is owed its answer, or has attempts out.
pub(crate) struct InFlightRequest {
    pub(crate) asked: Rc<ClientRequest>,
    pub(crate) came: Instant,
    /// Taken with the final answer.
    pub(crate) reply: Option<oneshot::Sender<FinalResponse>>,
    pub(crate) attempts: Vec<Attempt>,
}

//! The record of a run: what happened, in the order in which the lab observed it.
//!
//! Every check and every figure is computed from this record alone. The serialized forms are those
//! of `events.jsonl`; each field that is named otherwise there is bound to its key here.

mod attempt_id;
mod event;
mod recorder;
mod response_class;

pub use attempt_id::{ClientAttemptId, client_attempt_id, request_of};
pub use event::{AttemptFailure, EndpointState, Event, EventKind, ProcessState, UpstreamReply};
pub use recorder::{History, Recording};
pub use response_class::ResponseClass;

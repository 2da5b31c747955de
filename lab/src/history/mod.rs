//! The history of a run: its events, in the order in which the lab observed them.
//!
//! The checks and the figures are computed from the history alone. Events are serialized as lines
//! of `events.jsonl`; a field whose key there differs from its name here has a serde `rename`.

mod attempt_id;
mod event;
mod recorder;
mod response_class;

pub use attempt_id::{ClientAttemptId, client_attempt_id, request_of};
pub use event::{AttemptFailure, EndpointState, Event, EventKind, ProcessState, UpstreamReply};
pub use recorder::{History, Recording};
pub use response_class::ResponseClass;

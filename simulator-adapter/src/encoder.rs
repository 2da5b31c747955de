//! Encodes actions into the bytes of a reply.

use crate::protocol::{ActionCode, LENGTH_BYTES};
use frostkeel_policy::{Action, UpstreamId};
use std::time::Duration;

/// The value with which the only field of `KEEP_INFORMED` starts a watch on the endpoint list. The value 0 would end
/// the watch.
const WATCH_ON: u8 = 1;
/// The value of a time field, in milliseconds, if the action has no timeout or no Retry-After.
const NO_TIME_MS: f64 = 0.0;

/// An encoder of the reply to one batch: the length field of the reply, then the actions one after the other.
#[derive(Debug, Default)]
pub struct ReplyEncoder {
    bytes: Vec<u8>,
}

impl ReplyEncoder {
    /// Starts a reply with space for the length field. Discards the previous reply, and reuses the buffer.
    pub fn begin(&mut self) {
        self.bytes.clear();
        self.bytes.extend([0; LENGTH_BYTES]);
    }

    /// Appends an action that an instance requested.
    pub fn push(&mut self, instance: u32, action: &Action) {
        let mut encoder = ActionEncoder {
            bytes: &mut self.bytes,
            instance,
        };
        encoder.encode(action);
    }

    /// Appends a log line of an instance. A line over 65,535 bytes is truncated.
    pub fn push_log_line(&mut self, instance: u32, line: &str) {
        let mut encoder = ActionEncoder {
            bytes: &mut self.bytes,
            instance,
        };
        encoder.log_line(line);
    }

    /// Sets the length field and returns the complete reply.
    pub fn finish(&mut self) -> &[u8] {
        let length = (self.bytes.len() - LENGTH_BYTES) as u32;
        self.bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        &self.bytes
    }
}

/// An encoder of one action of an instance.
struct ActionEncoder<'a> {
    bytes: &'a mut Vec<u8>,
    instance: u32,
}

impl ActionEncoder<'_> {
    fn encode(&mut self, action: &Action) {
        match action {
            Action::Attempt {
                id,
                upstream,
                timeout,
            } => {
                self.header(ActionCode::Attempt);
                self.u32(id.0);
                self.upstream(*upstream);
                self.optional_time(*timeout);
            }
            Action::Cancel { id, attempt } => {
                self.header(ActionCode::Cancel);
                self.u32(id.0);
                self.bytes.push(attempt.0);
            }
            Action::Reject {
                id, retry_after, ..
            } => {
                self.header(ActionCode::Reject);
                self.u32(id.0);
                self.optional_time(*retry_after);
            }
            Action::Fail { id, .. } => {
                self.header(ActionCode::Fail);
                self.u32(id.0);
            }
            Action::Timer { after, timer } => {
                self.header(ActionCode::Timer);
                self.time(*after);
                self.u32(timer.0);
            }
            Action::WatchEndpoints => {
                self.header(ActionCode::WatchEndpoints);
                self.bytes.push(WATCH_ON);
            }
            Action::CloseIdleConnections { upstream } => {
                self.header(ActionCode::CloseIdleConnections);
                self.upstream(*upstream);
            }
            Action::HealthCheck { upstream } => {
                self.header(ActionCode::HealthCheck);
                self.upstream(*upstream);
            }
            Action::Log(event) => self.log_line(&event.to_string()),
        }
    }

    fn log_line(&mut self, line: &str) {
        self.header(ActionCode::Log);
        self.text(line);
    }

    fn header(&mut self, code: ActionCode) {
        self.bytes.push(code as u8);
        self.u32(self.instance);
    }

    fn u32(&mut self, value: u32) {
        self.bytes.extend(value.to_be_bytes());
    }

    fn f64(&mut self, value: f64) {
        self.bytes.extend(value.to_be_bytes());
    }

    fn time(&mut self, time: Duration) {
        self.f64(time.as_secs_f64() * 1e3);
    }

    fn optional_time(&mut self, time: Option<Duration>) {
        match time {
            Some(time) => self.time(time),
            None => self.f64(NO_TIME_MS),
        }
    }

    /// Writes the low six bytes of an upstream's id: an IPv4 address and a port.
    fn upstream(&mut self, upstream: UpstreamId) {
        self.bytes.extend(&upstream.0.to_be_bytes()[2..]);
    }

    /// Writes the length of a text as a `u16`, then the text. A text over 65,535 bytes is truncated.
    fn text(&mut self, text: &str) {
        let length = u16::try_from(text.len()).unwrap_or(u16::MAX);
        self.bytes.extend(length.to_be_bytes());
        self.bytes.extend(&text.as_bytes()[..usize::from(length)]);
    }
}

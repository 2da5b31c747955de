//! The errors of a session. An error in a frame names the byte at which the invalid field or record begins.

use frostkeel_policy::SettingsError;
use frostkeel_settings::SettingsParseError;
use std::io;
use std::str::Utf8Error;
use thiserror::Error;

/// The error that ended a session with the simulator.
#[derive(Debug, Error)]
pub enum SessionError {
    /// Reading the input failed with an I/O error.
    #[error("cannot read the input: {0}")]
    Read(#[source] io::Error),
    /// Writing a reply to the output failed with an I/O error.
    #[error("cannot write the reply: {0}")]
    Write(#[source] io::Error),
    /// The input ended before the end of a frame.
    #[error("frame truncated at byte {received}: expected {expected} bytes")]
    TruncatedFrame {
        /// The number of bytes of the frame that were received, the length field included.
        received: usize,
        /// The number of bytes expected: the size of the length field if the field is truncated, otherwise the size of
        /// the frame with its length field.
        expected: usize,
    },
    /// The value of the length field is out of range. The lowest is [`CLOCK_BYTES`](crate::protocol::CLOCK_BYTES), for
    /// a batch without records. The highest is [`MAX_FRAME_BYTES`](crate::protocol::MAX_FRAME_BYTES).
    #[error("byte 0: frame length must be 8 to 1073741824 bytes, got {length}")]
    InvalidFrameLength {
        /// The value of the length field, in bytes.
        length: usize,
    },
    /// A batch can't be decoded or applied.
    #[error(transparent)]
    Batch(#[from] BatchError),
}

/// The error for a batch that can't be decoded or applied, with the position of the error in the frame.
#[derive(Debug, Error)]
#[error("byte {offset}: {fault}")]
pub struct BatchError {
    /// The byte at which the invalid field or record begins, counted from the start of the frame's length field.
    pub offset: usize,
    /// The reason why the batch can't be decoded or applied.
    pub fault: BatchFault,
}

/// The reason why a batch can't be decoded or applied.
#[derive(Debug, Error)]
pub enum BatchFault {
    /// The length field differs from the number of bytes that follow it.
    #[error("frame length is {stated}, but {actual} bytes follow it")]
    LengthMismatch {
        /// The value of the length field, in bytes.
        stated: usize,
        /// The number of bytes that follow the length field.
        actual: usize,
    },
    /// The frame ends within a field.
    #[error("{field} needs {needed} bytes, {available} are left")]
    Truncated {
        /// The name of the truncated field.
        field: &'static str,
        /// The size of the field, in bytes.
        needed: usize,
        /// The number of bytes from the start of the field to the end of the frame.
        available: usize,
    },
    /// A count of items or bytes is more than the rest of the frame can hold.
    #[error("{field} is {count}, but only {available} bytes are left")]
    CountTooLarge {
        /// The name of the field with the count.
        field: &'static str,
        /// The count of items or bytes.
        count: usize,
        /// The number of bytes that follow the count in the frame.
        available: usize,
    },
    /// A code has no meaning in the protocol.
    #[error("unknown {field} {code}")]
    UnknownCode {
        /// The name of the field with the code.
        field: &'static str,
        /// The code found, which the protocol doesn't define.
        code: u16,
    },
    /// The number of an endpoint list is over
    /// [`MAX_ENDPOINT_LIST_NUMBER`](crate::protocol::MAX_ENDPOINT_LIST_NUMBER).
    #[error("list number must be at most {max}, got {number}", max = crate::protocol::MAX_ENDPOINT_LIST_NUMBER)]
    ListNumberTooLarge {
        /// The rejected number of the endpoint list.
        number: u32,
    },
    /// The text of an instance's settings isn't UTF-8.
    #[error("settings must be UTF-8: {0}")]
    SettingsEncoding(#[source] Utf8Error),
    /// The settings of an instance can't be parsed.
    #[error(transparent)]
    SettingsSyntax(#[from] SettingsParseError),
    /// The settings were parsed, but a balancer can't run with these values.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An update refers to an endpoint list that no earlier record has defined.
    #[error("endpoint list {number} is not defined by an earlier record")]
    UnknownList {
        /// The number of the endpoint list that isn't defined.
        number: u32,
    },
    /// An event is for an instance that isn't running.
    #[error("instance {instance} is not running: it was not started, or it was stopped")]
    UnknownInstance {
        /// The number of the instance that isn't running.
        instance: u32,
    },
}

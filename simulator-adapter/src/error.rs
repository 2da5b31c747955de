//! What can be wrong with a session, and at which byte of a frame.

use frostkeel_policy::SettingsError;
use frostkeel_settings::SettingsParseError;
use std::io;
use std::str::Utf8Error;
use thiserror::Error;

/// Why a session with the simulator has ended early.
#[derive(Debug, Error)]
pub enum SessionError {
    /// Standard input can't be read.
    #[error("{0}")]
    Read(#[source] io::Error),
    /// The reply can't be written.
    #[error("{0}")]
    Write(#[source] io::Error),
    /// The input ended within a frame.
    #[error("frame cut short at byte {received}: {expected} expected")]
    TruncatedFrame {
        /// Bytes of the frame that were there.
        received: usize,
        /// Bytes that the frame should have.
        expected: usize,
    },
    /// The length field is less than a batch needs, or more than is accepted.
    #[error("byte 0: length {length} fits no batch")]
    InvalidFrameLength {
        /// What the field says.
        length: usize,
    },
    /// A frame can't be decoded or applied.
    #[error(transparent)]
    Batch(#[from] BatchError),
}

/// What is wrong with a batch, and at which byte of its frame, the length field included.
#[derive(Debug, Error)]
#[error("byte {offset}: {fault}")]
pub struct BatchError {
    /// The byte.
    pub offset: usize,
    /// What is wrong there.
    pub fault: BatchFault,
}

/// What is wrong with a batch.
#[derive(Debug, Error)]
pub enum BatchFault {
    /// The length field doesn't agree with the frame.
    #[error("length {stated} for {actual} bytes")]
    LengthMismatch {
        /// What the field says.
        stated: usize,
        /// The bytes that follow it.
        actual: usize,
    },
    /// The frame ends within a field.
    #[error("{field} needs {needed} bytes, {available} are left")]
    Truncated {
        /// The field.
        field: &'static str,
        /// The bytes it has.
        needed: usize,
        /// The bytes left in the frame.
        available: usize,
    },
    /// A count announces more than the rest of the frame can hold.
    #[error("{field} is {count}, but only {available} bytes are left")]
    CountTooLarge {
        /// The field with the count.
        field: &'static str,
        /// Its value.
        count: usize,
        /// The bytes left in the frame.
        available: usize,
    },
    /// A code is unknown.
    #[error("unknown {field} {code}")]
    UnknownCode {
        /// The field with the number.
        field: &'static str,
        /// The number.
        code: u16,
    },
    /// An endpoint list is numbered beyond what the protocol allows.
    #[error("list number {number} is over {max}", max = crate::protocol::MAX_ENDPOINT_LIST_NUMBER)]
    ListNumberTooLarge {
        /// The number.
        number: u32,
    },
    /// The settings' text isn't UTF-8.
    #[error("settings: {0}")]
    SettingsEncoding(#[source] Utf8Error),
    /// The settings can't be parsed.
    #[error(transparent)]
    SettingsSyntax(#[from] SettingsParseError),
    /// The settings permit no decisions.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An update refers to an endpoint list that no record has defined.
    #[error("no list has number {number}")]
    UnknownList {
        /// The number.
        number: u32,
    },
    /// An event is for an instance that isn't running.
    #[error("instance {instance} was never started")]
    UnknownInstance {
        /// The instance.
        instance: u32,
    },
}

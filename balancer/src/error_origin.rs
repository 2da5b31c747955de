//! The origin of a system call error: this machine, the peer, or neither.

use std::io;
use std::task::{Context, Poll};

/// Linux error numbers that `std::io::ErrorKind` does not represent, or not precisely enough.
mod errno {
    pub const EPERM: i32 = 1;
    pub const EINTR: i32 = 4;
    pub const EAGAIN: i32 = 11;
    pub const ENOMEM: i32 = 12;
    pub const EACCES: i32 = 13;
    pub const ENFILE: i32 = 23;
    pub const EMFILE: i32 = 24;
    pub const ENONET: i32 = 64;
    pub const EPROTO: i32 = 71;
    pub const ENOPROTOOPT: i32 = 92;
    pub const EOPNOTSUPP: i32 = 95;
    pub const EADDRINUSE: i32 = 98;
    pub const EADDRNOTAVAIL: i32 = 99;
    pub const ENETDOWN: i32 = 100;
    pub const ENETUNREACH: i32 = 101;
    pub const ECONNABORTED: i32 = 103;
    pub const ENOBUFS: i32 = 105;
    pub const EHOSTDOWN: i32 = 112;
    pub const EHOSTUNREACH: i32 = 113;
}

/// The origin of a system call error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorOrigin {
    /// This machine: a shortage of descriptors, memory, buffers or ports, a missing route or a missing permission. The
    /// error is no evidence of a fault of the peer.
    Local,
    /// The peer, or the network path to it.
    Peer,
    /// Neither: a signal interrupted the call, or `accept` failed for one connection only. The call can be retried
    /// immediately.
    Transient,
}

impl ErrorOrigin {
    /// Returns the origin of an error of `connect`, `read` or `write`.
    pub fn of(error: &io::Error) -> Self {
        use errno::{
            EACCES, EADDRINUSE, EADDRNOTAVAIL, EAGAIN, EINTR, EMFILE, ENETDOWN, ENETUNREACH,
            ENFILE, ENOBUFS, ENOMEM, EPERM,
        };
        match error.raw_os_error() {
            Some(EMFILE | ENFILE | ENOMEM | ENOBUFS | EAGAIN | EPERM | EACCES) => Self::Local,
            Some(EADDRNOTAVAIL | EADDRINUSE | ENETDOWN | ENETUNREACH) => Self::Local,
            Some(EINTR) => Self::Transient,
            _ => Self::Peer,
        }
    }

    /// Returns the origin of an error of `accept`. That call also reports network errors of the connection that it
    /// would have accepted. These are [`Self::Transient`], because the next connection in the queue may be fine.
    pub fn of_accept(error: &io::Error) -> Self {
        use errno::{
            ECONNABORTED, EHOSTDOWN, EHOSTUNREACH, EINTR, ENETDOWN, ENETUNREACH, ENONET,
            ENOPROTOOPT, EOPNOTSUPP, EPROTO,
        };
        match error.raw_os_error() {
            Some(EINTR | ECONNABORTED | EPROTO | ENOPROTOOPT | EOPNOTSUPP) => Self::Transient,
            Some(ENETDOWN | ENETUNREACH | ENONET | EHOSTDOWN | EHOSTUNREACH) => Self::Transient,
            _ => Self::Local,
        }
    }
}

/// Returns the result of a read or write, and schedules a retry if a signal interrupted the call. An interrupted call
/// had no effect and does not mean that the connection has ended.
pub fn retry_if_interrupted<T>(poll: Poll<io::Result<T>>, cx: &Context<'_>) -> Poll<io::Result<T>> {
    match poll {
        Poll::Ready(Err(e)) if e.kind() == io::ErrorKind::Interrupted => {
            cx.waker().wake_by_ref();
            Poll::Pending
        }
        other => other,
    }
}

//! Errors of system calls, each with whose it is.

use maplehook::error_origin::ErrorOrigin::{self, Machine, Nobody, Peer};
use std::io;

/// Guards against an upstream that is ejected for what this machine ran out of, and against an accept that gives up
/// what waits behind a connection that is no more.
#[test]
fn an_error_is_put_down_to_whom_it_is() {
    // Number, name, of a connection, of an accept.
    let all = [
        (1, "EPERM", Machine, Machine),
        (4, "EINTR", Nobody, Nobody),
        (11, "EAGAIN", Machine, Machine),
        (12, "ENOMEM", Machine, Machine),
        (13, "EACCES", Machine, Machine),
        (23, "ENFILE", Machine, Machine),
        (24, "EMFILE", Machine, Machine),
        (32, "EPIPE", Peer, Machine),
        (71, "EPROTO", Peer, Nobody),
        (98, "EADDRINUSE", Machine, Machine),
        (99, "EADDRNOTAVAIL", Machine, Machine),
        (100, "ENETDOWN", Machine, Nobody),
        (101, "ENETUNREACH", Machine, Nobody),
        (103, "ECONNABORTED", Peer, Nobody),
        (104, "ECONNRESET", Peer, Machine),
        (105, "ENOBUFS", Machine, Machine),
        (110, "ETIMEDOUT", Peer, Machine),
        (111, "ECONNREFUSED", Peer, Machine),
        (113, "EHOSTUNREACH", Peer, Nobody),
    ];
    for (number, name, connection, accept) in all {
        let error = io::Error::from_raw_os_error(number);
        assert_eq!(ErrorOrigin::of(&error), connection, "{name} of a connection");
        assert_eq!(ErrorOrigin::of_accept(&error), accept, "{name} of an accept");
    }
}

//! Errors of system calls, each with whose it is.

use frostkeel_balancer::error_origin::ErrorOrigin::{self, Machine, Nobody, Peer};
use frostkeel_balancer::error_origin::again_if_interrupted;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, Wake, Waker};

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
        assert_eq!(
            ErrorOrigin::of(&error),
            connection,
            "{name} of a connection"
        );
        assert_eq!(
            ErrorOrigin::of_accept(&error),
            accept,
            "{name} of an accept"
        );
    }
}

#[derive(Default)]
struct Wakes(AtomicUsize);

impl Wake for Wakes {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

/// Guards against a signal that is taken for the end of a connection: the call is made again, nothing else is changed.
#[test]
fn an_interrupted_call_is_made_again() {
    let wakes = Arc::new(Wakes::default());
    let waker = Waker::from(Arc::clone(&wakes));
    let cx = Context::from_waker(&waker);
    let failed = |number| Poll::Ready(Err::<usize, _>(io::Error::from_raw_os_error(number)));
    assert!(again_if_interrupted(failed(4), &cx).is_pending(), "EINTR");
    assert_eq!(wakes.0.load(Ordering::SeqCst), 1, "it is polled again");
    assert!(
        matches!(again_if_interrupted(failed(104), &cx), Poll::Ready(Err(_))),
        "ECONNRESET"
    );
    assert!(matches!(
        again_if_interrupted(Poll::Ready(Ok(3)), &cx),
        Poll::Ready(Ok(3))
    ));
    assert!(again_if_interrupted(Poll::<io::Result<usize>>::Pending, &cx).is_pending());
    assert_eq!(wakes.0.load(Ordering::SeqCst), 1, "no further wake");
}

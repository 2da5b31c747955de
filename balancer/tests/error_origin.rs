//! The classification of system call errors by their origin.

use frostkeel_balancer::error_origin::ErrorOrigin::{self, Local, Peer, Transient};
use frostkeel_balancer::error_origin::retry_if_interrupted;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, Wake, Waker};

/// A shortage on this machine must not count against an upstream. A connection that is aborted
/// before it is accepted must not prevent the next ones in the queue from being accepted.
#[test]
fn classifies_system_errors_by_origin() {
    // Error number, name, origin of an error on a connection, origin of an error of `accept`.
    let errors = [
        (1, "EPERM", Local, Local),
        (4, "EINTR", Transient, Transient),
        (11, "EAGAIN", Local, Local),
        (12, "ENOMEM", Local, Local),
        (13, "EACCES", Local, Local),
        (23, "ENFILE", Local, Local),
        (24, "EMFILE", Local, Local),
        (32, "EPIPE", Peer, Local),
        (71, "EPROTO", Peer, Transient),
        (98, "EADDRINUSE", Local, Local),
        (99, "EADDRNOTAVAIL", Local, Local),
        (100, "ENETDOWN", Local, Transient),
        (101, "ENETUNREACH", Local, Transient),
        (103, "ECONNABORTED", Peer, Transient),
        (104, "ECONNRESET", Peer, Local),
        (105, "ENOBUFS", Local, Local),
        (110, "ETIMEDOUT", Peer, Local),
        (111, "ECONNREFUSED", Peer, Local),
        (113, "EHOSTUNREACH", Peer, Transient),
    ];
    for (number, name, connection, accept) in errors {
        let error = io::Error::from_raw_os_error(number);
        assert_eq!(
            ErrorOrigin::of(&error),
            connection,
            "{name} on a connection"
        );
        assert_eq!(ErrorOrigin::of_accept(&error), accept, "{name} of `accept`");
    }
}

#[derive(Default)]
struct WakeCounter(AtomicUsize);

impl Wake for WakeCounter {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

/// A call that a signal interrupts must be retried, not treated as the end of the connection. All
/// other results must be returned unchanged.
#[test]
fn retries_an_interrupted_call() {
    let wakes = Arc::new(WakeCounter::default());
    let waker = Waker::from(Arc::clone(&wakes));
    let context = Context::from_waker(&waker);
    let failed = |number| Poll::Ready(Err::<usize, _>(io::Error::from_raw_os_error(number)));
    assert!(
        retry_if_interrupted(failed(4), &context).is_pending(),
        "EINTR"
    );
    assert_eq!(
        wakes.0.load(Ordering::SeqCst),
        1,
        "the task is woken to retry"
    );
    assert!(
        matches!(
            retry_if_interrupted(failed(104), &context),
            Poll::Ready(Err(_))
        ),
        "ECONNRESET"
    );
    assert!(matches!(
        retry_if_interrupted(Poll::Ready(Ok(3)), &context),
        Poll::Ready(Ok(3))
    ));
    assert!(retry_if_interrupted(Poll::<io::Result<usize>>::Pending, &context).is_pending());
    assert_eq!(
        wakes.0.load(Ordering::SeqCst),
        1,
        "the task is not woken again"
    );
}

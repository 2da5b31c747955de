//! Accepting client connections, and how long each of them may have waited in the accept queue.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{unconstrained, yield_now};
use tokio::time::Instant;

/// The shortest time in the accept queue that counts.
const MIN_QUEUE_TIME: Duration = Duration::from_millis(5);

/// An accepted connection.
pub(super) struct AcceptedConnection {
    pub(super) stream: TcpStream,
    /// The earliest time at which the kernel can have established the connection. A request on it may have been received
    /// since then, although it could be read only after the accept.
    pub(super) queued_since: Instant,
}

/// The listener for clients, with the age of its accept queue.
pub(super) struct AcceptQueue {
    listener: TcpListener,
    /// When the queue was last known to be empty.
    empty_at: Cell<Instant>,
}

impl AcceptQueue {
    pub(super) fn new(listener: TcpListener) -> Self {
        Self {
            listener,
            empty_at: Cell::new(Instant::now()),
        }
    }

    /// Accepts the next connection, and waits for one if the queue is empty.
    pub(super) async fn accept(&self) -> io::Result<AcceptedConnection> {
        let mut has_waited = false;
        let accept = poll_fn(|cx| {
            let accepted = self.listener.poll_accept(cx);
            has_waited |= accepted.is_pending();
            accepted
        });
        // Without the runtime's limit on consecutive polls, an accept is pending only if the queue is empty.
        let accepted = unconstrained(accept).await;
        // A connection for which this call had to wait is accepted as soon as it is established.
        if has_waited {
            self.empty_at.set(Instant::now());
        }
        let (stream, _) = accepted?;
        Ok(AcceptedConnection {
            stream,
            queued_since: self.empty_at.get(),
        })
    }

    /// Accepts a connection from the queue without waiting for a new one; `None` if the queue is empty.
    pub(super) async fn accept_waiting(&self) -> Option<io::Result<AcceptedConnection>> {
        tokio::select! {
            biased;
            accepted = self.accept() => Some(accepted),
            () = yield_now() => None,
        }
    }
}

impl AcceptedConnection {
    /// Returns the longest time that the connection can have waited in the accept queue.
    pub(super) fn max_queue_time(&self) -> Duration {
        self.queued_since.elapsed()
    }

    /// Returns since when bytes that can be read now may have been received; `None` if there are none, or if the
    /// connection did not wait.
    pub(super) async fn unread_since(&self) -> Option<Instant> {
        if self.max_queue_time() < MIN_QUEUE_TIME {
            return None;
        }
        // The yield lets the I/O driver report bytes that have already arrived.
        let has_bytes = tokio::select! {
            biased;
            _ = self.stream.readable() => true,
            () = yield_now() => false,
        };
        has_bytes.then_some(self.queued_since)
    }
}

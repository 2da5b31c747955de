//! The receiving side of a client's connection, which reads ahead of the HTTP server.
//!
//! The HTTP server reads only the current request, and unread bytes after it would hide the end of the stream. The
//! receiver therefore reads ahead, up to a limit, to detect a disconnect immediately.

use super::stream::{
    ClientState, ClientStream, MAX_BUFFERED_BYTES, MAX_SMALL_BUFFER_BYTES, ReadMode, Shared,
};
use crate::error_origin::retry_if_interrupted;
use crate::memory_budget::MemoryBudget;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::task::coop;
use tokio::time::{Instant, timeout_at};

/// The maximum number of bytes that are read at a time.
const READ_SIZE_BYTES: usize = 4 * 1024;
/// The maximum number of bytes that are discarded on one connection, after the current request or after the last
/// response.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;

/// The side that reads ahead and detects that the client disconnects.
pub(super) struct ClientReceiver {
    shared: Rc<Shared>,
    reader: OwnedReadHalf,
    discarded_bytes: usize,
    /// Whether all bytes that had been received at the first read have been read.
    has_read_all: bool,
}

/// The time in which a client must send at least [`MIN_DISCARDED_BYTES`], so that further bytes are discarded. A client that
/// sends less does not keep its connection open.
const DISCARD_INTERVAL: Duration = Duration::from_millis(150);
const MIN_DISCARDED_BYTES: usize = 4 * 1024;

/// Splits a client's connection into its two sides and its state. `unread_since` is the time since when bytes that can
/// be read now may have been received; `None` if there are none. What the client sends is reserved in `memory`.
pub(super) fn split(
    stream: TcpStream,
    unread_since: Option<Instant>,
    memory: &Arc<MemoryBudget>,
) -> (ClientStream, ClientReceiver, ClientState) {
    let (reader, writer) = stream.into_split();
    let shared = Shared::new(unread_since, memory);
    let receiver = ClientReceiver {
        shared: Rc::clone(&shared),
        reader,
        discarded_bytes: 0,
        has_read_all: false,
    };
    let stream = ClientStream::new(Rc::clone(&shared), writer);
    (stream, receiver, ClientState::new(shared))
}

impl ClientReceiver {
    /// Reads ahead until the client has closed the connection or shut down its sending side.
    pub(super) async fn disconnected(&mut self) {
        poll_fn(|cx| self.poll_disconnected(cx)).await;
    }

    fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.shared.ended.borrow().is_none() {
            let is_full =
                self.shared.buffer.borrow().len() + READ_SIZE_BYTES > MAX_SMALL_BUFFER_BYTES;
            if is_full && self.shared.mode.get() == ReadMode::Buffering {
                *self.shared.receiver_waker.borrow_mut() = Some(cx.waker().clone());
                return Poll::Pending;
            }
            let mut space = [0; READ_SIZE_BYTES];
            let mut read = ReadBuf::new(&mut space);
            match retry_if_interrupted(Pin::new(&mut self.reader).poll_read(cx, &mut read), cx) {
                Poll::Pending => {
                    self.has_read_all = self.shared.last_byte_at.get().is_some();
                    // The runtime's limit on consecutive reads makes a read pending although more can be read.
                    self.shared.set_caught_up(coop::has_budget_remaining());
                    return Poll::Pending;
                }
                Poll::Ready(Err(error)) => self.shared.end(Err(error.kind())),
                Poll::Ready(Ok(())) if read.filled().is_empty() => self.shared.end(Ok(())),
                Poll::Ready(Ok(())) => self.on_bytes(read.filled()),
            }
        }
        Poll::Ready(())
    }

    /// Buffers received bytes for the HTTP server. If the client exceeds the buffer while a response is pending,
    /// discards all further bytes, because pausing at a full buffer would hide the end of the stream.
    fn on_bytes(&mut self, bytes: &[u8]) {
        let shared = &self.shared;
        shared.last_byte_at.set(Some(Instant::now()));
        shared.set_caught_up(false);
        if self.has_read_all {
            shared.unread_since.set(None);
        }
        let length = shared.buffer.borrow().len() + bytes.len();
        let is_full = length > MAX_BUFFERED_BYTES || !shared.has_buffer_memory(length);
        if is_full && shared.mode.get() == ReadMode::Responding {
            shared.mode.set(ReadMode::Discarding);
        }
        if shared.mode.get() == ReadMode::Discarding {
            self.discarded_bytes += bytes.len();
            if self.discarded_bytes > MAX_DISCARDED_BYTES {
                shared.end(Err(io::ErrorKind::ConnectionAborted));
            }
            return;
        }
        shared.buffer.borrow_mut().extend_from_slice(bytes);
        shared
            .head_since
            .set(shared.head_since.get().or_else(|| Some(Instant::now())));
        shared.wake_server();
    }

    /// Writes a response to a client whose request the HTTP server cannot read. Nothing may have been written of another
    /// response.
    pub(super) fn respond(&self, response: &[u8]) {
        // If the write fails, the client has left, or does not read.
        let _ = self.reader.as_ref().try_write(response);
    }

    /// Discards further bytes until the client closes the connection, sends slowly, or `max_time` has passed. Closing a
    /// connection with unread bytes resets it, and the reset may discard the last response. The direction to the client
    /// must have been shut down before.
    pub(super) async fn discard_rest(mut self, max_time: Duration) {
        let end = Instant::now() + max_time;
        loop {
            let discarded_before = self.discarded_bytes;
            let until = (Instant::now() + DISCARD_INTERVAL).min(end);
            let has_ended = timeout_at(until, poll_fn(|cx| self.poll_discard(cx))).await;
            let is_slow = self.discarded_bytes - discarded_before < MIN_DISCARDED_BYTES;
            if has_ended.is_ok() || is_slow || Instant::now() >= end {
                return;
            }
        }
    }

    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.shared.mode.set(ReadMode::Discarding);
        self.poll_disconnected(cx)
    }
}

//! The two sides of a client's connection: the stream for the HTTP server, and the receiver that fills its buffer.
//!
//! This file has the stream and the state that both sides share.

use crate::error_origin::retry_if_interrupted;
use crate::head_memory::{HeadMemory, MAX_READ_BYTES};
use crate::memory_budget::{MemoryBudget, MemoryReservation, MemoryUse};
use bytes::{Buf, BytesMut};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;

/// The maximum number of bytes that are read ahead within the memory of every connection.
pub(super) const MAX_SMALL_BUFFER_BYTES: usize = 8 * 1024;
/// The maximum number of bytes that are read ahead while a response is pending.
pub(super) const MAX_BUFFERED_BYTES: usize = 32 * 1024;
/// The memory that is reserved for more than [`MAX_SMALL_BUFFER_BYTES`]. The buffer doubles as it grows.
const LARGE_BUFFER_BYTES: usize = 2 * MAX_BUFFERED_BYTES;

/// The way in which received bytes are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadMode {
    /// Bytes are buffered. When the small buffer is full, reading pauses until the HTTP server has taken some.
    Buffering,
    /// Bytes are buffered while a response is pending. The HTTP server reads nothing during that time, so when the
    /// buffer is full, or there is no memory for a larger one, the client counts as flooding, and the mode changes to
    /// [`Self::Discarding`].
    Responding,
    /// Bytes are discarded, because the client has exceeded the buffer or no further request will be read.
    Discarding,
}

/// The state shared by both sides of a connection.
pub(super) struct Shared {
    /// The bytes that were read ahead.
    pub(super) buffer: RefCell<BytesMut>,
    /// The reservation for a buffer of more than [`MAX_SMALL_BUFFER_BYTES`]; `None` while it is smaller.
    buffer_memory: RefCell<Option<MemoryReservation>>,
    memory: Arc<MemoryBudget>,
    /// The memory of the request head that the HTTP server is receiving.
    head: HeadMemory,
    /// The result with which reading ended: the end of the stream, or an error. `None` while it continues.
    pub(super) ended: RefCell<Option<Result<(), io::ErrorKind>>>,
    /// Wakes the HTTP server when bytes have been received.
    server_waker: RefCell<Option<Waker>>,
    /// Wakes the receiver when the buffer has space again.
    pub(super) receiver_waker: RefCell<Option<Waker>>,
    /// Whether all bytes that have been received have been read, so that the end of the stream cannot be hidden behind them.
    has_caught_up: Cell<bool>,
    /// Wakes the request that waits until all received bytes have been read.
    caught_up_waker: RefCell<Option<Waker>>,
    pub(super) mode: Cell<ReadMode>,
    /// Since when bytes of an incomplete request are available; `None` if there are none.
    pub(super) head_since: Cell<Option<Instant>>,
    /// When bytes were last received; `None` if there were none.
    pub(super) last_byte_at: Cell<Option<Instant>>,
    /// Since when the bytes that were read first may have been received. They can be older than their read if the
    /// connection waited in the accept queue. `None` once further bytes have been received.
    pub(super) unread_since: Cell<Option<Instant>>,
    /// Whether anything has been written to the client.
    has_written: Cell<bool>,
    /// Since when a write has been blocked because the client reads nothing; `None` if no write is blocked.
    write_blocked_since: Cell<Option<Instant>>,
}

/// The side that the HTTP server reads and writes. Dropping it shuts down the direction to the client.
pub(super) struct ClientStream {
    shared: Rc<Shared>,
    writer: OwnedWriteHalf,
}

/// A handle to the connection's shared state, for the task that serves the connection.
#[derive(Clone)]
pub(super) struct ClientState(Rc<Shared>);

impl ClientState {
    pub(super) fn new(shared: Rc<Shared>) -> Self {
        Self(shared)
    }

    /// Returns whether the client has closed the connection or shut down its sending side.
    pub(super) fn has_disconnected(&self) -> bool {
        self.0.ended.borrow().is_some()
    }

    /// Records that a response is now pending, or no longer pending. Bytes received from now on, and those in the
    /// buffer, belong to the next request.
    pub(super) fn set_responding(&self, is_responding: bool) {
        if self.0.mode.get() != ReadMode::Discarding {
            self.0.mode.set(if is_responding {
                ReadMode::Responding
            } else {
                ReadMode::Buffering
            });
        }
        self.0.wake_receiver();
        let has_bytes = !self.0.buffer.borrow().is_empty();
        self.0.head_since.set(has_bytes.then(Instant::now));
    }

    /// Waits until all bytes that have been received have been read. The mode must let the receiver read on although the
    /// HTTP server reads nothing.
    pub(super) async fn caught_up(&self) {
        poll_fn(|cx| {
            if self.0.has_caught_up.get() {
                return Poll::Ready(());
            }
            *self.0.caught_up_waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Returns since when bytes of an incomplete request are available; `None` if there are none.
    pub(super) fn head_since(&self) -> Option<Instant> {
        self.0.head_since.get()
    }

    /// Returns when bytes were last received; `None` if there were none.
    pub(super) fn last_byte_at(&self) -> Option<Instant> {
        self.0.last_byte_at.get()
    }

    /// Returns since when the bytes received so far may have waited to be read; `None` if they were read as soon as they
    /// were received, or if this has been called before.
    pub(super) fn take_unread_since(&self) -> Option<Instant> {
        self.0.unread_since.take()
    }

    /// Returns whether bytes from the client are discarded, so that no further request can be read.
    pub(super) fn is_flooded(&self) -> bool {
        self.0.mode.get() == ReadMode::Discarding
    }

    /// Records that a request head is awaited from now on, or that it has been received.
    pub(super) fn set_awaiting_head(&self, is_awaiting: bool) {
        if is_awaiting {
            self.0.head.begin();
        } else {
            self.0.head.complete();
        }
    }

    /// Records that a long response head of this length is sent.
    pub(super) fn send_long_head(&self, length: usize) {
        self.0.head.send_long(length);
    }

    /// Returns whether a long head has been received or sent, so that the connection's buffers have grown.
    pub(super) fn has_long_head(&self) -> bool {
        self.0.head.is_long()
    }

    /// Returns whether there was no memory for a request head, so that the request cannot be read.
    pub(super) fn is_head_refused(&self) -> bool {
        self.0.head.is_refused()
    }

    /// Returns whether anything has been written to the client.
    pub(super) fn has_written(&self) -> bool {
        self.0.has_written.get()
    }

    /// Returns since when a write has been blocked because the client reads nothing; `None` if no write is blocked.
    pub(super) fn write_blocked_since(&self) -> Option<Instant> {
        self.0.write_blocked_since.get()
    }
}

impl Shared {
    /// Creates the state of a connection on which a request head is awaited.
    pub(super) fn new(unread_since: Option<Instant>, memory: &Arc<MemoryBudget>) -> Rc<Self> {
        let head = HeadMemory::new(memory, MemoryUse::Request);
        head.begin();
        Rc::new(Self {
            buffer: RefCell::default(),
            buffer_memory: RefCell::default(),
            memory: Arc::clone(memory),
            head,
            ended: RefCell::default(),
            server_waker: RefCell::default(),
            receiver_waker: RefCell::default(),
            has_caught_up: Cell::new(false),
            caught_up_waker: RefCell::default(),
            mode: Cell::new(ReadMode::Buffering),
            head_since: Cell::new(None),
            last_byte_at: Cell::new(None),
            unread_since: Cell::new(unread_since),
            has_written: Cell::new(false),
            write_blocked_since: Cell::new(None),
        })
    }

    pub(super) fn end(&self, result: Result<(), io::ErrorKind>) {
        *self.ended.borrow_mut() = Some(result);
        self.set_caught_up(true);
        self.wake_server();
    }

    /// Returns whether there is memory to buffer this number of bytes.
    pub(super) fn has_buffer_memory(&self, bytes: usize) -> bool {
        let mut reservation = self.buffer_memory.borrow_mut();
        if bytes > MAX_SMALL_BUFFER_BYTES && reservation.is_none() {
            *reservation = self
                .memory
                .try_reserve(MemoryUse::Request, LARGE_BUFFER_BYTES);
        }
        bytes <= MAX_SMALL_BUFFER_BYTES || reservation.is_some()
    }

    /// Records whether all bytes that have been received have been read.
    pub(super) fn set_caught_up(&self, has_caught_up: bool) {
        self.has_caught_up.set(has_caught_up);
        if has_caught_up && let Some(waker) = self.caught_up_waker.borrow_mut().take() {
            waker.wake();
        }
    }

    fn wake_receiver(&self) {
        if let Some(waker) = self.receiver_waker.borrow_mut().take() {
            waker.wake();
        }
    }

    pub(super) fn wake_server(&self) {
        if let Some(waker) = self.server_waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let shared = &self.shared;
        let mut buffer = shared.buffer.borrow_mut();
        if buffer.is_empty() {
            return match *shared.ended.borrow() {
                Some(Ok(())) => Poll::Ready(Ok(())),
                Some(Err(kind)) => Poll::Ready(Err(kind.into())),
                None => {
                    *shared.server_waker.borrow_mut() = Some(cx.waker().clone());
                    Poll::Pending
                }
            };
        }
        let count = buffer.len().min(buf.remaining()).min(MAX_READ_BYTES);
        if !shared.head.receive(count) {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        buf.put_slice(&buffer[..count]);
        buffer.advance(count);
        if buffer.is_empty() {
            *buffer = BytesMut::new();
            shared.buffer_memory.take();
        }
        shared.wake_receiver();
        Poll::Ready(Ok(()))
    }
}

impl ClientStream {
    pub(super) fn new(shared: Rc<Shared>, writer: OwnedWriteHalf) -> Self {
        Self { shared, writer }
    }

    /// Records whether a write is blocked, and returns its result unchanged.
    fn record_write<T>(&self, poll: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        let since = &self.shared.write_blocked_since;
        match poll {
            Poll::Pending if since.get().is_none() => since.set(Some(Instant::now())),
            Poll::Pending => {}
            Poll::Ready(_) => {
                since.set(None);
                self.shared.has_written.set(true);
            }
        }
        poll
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.writer).poll_write(cx, buf);
        self.record_write(retry_if_interrupted(poll, cx))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.writer).poll_write_vectored(cx, bufs);
        self.record_write(retry_if_interrupted(poll, cx))
    }

    fn is_write_vectored(&self) -> bool {
        self.writer.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(cx)
    }
}

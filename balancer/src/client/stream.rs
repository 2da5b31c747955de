//! The two sides of a client's connection: the stream for the HTTP server, and the receiver that fills its buffer.
//!
//! The HTTP server reads only the current request, and unread bytes after it would hide the end of the stream. The
//! receiver therefore reads ahead, up to a limit, to detect a disconnect immediately.

use crate::error_origin::retry_if_interrupted;
use bytes::{Buf, BytesMut};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, timeout};

/// The maximum number of bytes that are read ahead.
const MAX_BUFFERED_BYTES: usize = 32 * 1024;
/// The maximum number of bytes that are read at a time.
const READ_SIZE_BYTES: usize = 4 * 1024;
/// The maximum number of bytes that are discarded on one connection, after the current request or after the last
/// response.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;

/// The way in which received bytes are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadMode {
    /// Bytes are buffered. When the buffer is full, reading pauses until the HTTP server has taken some.
    Buffering,
    /// Bytes are buffered while a response is pending. The HTTP server reads nothing during that time, so when the
    /// buffer is full the client counts as flooding, and the mode changes to [`Self::Discarding`].
    Responding,
    /// Bytes are discarded, because the client has exceeded the buffer or no further request will be read.
    Discarding,
}

/// The state shared by both sides of a connection.
struct Shared {
    /// The bytes that were read ahead.
    buffer: RefCell<BytesMut>,
    /// The result with which reading ended: the end of the stream, or an error. `None` while it continues.
    ended: RefCell<Option<Result<(), io::ErrorKind>>>,
    /// Wakes the HTTP server when bytes have been received.
    server_waker: RefCell<Option<Waker>>,
    /// Wakes the receiver when the buffer has space again.
    receiver_waker: RefCell<Option<Waker>>,
    mode: Cell<ReadMode>,
    /// Since when bytes of an incomplete request are available; `None` if there are none.
    head_since: Cell<Option<Instant>>,
    /// When bytes were last received; `None` if there were none.
    last_byte_at: Cell<Option<Instant>>,
    /// Since when the bytes that were read first may have been received. They can be older than their read if the
    /// connection waited in the accept queue. `None` once further bytes have been received.
    unread_since: Cell<Option<Instant>>,
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

/// The side that reads ahead and detects that the client disconnects.
pub(super) struct ClientReceiver {
    shared: Rc<Shared>,
    reader: OwnedReadHalf,
    discarded_bytes: usize,
    /// Whether all bytes that had been received at the first read have been read.
    has_read_all: bool,
}

/// A handle to the connection's shared state, for the task that serves the connection.
#[derive(Clone)]
pub(super) struct ClientState(Rc<Shared>);

/// Splits a client's connection into its two sides and its state. `unread_since` is the time since when bytes that can
/// be read now may have been received; `None` if there are none.
pub(super) fn split(
    stream: TcpStream,
    unread_since: Option<Instant>,
) -> (ClientStream, ClientReceiver, ClientState) {
    let (reader, writer) = stream.into_split();
    let shared = Rc::new(Shared {
        buffer: RefCell::default(),
        ended: RefCell::default(),
        server_waker: RefCell::default(),
        receiver_waker: RefCell::default(),
        mode: Cell::new(ReadMode::Buffering),
        head_since: Cell::new(None),
        last_byte_at: Cell::new(None),
        unread_since: Cell::new(unread_since),
        has_written: Cell::new(false),
        write_blocked_since: Cell::new(None),
    });
    let stream = ClientStream {
        shared: Rc::clone(&shared),
        writer,
    };
    let state = ClientState(Rc::clone(&shared));
    (
        stream,
        ClientReceiver {
            shared,
            reader,
            discarded_bytes: 0,
            has_read_all: false,
        },
        state,
    )
}

impl ClientState {
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
    fn end(&self, result: Result<(), io::ErrorKind>) {
        *self.ended.borrow_mut() = Some(result);
        self.wake_server();
    }

    fn wake_receiver(&self) {
        if let Some(waker) = self.receiver_waker.borrow_mut().take() {
            waker.wake();
        }
    }

    fn wake_server(&self) {
        if let Some(waker) = self.server_waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

impl ClientReceiver {
    /// Reads ahead until the client has closed the connection or shut down its sending side.
    pub(super) async fn disconnected(&mut self) {
        poll_fn(|cx| self.poll_disconnected(cx)).await;
    }

    fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.shared.ended.borrow().is_none() {
            let is_full = self.shared.buffer.borrow().len() >= MAX_BUFFERED_BYTES;
            if is_full && self.shared.mode.get() == ReadMode::Buffering {
                *self.shared.receiver_waker.borrow_mut() = Some(cx.waker().clone());
                return Poll::Pending;
            }
            let mut space = [0; READ_SIZE_BYTES];
            let mut read = ReadBuf::new(&mut space);
            match retry_if_interrupted(Pin::new(&mut self.reader).poll_read(cx, &mut read), cx) {
                Poll::Pending => {
                    self.has_read_all = self.shared.last_byte_at.get().is_some();
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
        if self.has_read_all {
            shared.unread_since.set(None);
        }
        let is_full = shared.buffer.borrow().len() + bytes.len() > MAX_BUFFERED_BYTES;
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

    /// Discards further bytes until the client closes the connection or `max_time` has passed. Closing a connection
    /// with unread bytes resets it, and the reset may discard the last response. The direction to the client must have
    /// been shut down before.
    pub(super) async fn discard_rest(mut self, max_time: Duration) {
        // After a timeout, the connection is closed although the client still sends or keeps it open.
        let _ = timeout(max_time, poll_fn(|cx| self.poll_discard(cx))).await;
    }

    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.shared.mode.set(ReadMode::Discarding);
        self.poll_disconnected(cx)
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
        let count = buffer.len().min(buf.remaining());
        buf.put_slice(&buffer[..count]);
        buffer.advance(count);
        shared.wake_receiver();
        Poll::Ready(Ok(()))
    }
}

impl ClientStream {
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

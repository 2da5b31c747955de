//! A client's connection as the HTTP server sees it, with read-ahead.
//!
//! The server reads only what it needs for the current request. Unread bytes after that request would hide the end of
//! the stream. The watch therefore reads ahead, up to a limit, and detects a disconnect immediately.

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

/// The read-ahead limit.
const MAX_READ_AHEAD: usize = 32 * 1024;
/// The size of one read.
const READ_SIZE: usize = 4 * 1024;
/// The most bytes discarded on one connection, after the current request or after the last response.
const MAX_DISCARDED: usize = 1024 * 1024;

/// How received bytes are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadMode {
    /// Bytes are buffered; when the buffer is full, reading waits for the server.
    Buffering,
    /// Bytes are buffered while a response is pending. The server reads nothing then, so a full buffer means a flood.
    Responding,
    /// Bytes are discarded: the client has exceeded the buffer, or no further request will be read.
    Discarding,
}

/// State shared by both sides of a connection.
struct Shared {
    buffer: RefCell<BytesMut>,
    /// How reading ended: cleanly, or with an error; `None` while it continues.
    ended: RefCell<Option<Result<(), io::ErrorKind>>>,
    /// Wakes the server when bytes have been received.
    server_waker: RefCell<Option<Waker>>,
    /// Wakes the watch when the buffer has space.
    watch_waker: RefCell<Option<Waker>>,
    mode: Cell<ReadMode>,
    /// When the first byte of an incomplete head was received.
    head_since: Cell<Option<Instant>>,
    /// Since when the client has read no byte of a pending write.
    write_blocked_since: Cell<Option<Instant>>,
}

/// The side that the HTTP server reads and writes. Dropping it shuts down the sending side.
pub(super) struct ClientStream {
    shared: Rc<Shared>,
    writer: OwnedWriteHalf,
}

/// The side that reads ahead and detects that the client disconnects.
pub(super) struct ClientWatch {
    shared: Rc<Shared>,
    reader: OwnedReadHalf,
    discarded_bytes: usize,
}

/// A view of the connection's state, for the task that serves it.
#[derive(Clone)]
pub(super) struct ClientState(Rc<Shared>);

/// Splits a client's connection into its two sides and its state.
pub(super) fn split(stream: TcpStream) -> (ClientStream, ClientWatch, ClientState) {
    let (reader, writer) = stream.into_split();
    let shared = Rc::new(Shared {
        buffer: RefCell::default(),
        ended: RefCell::default(),
        server_waker: RefCell::default(),
        watch_waker: RefCell::default(),
        mode: Cell::new(ReadMode::Buffering),
        head_since: Cell::new(None),
        write_blocked_since: Cell::new(None),
    });
    let stream = ClientStream {
        shared: Rc::clone(&shared),
        writer,
    };
    let state = ClientState(Rc::clone(&shared));
    (
        stream,
        ClientWatch {
            shared,
            reader,
            discarded_bytes: 0,
        },
        state,
    )
}

impl ClientState {
    /// Whether the client has closed the connection or shut down its sending side.
    pub(super) fn has_disconnected(&self) -> bool {
        self.0.ended.borrow().is_some()
    }

    /// Records that a request has been read completely or responded to: later bytes belong to the next request.
    pub(super) fn set_responding(&self, is_responding: bool) {
        if self.0.mode.get() != ReadMode::Discarding {
            self.0.mode.set(if is_responding {
                ReadMode::Responding
            } else {
                ReadMode::Buffering
            });
        }
        self.0.wake_watch();
        let has_bytes = !self.0.buffer.borrow().is_empty();
        self.0.head_since.set(has_bytes.then(Instant::now));
    }

    /// When the first byte of a further, incomplete head was received.
    pub(super) fn head_since(&self) -> Option<Instant> {
        self.0.head_since.get()
    }

    /// Whether bytes from the client were discarded: no further request can be read.
    pub(super) fn is_flooded(&self) -> bool {
        self.0.mode.get() == ReadMode::Discarding
    }

    /// Since when the client has read no byte of a pending write.
    pub(super) fn write_blocked_since(&self) -> Option<Instant> {
        self.0.write_blocked_since.get()
    }
}

impl Shared {
    fn end(&self, how: Result<(), io::ErrorKind>) {
        *self.ended.borrow_mut() = Some(how);
        self.wake_server();
    }

    fn wake_watch(&self) {
        if let Some(watch) = self.watch_waker.borrow_mut().take() {
            watch.wake();
        }
    }

    fn wake_server(&self) {
        if let Some(server) = self.server_waker.borrow_mut().take() {
            server.wake();
        }
    }
}

impl ClientWatch {
    /// Reads ahead until the client has closed the connection or shut down its sending side.
    pub(super) async fn disconnected(&mut self) {
        poll_fn(|cx| self.poll_disconnected(cx)).await;
    }

    fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.shared.ended.borrow().is_none() {
            let is_full = self.shared.buffer.borrow().len() >= MAX_READ_AHEAD;
            if is_full && self.shared.mode.get() == ReadMode::Buffering {
                *self.shared.watch_waker.borrow_mut() = Some(cx.waker().clone());
                return Poll::Pending;
            }
            let mut space = [0; READ_SIZE];
            let mut read = ReadBuf::new(&mut space);
            match retry_if_interrupted(Pin::new(&mut self.reader).poll_read(cx, &mut read), cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(error)) => self.shared.end(Err(error.kind())),
                Poll::Ready(Ok(())) if read.filled().is_empty() => self.shared.end(Ok(())),
                Poll::Ready(Ok(())) => self.on_bytes(read.filled()),
            }
        }
        Poll::Ready(())
    }

    /// Buffers received bytes for the server. A client that exceeds the buffer during a request is flooding: the rest
    /// is discarded, because a full buffer would hide the end of the stream.
    fn on_bytes(&mut self, bytes: &[u8]) {
        let shared = &self.shared;
        let is_full = shared.buffer.borrow().len() + bytes.len() > MAX_READ_AHEAD;
        if is_full && shared.mode.get() == ReadMode::Responding {
            shared.mode.set(ReadMode::Discarding);
        }
        if shared.mode.get() == ReadMode::Discarding {
            self.discarded_bytes += bytes.len();
            if self.discarded_bytes > MAX_DISCARDED {
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

    /// Discards further bytes until the client closes or the time is over: closing a connection with unread bytes
    /// resets it, and the reset may discard the last response. The sending side must be shut down before.
    pub(super) async fn discard_rest(mut self, max_time: Duration) {
        // A client that keeps sending, or keeps the connection open, is closed after the timeout.
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
        shared.wake_watch();
        Poll::Ready(Ok(()))
    }
}

impl ClientStream {
    fn note_write<T>(&self, poll: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        let since = &self.shared.write_blocked_since;
        match poll {
            Poll::Pending if since.get().is_none() => since.set(Some(Instant::now())),
            Poll::Pending => {}
            Poll::Ready(_) => since.set(None),
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
        self.note_write(retry_if_interrupted(poll, cx))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.writer).poll_write_vectored(cx, bufs);
        self.note_write(retry_if_interrupted(poll, cx))
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

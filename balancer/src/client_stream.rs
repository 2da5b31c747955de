//! A client's connection as the HTTP server sees it, read ahead of the server.
//!
//! The server reads only what it needs for the request in hand. Bytes that wait behind that request would hide the
//! end of the connection, so whoever watches the connection reads ahead, up to a bound, and learns of the end at once.

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

/// The most that is read ahead of the server.
const READ_AHEAD_MOST: usize = 32 * 1024;
/// How much room a read is given.
const READ_SIZE: usize = 4 * 1024;
/// The most that is read and thrown away on one connection, behind a request in hand or after the last answer.
const DISCARD_MOST: usize = 1024 * 1024;

/// What both sides of a connection know of it.
struct Shared {
    ahead: RefCell<BytesMut>,
    /// How reading ended, once it has: cleanly, or by what error.
    ended: RefCell<Option<Result<(), io::ErrorKind>>>,
    /// The server, where it waits for bytes.
    server: RefCell<Option<Waker>>,
    /// The watch, where it waits for room.
    watch: RefCell<Option<Waker>>,
    /// The request in hand is read whole: the server takes nothing more before it has answered.
    answering: Cell<bool>,
    /// More came behind a request in hand than is read ahead, and was thrown away.
    flooded: Cell<bool>,
    /// When the first byte came of a head that is not whole yet.
    head_since: Cell<Option<Instant>>,
    /// Since when the peer has taken no byte of an answer that waits to be written.
    write_blocked_since: Cell<Option<Instant>>,
}

/// The side of the connection that the HTTP server reads and writes. Dropping it ends the sending.
pub struct ClientStream {
    shared: Rc<Shared>,
    writer: OwnedWriteHalf,
}

/// The side that reads ahead and sees the client go.
pub struct ClientWatch {
    shared: Rc<Shared>,
    reader: OwnedReadHalf,
    discarded: usize,
}

/// What can be asked of a connection at any time.
#[derive(Clone)]
pub struct ClientState(Rc<Shared>);

/// The two sides of a client's connection, and what can be asked of it.
pub fn split(stream: TcpStream) -> (ClientStream, ClientWatch, ClientState) {
    let (reader, writer) = stream.into_split();
    let shared = Rc::new(Shared {
        ahead: RefCell::default(),
        ended: RefCell::default(),
        server: RefCell::default(),
        watch: RefCell::default(),
        answering: Cell::new(false),
        flooded: Cell::new(false),
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
            discarded: 0,
        },
        state,
    )
}

impl ClientState {
    /// Whether the client has closed the connection or ended its sending.
    pub fn has_left(&self) -> bool {
        self.0.ended.borrow().is_some()
    }

    /// A request has been read whole, or answered: what comes from here on is the next one's.
    pub fn set_answering(&self, answering: bool) {
        self.0.answering.set(answering);
        self.0.wake_watch();
        let waiting = !self.0.ahead.borrow().is_empty();
        self.0.head_since.set(waiting.then(Instant::now));
    }

    /// When the first byte came of a further request that has not begun yet.
    pub fn head_since(&self) -> Option<Instant> {
        self.0.head_since.get()
    }

    /// Whether part of what the client sent was thrown away: no further request can be read from it.
    pub fn is_flooded(&self) -> bool {
        self.0.flooded.get()
    }

    /// Since when the client has taken nothing of an answer that waits to be written.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.0.write_blocked_since.get()
    }
}

impl Shared {
    fn end(&self, how: Result<(), io::ErrorKind>) {
        *self.ended.borrow_mut() = Some(how);
        self.wake_server();
    }

    fn wake_watch(&self) {
        if let Some(watch) = self.watch.borrow_mut().take() {
            watch.wake();
        }
    }

    fn wake_server(&self) {
        if let Some(server) = self.server.borrow_mut().take() {
            server.wake();
        }
    }
}

impl ClientWatch {
    /// Waits until the client has closed the connection or ended its sending, and reads ahead meanwhile.
    pub async fn left(&mut self) {
        poll_fn(|cx| self.poll_left(cx)).await;
    }

    fn poll_left(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.shared.ended.borrow().is_none() {
            let full = self.shared.ahead.borrow().len() >= READ_AHEAD_MOST;
            if full && !self.shared.answering.get() && !self.shared.flooded.get() {
                *self.shared.watch.borrow_mut() = Some(cx.waker().clone());
                return Poll::Pending;
            }
            let mut space = [0; READ_SIZE];
            let mut read = ReadBuf::new(&mut space);
            match retry_if_interrupted(Pin::new(&mut self.reader).poll_read(cx, &mut read), cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(e)) => self.shared.end(Err(e.kind())),
                Poll::Ready(Ok(())) if read.filled().is_empty() => self.shared.end(Ok(())),
                Poll::Ready(Ok(())) => self.take_in(read.filled()),
            }
        }
        Poll::Ready(())
    }

    /// Keeps what has come for the server. Whoever sends so much behind a request in hand is not heard any further:
    /// the rest is thrown away, as the end of the connection would not be seen behind it.
    fn take_in(&mut self, bytes: &[u8]) {
        let shared = &self.shared;
        let full = shared.ahead.borrow().len() + bytes.len() > READ_AHEAD_MOST;
        if shared.flooded.get() || (full && shared.answering.get()) {
            shared.flooded.set(true);
            self.discarded += bytes.len();
            if self.discarded > DISCARD_MOST {
                shared.end(Err(io::ErrorKind::ConnectionAborted));
            }
            return;
        }
        shared.ahead.borrow_mut().extend_from_slice(bytes);
        shared
            .head_since
            .set(shared.head_since.get().or_else(|| Some(Instant::now())));
        shared.wake_server();
    }

    /// Reads and throws away what still comes, until the client closes or the time is over: a connection that is
    /// closed over unread bytes is reset, and the reset may take the last answer with it. The sending must have ended.
    pub async fn discard_rest(mut self, most: Duration) {
        // Whoever goes on sending, or keeps the connection, is closed upon.
        let _ = timeout(most, poll_fn(|cx| self.poll_discard(cx))).await;
    }

    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.shared.flooded.set(true);
        self.poll_left(cx)
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let shared = &self.shared;
        let mut ahead = shared.ahead.borrow_mut();
        if ahead.is_empty() {
            return match *shared.ended.borrow() {
                Some(Ok(())) => Poll::Ready(Ok(())),
                Some(Err(kind)) => Poll::Ready(Err(kind.into())),
                None => {
                    *shared.server.borrow_mut() = Some(cx.waker().clone());
                    Poll::Pending
                }
            };
        }
        let count = ahead.len().min(buf.remaining());
        buf.put_slice(&ahead[..count]);
        ahead.advance(count);
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

//! HTTP connections to upstreams and to discovery. Each counts the bytes that the kernel has accepted for sending.

use crate::error_origin::retry_if_interrupted;
use crate::head_memory::{HeadMemory, MAX_READ_BYTES, is_long_head};
use crate::memory_budget::{MemoryBudget, MemoryUse};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// The size of a connection's buffer, which is also the maximum length of a response head. It limits the memory that a
/// peer can make the balancer use.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The time at which the first byte was received on a connection, shared between the connection and the task that
/// opened it.
#[derive(Clone, Default)]
pub struct FirstByte(Rc<Cell<Option<Instant>>>);

impl FirstByte {
    /// Returns when the first byte was received; `None` if none has been received.
    pub fn at(&self) -> Option<Instant> {
        self.0.get()
    }

    /// Records that a byte has been received now; no effect after the first call.
    fn record(&self) {
        if self.0.get().is_none() {
            self.0.set(Some(Instant::now()));
        }
    }
}

/// A stream that counts the bytes written to it. It owns the connection's permit until its descriptor is closed.
struct CountingStream<S> {
    stream: TcpStream,
    written: Rc<Cell<u64>>,
    first_byte: FirstByte,
    head: Rc<HeadMemory>,
    _permit: S,
}

impl<S> CountingStream<S> {
    fn count(&self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &poll {
            self.written.set(self.written.get() + *n as u64);
        }
        poll
    }
}

impl<S: Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Reading through an array leaves the rest of the library's buffer untouched, so that it takes no memory.
        let mut space = [0; MAX_READ_BYTES];
        let mut read = ReadBuf::new(&mut space[..MAX_READ_BYTES.min(buf.remaining())]);
        let poll = retry_if_interrupted(Pin::new(&mut self.stream).poll_read(cx, &mut read), cx);
        if read.filled().is_empty() {
            return poll;
        }
        self.first_byte.record();
        if !self.head.receive(read.filled().len()) {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        buf.put_slice(read.filled());
        poll
    }
}

impl<S: Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(retry_if_interrupted(poll, cx))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(retry_if_interrupted(poll, cx))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// An open connection. Dropping it closes the connection, even during an exchange.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    written: Rc<Cell<u64>>,
    head: Rc<HeadMemory>,
    peer: SocketAddr,
}

impl Connection {
    /// Opens a connection, which owns `permit` until its descriptor is closed.
    pub async fn open<S: Unpin + 'static>(peer: SocketAddr, permit: S) -> io::Result<Self> {
        Self::open_timed(peer, permit, FirstByte::default()).await
    }

    /// Opens a connection like [`Self::open`]; `first_byte` records when the first byte is received on it.
    pub async fn open_timed<S: Unpin + 'static>(
        peer: SocketAddr,
        permit: S,
        first_byte: FirstByte,
    ) -> io::Result<Self> {
        Self::open_with(peer, permit, first_byte, &MemoryBudget::unlimited()).await
    }

    /// Opens a connection like [`Self::open`]; long heads received on it are reserved in `budget`.
    pub async fn open_within<S: Unpin + 'static>(
        peer: SocketAddr,
        permit: S,
        budget: &Arc<MemoryBudget>,
    ) -> io::Result<Self> {
        Self::open_with(peer, permit, FirstByte::default(), budget).await
    }

    async fn open_with<S: Unpin + 'static>(
        peer: SocketAddr,
        permit: S,
        first_byte: FirstByte,
        budget: &Arc<MemoryBudget>,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(peer).await?;
        stream.set_nodelay(true)?;
        let written = Rc::new(Cell::new(0));
        let head = Rc::new(HeadMemory::new(budget, MemoryUse::Exchange));
        let io = TokioIo::new(CountingStream {
            stream,
            written: Rc::clone(&written),
            first_byte,
            head: Rc::clone(&head),
            _permit: permit,
        });
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        // The result is dropped, because the sender also reports how the connection ended.
        let task = tokio::task::spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(Self {
            sender,
            task,
            written,
            head,
            peer,
        })
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection is ready for a request; `false` if it has been closed.
    pub async fn is_usable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns whether a long head has been sent or received. The buffers of the connection have grown then, so it should
    /// not be kept for further requests.
    pub fn has_grown(&self) -> bool {
        self.head.is_long()
    }

    /// Returns the number of bytes that the kernel has accepted for sending on this connection.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Sends a request and waits for its response head.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        let length = head_length(&request);
        if is_long_head(length, request.headers()) {
            self.head.send_long(length);
        }
        self.head.begin();
        let response = self.sender.send_request(request).await;
        self.head.complete();
        response
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns the number of bytes that hyper writes for a request with a content length: request line, headers and body.
pub fn wire_length(request: &Request<Full<Bytes>>) -> u64 {
    use hyper::body::Body;
    head_length(request) as u64 + request.body().size_hint().exact().unwrap_or(0)
}

/// Returns the number of bytes that hyper writes for the request line and the headers of a request.
fn head_length(request: &Request<Full<Bytes>>) -> usize {
    let path = request
        .uri()
        .path_and_query()
        .map_or(1, |path| path.as_str().len());
    let line = request.method().as_str().len() + path + " ".len() + " HTTP/1.1\r\n".len();
    let headers = request.headers().iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    line + headers + "\r\n".len()
}

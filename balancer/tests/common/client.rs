//! A client of the balancer that the test controls.

use super::{Message, TIMEOUT};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The size requested for the buffers of sockets that must not hold a complete response.
pub const SMALL_BUFFER_BYTES: usize = 2048;

/// A client with one connection to the balancer.
pub struct Client {
    address: SocketAddr,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        Self::from_stream(address, TcpStream::connect(address).unwrap())
    }

    /// Connects with a small receive buffer, so that a long response is received only as it is
    /// read.
    pub fn connect_with_small_buffer(address: SocketAddr) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
        socket.connect(&address.into()).unwrap();
        Self::from_stream(address, TcpStream::from(socket))
    }

    fn from_stream(address: SocketAddr, stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let reader = BufReader::new(stream);
        Self { address, reader }
    }

    pub fn write(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Writes as many of the bytes as fit into the socket buffers, without waiting for the balancer
    /// to read them.
    pub fn write_nonblocking(&mut self, bytes: &[u8]) {
        let stream = self.reader.get_mut();
        stream.set_nonblocking(true).unwrap();
        let _ = stream.write_all(bytes);
        stream.set_nonblocking(false).unwrap();
    }

    /// Closes the connection immediately. Dropping the client could close it later: if another test
    /// starts a process at this moment, that process holds a copy of the descriptor until it calls
    /// `exec`.
    pub fn disconnect(self) {
        self.reader.get_ref().shutdown(Shutdown::Both).unwrap();
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let socket = SockRef::from(self.reader.get_ref());
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Closes the sending side of the connection. The client can still read.
    pub fn shutdown_write(&self) {
        self.reader.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    /// Returns whether received bytes are waiting to be read.
    pub fn has_unread_bytes(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let peeked = stream.peek(&mut [0; 1]);
        stream.set_nonblocking(false).unwrap();
        peeked.is_ok_and(|length| length > 0)
    }

    /// Reads the next response; `None` if the connection ends before a complete response.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Sends a request and reads its response. If the connection ends without a response, it sends
    /// the request again on a new connection, once, because the balancer may close idle
    /// connections.
    pub fn exchange(&mut self, request: &str) -> Message {
        if self.reader.get_mut().write_all(request.as_bytes()).is_ok()
            && let Some(response) = self.read_response()
        {
            return response;
        }
        *self = Self::connect(self.address);
        self.write(request);
        self.read_response().expect("a response")
    }

    /// Sends a request like [`Self::exchange`]. Returns the response, or `None` if there is none on the
    /// new connection either, and the time since the last byte of the request was sent.
    pub fn try_exchange(&mut self, request: &str) -> (Option<Message>, Duration) {
        if self.reader.get_mut().write_all(request.as_bytes()).is_ok() {
            let sent_at = Instant::now();
            if let Some(response) = self.read_response() {
                return (Some(response), sent_at.elapsed());
            }
        }
        *self = Self::connect(self.address);
        // The balancer may respond before it has read all of the request.
        let _ = self.reader.get_mut().write_all(request.as_bytes());
        let sent_at = Instant::now();
        (self.read_response(), sent_at.elapsed())
    }

    /// Returns whether the balancer has sent something, or has closed the connection.
    pub fn has_ended(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let peeked = stream.peek(&mut [0; 1]);
        stream.set_nonblocking(false).unwrap();
        !peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Discards the bytes that have been received.
    pub fn discard_received(&mut self) {
        let stream = self.reader.get_mut();
        stream.set_nonblocking(true).unwrap();
        while stream
            .read(&mut [0; 16 * 1024])
            .is_ok_and(|length| length > 0)
        {}
        stream.set_nonblocking(false).unwrap();
    }

    /// Closes the connection like [`Self::disconnect`], if the balancer has not closed it.
    pub fn disconnect_if_open(&mut self) {
        let _ = self.reader.get_ref().shutdown(Shutdown::Both);
    }

    /// Returns whether the balancer has closed the connection or closes it within [`TIMEOUT`]. The
    /// caller must have read all data that was sent before.
    pub fn is_closed(&mut self) -> bool {
        let read = self.reader.read(&mut [0; 1]);
        let timed_out = |kind| matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut);
        !read.is_err_and(|error| timed_out(error.kind()))
    }

    /// Returns whether the balancer sends something or closes the connection within [`TIMEOUT`].
    pub fn is_closed_or_responds(&mut self) -> bool {
        let has_responded = self.reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty());
        has_responded || self.is_closed()
    }

    /// Returns whether the connection ends normally, without further data.
    pub fn is_closed_without_data(&mut self) -> bool {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).is_ok() && rest.is_empty()
    }
}

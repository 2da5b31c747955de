//! A client of the balancer.

use super::{Message, TIMEOUT};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// The size of a receive buffer that is far smaller than a response.
const SMALL_BUFFER_BYTES: usize = 2048;

/// A client's connection.
pub struct Client {
    address: SocketAddr,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        Self::from_stream(address, TcpStream::connect(address).unwrap())
    }

    /// A connection that takes little of a response until it is read.
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

    /// Writes as much as fits into the buffers, without waiting for the other side.
    pub fn write_nonblocking(&mut self, bytes: &[u8]) {
        let stream = self.reader.get_mut();
        stream.set_nonblocking(true).unwrap();
        let _ = stream.write_all(bytes);
        stream.set_nonblocking(false).unwrap();
    }

    /// Closes the connection now. A plain drop may come later: a process that another test is just
    /// starting holds copies of all descriptors until its program runs.
    pub fn disconnect(self) {
        self.reader.get_ref().shutdown(Shutdown::Both).unwrap();
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let socket = SockRef::from(self.reader.get_ref());
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Closes the sending side; what arrives can still be read.
    pub fn shutdown_write(&self) {
        self.reader.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    /// Whether something has arrived that is not read yet.
    pub fn has_unread_bytes(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let peeked = stream.peek(&mut [0; 1]);
        stream.set_nonblocking(false).unwrap();
        peeked.is_ok_and(|length| length > 0)
    }

    /// The next response; `None` if the connection ends instead.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Sends a request and reads its response. As clients do, it sends the request once more where
    /// the connection was closed between requests.
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

    /// Whether the other side has closed the connection, or does so within [`TIMEOUT`].
    pub fn is_closed(&mut self) -> bool {
        let read = self.reader.read(&mut [0; 1]);
        let timed_out = |kind| matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut);
        !read.is_err_and(|error| timed_out(error.kind()))
    }

    /// Whether the connection ends with nothing more on it.
    pub fn is_closed_without_data(&mut self) -> bool {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).is_ok() && rest.is_empty()
    }
}

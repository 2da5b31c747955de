//! Peers of the balancer that work with raw bytes: upstreams that record what they receive, and clients.

use crate::common::{LIVENESS_REQUEST, TIMEOUT, unreachable_address};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A response with a content length.
pub const RESPONSE_WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Own: kept\r\nServer: s\r\n\
    Content-Type: text/plain\r\nX-Backend-Load: cpu=0.5\r\nX-Unprocessed: 0\r\nKeep-Alive: timeout=5\r\n\r\ndone";
/// A response without a length, whose body ends when the connection is closed.
pub const RESPONSE_UNTIL_CLOSE: &str =
    "HTTP/1.1 200 Fine\r\nX-Own: kept\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n\r\nup to the end";

/// Reads the bytes of one message, head and body; fewer if the connection ends before the end of the message.
pub fn read_raw(stream: &mut impl BufRead) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut body_length = 0;
    loop {
        let line_start = bytes.len();
        if stream.read_until(b'\n', &mut bytes).unwrap_or(0) == 0 {
            return bytes;
        }
        let line = String::from_utf8_lossy(&bytes[line_start..]).to_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            body_length = value.trim().parse().unwrap();
        }
        if line == "\r\n" {
            break;
        }
    }
    stream.take(body_length).read_to_end(&mut bytes).unwrap();
    bytes
}

/// An upstream that records the bytes that it receives, and sends the same response to every request.
pub struct Recorder {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Recorder {
    /// Starts an upstream that sends `response`; no response if it is empty. After [`RESPONSE_UNTIL_CLOSE`], which has
    /// no length, the connection is closed.
    pub fn start(response: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::<Mutex<Vec<_>>>::default();
        let recorded = Arc::clone(&received);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let recorded = Arc::clone(&recorded);
                std::thread::spawn(move || serve(&stream, response, &recorded));
            }
        });
        Self { address, received }
    }

    /// Returns a recorder at an address on which nothing listens.
    pub fn unreachable() -> Self {
        Self {
            address: unreachable_address(),
            received: Arc::default(),
        }
    }

    /// Returns the requests received, in the order of their arrival.
    pub fn received(&self) -> Vec<Vec<u8>> {
        self.received.lock().unwrap().clone()
    }
}

fn serve(stream: &TcpStream, response: &str, received: &Mutex<Vec<Vec<u8>>>) {
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_raw(&mut reader);
        if request.is_empty() {
            return;
        }
        received.lock().unwrap().push(request);
        let _ = (&mut &*stream).write_all(response.as_bytes());
        if response == RESPONSE_UNTIL_CLOSE {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// A client that sends and receives raw bytes.
pub struct RawClient(BufReader<TcpStream>);

impl RawClient {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Self(BufReader::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).unwrap();
    }

    /// Reads the next response; empty if the connection ends instead.
    pub fn response(&mut self) -> Vec<u8> {
        read_raw(&mut self.0)
    }

    /// Finds out, after a response, whether the balancer has closed the connection, and returns the line that the
    /// transcript contains about it. Sends another request: the connection is kept if that request gets a response, and
    /// closed if no bytes are received.
    pub fn connection_state_after_response(mut self) -> &'static [u8] {
        let sent = self
            .0
            .get_mut()
            .write_all(LIVENESS_REQUEST.as_bytes())
            .is_ok();
        let next_response = if sent { self.response() } else { Vec::new() };
        if next_response.is_empty() {
            return b"the connection is closed";
        }
        assert!(
            next_response.starts_with(b"HTTP/1.1 200 OK\r\n"),
            "{:?}",
            next_response.escape_ascii().to_string()
        );
        b"the connection is kept"
    }
}

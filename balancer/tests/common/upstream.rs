//! Upstreams with a fixed behavior, and peers whose connections the test itself reads and writes.

use super::{Message, OK_RESPONSE, TIMEOUT, read_request};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The behavior of an upstream, the same for every request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Sends this response and keeps the connection open.
    Respond(&'static str),
    /// Sends this response after some time, and keeps the connection open.
    RespondAfter(Duration, &'static str),
    /// Sends this response, then closes the connection without a `Connection: close` header.
    RespondAndClose(&'static str),
    /// Closes the connection without a response.
    Close,
    /// Sends no response and keeps the connection open.
    NeverRespond,
}

/// The requests that an upstream has received, and the numbers of its opened and closed
/// connections.
#[derive(Default)]
struct Record {
    requests: Mutex<Vec<Message>>,
    opened_connections: AtomicUsize,
    closed_connections: AtomicUsize,
}

/// An upstream that records its requests and connections.
pub struct Upstream {
    pub address: SocketAddr,
    record: Arc<Record>,
}

impl Upstream {
    pub fn start(behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let record: Arc<Record> = Arc::default();
        let upstream = Self {
            address,
            record: Arc::clone(&record),
        };
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                record.opened_connections.fetch_add(1, Ordering::SeqCst);
                let record = Arc::clone(&record);
                std::thread::spawn(move || serve(&stream, behavior, &record));
            }
        });
        upstream
    }

    /// Starts an upstream that serves every request with [`OK_RESPONSE`].
    pub fn healthy() -> Self {
        Self::start(Behavior::Respond(OK_RESPONSE))
    }

    pub fn requests(&self) -> Vec<Message> {
        self.record.requests.lock().unwrap().clone()
    }

    pub fn request_count(&self) -> usize {
        self.record.requests.lock().unwrap().len()
    }

    /// Returns the number of connections that have been accepted, closed ones included.
    pub fn connection_count(&self) -> usize {
        self.record.opened_connections.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that either side has closed.
    pub fn closed_connection_count(&self) -> usize {
        self.record.closed_connections.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: &TcpStream, behavior: Behavior, record: &Record) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = Message::read(&mut reader) {
        record.requests.lock().unwrap().push(message);
        if let Behavior::RespondAfter(time, _) = behavior {
            std::thread::sleep(time);
        }
        match behavior {
            Behavior::Respond(text) | Behavior::RespondAfter(_, text)
                if stream.write_all(text.as_bytes()).is_ok() => {}
            Behavior::RespondAndClose(text) => {
                let _ = stream.write_all(text.as_bytes());
                break;
            }
            Behavior::NeverRespond => {}
            Behavior::Close | Behavior::Respond(_) | Behavior::RespondAfter(..) => break,
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    record.closed_connections.fetch_add(1, Ordering::SeqCst);
}

/// Returns an address that refuses connections. Its port stays bound, so that the system does not
/// assign it to another peer of these tests.
pub fn unreachable_address() -> SocketAddr {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    std::mem::forget(socket);
    address
}

/// An upstream or a stand-in for discovery whose connections the test itself reads and writes.
pub struct RawPeer {
    pub address: SocketAddr,
    /// The accepted connections, in the order of their arrival.
    pub connections: Receiver<TcpStream>,
}

impl RawPeer {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (accepted, connections) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if accepted.send(stream).is_err() {
                    return;
                }
            }
        });
        Self {
            address,
            connections,
        }
    }

    /// Waits for the next connection, for at most [`TIMEOUT`].
    pub fn next_connection(&self) -> TcpStream {
        let connection = self.connections.recv_timeout(TIMEOUT);
        connection.expect("a connection")
    }

    /// Waits for the next connection and reads one request from it.
    pub fn next_connection_with_request(&self) -> TcpStream {
        let connection = self.next_connection();
        assert!(read_request(&connection).is_some(), "a request");
        connection
    }
}

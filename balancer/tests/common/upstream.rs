//! Upstreams, and peers whose connections the test itself reads and writes.

use super::{Message, OK_RESPONSE, TIMEOUT, read_request};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

/// What an upstream does with every request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Responds with these bytes and keeps the connection.
    Respond(&'static str),
    /// Responds, and closes the connection without having announced it.
    RespondAndClose(&'static str),
    /// Closes the connection.
    Close,
    /// Never responds.
    NeverRespond,
}

/// What an upstream has seen.
#[derive(Default)]
struct Record {
    requests: Mutex<Vec<Message>>,
    opened_connections: AtomicUsize,
    closed_connections: AtomicUsize,
}

/// An upstream.
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

    /// An upstream that serves every request.
    pub fn healthy() -> Self {
        Self::start(Behavior::Respond(OK_RESPONSE))
    }

    pub fn requests(&self) -> Vec<Message> {
        self.record.requests.lock().unwrap().clone()
    }

    pub fn request_count(&self) -> usize {
        self.record.requests.lock().unwrap().len()
    }

    pub fn connection_count(&self) -> usize {
        self.record.opened_connections.load(Ordering::SeqCst)
    }

    /// Connections that have been closed, by either side.
    pub fn closed_connection_count(&self) -> usize {
        self.record.closed_connections.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: &TcpStream, behavior: Behavior, record: &Record) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = Message::read(&mut reader) {
        record.requests.lock().unwrap().push(message);
        match behavior {
            Behavior::Respond(text) if stream.write_all(text.as_bytes()).is_ok() => {}
            Behavior::RespondAndClose(text) => {
                let _ = stream.write_all(text.as_bytes());
                break;
            }
            Behavior::NeverRespond => {}
            Behavior::Close | Behavior::Respond(_) => break,
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    record.closed_connections.fetch_add(1, Ordering::SeqCst);
}

/// An address at which nobody listens. Its port stays taken, so that no other peer of these tests
/// gets it.
pub fn unreachable_address() -> SocketAddr {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    std::mem::forget(socket);
    address
}

/// An upstream, or discovery, whose connections the test itself reads and writes, in the order in
/// which they come.
pub struct RawPeer {
    pub address: SocketAddr,
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

    /// The next connection.
    pub fn next_connection(&self) -> TcpStream {
        let connection = self.connections.recv_timeout(TIMEOUT);
        connection.expect("a connection")
    }

    /// The next connection, with the request on it read.
    pub fn next_connection_with_request(&self) -> TcpStream {
        let connection = self.next_connection();
        assert!(read_request(&connection).is_some(), "a request");
        connection
    }
}

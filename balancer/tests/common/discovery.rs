//! A stand-in for discovery, the service from which balancers receive the endpoint list, and the
//! lists that the stand-in sends.

use super::{CHUNKED_HEAD, Message, TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};

/// A watch that a balancer has opened.
#[derive(Debug)]
pub struct Watch {
    /// The path and query of the request that opened the watch.
    pub target: String,
    /// The connection, on which the response head has been sent.
    pub stream: TcpStream,
}

impl Watch {
    /// Sends one line. An empty line is a heartbeat.
    pub fn send(&self, line: &str) {
        send_chunked_line(&self.stream, line);
    }
}

/// A stand-in for discovery. It opens a watch for each request and sends a first line, a delta
/// without changes.
pub struct Discovery {
    pub address: SocketAddr,
    /// The opened watches, in the order of their requests.
    pub watches: Receiver<Watch>,
}

impl Discovery {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (opened, watches) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let Some(message) = Message::read(&mut BufReader::new(&stream)) else {
                    continue;
                };
                let target = message.start_line.split(' ').nth(1);
                let target = target.unwrap_or_default().to_owned();
                (&stream).write_all(CHUNKED_HEAD.as_bytes()).unwrap();
                // The first line of a watch contains the changes after the requested revision.
                // There are none here.
                let revision = target.split("index=").nth(1);
                let revision = revision.and_then(|text| text.parse().ok()).unwrap_or(0);
                let watch = Watch { target, stream };
                watch.send(&endpoint_list_json(revision, false, &[]));
                let _ = opened.send(watch);
            }
        });
        Self { address, watches }
    }

    /// Waits for the next watch, for at most [`TIMEOUT`].
    pub fn next_watch(&self) -> Watch {
        self.watches.recv_timeout(TIMEOUT).expect("a watch")
    }
}

/// Sends one line of a watch as one chunk of the response body.
pub fn send_chunked_line(mut stream: &TcpStream, line: &str) {
    write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1).unwrap();
}

/// Returns the list entry of an upstream that started at Unix time 0 and has therefore completed
/// its slow start.
pub fn endpoint_json(name: &str, address: SocketAddr, state: &str) -> String {
    endpoint_json_with_start_time(name, address, state, 0)
}

/// Returns the list entry of an upstream that started at `started_at_ms`, a Unix time in
/// milliseconds.
pub fn endpoint_json_with_start_time(
    name: &str,
    address: SocketAddr,
    state: &str,
    started_at_ms: u64,
) -> String {
    format!(
        r#"{{"uid":"{name}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":{started_at_ms}}}"#
    )
}

/// Returns an endpoint list with this revision: all endpoints if `is_snapshot`, otherwise the ones
/// that have changed.
pub fn endpoint_list_json(revision: u64, is_snapshot: bool, entries: &[String]) -> String {
    let entries = entries.join(",");
    format!(r#"{{"rev":{revision},"all":{is_snapshot},"targets":[{entries}]}}"#)
}

//! Discovery: its endpoint lists and its watches.

use super::{CHUNKED_HEAD, Message, TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};

/// A watch that a balancer has opened.
#[derive(Debug)]
pub struct Watch {
    /// The target of the request.
    pub target: String,
    pub stream: TcpStream,
}

impl Watch {
    /// Writes one line.
    pub fn send(&self, line: &str) {
        send_chunked_line(&self.stream, line);
    }
}

/// A discovery that answers each request with a watch that begins with a heartbeat.
pub struct Discovery {
    pub address: SocketAddr,
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
                // A watch begins with what has changed after the revision that is asked for.
                let revision = target.split("index=").nth(1);
                let revision = revision.and_then(|text| text.parse().ok()).unwrap_or(0);
                let watch = Watch { target, stream };
                watch.send(&endpoint_list_json(revision, false, &[]));
                let _ = opened.send(watch);
            }
        });
        Self { address, watches }
    }

    /// The next watch.
    pub fn next_watch(&self) -> Watch {
        self.watches.recv_timeout(TIMEOUT).expect("a watch")
    }
}

/// Writes a line of a watch as a chunk.
pub fn send_chunked_line(mut stream: &TcpStream, line: &str) {
    write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1).unwrap();
}

/// An entry of a list, of an upstream that started long ago.
pub fn endpoint_json(name: &str, address: SocketAddr, state: &str) -> String {
    started_endpoint_json(name, address, state, 0)
}

/// An entry of a list, of an upstream that started at this Unix time in milliseconds.
pub fn started_endpoint_json(
    name: &str,
    address: SocketAddr,
    state: &str,
    started_at_ms: u64,
) -> String {
    format!(
        r#"{{"uid":"{name}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":{started_at_ms}}}"#
    )
}

/// A list of a revision: all endpoints, or those that have changed.
pub fn endpoint_list_json(revision: u64, is_snapshot: bool, entries: &[String]) -> String {
    let entries = entries.join(",");
    format!(r#"{{"rev":{revision},"all":{is_snapshot},"targets":[{entries}]}}"#)
}

//! Upstreams with drawn responses, which record the requests that they execute.

use super::common::{Message, at_most_once_request};
use fastrand::Rng;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The lengths of drawn response bodies, of which the first line is the request's correlation id.
const BODY_BYTES: [usize; 4] = [0, 200, 20_000, 60_000];

const MAX_SERVICE_MS: u64 = 300;
/// The prefix of the ids of requests that are repeated after their client has left, and the time that
/// they take, so that the client leaves before the response.
pub const REPEATED: &str = "repeated-";
pub const REPEATED_SERVICE_TIME: Duration = Duration::from_millis(300);

/// How often each correlation id has been executed.
#[derive(Clone, Default)]
pub struct Executions(Arc<Mutex<BTreeMap<String, usize>>>);

impl Executions {
    fn add(&self, id: &str) {
        *self.0.lock().unwrap().entry(id.to_owned()).or_default() += 1;
    }

    /// Returns how often an id has been executed.
    pub fn of(&self, id: &str) -> usize {
        self.0.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    /// Returns the executed ids with this prefix, with how often each was executed.
    pub fn with_prefix(&self, prefix: &str) -> Vec<(String, usize)> {
        let executions = self.0.lock().unwrap();
        let executions = executions.iter().filter(|(id, _)| id.starts_with(prefix));
        executions.map(|(id, count)| (id.clone(), *count)).collect()
    }
}

/// Starts an upstream and returns its address.
pub fn start(seed: u64, executions: &Executions) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let executions = executions.clone();
    std::thread::spawn(move || {
        let mut random = Rng::with_seed(seed);
        for stream in listener.incoming().map_while(Result::ok) {
            let (random, executions) = (random.fork(), executions.clone());
            std::thread::spawn(move || serve(&stream, random, &executions));
        }
    });
    address
}

fn serve(mut stream: &TcpStream, mut random: Rng, executions: &Executions) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = Message::read(&mut reader) {
        let id = request.header("x-correlation-id").unwrap().to_owned();
        if random.u8(..100) < 3 {
            let rejection = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
            if stream.write_all(rejection.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        executions.add(&id);
        let is_left = id.starts_with(REPEATED);
        std::thread::sleep(if is_left {
            REPEATED_SERVICE_TIME
        } else {
            Duration::from_millis(random.u64(1..MAX_SERVICE_MS))
        });
        let length = *random.choice(&BODY_BYTES).unwrap();
        let body = format!("{id}\n{}", "y".repeat(length));
        let is_written = match random.u8(..100) {
            0 => false,
            1 | 2 => stream
                .write_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
                .is_ok(),
            3..=20 => stream
                .write_all(chunked(&body, &mut random).as_bytes())
                .is_ok(),
            _ => {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                stream.write_all((head + &body).as_bytes()).is_ok()
            }
        };
        if !is_written {
            return;
        }
    }
}

/// Returns a response with this body in chunks of a drawn length.
fn chunked(body: &str, random: &mut Rng) -> String {
    let mut response = super::common::CHUNKED_HEAD.to_owned();
    for chunk in body.as_bytes().chunks(random.usize(100..9000)) {
        let text = std::str::from_utf8(chunk).unwrap();
        response += &format!("{:x}\r\n{text}\r\n", chunk.len());
    }
    response + "0\r\n\r\n"
}

/// Returns a request of the class `book` with this id, which is executed at most once.
pub fn request_with_id(id: &str, body_bytes: usize) -> String {
    at_most_once_request(3000, &"x".repeat(body_bytes)).replace("9b1f03aa", id)
}

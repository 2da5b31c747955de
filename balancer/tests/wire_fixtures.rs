//! The bytes on the wire, compared with committed data: requests as clients send them and as upstreams receive them,
//! each kind of final response as the client receives it, the call to discovery and the health check.
//!
//! The data lies in `tests/data/wire/`, one file per test. Every byte is shown: a line of the wire ends with the
//! escaped `\r\n` and a line break of the file, and bytes that are not printable ASCII are escaped.
//!
//! What varies from run to run is masked, and nothing else:
//! - the value of `date` becomes `<date>`;
//! - the value of `x-time-left-ms`, where the upstream receives it, becomes `<ms>`, after a check of its range;
//! - each digit in the value of `retry-after` becomes `#`;
//! - the port in a `host` of 127.0.0.1 becomes `<port>`.
//!
//! `WIRE_FIXTURES=write` writes the files in place of comparing them; the tests fail then, as nothing was compared.
#![expect(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails where its peers cannot be set up"
)]

mod common;

use common::*;
use frostkeel_balancer::upstream::{EndpointState, Upstreams};
use frostkeel_policy::{Availability, LoadReports, Settings, UpstreamId};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

/// How long clients of these tests still wait, as they say.
const TIME_LEFT_MS: u64 = 5000;
/// The longest body, of a request or of a response.
const MAX_BODY: usize = 64 * 1024;

const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Own: kept\r\nServer: s\r\n\
    Content-Type: text/plain\r\nX-Backend-Load: cpu=0.5\r\nX-Unprocessed: 0\r\nKeep-Alive: timeout=5\r\n\r\ndone";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Late\r\nX-Own: kept\r\n\r\n\
    4\r\ndone\r\n5\r\n twic\r\n0\r\nX-Late: 1\r\n\r\n";
const UNTIL_CLOSE: &str =
    "HTTP/1.1 200 Fine\r\nX-Own: kept\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n\r\nup to the end";
const EMPTY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nDate: Thu, 01 Jan 1970 00:00:00 GMT\r\n\
    Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 4\r\nX-Own: kept\r\n\r\nlost";
const REJECTED: &str = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// What has passed on the wire, in the form of the data.
struct Transcript {
    name: &'static str,
    text: String,
}

impl Transcript {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            text: String::new(),
        }
    }

    /// Adds bytes under a heading.
    fn add(&mut self, heading: &str, bytes: &[u8]) {
        writeln!(self.text, "== {heading}").unwrap();
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            writeln!(self.text, "{}", line.escape_ascii()).unwrap();
        }
    }

    fn add_received(&mut self, heading: &str, bytes: &[u8]) {
        self.add(heading, &masked(bytes));
    }

    /// Compares all of it with the committed file.
    fn check(self) {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
            .join("tests/data/wire")
            .join(self.name);
        if std::env::var_os("WIRE_FIXTURES").is_some_and(|value| value == "write") {
            std::fs::write(&path, &self.text).unwrap();
            panic!("{} is written, and nothing was compared", self.name);
        }
        let committed =
            std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        for (n, (now, then)) in self.text.lines().zip(committed.lines()).enumerate() {
            assert_eq!(
                now,
                then,
                "{} line {}: now, and as committed",
                self.name,
                n + 1
            );
        }
        assert_eq!(self.text, committed, "{}", self.name);
    }
}

/// Masks what varies from run to run; see the head of this file.
fn masked(bytes: &[u8]) -> Vec<u8> {
    let head = bytes
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map_or(bytes.len(), |at| at + 4);
    let mut shown = Vec::new();
    for line in bytes[..head].split_inclusive(|byte| *byte == b'\n') {
        let text = String::from_utf8(line.to_vec()).expect("a head in ASCII");
        let value = text
            .split_once(": ")
            .map(|(name, value)| (name, value.trim_end_matches("\r\n")));
        let value = value.and_then(|(name, value)| Some((name, masked_value(name, value)?)));
        match value {
            Some((name, value)) => write!(shown, "{name}: {value}\r\n").unwrap(),
            None => shown.extend_from_slice(line),
        }
    }
    shown.extend_from_slice(&bytes[head..]);
    shown
}

fn masked_value(name: &str, value: &str) -> Option<String> {
    match name {
        "date" if value != "Thu, 01 Jan 1970 00:00:00 GMT" => Some("<date>".to_owned()),
        "x-time-left-ms" => {
            let left: u64 = value.parse().expect("whole milliseconds");
            assert!(left > 0 && left < TIME_LEFT_MS, "{left}");
            Some("<ms>".to_owned())
        }
        "retry-after" => Some(value.replace(|c: char| c.is_ascii_digit(), "#")),
        "host" => value
            .starts_with("127.0.0.1:")
            .then(|| "127.0.0.1:<port>".to_owned()),
        _ => None,
    }
}

/// The bytes of one message, head and body; what has come if the connection ends before.
fn read_raw(stream: &mut impl BufRead) -> Vec<u8> {
    let (mut bytes, mut length) = (Vec::new(), 0);
    loop {
        let from = bytes.len();
        if stream.read_until(b'\n', &mut bytes).unwrap_or(0) == 0 {
            return bytes;
        }
        let line = String::from_utf8_lossy(&bytes[from..]).to_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if line == "\r\n" {
            break;
        }
    }
    stream.take(length).read_to_end(&mut bytes).unwrap();
    bytes
}

/// An upstream that keeps the bytes of what it receives and gives every request the same response.
struct Recorder {
    address: SocketAddr,
    received: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Recorder {
    /// `response` may be empty: none is given. The connection is closed after one that has no length.
    fn start(response: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, received) = (
            listener.local_addr().unwrap(),
            Arc::<Mutex<Vec<_>>>::default(),
        );
        let kept = Arc::clone(&received);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let kept = Arc::clone(&kept);
                std::thread::spawn(move || serve(&stream, response, &kept));
            }
        });
        Self { address, received }
    }

    fn received(&self) -> Vec<Vec<u8>> {
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
        if response == UNTIL_CLOSE {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// A client's connection of which every byte is seen.
struct RawClient(BufReader<TcpStream>);

impl RawClient {
    fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Self(BufReader::new(stream))
    }

    fn send(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).unwrap();
    }

    fn response(&mut self) -> Vec<u8> {
        read_raw(&mut self.0)
    }

    /// What the connection does after a response: another request on it is answered, or it ends with no further byte.
    fn after_response(mut self) -> &'static [u8] {
        let sent = self
            .0
            .get_mut()
            .write_all(LIVENESS_REQUEST.as_bytes())
            .is_ok();
        let further = if sent { self.response() } else { Vec::new() };
        if further.is_empty() {
            return b"the connection is closed";
        }
        assert!(
            further.starts_with(b"HTTP/1.1 200 OK\r\n"),
            "{:?}",
            further.escape_ascii().to_string()
        );
        b"the connection is kept"
    }
}

/// A request with every header that the balancer reads, and some that it passes on or strips.
fn post(path: &str, more: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: 9b1f03aa\r\nX-Account: acme\r\n{more}\
         X-Time-Left-Ms: {TIME_LEFT_MS}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// One request through the balancer: what is sent, what the upstreams receive, and the response.
fn exchange(transcript: &mut Transcript, case: &str, request: &str, upstream: &Recorder) {
    let node = TestConfig::with_upstreams(&[upstream.address]).start();
    let mut client = RawClient::connect(node.address);
    client.send(request.as_bytes());
    let response = client.response();
    transcript.add(&format!("{case}: the client sends"), request.as_bytes());
    for received in upstream.received() {
        transcript.add_received(&format!("{case}: the upstream receives"), &received);
    }
    transcript.add_received(&format!("{case}: the client receives"), &response);
    transcript.add(&format!("{case}: then"), client.after_response());
}

#[test]
fn forwarded_requests_are_as_committed() {
    let mut transcript = Transcript::new("forwarded_requests.txt");
    let every_header = "Cookie: user=7f\r\nX-Repeat: 1\r\nX-Weight-Hint: 1500\r\nAccept: */*\r\nTE: trailers\r\n\
        Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nProxy-Authorization: none\r\n\
        Proxy-Connection: keep-alive\r\nUpgrade: h2c\r\nExpect: nothing\r\nX-Twice: a\r\nX-Twice: b\r\n";
    let in_chunks = post("/book/day", "", "").replace(
        "Content-Length: 0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n",
    ) + "3\r\none\r\n4\r\n two\r\n0\r\n\r\n";
    let keyed = post("/keyed/a", "Idempotency-Key: \"k-1\"\r\n", "x");
    let old = idempotent_request(TIME_LEFT_MS).replace("HTTP/1.1", "HTTP/1.0");
    let old_kept = old.replace("Host", "Connection: keep-alive\r\nHost");
    let with_body =
        idempotent_request(TIME_LEFT_MS).replace("\r\n\r\n", "\r\nContent-Length: 3\r\n\r\nabc");
    let last = idempotent_request(TIME_LEFT_MS).replace("Host", "Connection: close\r\nHost");
    let absolute = idempotent_request(TIME_LEFT_MS)
        .replace("/look", "http://app.svc:80/look/a%20b?q=%7e#part");
    for (case, request) in [
        ("GET", &idempotent_request(TIME_LEFT_MS)),
        ("GET with a body", &with_body),
        ("GET with an absolute target", &absolute),
        ("GET, the last on its connection", &last),
        ("GET of HTTP/1.0", &old),
        ("GET of HTTP/1.0, kept", &old_kept),
        ("POST", &post("/book/day?n=1", "", "a day")),
        ("POST with an empty body", &post("/book", "", "")),
        (
            "POST with every header",
            &post("/book/day?n=1&m=%20", every_header, "a day"),
        ),
        ("POST in chunks", &in_chunks),
        ("POST with an idempotency key", &keyed),
    ] {
        exchange(
            &mut transcript,
            case,
            request,
            &Recorder::start(WITH_LENGTH),
        );
    }
    transcript.check();
}

#[test]
fn forwarded_responses_are_as_committed() {
    let mut transcript = Transcript::new("forwarded_responses.txt");
    for (case, response) in [
        ("with a length", WITH_LENGTH),
        ("in chunks", CHUNKED),
        ("up to the close", UNTIL_CLOSE),
        ("empty", EMPTY),
    ] {
        transcript.add(
            &format!("{case}: the upstream answers"),
            response.as_bytes(),
        );
        exchange(
            &mut transcript,
            case,
            &idempotent_request(TIME_LEFT_MS),
            &Recorder::start(response),
        );
    }
    transcript.check();
}

#[test]
fn rejections_and_failures_are_as_committed() {
    let mut transcript = Transcript::new("rejections_and_failures.txt");
    for (case, response) in [("an error", ERROR), ("rejected unprocessed", REJECTED)] {
        transcript.add(
            &format!("{case}: the upstream answers"),
            response.as_bytes(),
        );
        exchange(
            &mut transcript,
            case,
            &at_most_once_request(TIME_LEFT_MS, "x"),
            &Recorder::start(response),
        );
    }
    let unreachable = Recorder {
        address: unreachable_address(),
        received: Arc::default(),
    };
    exchange(
        &mut transcript,
        "no upstream listens",
        &at_most_once_request(TIME_LEFT_MS, "x"),
        &unreachable,
    );
    exchange(
        &mut transcript,
        "no response",
        &at_most_once_request(400, "x"),
        &Recorder::start(""),
    );
    transcript.check();
}

/// Bad requests: what is wrong, and the text of a good request with its replacement.
const BAD_REQUESTS: [(&str, &str, &str); 18] = [
    ("unknown class", "/book/day", "/nothing"),
    ("another method", "POST", "GET"),
    ("unknown method", "POST", "DELETE"),
    ("no correlation id", "X-Correlation-Id: 9b1f03aa\r\n", ""),
    ("empty correlation id", "9b1f03aa", ""),
    ("no idempotency key", "/book/day", "/keyed"),
    ("unknown account", "acme", "nobody"),
    ("no account", "X-Account: acme\r\n", ""),
    ("no time left", "X-Time-Left-Ms: 5000\r\n", ""),
    ("unreadable time left", ": 5000", ": soon"),
    (
        "unreadable weight hint",
        "Host",
        "X-Weight-Hint: heavy\r\nHost",
    ),
    (
        "body too long, by its length",
        "Content-Length: 1\r\n\r\nx",
        "Content-Length: 99999999\r\n\r\n",
    ),
    (
        "body does not come",
        "Content-Length: 1\r\n\r\nx",
        "Content-Length: 9\r\n\r\nx",
    ),
    (
        "unreadable length",
        "Content-Length: 1",
        "Content-Length: one",
    ),
    ("no version", " HTTP/1.1", ""),
    ("unknown version", "HTTP/1.1", "HTTP/7.0"),
    (
        "broken chunk",
        "Content-Length: 1\r\n\r\nx",
        "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    ),
    (
        "expects to go on",
        "Content-Length: 1\r\n\r\nx",
        "Expect: 100-continue\r\nContent-Length: 9\r\n\r\n",
    ),
];

#[test]
fn responses_to_bad_requests_are_as_committed() {
    let upstream = Recorder::start(WITH_LENGTH);
    let node = TestConfig::with_upstreams(&[upstream.address]).start();
    let mut transcript = Transcript::new("bad_requests.txt");
    let good = post("/book/day", "", "x");
    for (case, from, to) in BAD_REQUESTS {
        let request = good.replacen(from, to, 1);
        assert_ne!(request, good, "{case}");
        refused(&mut transcript, case, &request, &node);
    }
    let chunk = format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n", MAX_BODY + 1);
    let long = good.replacen("Content-Length: 1\r\n\r\nx", &chunk, 1);
    let mut client = RawClient::connect(node.address);
    client.send(long.as_bytes());
    client.send("y".repeat(MAX_BODY + 1).as_bytes());
    transcript.add_received(
        "body too long, in chunks: the client receives",
        &client.response(),
    );
    let mut client = RawClient::connect(node.address);
    client.send(format!("GET /look HTTP/1.1\r\nX-Long: {}\r\n", "y".repeat(40_000)).as_bytes());
    transcript.add_received("head too long: the client receives", &client.response());
    assert!(upstream.received().is_empty());
    transcript.check();
}

/// A request that goes nowhere, and all that its client receives until the connection has a response and no more.
fn refused(transcript: &mut Transcript, case: &str, request: &str, node: &BalancerProcess) {
    let mut client = RawClient::connect(node.address);
    client.send(request.as_bytes());
    let mut response = client.response();
    let mut interim = Vec::new();
    if response.starts_with(b"HTTP/1.1 100 ") {
        interim = std::mem::replace(&mut response, client.response());
    }
    transcript.add(&format!("{case}: the client sends"), request.as_bytes());
    if !interim.is_empty() {
        transcript.add(&format!("{case}: the client receives first"), &interim);
    }
    transcript.add_received(&format!("{case}: the client receives"), &response);
}

#[test]
fn the_responses_of_a_shutdown_are_as_committed() {
    let mut transcript = Transcript::new("shutdown.txt");
    let silent = Recorder::start("");
    let mut setup = TestConfig::with_upstreams(&[silent.address]);
    setup.deadline_ms = 60_000;
    let mut node = setup.start();
    let ready = "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    let mut probe = RawClient::connect(node.address);
    for (case, request) in [("live", LIVENESS_REQUEST), ("ready", ready)] {
        probe.send(request.as_bytes());
        transcript.add_received(&format!("{case}: the client receives"), &probe.response());
    }
    let mut waiting = RawClient::connect(node.address);
    waiting.send(at_most_once_request(60_000, "x").as_bytes());
    wait_until("the upstream has it", || silent.received().len() == 1);
    node.terminate();
    let mut draining = Vec::new();
    wait_until("not ready any more", || {
        let mut client = RawClient::connect(node.address);
        client.send(ready.as_bytes());
        draining = client.response();
        let not_ready = draining.starts_with(b"HTTP/1.1 503");
        if not_ready {
            transcript.add_received("draining, ready: the client receives", &draining);
            transcript.add("draining, ready: then", client.after_response());
        }
        not_ready
    });
    let mut client = RawClient::connect(node.address);
    client.send(LIVENESS_REQUEST.as_bytes());
    transcript.add_received("draining, live: the client receives", &client.response());
    transcript.add_received("forced close: the client receives", &waiting.response());
    transcript.add("forced close: then", waiting.after_response());
    transcript.add_received("idle connection: the client receives", &probe.response());
    assert!(node.wait_for_exit().success());
    transcript.check();
}

#[test]
fn the_response_after_a_flood_is_as_committed() {
    let mut transcript = Transcript::new("flood.txt");
    let RawPeer {
        address,
        connections: streams,
    } = RawPeer::start();
    let node = TestConfig::with_upstreams(&[address]).start();
    let mut client = RawClient::connect(node.address);
    client.send(idempotent_request(TIME_LEFT_MS).as_bytes());
    let upstream = streams.recv_timeout(TIMEOUT).expect("an attempt");
    assert!(read_request(&upstream).is_some());
    client.send(&[b'x'; 100_000]);
    node.round_trip();
    (&upstream).write_all(WITH_LENGTH.as_bytes()).unwrap();
    transcript.add_received(
        "100,000 bytes behind a request: the client receives",
        &client.response(),
    );
    transcript.add_received("then the client receives", &client.response());
    transcript.check();
}

#[test]
fn the_call_to_discovery_is_as_committed() {
    let mut transcript = Transcript::new("discovery_call.txt");
    let upstream = Recorder::start(WITH_LENGTH);
    let RawPeer {
        address,
        connections: calls,
    } = RawPeer::start();
    let mut setup = TestConfig::with_upstreams(&[upstream.address]);
    (setup.discovery, setup.polls_endpoints) = (address, true);
    let _node = setup.start();
    let call = calls.recv_timeout(TIMEOUT).expect("a call");
    transcript.add_received("discovery receives", &read_raw(&mut BufReader::new(&call)));
    let line = endpoint_list_json(7, true, &[endpoint_json("s-0", upstream.address, "Ready")]);
    (&call)
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    send_chunked_line(&call, &line);
    (&call).write_all(b"0\r\n\r\n").unwrap();
    let further = calls.recv_timeout(TIMEOUT).expect("a further call");
    transcript.add_received(
        "discovery receives next",
        &read_raw(&mut BufReader::new(&further)),
    );
    transcript.check();
}

/// What an upstream receives as a health check.
async fn health_check(load_reports: LoadReports) -> Vec<u8> {
    let upstream = Recorder::start(WITH_LENGTH);
    let upstreams = Upstreams::new(
        &Settings {
            load_reports,
            ..Settings::default()
        },
        8,
    );
    let (address, id) = (Some(upstream.address), UpstreamId(7));
    upstreams.apply_endpoint(
        id,
        &EndpointState {
            address,
            availability: Availability::Ready,
            boot_ms: 0,
        },
    );
    let ended = upstreams.health_check(id).await;
    assert!(ended.response.is_some(), "{ended:?}");
    upstream.received().concat()
}

#[tokio::test(flavor = "local")]
async fn health_checks_are_as_committed() {
    let mut transcript = Transcript::new("health_checks.txt");
    transcript.add_received(
        "without load reports: the upstream receives",
        &health_check(LoadReports::Off).await,
    );
    transcript.add_received(
        "with load reports: the upstream receives",
        &health_check(LoadReports::OnHealthCheck).await,
    );
    transcript.check();
}

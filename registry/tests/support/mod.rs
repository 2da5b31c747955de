//! Runs the registry service in the test process and exchanges raw bytes with it over loopback.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use frostkeel_registry::config::Config;
use frostkeel_registry::service;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::oneshot;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

/// The time that a test waits for the service to start or to send bytes, before it fails.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// The HTTP chunk of an empty line, which a watch sends as a heartbeat while nothing changes.
const EMPTY_CHUNK: &[u8] = b"1\r\n\n\r\n";

/// The bound addresses of both interfaces, from the log of the service.
#[derive(Clone, Copy, Debug, Default)]
struct Addresses {
    read: Option<SocketAddr>,
    write: Option<SocketAddr>,
}

impl Visit for Addresses {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        let address = format!("{value:?}").parse().ok();
        match field.name() {
            "read" => self.read = address,
            "write" => self.write = address,
            _ => {}
        }
    }
}

/// A log subscriber that sends the bound addresses to the test. The test cannot know them
/// otherwise, because the operating system chooses the ports.
struct AddressSubscriber(mpsc::Sender<Addresses>);

impl Subscriber for AddressSubscriber {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &Event<'_>) {
        let mut addresses = Addresses::default();
        event.record(&mut addresses);
        if addresses.read.is_some() && addresses.write.is_some() {
            // The receiver is dropped after the first event.
            let _ = self.0.send(addresses);
        }
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

/// A running service. Dropping it stops the service and releases its folder.
pub struct TestService {
    pub read: SocketAddr,
    pub write: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl TestService {
    /// Starts a service with its store in `folder`. `tables` is the TOML text of the `limits` and
    /// `leases` tables of its configuration.
    pub fn start(folder: &Path, tables: &str) -> Self {
        let text = format!(
            "fleet = \"fixtures\"\nname = \"r0\"\nread = \"127.0.0.1:0\"\nwrite = \"127.0.0.1:0\"\nfolder = {folder:?}\n{tables}"
        );
        let config = Config::parse(&text).expect("a valid configuration");
        let (sender, bound) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(2)
                .enable_all()
                .build();
            let runtime = runtime.expect("a runtime");
            tracing::subscriber::with_default(AddressSubscriber(sender), || {
                runtime.block_on(async {
                    tokio::select! {
                        ended = service::run(config) => panic!("the service has ended: {ended:?}"),
                        _ = stopped => {}
                    }
                });
            });
        });
        let bound = bound
            .recv_timeout(READ_TIMEOUT)
            .expect("the service logs its bound addresses");
        let (read, write) = (
            bound.read.expect("an address"),
            bound.write.expect("an address"),
        );
        Self {
            read,
            write,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    /// Sends a request to the write interface, and returns the response.
    pub fn write(&self, head: &str, body: &str) -> Vec<u8> {
        exchange(self.write, &request(head, body))
    }

    /// Sends a request to the read interface, and returns the response.
    pub fn read(&self, head: &str) -> Vec<u8> {
        exchange(self.read, &request(head, ""))
    }
}

impl Drop for TestService {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(
                ended.is_ok() || std::thread::panicking(),
                "the service has panicked"
            );
        }
    }
}

/// Returns the bytes of a request with the header `connection: close`, so that the service closes
/// the connection after its response.
pub fn request(head: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let head = format!("{head} HTTP/1.1\r\nhost: registry\r\nconnection: close\r\n");
    format!("{head}content-length: {length}\r\n\r\n{body}").into_bytes()
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the service listens");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a timeout");
    stream
}

/// Sends bytes on a new connection, and returns those received until the service closes it.
pub fn exchange(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    stream.write_all(request).expect("sent");
    let mut response = Vec::new();
    stream
        .read_to_end(&mut response)
        .expect("closed by the service");
    response
}

/// Masks only the value of each `date` header, which differs between runs.
pub fn mask_dates(response: &[u8]) -> Vec<u8> {
    const NAME: &[u8] = b"\r\ndate: ";
    let mut masked = Vec::new();
    let mut rest = response;
    while let Some(at) = find(rest, NAME) {
        let value = at + NAME.len();
        let length = find(&rest[value..], b"\r\n").expect("a line ends");
        masked.extend_from_slice(&rest[..value]);
        masked.extend_from_slice(b"MASKED");
        rest = &rest[value + length..];
    }
    masked.extend_from_slice(rest);
    masked
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// A watch, and the bytes that were read from it.
pub struct Watch {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Watch {
    pub fn open(service: &TestService, query: &str) -> Self {
        let mut stream = connect(service.read);
        let request = format!("GET /registry/instances?{query} HTTP/1.1\r\nhost: registry\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("sent");
        Self {
            stream,
            bytes: Vec::new(),
        }
    }

    fn read_until(&mut self, is_complete: impl Fn(&[u8]) -> bool) {
        let mut buffer = [0; 4096];
        while !is_complete(&self.bytes) {
            let count = self.stream.read(&mut buffer).expect("more of the watch");
            assert!(
                count > 0,
                "the watch has ended: {}",
                String::from_utf8_lossy(&self.bytes)
            );
            self.bytes.extend_from_slice(&buffer[..count]);
        }
    }

    /// Reads until the head and `count` lines with endpoints have been received.
    pub fn read_updates(&mut self, count: usize) {
        self.read_until(|bytes| {
            let updates = bytes
                .windows(4)
                .filter(|window| window == b"]}\n\r")
                .count();
            // The end of the chunk follows the line.
            updates >= count && bytes.ends_with(b"\n\r\n")
        });
    }

    /// Reads until another empty line has been received.
    pub fn read_empty_line(&mut self) {
        let before = count(&self.bytes, EMPTY_CHUNK);
        self.read_until(|bytes| count(bytes, EMPTY_CHUNK) > before);
    }

    /// Returns the bytes that were read, with dates masked and without empty lines. The number of
    /// empty lines depends on the speed of the test.
    pub fn masked(&self) -> Vec<u8> {
        let mut rest = self.bytes.as_slice();
        let mut masked = Vec::new();
        while let Some(at) = find(rest, EMPTY_CHUNK) {
            masked.extend_from_slice(&rest[..at]);
            rest = &rest[at + EMPTY_CHUNK.len()..];
        }
        masked.extend_from_slice(rest);
        mask_dates(&masked)
    }
}

fn count(bytes: &[u8], pattern: &[u8]) -> usize {
    bytes
        .windows(pattern.len())
        .filter(|window| *window == pattern)
        .count()
}

/// Creates an empty folder for a test.
pub fn new_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Returns the path of a file of the recorded data.
pub fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name)
}

/// Panics unless the bytes are those of a recorded file.
pub fn assert_recorded(file: &Path, actual: &[u8]) {
    let expected = std::fs::read(file).unwrap_or_else(|e| panic!("{}: {e}", file.display()));
    let (shown_actual, shown_expected) = (actual.escape_ascii(), expected.escape_ascii());
    assert!(
        actual == expected,
        "{}\n  actual:   {shown_actual}\n  expected: {shown_expected}",
        file.display()
    );
}

/// Panics unless the status of a response is 200.
pub fn expect_ok(response: &[u8]) {
    let is_ok = response.starts_with(b"HTTP/1.1 200 OK\r\n");
    assert!(is_ok, "{}", response.escape_ascii());
}

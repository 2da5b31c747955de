//! A minimal balancer for the tests of the lab. It misbehaves in the one way that the environment
//! variable `MISBEHAVIOR` names, and not at all if the variable is unset or has an unknown value.

#[path = "../tests/common/misbehavior.rs"]
mod misbehavior;

use misbehavior::Misbehavior;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The pause before each poll of the endpoint list.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The period of a misbehavior that does not affect all requests: it affects one request in 5.
const MISBEHAVIOR_PERIOD: u64 = 5;
/// The highest number of a request that does not cause the crash. Requests are numbered from 0, in the
/// order in which they are received.
const LAST_REQUEST_BEFORE_CRASH: u64 = 20;
/// The memory that the balancer allocates to exceed its limit, in bytes.
const EXCESS_MEMORY_BYTES: usize = 100 << 20;
const STATUS_OK: u16 = 200;
const STATUS_BAD_GATEWAY: u16 = 502;
const STATUS_UNAVAILABLE: u16 = 503;

struct BadBalancer {
    misbehavior: Misbehavior,
    /// The addresses of the upstreams in the state `Ready`, by the number of the upstream.
    ready: Mutex<BTreeMap<u32, SocketAddr>>,
    request_count: AtomicU64,
}

fn main() -> io::Result<()> {
    let path = std::env::var("NODE_CONFIG").map_err(io::Error::other)?;
    let config: Value = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let name = std::env::var("MISBEHAVIOR").unwrap_or_default();
    let misbehavior = Misbehavior::ALL
        .into_iter()
        .find(|misbehavior| misbehavior.name() == name)
        .unwrap_or(Misbehavior::Nothing);
    if misbehavior == Misbehavior::IgnoresShutdown {
        ignore_sigterm()?;
    }
    let balancer = Arc::new(BadBalancer {
        misbehavior,
        ready: Mutex::default(),
        request_count: AtomicU64::new(0),
    });
    balancer.apply_list(&config["known"]);
    let listener = TcpListener::bind("127.0.0.1:0")?;
    eprintln!("serving listen={} ", listener.local_addr()?);
    let discovery: SocketAddr = config["discovery"]
        .as_str()
        .and_then(|address| address.parse().ok())
        .ok_or(io::ErrorKind::InvalidInput)?;
    let poller = Arc::clone(&balancer);
    std::thread::spawn(move || poller.poll_list(discovery));
    let _excess =
        (misbehavior == Misbehavior::ExceedsMemory).then(|| vec![1u8; EXCESS_MEMORY_BYTES]);
    for stream in listener.incoming() {
        let balancer = Arc::clone(&balancer);
        std::thread::spawn(move || balancer.serve(stream?));
    }
    Ok(())
}

/// Installs a handler for SIGTERM that does nothing, so that the signal does not end the process.
fn ignore_sigterm() -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (sender, is_handled) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        runtime.block_on(async {
            let kind = tokio::signal::unix::SignalKind::terminate();
            let signal = tokio::signal::unix::signal(kind);
            let _ = sender.send(());
            if let Ok(mut signal) = signal {
                while signal.recv().await.is_some() {}
            }
        });
    });
    is_handled.recv().map_err(io::Error::other)
}

/// The response to a request of [`exchange`].
struct Response {
    status: u16,
    body: String,
}

/// Sends a request that has no body, and reads the response until the connection is closed.
fn exchange(address: SocketAddr, head: &str) -> io::Result<Response> {
    let mut stream = TcpStream::connect(address)?;
    write!(stream, "{head}host: app.svc\r\nconnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let body = text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
    Ok(Response {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        body: body.unwrap_or_default(),
    })
}

/// Reads the head of a request and returns it without the fields `host` and `connection`. `None` if
/// the client has closed the connection.
fn read_head(lines: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if lines.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        if line == "\r\n" {
            return Ok(Some(head));
        }
        if !line.starts_with("host:") && !line.starts_with("connection:") {
            head.push_str(&line);
        }
    }
}

impl BadBalancer {
    fn apply_list(&self, list: &Value) {
        let targets = list["targets"].as_array().into_iter().flatten();
        let ready = targets.filter(|target| target["state"] == "Ready");
        let upstreams = ready.filter_map(|target| {
            let number = target["uid"].as_str()?.strip_prefix('u')?.parse().ok()?;
            Some((number, target["endpoint"].as_str()?.parse().ok()?))
        });
        *self.ready.lock().unwrap_or_else(PoisonError::into_inner) = upstreams.collect();
    }

    fn poll_list(&self, discovery: SocketAddr) {
        loop {
            std::thread::sleep(POLL_INTERVAL);
            if let Ok(response) = exchange(discovery, "GET /registry/instances HTTP/1.1\r\n")
                && response.status == STATUS_OK
                && self.misbehavior != Misbehavior::IgnoresDrains
                && let Ok(list) = serde_json::from_str(&response.body)
            {
                self.apply_list(&list);
            }
        }
    }

    fn choose_upstream(&self, number: u64) -> Option<SocketAddr> {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        let index = match self.misbehavior {
            Misbehavior::OverloadsSlowStart => ready.len().checked_sub(1)?,
            _ => number.checked_rem(ready.len() as u64)? as usize,
        };
        ready.values().nth(index).copied()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut lines = BufReader::new(stream.try_clone()?);
        let mut client = stream;
        while let Some(head) = read_head(&mut lines)? {
            let number = self.request_count.fetch_add(1, Ordering::Relaxed);
            let is_due = number % MISBEHAVIOR_PERIOD == MISBEHAVIOR_PERIOD - 1;
            let status = match self.misbehavior {
                Misbehavior::ClosesWithoutResponse if is_due => return Ok(()),
                Misbehavior::Crashes if number > LAST_REQUEST_BEFORE_CRASH => std::process::exit(3),
                Misbehavior::RespondsByItself if is_due => STATUS_OK,
                _ => self.forward(&head, number),
            };
            write!(client, "HTTP/1.1 {status} x\r\ncontent-length: 0\r\n\r\n")?;
        }
        Ok(())
    }

    /// Forwards a request, more than once if the misbehavior asks for it, and returns the status of the
    /// last response.
    fn forward(&self, head: &str, number: u64) -> u16 {
        let attempts = match self.misbehavior {
            Misbehavior::SendsTwice => 2,
            Misbehavior::ExceedsAttemptLimit if head.starts_with("GET") => 4,
            _ => 1,
        };
        let mut status = STATUS_UNAVAILABLE;
        for attempt in 0..attempts {
            let Some(address) = self.choose_upstream(number + attempt) else {
                return STATUS_UNAVAILABLE;
            };
            let response = exchange(address, head);
            status = response.map_or(STATUS_BAD_GATEWAY, |response| response.status);
        }
        status
    }
}

//! A stand-in balancer for the tests of the lab: it does the least that a balancer must, and breaks the one rule that
//! the environment's `BREAKS` names. With no such name it breaks none.

use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What it does wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Breaks {
    Nothing,
    /// It ends every fifth client's connection with no answer.
    OneAnswer,
    /// It answers every fifth request by itself.
    TrulyServed,
    /// It sends everything to two upstreams.
    NeverTwice,
    /// It sends what is safe four times.
    ThreeAttempts,
    /// It is told of changes of the list and takes none.
    Drained,
    /// It sends everything to the newest upstream.
    ColdSpared,
    /// It ends by itself.
    Crash,
    /// It takes more memory than it may.
    Memory,
    /// It does not leave when asked.
    Stays,
}

fn breaks() -> Breaks {
    match std::env::var("BREAKS").unwrap_or_default().as_str() {
        "one-answer" => Breaks::OneAnswer,
        "truly-served" => Breaks::TrulyServed,
        "never-twice" => Breaks::NeverTwice,
        "three-attempts" => Breaks::ThreeAttempts,
        "drained" => Breaks::Drained,
        "cold-spared" => Breaks::ColdSpared,
        "crash" => Breaks::Crash,
        "memory" => Breaks::Memory,
        "stays" => Breaks::Stays,
        _ => Breaks::Nothing,
    }
}

struct Bad {
    breaks: Breaks,
    /// Ready upstreams by number.
    ready: Mutex<BTreeMap<u32, SocketAddr>>,
    turn: AtomicU64,
}

fn main() -> io::Result<()> {
    let path = std::env::var("NODE_CONFIG").map_err(io::Error::other)?;
    let config: Value = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let breaks = breaks();
    if breaks == Breaks::Stays {
        stay()?;
    }
    let bad = Arc::new(Bad {
        breaks,
        ready: Mutex::default(),
        turn: AtomicU64::new(0),
    });
    bad.take(&config["known"]);
    let listener = TcpListener::bind("127.0.0.1:0")?;
    eprintln!("serving listen={} ", listener.local_addr()?);
    let discovery: SocketAddr = config["discovery"]
        .as_str()
        .and_then(|a| a.parse().ok())
        .ok_or(io::ErrorKind::InvalidInput)?;
    let follower = Arc::clone(&bad);
    std::thread::spawn(move || follower.follow(discovery));
    let _held = (breaks == Breaks::Memory).then(|| vec![1u8; 100 << 20]);
    for stream in listener.incoming() {
        let bad = Arc::clone(&bad);
        std::thread::spawn(move || bad.serve(stream?));
    }
    Ok(())
}

/// Takes SIGTERM and does nothing about it.
fn stay() -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (ready, taken) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        runtime.block_on(async {
            let term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate());
            let _ = ready.send(());
            if let Ok(mut term) = term {
                while term.recv().await.is_some() {}
            }
        });
    });
    taken.recv().map_err(io::Error::other)
}

/// Writes a request without a body and reads the status and the body of its answer.
fn exchange(address: SocketAddr, head: &str) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect(address)?;
    write!(stream, "{head}host: app.svc\r\nconnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .ok_or(io::ErrorKind::InvalidData)?;
    Ok((
        status,
        text.split_once("\r\n\r\n")
            .map(|(_, body)| body.to_owned())
            .unwrap_or_default(),
    ))
}

impl Bad {
    fn take(&self, list: &Value) {
        let ready = list["targets"]
            .as_array()
            .into_iter()
            .flatten()
            .filter(|t| t["state"] == "Ready");
        let ready = ready.filter_map(|t| {
            let number = t["uid"].as_str()?.strip_prefix('u')?.parse().ok()?;
            Some((number, t["endpoint"].as_str()?.parse().ok()?))
        });
        *self.ready.lock().unwrap_or_else(PoisonError::into_inner) = ready.collect();
    }

    fn follow(&self, discovery: SocketAddr) {
        loop {
            std::thread::sleep(Duration::from_millis(200));
            if let Ok((200, body)) = exchange(discovery, "GET /registry/instances HTTP/1.1\r\n")
                && self.breaks != Breaks::Drained
                && let Ok(list) = serde_json::from_str(&body)
            {
                self.take(&list);
            }
        }
    }

    fn choose(&self, turn: u64) -> Option<SocketAddr> {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        let k = match self.breaks {
            Breaks::ColdSpared => ready.len().checked_sub(1)?,
            _ => turn.checked_rem(ready.len() as u64)? as usize,
        };
        ready.values().nth(k).copied()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let (mut lines, mut out) = (BufReader::new(stream.try_clone()?), stream);
        loop {
            let mut head = String::new();
            loop {
                let mut line = String::new();
                if lines.read_line(&mut line)? == 0 {
                    return Ok(());
                }
                if line == "\r\n" {
                    break;
                }
                // The client's host and connection are its own.
                if !line.starts_with("host:") && !line.starts_with("connection:") {
                    head.push_str(&line);
                }
            }
            let turn = self.turn.fetch_add(1, Ordering::Relaxed);
            let status = match (self.breaks, turn % 5) {
                (Breaks::OneAnswer, 4) => return Ok(()),
                (Breaks::Crash, _) if turn > 20 => std::process::exit(3),
                (Breaks::TrulyServed, 4) => 200,
                _ => self.pass_on(&head, turn),
            };
            write!(out, "HTTP/1.1 {status} x\r\ncontent-length: 0\r\n\r\n")?;
        }
    }

    fn pass_on(&self, head: &str, turn: u64) -> u16 {
        let times = match self.breaks {
            Breaks::NeverTwice => 2,
            Breaks::ThreeAttempts if head.starts_with("GET") => 4,
            _ => 1,
        };
        let mut status = 503;
        for again in 0..times {
            let Some(address) = self.choose(turn + again) else {
                return 503;
            };
            status = exchange(address, head).map_or(502, |(status, _)| status);
        }
        status
    }
}

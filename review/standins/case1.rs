//! Case 1: some clients write slowly, in small pieces. Does the balancer stay within its memory?
//!
//! The stand-in for the platform kills the balancer once its anonymous resident memory alone is over `memory_mb`; the
//! pages of its program file, which are resident too, are left out in its favour.

mod common;
use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SOCKETS: u32 = 512;
const MEMORY_MB: u32 = 64;
/// Clients hold at most a third of the descriptors, 170 here.
const SLOW_CLIENTS: usize = 32;
/// A body holds 64 KiB at most.
const BODY_BYTES: usize = 24 * 1024;
/// A slow client writes a piece of this many bytes each millisecond: about 15 KB a second.
const PIECE_BYTES: usize = 16;
const PIECE_INTERVAL: Duration = Duration::from_millis(1);
const TIME_LEFT_MS: u64 = 4000;
const ROUNDS: usize = 3;

/// Sends one request with a body and waits for its answer; returns whether there was one.
fn send(record: &Record, address: SocketAddr, is_slow: bool) -> bool {
    let id = fresh_id();
    let body = vec![b'x'; BODY_BYTES];
    let head = request_head("session-start", &id, TIME_LEFT_MS, Some(&id), Some(BODY_BYTES));
    let answer = TcpStream::connect(address).and_then(|mut stream| {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(TIME_LEFT_MS + 500)))?;
        stream.write_all(head.as_bytes())?;
        if is_slow {
            for piece in body.chunks(PIECE_BYTES) {
                thread::sleep(PIECE_INTERVAL);
                stream.write_all(piece)?;
            }
        } else {
            stream.write_all(&body)?;
        }
        record.note(&format!("client: sent {id}, {BODY_BYTES} bytes of body"));
        Reader::new(stream).next()
    });
    let is_answered = matches!(answer, Ok(Some(_)));
    let text = match answer {
        Ok(Some(answer)) => format!("answer {}", answer.status()),
        Ok(None) => "connection closed without an answer".to_owned(),
        Err(error) => format!("no answer: {error}"),
    };
    record.note(&format!("client: {id}: {text}"));
    is_answered
}

fn run(folder: &Path) -> std::io::Result<i32> {
    let record = Record::create(folder)?;
    let mut entries = Vec::new();
    for k in 0..8 {
        let (name, log) = (format!("s-{k}"), Arc::clone(&record));
        let upstream = name.clone();
        let endpoint = start_upstream(move |work, _| {
            log.note(&format!("{upstream}: runs {} {}", work.id, work.target));
            thread::sleep(Duration::from_millis(20));
            Some(work.id.clone().into_bytes())
        })?;
        entries.push(Entry { uid: name, endpoint, state: "Ready", boot_ms: 0 });
    }
    let discovery = Discovery::start(entries, &record)?;
    let mut balancer =
        Balancer::start(discovery.address, &discovery.whole_list(), &settings(), SOCKETS, MEMORY_MB)?;
    thread::sleep(Duration::from_millis(1000));
    record.note(&format!("balancer: {} kB anonymous memory before", balancer.status_kb("RssAnon")));
    let is_slow = has_trouble();
    let (answered, unanswered) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut most_kb = 0;
    let mut was_killed = false;
    let clients: Vec<_> = (0..SLOW_CLIENTS)
        .map(|k| {
            let (record, address) = (Arc::clone(&record), balancer.address);
            let (answered, unanswered) = (Arc::clone(&answered), Arc::clone(&unanswered));
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(10 * k as u64));
                for _ in 0..ROUNDS {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let counter = if send(&record, address, is_slow) { &answered } else { &unanswered };
                    counter.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    let mut noted_at = Instant::now();
    while clients.iter().any(|client| !client.is_finished()) {
        let memory_kb = balancer.status_kb("RssAnon");
        most_kb = most_kb.max(memory_kb);
        if noted_at.elapsed() > Duration::from_millis(200) {
            record.note(&format!("balancer: {memory_kb} kB anonymous memory"));
            noted_at = Instant::now();
        }
        if memory_kb > u64::from(MEMORY_MB) * 1024 && !was_killed {
            record.note(&format!("platform: {memory_kb} kB is over {MEMORY_MB} MB: the balancer is killed"));
            balancer.signal("KILL");
            was_killed = true;
            is_over.store(true, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(5));
    }
    for client in clients {
        let _ = client.join();
    }
    let is_running = balancer.is_running();
    let summary = format!(
        "most memory {most_kb} kB of {} kB; killed for memory: {was_killed}; {} answered, {} unanswered; running at the end: {is_running}",
        u64::from(MEMORY_MB) * 1024,
        answered.load(Ordering::SeqCst),
        unanswered.load(Ordering::SeqCst),
    );
    record.note(&summary);
    println!("{summary}");
    Ok(if was_killed || !is_running { BROKEN } else { HELD })
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let result = run(Path::new(&folder)).unwrap_or_else(|error| {
        eprintln!("could not run: {error}");
        COULD_NOT_RUN
    });
    std::process::exit(result);
}

//! Case 3: some answers of the upstreams never end: they come in small pieces until the balancer gives up. Does the
//! balancer stay within its memory?
//!
//! The stand-in for the platform kills the balancer once its anonymous resident memory alone is over `memory_mb`; the
//! pages of its program file, which are resident too, are left out in its favour.

mod common;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const SOCKETS: u32 = 256;
const MEMORY_MB: u32 = 32;
const REQUESTS_PER_S: f64 = 100.0;
const LENGTH: Duration = Duration::from_secs(10);
/// Of each upstream's answers one in so many never ends.
const SPOILT_ONE_IN: usize = 5;
/// A spoilt answer brings a piece of this many bytes each millisecond.
const PIECE_BYTES: usize = 8;
const PIECE_INTERVAL: Duration = Duration::from_millis(1);

/// Sends a spoilt answer, until the balancer closes the connection; returns the number of pieces.
fn send_endless(stream: &mut TcpStream) -> usize {
    let head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nX-Backend-Load: util=0.20,inflight=1\r\n\r\n";
    let mut sent = stream.write_all(head);
    let mut pieces = 0;
    while sent.is_ok() && pieces < 20_000 {
        thread::sleep(PIECE_INTERVAL);
        sent = stream.write_all(&[b'y'; PIECE_BYTES]);
        pieces += 1;
    }
    pieces
}

fn run(folder: &Path) -> std::io::Result<i32> {
    let record = Record::create(folder)?;
    let mut entries = Vec::new();
    for k in 0..8 {
        let (name, log) = (format!("s-{k}"), Arc::clone(&record));
        let upstream = name.clone();
        let count = AtomicUsize::new(k);
        let endpoint = start_upstream(move |work, stream| {
            log.note(&format!("{upstream}: runs {} {}", work.id, work.target));
            thread::sleep(Duration::from_millis(20));
            let number = count.fetch_add(1, Ordering::SeqCst);
            if !has_trouble() || number % SPOILT_ONE_IN != 0 {
                return Some(work.id.clone().into_bytes());
            }
            let pieces = send_endless(stream);
            log.note(&format!("{upstream}: endless answer to {}: given up after {pieces} pieces", work.id));
            None
        })?;
        entries.push(Entry { uid: name, endpoint, state: "Ready", boot_ms: 0 });
    }
    let discovery = Discovery::start(entries, &record)?;
    let mut balancer =
        Balancer::start(discovery.address, &discovery.whole_list(), &settings(), SOCKETS, MEMORY_MB)?;
    thread::sleep(Duration::from_millis(1000));
    let answers: Arc<[AtomicUsize; 4]> = Arc::default();
    let (mut most_kb, mut sent, mut clients) = (0, 0, Vec::new());
    let (started, mut noted_at) = (Instant::now(), Instant::now());
    let mut was_killed = false;
    while started.elapsed() < LENGTH && !was_killed && balancer.is_running() {
        while f64::from(sent) < started.elapsed().as_secs_f64() * REQUESTS_PER_S {
            sent += 1;
            let (record, address, answers) = (Arc::clone(&record), balancer.address, Arc::clone(&answers));
            clients.push(thread::spawn(move || {
                let id = fresh_id();
                let text = match sent % 11 {
                    0 => request_head("session-settle", &id, 4000, None, Some(2)) + "{}",
                    k if k % 2 == 0 => request_head("station-status", &id, 2000, None, None),
                    _ => request_head("session-meter", &id, 4000, None, None),
                };
                record.note(&format!("client: sends {id} {}", text.lines().next().unwrap_or("")));
                let answer = TcpStream::connect(address).and_then(|mut stream| {
                    stream.set_read_timeout(Some(Duration::from_millis(4600)))?;
                    stream.write_all(text.as_bytes())?;
                    Reader::new(stream).next()
                });
                let status = answer.ok().flatten().map_or(0, |answer| answer.status());
                record.note(&format!("client: {id}: answer {status} (0: none)"));
                let kind = match status { 200 => 0, 429 | 503 => 1, 0 => 3, _ => 2 };
                answers[kind].fetch_add(1, Ordering::SeqCst);
            }));
        }
        let memory_kb = balancer.status_kb("RssAnon");
        most_kb = most_kb.max(memory_kb);
        if noted_at.elapsed() > Duration::from_millis(200) {
            record.note(&format!("balancer: {memory_kb} kB anonymous memory"));
            noted_at = Instant::now();
        }
        if memory_kb > u64::from(MEMORY_MB) * 1024 {
            record.note(&format!("platform: {memory_kb} kB is over {MEMORY_MB} MB: the balancer is killed"));
            balancer.signal("KILL");
            was_killed = true;
        }
        thread::sleep(Duration::from_millis(2));
    }
    let lived = started.elapsed().as_secs_f64();
    for client in clients {
        let _ = client.join();
    }
    let is_running = balancer.is_running();
    let [ok, refused, failed, none] = [0, 1, 2, 3].map(|k: usize| answers[k].load(Ordering::SeqCst));
    let summary = format!(
        "most memory {most_kb} kB of {} kB; killed for memory: {was_killed} (after {lived:.1} s); {sent} requests: {ok} served, {refused} refused, {failed} failed, {none} never answered; running at the end: {is_running}",
        u64::from(MEMORY_MB) * 1024,
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

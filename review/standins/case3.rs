//! Case 3: clients stop in the middle of a request and stay. Do the others get their final
//! answers?

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
/// Clients that stop in the middle and stay: with the others fewer than the descriptors.
const STALLED: usize = 150;
const GOOD: usize = 20;
const TIME_LEFT_MS: u64 = 1300;
/// An answer later than this after the time of its request counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500 + 50);

fn run(folder: &Path) -> std::io::Result<i32> {
    let record = Record::create(folder)?;
    let mut entries = Vec::new();
    for k in 0..8 {
        let (name, log) = (format!("s-{k}"), Arc::clone(&record));
        let upstream = name.clone();
        let endpoint = start_upstream(move |work, _| {
            log.note(&format!("{upstream}: runs {} {}, told {} ms", work.id, work.target, work.time_left_ms));
            thread::sleep(Duration::from_millis(20));
            Some(work.id.clone().into_bytes())
        })?;
        entries.push(Entry { uid: name, endpoint, state: "Ready", boot_ms: 0 });
    }
    let discovery = Discovery::start(entries, &record)?;
    let mut balancer = Balancer::start(discovery.address, &discovery.whole_list(), &settings(), SOCKETS, 32)?;
    thread::sleep(Duration::from_millis(1500));
    let mut stalled = Vec::new();
    if has_trouble() {
        for _ in 0..STALLED {
            let mut stream = TcpStream::connect(balancer.address)?;
            let head = request_head("session-start", &fresh_id(), 2400, Some("5c0f6e1a2b3d4c59"), Some(212));
            stream.write_all(format!("{head}{}", "x".repeat(100)).as_bytes())?;
            stalled.push(stream);
        }
        record.note(&format!("{STALLED} clients have sent half a request each, and stay"));
    }
    let (answered, shut, lost) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..GOOD)
        .map(|_| {
            let (record, address) = (Arc::clone(&record), balancer.address);
            let (answered, shut, lost) = (Arc::clone(&answered), Arc::clone(&shut), Arc::clone(&lost));
            thread::sleep(Duration::from_millis(20));
            thread::spawn(move || {
                let id = fresh_id();
                let Ok(mut stream) = TcpStream::connect(address) else { return };
                let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
                if stream.write_all(request_head("station-status", &id, TIME_LEFT_MS, None, None).as_bytes()).is_err() {
                    return;
                }
                let sent_at = Instant::now();
                record.note(&format!("client: sent {id}, time left {TIME_LEFT_MS} ms"));
                let answer = Reader::new(stream).next();
                let after = sent_at.elapsed();
                let text = match &answer {
                    Ok(Some(answer)) => format!("answer {}", answer.status()),
                    Ok(None) => "connection shut without an answer".to_owned(),
                    Err(error) => format!("no answer: {error}"),
                };
                record.note(&format!("client: {id}: {text} after {:.3} s", after.as_secs_f64()));
                let is_late = after > Duration::from_millis(TIME_LEFT_MS) + LOST_AFTER;
                let is_answer = matches!(answer, Ok(Some(_)));
                // New connections may be shut unread while idle clients fill the descriptors.
                let counter = if is_late { &lost } else if is_answer { &answered } else { &shut };
                counter.fetch_add(1, Ordering::SeqCst);
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    let (answered, shut, lost) = (count(&answered), count(&shut), count(&lost));
    let summary = format!("{GOOD} requests: {answered} answered in time, {shut} shut unread, {lost} lost; balancer running: {}", balancer.is_running());
    record.note(&summary);
    println!("{summary}");
    Ok(if lost > 0 { BROKEN } else { HELD })
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let result = run(Path::new(&folder)).unwrap_or_else(|error| {
        eprintln!("could not run: {error}");
        COULD_NOT_RUN
    });
    std::process::exit(result);
}

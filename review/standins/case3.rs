//! Case 3: lists are pushed, and the agent answers calls slowly. Does the balancer learn that an upstream drains?

mod common;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a call waits for its answer.
const ANSWERS_AFTER_MS: u64 = 1200;
const DRAIN_AT: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(18);
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
/// A change counts as told 6 s after discovery had it at the latest; sends may go on for the grace of 1 s, 0.05 s of
/// slack on sockets, and 0.15 s for a balancer that was held up.
const ALLOWED_AFTER_CHANGE: Duration = Duration::from_millis(6000 + 1000 + 50 + 150);

fn run(folder: &Path) -> std::io::Result<i32> {
    let record = Record::create(folder)?;
    let sends: Arc<Mutex<Vec<(usize, Instant)>>> = Arc::default();
    let mut entries = Vec::new();
    for k in 0..4 {
        let (name, log, sends) = (format!("s-{k}"), Arc::clone(&record), Arc::clone(&sends));
        let upstream = name.clone();
        let endpoint = start_upstream(move |work, _| {
            sends.lock().unwrap().push((k, Instant::now()));
            log.note(&format!("{upstream}: runs {} {}", work.id, work.target));
            thread::sleep(Duration::from_millis(20));
            Some(work.id.clone().into_bytes())
        })?;
        entries.push(Entry { uid: name, endpoint, state: "Ready", boot_ms: 0 });
    }
    let discovery = Discovery::start(entries, &record)?;
    if has_trouble() {
        discovery.answers_after_ms.store(ANSWERS_AFTER_MS, Ordering::SeqCst);
    }
    let settings = settings().replace(r#""discovery":"subscribe""#, r#""discovery":"automatic""#);
    let mut balancer = Balancer::start(discovery.address, &discovery.whole_list(), &settings, 256, 64)?;
    let answered = Arc::new(AtomicUsize::new(0));
    let started = Instant::now();
    let (mut sent, mut drained_at) = (0, None);
    while started.elapsed() < LENGTH && balancer.is_running() {
        if drained_at.is_none() && started.elapsed() >= DRAIN_AT {
            discovery.change("s-3", "Terminating");
            drained_at = Some(Instant::now());
        }
        let (address, answered) = (balancer.address, Arc::clone(&answered));
        sent += 1;
        thread::spawn(move || {
            let Ok(mut stream) = TcpStream::connect(address) else { return };
            let _ = stream.set_read_timeout(Some(Duration::from_millis(2500)));
            let _ = stream.write_all(request_head("station-status", &fresh_id(), 2000, None, None).as_bytes());
            if matches!(Reader::new(stream).next(), Ok(Some(_))) {
                answered.fetch_add(1, Ordering::SeqCst);
            }
        });
        thread::sleep(REQUEST_INTERVAL);
    }
    thread::sleep(Duration::from_millis(300));
    let Some(drained_at) = drained_at else { return Ok(COULD_NOT_RUN) };
    let late: Vec<f64> = sends
        .lock()
        .unwrap()
        .iter()
        .filter(|(k, at)| *k == 3 && *at > drained_at + ALLOWED_AFTER_CHANGE)
        .map(|(_, at)| (*at - drained_at).as_secs_f64())
        .collect();
    let summary = format!(
        "{sent} requests, {} answered; {} sent to s-3 more than {:.1} s after it began to drain, the last {:.1} s after; running at the end: {}",
        answered.load(Ordering::SeqCst),
        late.len(),
        ALLOWED_AFTER_CHANGE.as_secs_f64(),
        late.last().copied().unwrap_or(0.0),
        balancer.is_running()
    );
    record.note(&summary);
    println!("{summary}");
    Ok(if late.is_empty() { HELD } else { BROKEN })
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let result = run(Path::new(&folder)).unwrap_or_else(|error| {
        eprintln!("could not run: {error}");
        COULD_NOT_RUN
    });
    std::process::exit(result);
}

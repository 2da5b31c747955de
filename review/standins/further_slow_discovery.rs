//! Lists are pushed, and the agent answers calls slowly. Does the balancer learn that an upstream drains?

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
/// The draining process ends this long after its drain began; by then it has finished all that it may have been sent.
const ENDS_AFTER: Duration = Duration::from_secs(12);
const LENGTH: Duration = Duration::from_secs(18);
/// How long an upstream works on a request.
const WORK: Duration = Duration::from_millis(400);
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
/// A change counts as told 6 s after discovery had it at the latest; sends may go on for the grace of 1 s, 0.05 s of
/// slack on sockets, and 0.15 s for a balancer that was held up.
const ALLOWED_AFTER_CHANGE: Duration = Duration::from_millis(6000 + 1000 + 50 + 150);

fn run(folder: &Path) -> std::io::Result<i32> {
    let record = Record::create(folder)?;
    let sends: Arc<Mutex<Vec<(usize, Instant)>>> = Arc::default();
    let mut entries = Vec::new();
    let draining = Process::new();
    for k in 0..4 {
        let (name, log, sends) = (format!("s-{k}"), Arc::clone(&record), Arc::clone(&sends));
        let upstream = name.clone();
        let process = if k == 3 { Arc::clone(&draining) } else { Process::new() };
        let endpoint = start_process(&process, move |work, _| {
            sends.lock().unwrap().push((k, Instant::now()));
            log.note(&format!("{upstream}: runs {} {}", work.id, work.target));
            thread::sleep(WORK);
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
    let answers: Arc<[AtomicUsize; 4]> = Arc::default();
    let started = Instant::now();
    let (mut sent, mut drained_at) = (0, None);
    while started.elapsed() < LENGTH && balancer.is_running() {
        if drained_at.is_none() && started.elapsed() >= DRAIN_AT {
            discovery.change("s-3", "Terminating");
            drained_at = Some(Instant::now());
        }
        if drained_at.is_some_and(|at: Instant| at.elapsed() > ENDS_AFTER && !draining.has_ended.load(Ordering::SeqCst)) {
            draining.end();
            record.note("s-3: has drained, its process ends");
        }
        let (address, answers, record) = (balancer.address, Arc::clone(&answers), Arc::clone(&record));
        sent += 1;
        thread::spawn(move || {
            let id = fresh_id();
            let Ok(mut stream) = TcpStream::connect(address) else { return };
            let _ = stream.set_read_timeout(Some(Duration::from_millis(4500)));
            let text = request_head("session-settle", &id, 4000, None, Some(2)) + "{}";
            record.note(&format!("client: sends {id} {}", text.lines().next().unwrap_or("")));
            let _ = stream.write_all(text.as_bytes());
            let status = Reader::new(stream).next().ok().flatten().map_or(0, |answer| answer.status());
            record.note(&format!("client: {id}: answer {status} (0: none)"));
            let kind = match status { 200 => 0, 429 | 503 => 1, 0 => 3, _ => 2 };
            answers[kind].fetch_add(1, Ordering::SeqCst);
        });
        thread::sleep(REQUEST_INTERVAL);
    }
    thread::sleep(Duration::from_millis(1500));
    let Some(drained_at) = drained_at else { return Ok(COULD_NOT_RUN) };
    let late: Vec<f64> = sends
        .lock()
        .unwrap()
        .iter()
        .filter(|(k, at)| *k == 3 && *at > drained_at + ALLOWED_AFTER_CHANGE)
        .map(|(_, at)| (*at - drained_at).as_secs_f64())
        .collect();
    let [ok, refused, failed, none] = [0, 1, 2, 3].map(|k: usize| answers[k].load(Ordering::SeqCst));
    let summary = format!(
        "{sent} requests: {ok} served, {refused} refused, {failed} failed, {none} never answered; {} sent to s-3 more than {:.1} s after it began to drain, the last {:.1} s after; running at the end: {}",
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

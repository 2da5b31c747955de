//! Case 2: the settings are those of a customer who wants the answers of one class within less than 50 ms. Does the
//! balancer outlive its first answer, and does it answer what it had taken before?

mod common;
use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Requests of another class that are out at an upstream when the first answer of the fast class arrives.
const SETTLEMENTS: usize = 8;
const FAST_REQUESTS: usize = 5;

/// Sends a request and waits for its answer; returns its status, 0 if there is none.
fn send(record: &Record, address: SocketAddr, id: &str, text: &str) -> u16 {
    record.note(&format!("client: sends {id} {}", text.lines().next().unwrap_or("")));
    let answer = TcpStream::connect(address).and_then(|mut stream| {
        stream.set_read_timeout(Some(Duration::from_millis(4500)))?;
        stream.write_all(text.as_bytes())?;
        Reader::new(stream).next()
    });
    let status = answer.ok().flatten().map_or(0, |answer| answer.status());
    record.note(&format!("client: {id}: answer {status} (0: none)"));
    status
}

fn run(folder: &Path) -> std::io::Result<i32> {
    let record = Record::create(folder)?;
    let mut entries = Vec::new();
    for k in 0..4 {
        let (name, log) = (format!("s-{k}"), Arc::clone(&record));
        let upstream = name.clone();
        let endpoint = start_upstream(move |work, _| {
            log.note(&format!("{upstream}: runs {} {}", work.id, work.target));
            let is_fast = work.target.contains("station-status");
            thread::sleep(Duration::from_millis(if is_fast { 5 } else { 400 }));
            Some(work.id.clone().into_bytes())
        })?;
        entries.push(Entry { uid: name, endpoint, state: "Ready", boot_ms: 0 });
    }
    let discovery = Discovery::start(entries, &record)?;
    let aim = if has_trouble() { r#""aim_ms":40.0"# } else { r#""aim_ms":60.0"# };
    let settings = settings().replace(r#""aim_ms":1200.0"#, aim);
    let mut balancer = Balancer::start(discovery.address, &discovery.whole_list(), &settings, 256, 64)?;
    thread::sleep(Duration::from_millis(500));
    let unanswered = Arc::new(AtomicUsize::new(0));
    let settlements: Vec<_> = (0..SETTLEMENTS)
        .map(|_| {
            let (record, address, unanswered) = (Arc::clone(&record), balancer.address, Arc::clone(&unanswered));
            thread::spawn(move || {
                let id = fresh_id();
                let text = request_head("session-settle", &id, 4000, None, Some(2)) + "{}";
                unanswered.fetch_add(usize::from(send(&record, address, &id, &text) == 0), Ordering::SeqCst);
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(150));
    let mut fast_unanswered = 0;
    for _ in 0..FAST_REQUESTS {
        if !balancer.is_running() {
            break;
        }
        let id = fresh_id();
        let text = request_head("station-status", &id, 1000, None, None);
        fast_unanswered += usize::from(send(&record, balancer.address, &id, &text) == 0);
        thread::sleep(Duration::from_millis(100));
    }
    for settlement in settlements {
        let _ = settlement.join();
    }
    let is_running = balancer.is_running();
    let log = std::fs::read_to_string(balancer.folder.join("balancer.log")).unwrap_or_default();
    let panic = log.lines().skip_while(|line| !line.contains("panicked at")).nth(1).unwrap_or("none");
    let summary = format!(
        "{aim}: running at the end: {is_running}; panic: {panic}; never answered: {} of {SETTLEMENTS} session-settle, {fast_unanswered} station-status",
        unanswered.load(Ordering::SeqCst)
    );
    record.note(&summary);
    println!("{summary}");
    Ok(if is_running { HELD } else { BROKEN })
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let result = run(Path::new(&folder)).unwrap_or_else(|error| {
        eprintln!("could not run: {error}");
        COULD_NOT_RUN
    });
    std::process::exit(result);
}

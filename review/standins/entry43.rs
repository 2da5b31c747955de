//! Entry 43: a class whose answers are wanted within less than 50 ms. Does the balancer outlive its first answer?

mod common;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

fn run(folder: &Path) -> std::io::Result<i32> {
    let record = Record::create(folder)?;
    let log = Arc::clone(&record);
    let endpoint = start_upstream(move |work, _| {
        log.note(&format!("s-0: runs {} {}", work.id, work.target));
        thread::sleep(Duration::from_millis(5));
        Some(work.id.clone().into_bytes())
    })?;
    let entries = vec![Entry { uid: "s-0".to_owned(), endpoint, state: "Ready", boot_ms: 0 }];
    let discovery = Discovery::start(entries, &record)?;
    let aim = if has_trouble() { r#""aim_ms":40.0"# } else { r#""aim_ms":60.0"# };
    let settings = settings().replace(r#""aim_ms":1200.0"#, aim);
    let mut balancer = Balancer::start(discovery.address, &discovery.whole_list(), &settings, 256, 64)?;
    let mut answered = 0;
    for _ in 0..5 {
        let id = fresh_id();
        let answer = TcpStream::connect(balancer.address).and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_secs(3)))?;
            stream.write_all(request_head("station-status", &id, 2000, None, None).as_bytes())?;
            Reader::new(stream).next()
        });
        let status = answer.ok().flatten().map_or(0, |answer| answer.status());
        record.note(&format!("client: {id}: answer {status} (0: none)"));
        answered += usize::from(status != 0);
        thread::sleep(Duration::from_millis(100));
    }
    let is_running = balancer.is_running();
    let summary = format!("{aim}: 5 requests, {answered} answered; running at the end: {is_running}");
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

//! Clients with long requests and answers, and peers that stop in the middle of a request and stay.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// `memory_mb` and `sockets`, the pair of inc9331 in REPORTS ("memory MB [9] of 32, descriptors [243] of 256").
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 256;
/// Clients with one connection each. TERMS allows a third of the descriptors, which is 85.
const CLIENTS: usize = 60;
/// Peers that send a request but for its last byte.
const PEERS: usize = 52;
/// PROTOCOL: "A body holds 64 KiB at most".
const BODY_BYTES: usize = 64 * 1024;
/// The time that a node needs for a request: in BRIEF, `session-start` has work and waits of 0.55 to 1.02 s.
const WORK_S: f64 = 1.0;
const RUN_S: f64 = 20.0;

fn main() {
    main_of(|case| {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let work = NodeWork {
            work_s: WORK_S,
            answer_bytes: BODY_BYTES,
        };
        let start = |k| Node::start(&format!("s-{k}"), work, &case.record, &arrivals);
        let nodes: Vec<Node> = (0..10).map(start).collect::<Result<_, _>>()?;
        let entries: Vec<Entry> = nodes.iter().map(|node| node.entry("Ready")).collect();
        let discovery = Discovery::start(&case.record, entries.clone())?;
        let deployment = Deployment {
            listen: free_address()?,
            discovery: discovery.address,
            memory_mb: MEMORY_MB,
            sockets: SOCKETS,
            known: list_json(41, true, &entries),
            settings: settings_json(&TENANTS),
        };
        let mut program = deployment.start(case)?;
        let (answers, stop) = (
            Arc::new(Answers::default()),
            Arc::new(AtomicBool::new(false)),
        );
        let mut threads: Vec<_> = (0..CLIENTS)
            .map(|k| start_client(k, deployment.listen, case, &answers, &stop))
            .collect();
        let ended_peers = Arc::new(AtomicU64::new(0));
        if case.has_trouble {
            sleep_s(3.0);
            case.record.line(&format!("{PEERS} peers begin"));
            for k in 0..PEERS {
                threads.push(start_peer(k, deployment.listen, case, &ended_peers, &stop));
            }
        }
        let (mut most, mut killed) = (0, None);
        let end = case.record.now() + RUN_S;
        while case.record.now() < end && killed.is_none() {
            sleep_s(0.01);
            if let Some(status) = program.ended() {
                killed = Some(format!("the balancer has ended by itself: {status}"));
            }
            // Only memory that nothing else can hold counts here, not the pages of the program's file.
            let kib = program.memory_kib("RssAnon:") + program.memory_kib("RssShmem:");
            if kib / 256 > most / 256 {
                case.record.line(&format!("the balancer holds {kib} KiB"));
            }
            most = most.max(kib);
            if kib > MEMORY_MB * 1024 {
                program.kill();
                case.record
                    .line(&format!("platform: {kib} KiB, over the limit: killed"));
                killed = Some(format!("{kib} KiB held, {} KiB allowed", MEMORY_MB * 1024));
            }
        }
        stop.store(true, Ordering::SeqCst);
        for thread in threads {
            let _ = thread.join();
        }
        case.record.line(&format!(
            "clients: {}; {} arrivals; {} connections of peers ended; at most {most} KiB",
            answers.text(),
            lock(&arrivals).len(),
            ended_peers.load(Ordering::SeqCst)
        ));
        if lock(&arrivals).len() < CLIENTS {
            return Ok((Verdict::CouldNotRun, "too few requests arrived".to_owned()));
        }
        let unanswered = answers.none.load(Ordering::SeqCst);
        Ok(match killed {
            Some(why) => (
                Verdict::Broken,
                format!("killed for its memory: {why}; {unanswered} requests got no answer"),
            ),
            None => (
                Verdict::Held,
                format!("at most {most} KiB of {}", MEMORY_MB * 1024),
            ),
        })
    });
}

/// A client that sends one request after another; after a refusal it waits for 0.5 s.
fn start_client(
    k: usize,
    address: SocketAddr,
    case: &Case,
    answers: &Arc<Answers>,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, answers, stop) = (
        Arc::clone(&case.record),
        Arc::clone(answers),
        Arc::clone(stop),
    );
    thread::spawn(move || {
        let body = vec![b'x'; BODY_BYTES];
        let mut client = Client::new(address);
        for sent in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("{k:04x}-{sent:08x}");
            let ask = Ask {
                class: if k % 2 == 0 {
                    "session-start"
                } else {
                    "session-settle"
                },
                tenant: TENANTS[k % TENANTS.len()].0,
                id: &id,
                time_left_ms: 4000,
                body: &body,
            };
            record.line(&format!("client {k} sends {} {id}", ask.class));
            let word = answers.count(&client.ask(&ask));
            record.line(&format!("client {k} gets {id} {word}"));
            if word != "served" {
                sleep_s(0.5);
            }
        }
    })
}

/// A peer that sends a request but for its last byte, waits until its connection ends, and comes back after 0.5 s.
fn start_peer(
    k: usize,
    address: SocketAddr,
    case: &Case,
    ended: &Arc<AtomicU64>,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, ended, stop) = (
        Arc::clone(&case.record),
        Arc::clone(ended),
        Arc::clone(stop),
    );
    thread::spawn(move || {
        let ask = Ask {
            class: "session-settle",
            tenant: "seoul",
            id: "never-complete",
            time_left_ms: 6000,
            body: &[b'x'; BODY_BYTES],
        };
        let mut bytes = ask.bytes();
        bytes.pop();
        while !stop.load(Ordering::SeqCst) {
            if let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
                let _ = stream.write_all(&bytes);
                let mut answer = [0; 64];
                let count = stream.read(&mut answer).unwrap_or(0);
                let answer = String::from_utf8_lossy(&answer[..count.min(24)]).into_owned();
                record.line(&format!("peer {k} gets {answer:?}"));
                ended.fetch_add(1, Ordering::SeqCst);
            }
            sleep_s(0.5);
        }
    })
}

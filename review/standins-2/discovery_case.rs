//! What the cases of discovery share: a small deployment, clients, a drain, and the check of the rule on drains.

#![allow(dead_code)]

use crate::common::*;
use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

/// The number of session nodes, as at the co-operative on a quiet day.
const NODES: usize = 8;
/// The nodes that are drained.
pub const DRAINED: [&str; 2] = ["s-0", "s-1"];
/// `drain_grace_ms` of the settings and the 50 ms of PROTOCOL, "every time limit is 50 ms longer".
const GRACE_S: f64 = 1.0 + 0.05;
/// What the check adds in favour of the balancer: it may be held up for 0.15 s between its clock and a write.
const HELD_UP_S: f64 = 0.15;

pub struct Fleet {
    pub program: Program,
    pub discovery: Discovery,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    answers: Arc<Answers>,
    stop: Arc<AtomicBool>,
    clients: Vec<std::thread::JoinHandle<()>>,
}

impl Fleet {
    /// Starts the nodes, discovery, the balancer and ten clients.
    pub fn start(case: &Case) -> io::Result<Self> {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let work = NodeWork {
            work_s: 0.05,
            answer_bytes: 200,
        };
        let start = |k| Node::start(&format!("s-{k}"), work, &case.record, &arrivals);
        let nodes: Vec<Node> = (0..NODES).map(start).collect::<Result<_, _>>()?;
        let entries: Vec<Entry> = nodes.iter().map(|node| node.entry("Ready")).collect();
        let discovery = Discovery::start(&case.record, entries.clone())?;
        let deployment = Deployment {
            listen: free_address()?,
            discovery: discovery.address,
            memory_mb: 48,
            sockets: 384,
            known: list_json(41, true, &entries),
            settings: settings_json(&TENANTS),
        };
        let program = deployment.start(case)?;
        let (answers, stop) = (
            Arc::new(Answers::default()),
            Arc::new(AtomicBool::new(false)),
        );
        let clients = start_clients(deployment.listen, 10, 0.2, &case.record, &answers, &stop);
        Ok(Self {
            program,
            discovery,
            arrivals,
            answers,
            stop,
            clients,
        })
    }

    /// Ends the clients and the balancer, and judges: no request may arrive at a drained node after `told_at` and the
    /// grace.
    pub fn judge(mut self, case: &Case, told_at: f64) -> (Verdict, String) {
        self.stop.store(true, std::sync::atomic::Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
        if let Some(status) = self.program.ended() {
            return (Verdict::Broken, format!("the balancer has ended: {status}"));
        }
        self.program.kill();
        let arrivals = lock(&self.arrivals);
        let limit = told_at + GRACE_S + HELD_UP_S;
        let is_drained = |arrival: &&Arrival| DRAINED.contains(&arrival.uid.as_str());
        let late: Vec<&Arrival> = arrivals
            .iter()
            .filter(is_drained)
            .filter(|arrival| arrival.at > limit)
            .collect();
        case.record.line(&format!(
            "told at {told_at:.3}, limit {limit:.3}; clients: {}; {} arrivals, {} of them late at drained nodes",
            self.answers.text(),
            arrivals.len(),
            late.len()
        ));
        for arrival in &late {
            case.record.line(&format!(
                "late: {} {} at {} at {:.3}",
                arrival.class, arrival.id, arrival.uid, arrival.at
            ));
        }
        if arrivals.len() < 100 {
            return (
                Verdict::CouldNotRun,
                "too few requests were served".to_owned(),
            );
        }
        match (late.first(), late.last()) {
            (Some(first), Some(last)) => (
                Verdict::Broken,
                format!(
                    "{} new requests at drained nodes, {:.1} to {:.1} s after the drain counts as told",
                    late.len(),
                    first.at - told_at,
                    last.at - told_at
                ),
            ),
            _ => (
                Verdict::Held,
                format!(
                    "no new request at a drained node, {} arrivals",
                    arrivals.len()
                ),
            ),
        }
    }
}

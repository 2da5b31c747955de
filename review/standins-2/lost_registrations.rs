//! All nodes of a zone register at the same moment with a registry whose `limits.changes` is below their number.

#[path = "common.rs"]
mod common;
#[path = "registry_case.rs"]
mod registry_case;

use common::*;
use registry_case::Registry;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

/// BRIEF: "On the busiest days ... 10 to 14 session nodes".
const NODES: usize = 14;
/// `limits.changes`, which may be 1 to 1000000.
const CHANGES: usize = 8;
const TIMEOUT: Duration = Duration::from_secs(3);

fn main() {
    main_of(|case| {
        let registry = Registry::start(case, &format!("[limits]\nchanges = {CHANGES}\n"))?;
        let write = registry.write;
        let together = Arc::new(Barrier::new(NODES));
        let start = |k: usize| {
            let (record, together) = (Arc::clone(&case.record), Arc::clone(&together));
            let has_trouble = case.has_trouble;
            thread::spawn(move || -> std::io::Result<bool> {
                if has_trouble {
                    together.wait();
                } else {
                    sleep_s(0.1 * k as f64);
                }
                let body = format!(
                    "{{\"endpoint\":\"127.0.0.1:{}\",\"az\":\"guro-dc\",\"boot_ms\":{},\"ttl_s\":10}}",
                    20_000 + k,
                    unix_ms()
                );
                let answer = call(write, "PUT", &format!("/upstreams/s-{k}"), &body, TIMEOUT)?;
                let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
                record.line(&format!("s-{k} registers: {} {text}", answer.status()));
                Ok(answer.status() == 200)
            })
        };
        let nodes: Vec<_> = (0..NODES).map(start).collect();
        let mut accepted = Vec::new();
        for (k, node) in nodes.into_iter().enumerate() {
            if node.join().is_ok_and(|result| result.unwrap_or(false)) {
                accepted.push(format!("s-{k}"));
            }
        }
        sleep_s(3.0);
        let list = registry.list()?;
        case.record.line(&format!("list: {list}"));
        let is_missing = |uid: &&String| !list.contains(&format!("\"uid\":\"{uid}\""));
        let missing: Vec<&String> = accepted.iter().filter(is_missing).collect();
        if accepted.len() < NODES {
            return Ok((
                Verdict::CouldNotRun,
                "a registration was not accepted".to_owned(),
            ));
        }
        Ok(if missing.is_empty() {
            (
                Verdict::Held,
                format!("all {NODES} accepted nodes are on the list"),
            )
        } else {
            (
                Verdict::Broken,
                format!(
                    "{} of {NODES} accepted nodes are not on the list: {missing:?}",
                    missing.len()
                ),
            )
        })
    });
}

//! A rolling deploy with overlap: the successor of a node is on the list, under the uid of the node, when the agent of the
//! predecessor is told to end.

#[path = "common.rs"]
mod common;
#[path = "registry_case.rs"]
mod registry_case;

use common::*;
use registry_case::{Agent, Registry, Service};
use std::sync::atomic::Ordering;

const NODES: usize = 10;
/// A fifth of the fleet at a time, and the whole fleet within 25 s: BRIEF allows 20% and 20 to 40 s.
const NODES_A_STEP: usize = 2;
const STEP_S: f64 = 5.0;
const TTL_S: u32 = 10;
const DRAIN_S: u32 = 2;

fn main() {
    main_of(|case| {
        let registry = Registry::start(case, "")?;
        let uids: Vec<String> = (0..NODES).map(|k| format!("s-{k}")).collect();
        let start = |uid: &String| Agent::start(case, uid, registry.write, TTL_S, DRAIN_S);
        let mut predecessors: Vec<Agent> = uids.iter().map(start).collect::<Result<_, _>>()?;
        for uid in &uids {
            if !registry.wait_for(uid, "\"Ready\"", 5.0)? {
                return Ok((Verdict::CouldNotRun, format!("{uid} is not on the list")));
            }
        }
        let mut service = Service::start(case, &registry)?;
        sleep_s(3.0);
        let served_before = served_in(&service, 3.0);
        let mut successors = Vec::new();
        for step in uids.chunks(NODES_A_STEP) {
            let step_end = case.record.now() + STEP_S;
            let old: Vec<Agent> = predecessors.drain(..step.len()).collect();
            if case.has_trouble {
                for uid in step {
                    let successor = start(uid)?;
                    if !registry.wait_for(uid, &successor.address.to_string(), 2.0)? {
                        return Ok((Verdict::CouldNotRun, "a successor is not listed".to_owned()));
                    }
                    case.record
                        .line(&format!("successor listed: {:?}", registry.entry(uid)?));
                    successors.push(successor);
                }
            }
            for (uid, agent) in step.iter().zip(&old) {
                case.record
                    .line(&format!("SIGTERM to the predecessor of {uid}"));
                agent.program.signal("TERM")?;
            }
            drop(old);
            case.record
                .line(&format!("the predecessors of {step:?} have ended"));
            if !case.has_trouble {
                for uid in step {
                    successors.push(start(uid)?);
                    registry.wait_for(uid, "\"Ready\"", 3.0)?;
                }
            }
            sleep_s(step_end - case.record.now());
        }
        // Longer than a lease, so that every successor has registered or renewed since.
        sleep_s(f64::from(TTL_S) + 2.0);
        let mut wrong = 0;
        for uid in &uids {
            let entry = registry.entry(uid)?.unwrap_or_default();
            case.record
                .line(&format!("at the end the list says: {entry}"));
            wrong += usize::from(!entry.contains("\"Ready\""));
        }
        let served = served_in(&service, 3.0);
        let alive = successors
            .iter_mut()
            .filter_map(|agent| agent.program.ended());
        let ended = alive.count();
        service.end(case);
        if ended > 0 {
            return Ok((
                Verdict::CouldNotRun,
                format!("{ended} successors have ended"),
            ));
        }
        Ok(if wrong == 0 {
            (
                Verdict::Held,
                format!(
                    "all {NODES} successors are Ready; served in 3 s: {served_before} before, {served} after"
                ),
            )
        } else {
            (
                Verdict::Broken,
                format!(
                    "{wrong} of {NODES} running successors, which nobody drained, are listed as draining; served in 3 s: \
                     {served_before} before, {served} after"
                ),
            )
        })
    });
}

fn served_in(service: &Service, seconds: f64) -> u64 {
    let served = service.answers.served.load(Ordering::SeqCst);
    sleep_s(seconds);
    service.answers.served.load(Ordering::SeqCst) - served
}

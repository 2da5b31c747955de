//! A characterization test of the decision module: the same settings, seed and events give the same
//! actions.
//!
//! A seeded generator plays a legal sequence of events against a model of upstreams, clients and
//! discovery, over three settings. All actions go into one digest per settings, as kinds, ids,
//! upstreams, durations to the nanosecond and failure reasons by position, never names; what the
//! balancer says of itself (figures as bits) goes into a second one.
//!
//! The last bit of `exp` may differ between processors, so the digests of the full sequences are
//! compared between two revisions on one machine, by `tests/compare-digest.sh`. The short
//! sequences' digests of actions are held here: they stayed the same with each result of `exp`
//! moved by up to four units in its last place.
//!
//! Only `adapter.rs` and `sites.rs` use the crate's names.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

mod adapter;
mod digest;
mod model;
mod sites;

use model::Model;
use std::collections::{BTreeMap, BTreeSet};

/// Events a setting is played for: in the full sequences, some 100,000 over all, and in the short
/// ones.
const FULL_EVENTS: u64 = 34_000;
const SHORT_EVENTS: u64 = 6_000;
/// Digests of actions of the short sequences, by settings.
const SHORT_DIGESTS: [u64; 3] = [
    0x3cdf_f75c_26cc_fcac,
    0x6192_2002_5a35_63a3,
    0x7176_c9c9_8df4_80b9,
];

/// Kinds of actions; the health check is asked for by no revision yet.
const ACTION_KINDS: usize = 9;
const HEALTH_CHECK: usize = 7;
const REASONS: usize = 12;

/// What a sequence has come to.
#[derive(Debug, PartialEq)]
struct Summary {
    actions: u64,
    status: u64,
    kinds: [u64; ACTION_KINDS],
    reasons: [u64; REASONS],
    inputs: BTreeMap<&'static str, u64>,
}

fn run(number: usize, events: u64) -> Summary {
    let mut model = Model::new(number);
    while model.events < events {
        model.step();
    }
    let (actions, status) = (model.actions.0, model.status.0);
    Summary {
        actions,
        status,
        kinds: model.kinds,
        reasons: model.reasons,
        inputs: model.inputs,
    }
}

/// That the sequences together are rich: else a digest would say little.
fn assert_rich(summaries: &[Summary]) {
    for kind in (0..ACTION_KINDS).filter(|kind| *kind != HEALTH_CHECK) {
        assert!(
            summaries.iter().any(|s| s.kinds[kind] > 0),
            "no action of kind {kind}: {summaries:?}"
        );
    }
    for reason in 0..REASONS {
        assert!(
            summaries.iter().any(|s| s.reasons[reason] > 0),
            "no reason {reason}: {summaries:?}"
        );
    }
    let inputs: BTreeSet<&str> = summaries
        .iter()
        .flat_map(|s| s.inputs.keys().copied())
        .collect();
    assert_eq!(inputs.len(), 19, "{inputs:?}");
}

fn run_all(events: u64) -> Vec<Summary> {
    (0..3).map(|number| run(number, events)).collect()
}

#[test]
fn same_events_give_the_same_actions() {
    let summaries = run_all(FULL_EVENTS);
    assert_rich(&summaries);
    assert_eq!(summaries, run_all(FULL_EVENTS));
}

#[test]
fn short_sequences_give_the_recorded_actions() {
    let digests: Vec<u64> = run_all(SHORT_EVENTS)
        .iter()
        .map(|summary| summary.actions)
        .collect();
    assert_eq!(digests, SHORT_DIGESTS, "{digests:#018x?}");
}

/// Prints the digests that `tests/compare-digest.sh` compares.
#[test]
#[ignore = "its digests are compared between two revisions, by tests/compare-digest.sh"]
fn full_digests() {
    let summaries = run_all(FULL_EVENTS);
    for (number, summary) in summaries.iter().enumerate() {
        println!(
            "digest settings={number} actions={:016x} status={:016x} kinds={:?} reasons={:?}",
            summary.actions, summary.status, summary.kinds, summary.reasons
        );
        println!("events settings={number} {:?}", summary.inputs);
    }
    assert_rich(&summaries);
}

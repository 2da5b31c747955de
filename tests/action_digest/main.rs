//! A characterization test of the decision module: equal settings, seeds and events must give equal
//! actions.
//!
//! For each of three settings, a seeded model of upstreams, clients and discovery generates a legal
//! sequence of events. Two digests are computed for each sequence. The first contains all actions:
//! kinds, ids, upstreams, durations in nanoseconds, and failure reasons by position. The second
//! contains the status of the balancer, with floating-point values as bits. No digest contains
//! names.
//!
//! The last bit of `exp` may differ between processors. The digests of the full sequences are
//! therefore compared between two revisions on one machine, by `tests/compare-digest.sh`. The
//! action digests of the short sequences are recorded here: they do not change if results of `exp`
//! change by up to four units in the last place.
//!
//! Only `adapter.rs` and `sites.rs` use names of the crate.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

mod adapter;
mod digest;
mod model;
mod sites;

use model::Model;
use std::collections::{BTreeMap, BTreeSet};

/// Number of events in a full sequence, about 100,000 over all three settings, and in a short one.
const FULL_EVENT_COUNT: u64 = 34_000;
const SHORT_EVENT_COUNT: u64 = 6_000;
/// The action digests of the short sequences, in the order of the three settings.
const SHORT_DIGESTS: [u64; 3] = [
    0x3cdf_f75c_26cc_fcac,
    0x6192_2002_5a35_63a3,
    0x7176_c9c9_8df4_80b9,
];

/// Number of kinds of actions, and the kind of the health check, which the decision module does
/// not request yet.
const ACTION_KIND_COUNT: usize = 9;
const HEALTH_CHECK_KIND: usize = 7;
/// Number of failure reasons.
const REASON_COUNT: usize = 12;

/// The digests of a sequence, and how often each kind of action, failure reason and event occurred.
#[derive(Debug, PartialEq)]
struct Summary {
    actions: u64,
    status: u64,
    kinds: [u64; ACTION_KIND_COUNT],
    reasons: [u64; REASON_COUNT],
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

/// Asserts that the sequences together contain every kind of action, failure reason and event.
/// Otherwise equal digests would prove little.
fn assert_covers_all_kinds(summaries: &[Summary]) {
    for kind in (0..ACTION_KIND_COUNT).filter(|kind| *kind != HEALTH_CHECK_KIND) {
        assert!(
            summaries.iter().any(|s| s.kinds[kind] > 0),
            "no sequence has an action of kind {kind}: {summaries:?}"
        );
    }
    for reason in 0..REASON_COUNT {
        assert!(
            summaries.iter().any(|s| s.reasons[reason] > 0),
            "no sequence has the failure reason {reason}: {summaries:?}"
        );
    }
    let inputs: BTreeSet<&str> = summaries
        .iter()
        .flat_map(|s| s.inputs.keys().copied())
        .collect();
    assert_eq!(inputs.len(), 19, "kinds of events: {inputs:?}");
}

fn run_all(events: u64) -> Vec<Summary> {
    (0..3).map(|number| run(number, events)).collect()
}

#[test]
fn equal_events_cause_equal_actions() {
    let summaries = run_all(FULL_EVENT_COUNT);
    assert_covers_all_kinds(&summaries);
    assert_eq!(summaries, run_all(FULL_EVENT_COUNT));
}

#[test]
fn short_sequences_match_the_recorded_digests() {
    let digests: Vec<u64> = run_all(SHORT_EVENT_COUNT)
        .iter()
        .map(|summary| summary.actions)
        .collect();
    assert_eq!(
        digests, SHORT_DIGESTS,
        "action digests of the short sequences: {digests:#018x?}"
    );
}

/// Prints the digests that `tests/compare-digest.sh` compares.
#[test]
#[ignore = "tests/compare-digest.sh runs it and compares its digests between two revisions"]
fn full_digests() {
    let summaries = run_all(FULL_EVENT_COUNT);
    for (number, summary) in summaries.iter().enumerate() {
        println!(
            "digest settings={number} actions={:016x} status={:016x} kinds={:?} reasons={:?}",
            summary.actions, summary.status, summary.kinds, summary.reasons
        );
        println!("events settings={number} {:?}", summary.inputs);
    }
    assert_covers_all_kinds(&summaries);
}

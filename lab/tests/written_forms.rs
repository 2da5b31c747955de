//! What a play writes: `events.jsonl`, `result.json` and the page, byte for byte as committed.

use frostkeel_lab::check::{Broken, Rule};
use frostkeel_lab::figures::{ClassCounts, Counts, Figures, Second};
use frostkeel_lab::history::{Event, Listed, Lost, Process, Reply, What};
use frostkeel_lab::presence;
use frostkeel_lab::simulated::Simulated;
use frostkeel_lab::{LabItself, Members, Played, report};
use frostkeel_membership::{MemberState, Name};
use std::path::Path;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// Every kind of event, with every value of each of its enumerations.
fn events() -> Vec<Event> {
    let mut all = vec![
        What::Wanted {
            request: 3,
            class: 1,
        },
        What::Asked {
            id: 24,
            request: 3,
            again: 0,
            class: 1,
            tenant: 2,
            balancer: 0,
        },
        What::Answered {
            id: 24,
            status: 200,
        },
        What::Arrived {
            id: 24,
            upstream: 4,
        },
        What::Called { balancer: 1 },
        What::Load {
            upstream: 4,
            holds: 7,
            util: 0.5,
        },
        What::Unlinked { balancer: 1 },
        What::Yielded { by: 1 },
        What::Fault {
            text: "u1: killed, back after 2s".into(),
            lasts: Some(2.0),
        },
        What::Fault {
            text: "b1: asked to leave, started again".into(),
            lasts: None,
        },
    ];
    all.extend(
        [Lost::NoConnection, Lost::Broken, Lost::GaveUp]
            .map(|how| What::Unanswered { id: 25, how }),
    );
    let replies = [Reply::Served, Reply::TurnedAway];
    all.extend(replies.map(|reply| What::Replied {
        id: 24,
        upstream: 4,
        reply,
    }));
    let listed = [Listed::Ready, Listed::Terminating, Listed::Gone];
    all.extend(listed.map(|listed| What::Told {
        balancer: 1,
        upstream: 4,
        listed,
    }));
    let lifecycle = [
        Process::Ready,
        Process::Killed,
        Process::Asked,
        Process::Held,
        Process::Released,
        Process::Ended,
        Process::Crashed,
        Process::OverMemory,
        Process::Outlived,
        Process::Fell,
        Process::Ill,
        Process::Well,
    ];
    all.extend(lifecycle.map(|became| What::Balancer {
        balancer: 1,
        became,
    }));
    all.extend(lifecycle.map(|became| What::Upstream {
        upstream: 4,
        became,
    }));
    all.extend(lifecycle.map(|became| What::Registry { became }));
    let states = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Left,
        MemberState::Dead,
    ];
    all.extend(states.map(|standing| What::Saw {
        by: 0,
        name: name("b1"),
        incarnation: 1_700_000_000_001,
        standing,
        version: 9,
    }));
    (0..)
        .zip(all)
        .map(|(k, what)| Event {
            at: 250_000 * k,
            what,
        })
        .collect()
}

fn counts(asked: u32) -> Counts {
    Counts {
        asked,
        in_time: asked - 4,
        late: 2,
        refused: 1,
        failed: 1,
    }
}

fn breaches() -> Vec<Broken> {
    let rules = [
        Rule::OneAnswer,
        Rule::TrulyServed,
        Rule::NeverTwice,
        Rule::ThreeAttempts,
        Rule::Drained,
        Rule::ColdSpared,
        Rule::Present,
        Rule::Sound,
    ];
    (0..)
        .zip(rules)
        .map(|(at, rule)| Broken {
            rule,
            at,
            text: "b1: Crashed at 0.001 s".into(),
        })
        .collect()
}

fn membership_figures() -> presence::Figures {
    presence::Figures {
        kills: 1,
        leaves: 2,
        known_p50_s: 3.5,
        known_p99_s: 4.5,
        known_worst_s: 5.5,
        left_worst_s: 0.25,
        unknown: 3,
        false_gone: 4,
        false_gone_held: 5,
        left_as_gone: 6,
        suspected: 7,
        equal_since_s: Some(8.5),
        unequal: 9,
        differences: vec!["b1 has b2 as None, most have Some(5)".into()],
    }
}

fn outcome() -> Played {
    let second = |asked| Second {
        counts: counts(asked),
        p50_ms: 120.5,
        p99_ms: 850.25,
        util: 0.375,
    };
    Played {
        experiment: "forms & <signs>".into(),
        seed: 7,
        balancer: "target/balancer".into(),
        seconds: 10.0,
        cut_short: true,
        void: Some("the lab was late: p99 21.0 ms of 20 allowed".into()),
        broken: breaches(),
        missed: vec!["served 0.500 of 0.950 expected".into()],
        figures: Figures {
            served: 0.75,
            worst_class: 0.5,
            tries: 1.25,
            attempts: 1.5,
            p50_ms: 100.5,
            p90_ms: 400.25,
            p99_ms: 900.125,
            calls_most: 2,
            classes: vec![ClassCounts {
                class: "station-status".into(),
                counts: counts(40),
            }],
            seconds: (10..20).map(second).collect(),
        },
        memory_mb: 12.5,
        balancer_cores: (0.125, 0.25),
        members: Some(Members {
            figures: membership_figures(),
            datagrams: 10.5,
            bytes: 900.25,
        }),
        lab: LabItself {
            late_p50_ms: 0.5,
            late_p99_ms: 1.5,
            late_max_ms: 2.5,
            cores: 0.75,
            dropped: 0,
        },
        events: events(),
    }
}

/// Holds a file against the committed one; what differs is left where it can be looked at.
fn compare(name: &str, actual: &str, committed: &str) {
    if actual != committed {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, actual).expect("written");
        let differs = actual.lines().zip(committed.lines()).find(|(a, c)| a != c);
        panic!("{name} has changed, see {}: {differs:?}", path.display());
    }
}

#[test]
fn files_of_a_play_keep_their_keys_and_forms() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("forms");
    std::fs::create_dir_all(&folder).expect("a folder");
    let page = report::write(&outcome(), &folder).expect("written");
    let read = |name: &str| std::fs::read_to_string(folder.join(name)).expect("a file");
    compare(
        "forms-events.jsonl",
        &read("events.jsonl"),
        include_str!("data/events.jsonl"),
    );
    compare(
        "forms-result.json",
        &read("result.json"),
        include_str!("data/result.json"),
    );
    let page = std::fs::read_to_string(page).expect("a page");
    compare("forms-report.html", &page, include_str!("data/report.html"));
}

#[test]
fn the_plot_over_fleet_sizes_keeps_its_form() {
    let of_size = |members: u32| Simulated {
        members,
        seed: 1,
        seconds: 60.0,
        datagrams: 2.5,
        bytes: 400.0,
        figures: membership_figures(),
        broken: Vec::new(),
    };
    let plot = report::over_sizes(&[of_size(10), of_size(100), of_size(1000)]);
    compare("forms-sizes.svg", &plot, include_str!("data/sizes.svg"));
}

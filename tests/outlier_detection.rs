//! Who is left alone and who is not: ejection, doubt and trials.

mod common;
use common::*;
use frostkeel_policy::*;
use std::time::Duration;

/// All who send to an upstream try it again, each on its own: where sixteen share it, each leaves it alone for longer,
/// so that together they are no load to one that needs a rest. One balancer alone is soon back.
#[test]
fn ejection_lasts_longer_when_more_balancers_share_an_upstream() {
    let tries = |balancers: u32| {
        let mut bench = Bench::new(
            Settings {
                balancers,
                ..one_class(Effect::Idempotent)
            },
            &fleet(4),
        );
        let bad = UpstreamId(2);
        bench.traffic(60, ms(10), |u| {
            Some(if u == bad {
                Outcome::Error
            } else {
                Outcome::Ok
            })
        });
        let before = bench.attempts_at(bad);
        bench.traffic(300, ms(10), |u| {
            Some(if u == bad {
                Outcome::Error
            } else {
                Outcome::Ok
            })
        });
        bench.attempts_at(bad) - before
    };
    assert!(tries(1) > 0, "one alone tries it within 3 s");
    assert_eq!(tries(16), 0, "of sixteen, none so soon");
}

/// Answers are spoilt on the way, one in ten from everybody: that must cost no upstream its turns; one that answers
/// nothing but errors is still found out among them.
#[test]
fn ejects_the_upstream_with_only_errors_and_none_for_background_errors() {
    let fleet: Vec<_> = (1..=8).map(endpoint).collect();
    let classes = vec![class(400, 1000, Effect::Idempotent)];
    let mut bench = Bench::new(
        Settings {
            classes,
            ..Settings::default()
        },
        &fleet,
    );
    let (mut chance, mut most_out) = (fastrand::Rng::with_seed(5), 0);
    let mut play = |bench: &mut Bench, count: usize, bad: Option<u64>| {
        for _ in 0..count {
            let id = bench.request(0, 0, ms(1000));
            let mut attempt = 0;
            while let Some(upstream) = bench.at(id, attempt) {
                bench.run(ms(3));
                let spoilt = chance.f64() < 0.1 || bad == Some(upstream.0);
                bench.ended(
                    id,
                    attempt,
                    if spoilt { Outcome::Error } else { Outcome::Ok },
                );
                attempt += 1;
            }
            bench.run(ms(3));
            most_out = most_out.max(bench.balancer.status().ejected);
        }
        std::mem::take(&mut most_out)
    };
    assert_eq!(
        play(&mut bench, 3000, None),
        0,
        "ejected at a time, of eight that are all sound"
    );
    assert!(play(&mut bench, 600, Some(3)) > 0);
    let before = bench.attempts_at(UpstreamId(3));
    play(&mut bench, 600, Some(3));
    let sent = bench.attempts_at(UpstreamId(3)) - before;
    assert!(
        sent < 40,
        "{sent} of some 700 attempts at the one that has only errors"
    );
}

/// Where no second copies are allowed an attempt is given up when it is overdue, just before the tick that would
/// have found it so: its silence counts all the same, and one that is silent for good is hardly sent to again.
#[test]
fn ejects_an_upstream_whose_attempts_are_abandoned_as_overdue() {
    let effect = Effect::Deduplicated {
        group: DedupGroup::All,
        ttl: ms(5000),
    };
    let mut bench = Bench::new(
        Settings {
            hedging: false,
            ..one_class(effect)
        },
        &fleet(4),
    );
    let silent = UpstreamId(2);
    let mut sent_to_silent = Vec::new();
    for _ in 0..600 {
        let id = bench.request(0, 0, ms(1000));
        let mut attempt = 0;
        while let Some(upstream) = bench.at(id, attempt) {
            if upstream == silent {
                sent_to_silent.push(bench.now);
                let (waits, ends) = (timeout_of(&bench, id), bench.now);
                bench.run(waits);
                assert!(bench.now > ends, "it is given up after some time");
                bench.ended(id, attempt, Outcome::TimedOut);
            } else {
                bench.ended(id, attempt, Outcome::Ok);
            }
            attempt += 1;
        }
        bench.run(ms(50));
    }
    let early = sent_to_silent.iter().filter(|at| **at < ms(5000)).count();
    assert!(early <= 4, "{early} attempts in 5 s at one that is silent");
    assert!(
        sent_to_silent.len() <= 6,
        "{} attempts in 30 s: {sent_to_silent:?}",
        sent_to_silent.len()
    );
}

/// The time-out of the attempt that the last event has led to.
fn timeout_of(bench: &Bench, of: RequestId) -> Duration {
    let mut timeouts = bench.actions.iter().filter_map(|action| match action {
        Action::Attempt { id, timeout, .. } if *id == of => *timeout,
        _ => None,
    });
    timeouts.next_back().expect("an attempt with a time-out")
}

/// An upstream that fails at once holds nothing and so looks the least loaded: it must be ejected, for a while.
#[test]
fn ejects_an_upstream_that_fails_at_once_and_restores_it() {
    let mut bench = Bench::new(one_class(Effect::Idempotent), &fleet(4));
    let bad = UpstreamId(2);
    bench.traffic(100, ms(10), |u| {
        Some(if u == bad {
            Outcome::Reset
        } else {
            Outcome::Ok
        })
    });
    let early = bench.attempts_at(bad);
    assert!(
        early <= 4,
        "{early} attempts at one that breaks every connection"
    );
    bench.traffic(3000, ms(10), |_| Some(Outcome::Ok));
    assert!(
        bench.attempts_at(bad) > early + 50,
        "it serves again after it has recovered"
    );
}

/// Connections that break now and then, everywhere, between answers: no process has died, so all stay in turn.
#[test]
fn isolated_connection_errors_eject_no_upstream() {
    for outcome in [Outcome::Reset, Outcome::ConnectFailed] {
        let mut bench = Bench::new(one_class(Effect::Idempotent), &fleet(4));
        for round in 0..50 {
            let count = std::cell::Cell::new(0);
            let nth = |_| {
                count.set(count.get() + 1);
                Some(if count.get() == 1 {
                    outcome
                } else {
                    Outcome::Ok
                })
            };
            bench.traffic(12, ms(10), nth);
            let status = bench.balancer.status();
            assert_eq!(
                (status.rotation_size, status.warming_up, status.ejected),
                (4, 0, 0),
                "in turn, cold, ejected after {round} rounds of {outcome:?}"
            );
        }
        let refused = bench.answers.values().filter(|a| **a != "served").count();
        assert_eq!(refused, 0, "of 600 after {outcome:?}");
    }
}

/// Three in a row by chance, at one that has just answered and goes on answering: its process has not died.
#[test]
fn consecutive_resets_between_responses_eject_no_upstream() {
    let tenants = vec![Tenant {
        quota_per_s: 1000.0,
    }];
    let mut bench = Bench::new(
        Settings {
            tenants,
            ..one_class(Effect::Idempotent)
        },
        &fleet(2),
    );
    bench.traffic(20, ms(20), |_| Some(Outcome::Ok));
    let mut open: Vec<(RequestId, UpstreamId)> = Vec::new();
    for _ in 0..12 {
        let id = bench.request(0, 0, ms(1000));
        open.push((id, bench.at(id, 0).expect("room for a dozen")));
    }
    bench.run(ms(20));
    let (of_one, others): (Vec<_>, Vec<_>) =
        open.into_iter().partition(|(_, u)| *u == UpstreamId(1));
    assert!(of_one.len() > 4);
    bench.ended(of_one[0].0, 0, Outcome::Ok);
    of_one[1..4]
        .iter()
        .for_each(|(id, _)| bench.ended(*id, 0, Outcome::Reset));
    bench.run(ms(20));
    of_one[4..]
        .iter()
        .chain(&others)
        .for_each(|(id, _)| bench.ended(*id, 0, Outcome::Ok));
    let status = bench.balancer.status();
    assert_eq!(
        (status.rotation_size, status.warming_up, status.ejected),
        (2, 0, 0),
        "in turn, cold, ejected"
    );
}

/// Takes connections and never answers.
#[test]
fn avoids_an_upstream_that_never_responds() {
    let mut bench = Bench::new(one_class(Effect::Idempotent), &fleet(4));
    let silent = UpstreamId(3);
    bench.traffic(400, ms(10), |u| (u != silent).then_some(Outcome::Ok));
    let got = bench.attempts_at(silent);
    assert!(got * 8 < 400, "{got} of 400 went to it");
}

/// When all seem ill, the fault is not theirs: with nothing better at hand requests still go out.
#[test]
fn still_sends_requests_when_all_upstreams_are_ejected() {
    let mut bench = Bench::new(one_class(Effect::Idempotent), &fleet(4));
    bench.traffic(40, ms(10), |_| Some(Outcome::Reset));
    bench.run(ms(1500));
    let before = bench.sent.len();
    bench.traffic(20, ms(50), |_| Some(Outcome::Ok));
    assert!(bench.sent.len() > before, "something was tried");
}

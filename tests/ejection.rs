//! Who is left alone and who is not: ejection, doubt and trials.

mod common;
use common::*;
use frostkeel_policy::*;
use std::time::Duration;

/// Thin traffic of four classes, one of them unrepeatable: how often `ill` was sent to, and with what of that class,
/// in the last of 40 s. `answer` is told how many attempts `ill` has had and says how this one ends.
fn thin_traffic_with_one_ill(answer: impl Fn(usize) -> Option<Outcome>) -> (usize, usize) {
    let effects = [
        Effect::Idempotent,
        Effect::Idempotent,
        Effect::Idempotent,
        Effect::AtMostOnce,
    ];
    let classes = effects.map(|e| class(1200, 3000, e)).to_vec();
    let mut bench = Bench::new(
        Settings {
            classes,
            ..Settings::default()
        },
        &fleet(10),
    );
    let (ill, mut out, mut before) = (UpstreamId(2), Vec::new(), (0, 0));
    let (mut met, mut unsafe_met) = (0, 0);
    for k in 0..600usize {
        if k == 300 {
            before = (met, unsafe_met);
        }
        let id = bench.request((k * 7 / 3 % 4) as u16, 0, ms(2500));
        out.push((id, 0, bench.now, k * 7 / 3 % 4 == 3));
        for _ in 0..7 {
            bench.run(ms(10));
            let mut still = Vec::new();
            for (id, attempt, since, once) in std::mem::take(&mut out) {
                // A second copy is looked after as the first is.
                if attempt == 0 && bench.at(id, 1).is_some() && !bench.answers.contains_key(&id) {
                    bench.ended(id, 1, Outcome::Ok);
                    bench.ended(id, 0, Outcome::Cancelled);
                    continue;
                }
                let Some(upstream) = bench.at(id, attempt) else {
                    continue;
                };
                let bad = upstream == ill && k >= 200;
                let ended = if bad { answer(met) } else { Some(Outcome::Ok) };
                let due = since + ms(if bad { 20 } else { 150 });
                match ended {
                    Some(outcome) if bench.now >= due => {
                        (met, unsafe_met) = (
                            met + usize::from(bad),
                            unsafe_met + usize::from(bad && once),
                        );
                        bench.ended(id, attempt, outcome);
                        if outcome != Outcome::Ok && bench.at(id, attempt + 1).is_some() {
                            still.push((id, attempt + 1, bench.now, once));
                        }
                    }
                    None if bench.now >= since + ms(1170) => {
                        (met, unsafe_met) = (met + 1, unsafe_met + usize::from(once));
                        bench.ended(id, attempt, Outcome::TimedOut);
                    }
                    _ => still.push((id, attempt, since, once)),
                }
            }
            out = still;
        }
    }
    (met - before.0, unsafe_met - before.1)
}

/// Most of what it is sent fails at once, whatever the class, and some is answered in between: each class alone meets
/// few faults in a row there, all together enough.
#[test]
fn one_that_fails_most_of_all_classes_is_left_by_all_of_them() {
    let (met, of_once) =
        thin_traffic_with_one_ill(|n| Some([Outcome::Error, Outcome::Ok][usize::from(n % 4 == 3)]));
    assert!(
        met <= 15,
        "{met} of 300 sent to one that fails three in four"
    );
    assert!(of_once <= 1, "{of_once} of them can't be repeated");
}

/// Silent for all classes: what one of them has met there the others need not meet too.
#[test]
fn one_that_is_silent_for_all_classes_is_left_by_all_of_them() {
    let (met, of_once) = thin_traffic_with_one_ill(|_| None);
    assert!(
        met <= 8,
        "{met} of 300 waited for an answer of one that gives none"
    );
    assert_eq!(of_once, 0, "of them can't be repeated");
}

/// Four tell how much others hold there, the fifth has not been heard of for seconds. It is no emptier for that: all
/// balancers would send it their turns.
#[test]
fn one_not_heard_of_is_not_taken_for_empty() {
    let mut set = one_class(Effect::Idempotent);
    (set.load_reports, set.report_fields, set.balancers) =
        (LoadReports::Inline, vec![LoadField::InFlight], 100);
    set.tenants = vec![Tenant {
        quota_per_s: 5000.0,
    }];
    let mut bench = Bench::new(set, &fleet(5));
    for k in 0..600 {
        let id = bench.request(0, 0, ms(1000));
        bench.run(ms(20));
        if bench.at(id, 0).is_some() {
            bench.ended(id, 0, Outcome::Ok);
        }
        let quiet_from = 100;
        for upstream in (1..=if k < quiet_from { 5 } else { 4 }).map(UpstreamId) {
            let (outcome, latency, report) = (Outcome::Ok, ms(1), &[8.0][..]);
            bench.tell(Event::HealthCheckEnded {
                upstream,
                outcome,
                latency,
                report,
            });
        }
        bench.run(ms(30));
    }
    let got = bench.attempts_at(UpstreamId(5));
    assert!((90..=150).contains(&got), "{got} of 600 at one of five");
}

/// Thin traffic meets idle connections only, and one request in ten is long. Two long ones in a row are chance: no
/// connection is closed for them, as each would cost a new one.
#[test]
fn a_few_long_requests_close_no_idle_connections() {
    let mut bench = Bench::new(one_class(Effect::AtMostOnce), &fleet(2));
    let mut closed = 0;
    for k in 0..400u64 {
        let id = bench.request(0, 0, ms(1000));
        closed += bench
            .actions
            .iter()
            .filter(|a| matches!(a, Action::CloseIdleConnections { .. }))
            .count();
        if bench.at(id, 0).is_none() {
            continue;
        }
        let long = k % 20 >= 18;
        bench.run(ms(if long { 390 } else { 100 }));
        bench.ended(id, 0, if long { Outcome::TimedOut } else { Outcome::Ok });
        bench.run(ms(900));
    }
    assert_eq!(closed, 0, "closings of idle connections");
}

/// Whoever has answered others since is not stuck: the request is a long one, and a copy is as long anywhere.
#[test]
fn a_long_request_at_an_upstream_that_answers_others_gets_no_copy() {
    let tenants = vec![Tenant {
        quota_per_s: 1000.0,
    }];
    let mut bench = Bench::new(
        Settings {
            tenants,
            ..one_class(Effect::Idempotent)
        },
        &fleet(3),
    );
    let ids: Vec<_> = (0..9).map(|_| bench.request(0, 0, ms(1000))).collect();
    bench.run(ms(20));
    let (long, others) = ids.split_first().unwrap();
    assert!(
        others
            .iter()
            .any(|id| bench.at(*id, 0) == bench.at(*long, 0)),
        "others went there too"
    );
    others
        .iter()
        .for_each(|id| bench.ended(*id, 0, Outcome::Ok));
    bench.run(ms(300));
    assert_eq!(bench.at(*long, 1), None, "a copy of what is only long");
}

/// All who send to an upstream try it again, each on its own: where sixteen share it, each leaves it alone for longer,
/// so that together they are no load to one that needs a rest. One balancer alone is soon back.
#[test]
fn the_more_balancers_share_an_upstream_the_longer_each_leaves_it() {
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

/// All balancers restart together, and the list service handles their calls one after another: the first calls, and
/// those made again after a failure, must not come in step. One balancer alone has nobody to wait for.
#[test]
fn the_calls_of_many_balancers_for_their_list_are_spread() {
    let calls = |balancers: u32, index: u32| {
        let set = Settings {
            polls_endpoints: true,
            balancers,
            index,
            ..one_class(Effect::Idempotent)
        };
        let mut bench = Bench::new(set.clone(), &[]);
        bench.balancer = Balancer::new(set, u64::from(index)).unwrap();
        bench.timers.clear();
        bench.tell(Event::EndpointsUpdated {
            scope: UpdateScope::Cached,
            endpoints: &fleet(4),
        });
        while bench.list_calls.is_empty() {
            bench.run(ms(10));
        }
        // It has waited in turn for three seconds.
        bench.run(ms(3000));
        bench.tell(Event::EndpointsUpdated {
            scope: UpdateScope::Failed,
            endpoints: &[],
        });
        let failed = bench.now;
        bench.list_calls.truncate(1);
        while bench.list_calls.len() < 2 {
            bench.run(ms(10));
        }
        (bench.list_calls[0], bench.list_calls[1] - failed)
    };
    let (first, again): (Vec<_>, Vec<_>) = (0..100).map(|index| calls(100, index)).unzip();
    for calls in [first, again] {
        let most = calls
            .iter()
            .map(|at| {
                calls
                    .iter()
                    .filter(|c| **c >= *at && **c < *at + ms(1000))
                    .count()
            })
            .max();
        assert!(most < Some(45), "{most:?} of 100 calls within a second");
        assert!(
            calls.iter().all(|at| *at <= ms(5100)),
            "and none much later than half of the time to ask in"
        );
    }
    assert!(calls(1, 0).0 <= ms(200), "one alone asks at once");
}

/// One that drains unlisted turns everything away: all classes leave it, not each after its own two tries.
#[test]
fn one_that_turns_all_classes_away_is_left_by_all_of_them() {
    let (met, _) = thin_traffic_with_one_ill(|_| Some(Outcome::Rejected));
    assert!(met <= 3, "{met} of 300 sent to one that turns all away");
}

/// Answers are spoilt on the way, one in ten from everybody: that must cost no upstream its turns; one that answers
/// nothing but errors is still found out among them.
#[test]
fn errors_that_all_have_eject_nobody_and_the_one_that_has_only_errors_is_ejected() {
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
fn one_whose_attempts_are_given_up_as_overdue_is_ejected_and_then_on_trial() {
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

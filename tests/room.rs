//! The room that reports and the clock leave, and who gets it in a shortage.

mod common;
use common::*;
use frostkeel_policy::*;

/// A hundred balancers share ten upstreams, and each gets fifteen requests a second.
fn shared(tenants: &[f64]) -> Bench {
    let (reports, report_fields) = (
        LoadReports::Inline,
        vec![LoadField::Utilization, LoadField::InFlight],
    );
    Bench::new(
        Settings {
            load_reports: reports,
            report_fields,
            ..stated(100, tenants)
        },
        &fleet(10),
    )
}

/// Fifteen requests a second, each answered after 100 ms with this load report; returns how many were sent.
fn play(bench: &mut Bench, count: usize, load: [f32; 2]) -> usize {
    let (mut open, mut sent) = (Vec::new(), 0);
    for _ in 0..count {
        let id = bench.request(0, 0, ms(1000));
        if let Some(upstream) = bench.at(id, 0) {
            sent += 1;
            open.push((bench.now + ms(100), id, upstream));
        }
        bench.run(ms(66));
        while open.first().is_some_and(|o| bench.now >= o.0) {
            let (_, id, upstream) = open.remove(0);
            bench.ended(id, 0, Outcome::Ok);
            let (outcome, latency) = (Outcome::Ok, ms(1));
            bench.tell(Event::HealthCheckEnded {
                upstream,
                outcome,
                latency,
                report: &load,
            });
        }
    }
    open.into_iter()
        .for_each(|o| bench.ended(o.1, 0, Outcome::Ok));
    sent
}

/// Part of the fleet is lost. Every balancer moving its load to those left at once is what fells them next.
#[test]
fn those_left_get_no_more_than_they_can_do_when_others_drop_out() {
    let mut bench = shared(&[1500.0]);
    assert!(
        play(&mut bench, 300, [0.65, 9.0]) > 280,
        "all are sent while all are there"
    );
    let gone: Vec<_> = (1..=6)
        .map(|id| Endpoint {
            availability: Availability::Removed,
            ..endpoint(id)
        })
        .collect();
    bench.tell(Event::EndpointsUpdated {
        scope: UpdateScope::Delta,
        endpoints: &gone,
    });
    let left = play(&mut bench, 45, [0.65, 9.0]);
    assert!(
        (10..=30).contains(&left),
        "{left} of 45 in 3 s to four of ten upstreams that did 18"
    );
}

/// Where little has been let in, C is little: what the upstreams say of idle cores opens W again all the same.
#[test]
fn cores_told_to_be_idle_open_w_after_little_was_let_in() {
    let mut bench = shared(&[1500.0]);
    play(&mut bench, 150, [0.65, 9.0]);
    bench.run(ms(15_000));
    let mut all_say = |load: [f32; 2]| {
        for id in 1..=10 {
            let (upstream, outcome, latency) = (UpstreamId(id), Outcome::Ok, ms(1));
            bench.tell(Event::HealthCheckEnded {
                upstream,
                outcome,
                latency,
                report: &load,
            });
        }
        bench.run(ms(50));
        bench.balancer.status().spare_capacity
    };
    let (full, idle) = (all_say([0.9, 30.0]), all_say([0.1, 1.0]));
    assert!(
        idle > full + 0.2,
        "W is {idle} at a tenth of the cores in use, {full} with all"
    );
}

/// On-call staff go by what ended a request: each cause must be told from the others.
#[test]
fn a_final_answer_says_what_ended_the_request() {
    let once = |fleet: &[Endpoint]| {
        let classes = vec![class(400, 1000, Effect::AtMostOnce)];
        let mut bench = Bench::new(
            Settings {
                classes,
                ..stated(1, &[2.0])
            },
            fleet,
        );
        bench.run(ms(100));
        bench
    };
    let mut empty = once(&[]);
    let nobody = empty.request(0, 0, ms(1000));
    assert_eq!(
        empty.losses.get(&nobody),
        Some(&FailureReason::NoHealthyUpstream)
    );
    assert_eq!(empty.request(9, 0, ms(1000)), RequestId(2));
    assert_eq!(
        empty.losses.get(&RequestId(2)),
        Some(&FailureReason::UnknownClass)
    );

    for (outcome, reason) in [
        (Outcome::TimedOut, FailureReason::UpstreamUnresponsive),
        (Outcome::Reset, FailureReason::ConnectionError),
        (Outcome::Error, FailureReason::UpstreamError),
        (Outcome::NotSent, FailureReason::NotSent),
    ] {
        let mut bench = once(&fleet(1));
        let id = bench.request(0, 0, ms(1000));
        bench.run(ms(30));
        bench.ended(id, 0, outcome);
        assert_eq!(bench.losses.get(&id), Some(&reason), "{outcome:?}");
    }

    let mut bench = once(&fleet(1));
    let (slow, quick) = (bench.request(0, 0, ms(1000)), bench.request(0, 0, ms(1000)));
    bench.run(ms(30));
    bench.ended(quick, 0, Outcome::Ok);
    bench.ended(slow, 0, Outcome::TimedOut);
    assert_eq!(
        bench.losses.get(&slow),
        Some(&FailureReason::Timeout),
        "it has answered another meanwhile"
    );
    let many: Vec<RequestId> = (0..40).map(|_| bench.request(0, 0, ms(1000))).collect();
    let last = many.last().and_then(|id| bench.losses.get(id));
    assert!(
        matches!(
            last,
            Some(FailureReason::QuotaExceeded | FailureReason::NoSpareCapacity)
        ),
        "the bucket is empty: {last:?}"
    );
}

/// Each of a hundred balancers has saved sends for each upstream: all at once, they would fell what is left of a
/// fleet in the second that others drop out.
#[test]
fn what_was_saved_up_for_each_upstream_is_not_sent_all_at_once() {
    let mut bench = shared(&[1500.0]);
    play(&mut bench, 150, [0.65, 9.0]);
    bench.run(ms(2000));
    let sent = (0..40).filter(|_| {
        let id = bench.request(0, 0, ms(1000));
        bench.at(id, 0).is_some()
    });
    let sent = sent.count();
    assert!(
        (2..=6).contains(&sent),
        "{sent} of 40 in an instant, where 15 a second are usual"
    );
}

/// After a jam little is let in, so little is completed: that must not hold C down while cores are idle.
#[test]
fn c_grows_by_the_idle_cores_where_the_clock_holds_sends_back() {
    let mut bench = shared(&[1500.0]);
    play(&mut bench, 150, [0.65, 9.0]);
    play(&mut bench, 150, [1.0, 40.0]);
    let jammed = play(&mut bench, 30, [0.35, 4.0]);
    play(&mut bench, 60, [0.35, 4.0]);
    let after = play(&mut bench, 30, [0.35, 4.0]);
    assert!(
        jammed <= 5 && after >= 10,
        "{jammed} of 30, then {after} of 30 six seconds later"
    );
}

/// No upstream's size is known yet, and reports come late: what is stated would fill the cores, so that all
/// balancers together fell the small ones in the seconds before the first of them tells.
#[test]
fn before_the_first_reports_no_more_is_sent_than_what_is_stated_leaves_spare() {
    let (reports, report_fields) = (
        LoadReports::Inline,
        vec![LoadField::Utilization, LoadField::InFlight],
    );
    let weights = EndpointWeights::Off;
    let mut bench = Bench::new(
        Settings {
            load_reports: reports,
            report_fields,
            endpoint_weights: weights,
            ..stated(100, &[1500.0])
        },
        &fleet(10),
    );
    let sent = play(&mut bench, 45, [0.65, 9.0]);
    assert!(
        (25..=34).contains(&sent),
        "{sent} of 45 in 3 s, where 45 are stated"
    );
}

/// Tries that come again at once make a balancer's subset larger, but not its part of what all of them can do.
#[test]
fn a_larger_subset_is_no_more_room() {
    let (reports, report_fields) = (
        LoadReports::Inline,
        vec![LoadField::Utilization, LoadField::InFlight],
    );
    let mut bench = Bench::new(
        Settings {
            load_reports: reports,
            report_fields,
            ..stated(100, &[1500.0])
        },
        &fleet(200),
    );
    play(&mut bench, 60, [0.65, 9.0]);
    let (turns, rate) = (
        bench.balancer.status().rotation_size,
        bench.balancer.status().service_rate,
    );
    for _ in 0..400 {
        bench.request(0, 0, ms(1000));
        bench.run(ms(5));
    }
    let after = bench.balancer.status();
    assert!(
        after.rotation_size > turns,
        "{} turns after {turns}",
        after.rotation_size
    );
    assert!(
        after.service_rate < 1.2 * rate,
        "C is {} after {rate}",
        after.service_rate
    );
}

/// What comes again and again in a shortage: the class, and whether it is a repeat.
type Round = [(u16, bool); 3];

/// Three tries come for each that can be sent, as in a jam, in a fixed round; an answer takes so long, by class.
/// Returns how many of each place in the round were sent.
fn in_a_shortage(classes: &[(Class, u64)], round: Round) -> [usize; 3] {
    let (reports, report_fields) = (
        LoadReports::Inline,
        vec![LoadField::Utilization, LoadField::InFlight],
    );
    let takes: Vec<_> = classes.iter().map(|(_, takes)| ms(*takes)).collect();
    let classes = classes.iter().map(|(class, _)| class.clone()).collect();
    let settings = Settings {
        load_reports: reports,
        report_fields,
        classes,
        ..stated(100, &[1500.0])
    };
    let mut bench = Bench::new(settings, &fleet(10));
    play(&mut bench, 150, [0.65, 9.0]);
    let (mut open, mut sent) = (std::collections::BTreeSet::new(), [0; 3]);
    for step in 0..600 {
        let (class, is_retry) = round[step % 3];
        let id = bench.try_of(class, 0, ms(1000), is_retry);
        if bench.at(id, 0).is_some() {
            sent[step % 3] += 1;
            open.insert((bench.now + takes[usize::from(class)], id));
        }
        bench.run(ms(22));
        while open.first().is_some_and(|(due, _)| bench.now >= *due) {
            let id = open.pop_first().expect("one is due").1;
            let (upstream, outcome, latency) = (bench.sent[&id][0].1, Outcome::Ok, ms(1));
            bench.ended(id, 0, Outcome::Ok);
            bench.tell(Event::HealthCheckEnded {
                upstream,
                outcome,
                latency,
                report: &[0.75, 12.0],
            });
        }
    }
    sent
}

fn worth(priority_weight: f64, takes: u64) -> (Class, u64) {
    (
        Class {
            priority_weight,
            ..class(400, 1000, Effect::Idempotent)
        },
        takes,
    )
}

/// Whoever comes first is not as good as the next: a repeat may be late already, and what it takes makes a repeat
/// of a first try.
#[test]
fn in_a_shortage_first_tries_go_before_repeats() {
    let round = [(0, false), (0, true), (0, true)];
    let [first, again, twice] = in_a_shortage(&[worth(1.0, 100)], round);
    assert!(
        first > 3 * (again + twice),
        "{first} first tries, {again} and {twice} repeats"
    );
}

/// What is worth ten times as much goes first, but the rest is not starved.
#[test]
fn in_a_shortage_the_worthier_class_goes_first() {
    let round = [(0, false), (1, false), (1, false)];
    let [dear, cheap, other] = in_a_shortage(&[worth(10.0, 100), worth(1.0, 100)], round);
    assert!(
        2 * dear > 3 * cheap.max(other),
        "{dear} of the dear, {cheap} and {other} of the cheap"
    );
    assert!(cheap + other > 20, "{cheap} and {other} of the cheap");
}

/// What is worth three times as much and takes three times as long is worth no more: others could be served.
#[test]
fn in_a_shortage_a_heavy_class_counts_by_the_time_it_takes() {
    let round = [(0, false), (1, false), (1, false)];
    let [heavy, light, other] = in_a_shortage(&[worth(3.0, 150), worth(1.0, 50)], round);
    assert!(
        heavy < 2 * (light + other),
        "{heavy} of the heavy, {light} and {other} of the light"
    );
}

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
fn remaining_upstreams_are_not_overloaded_when_others_are_removed() {
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
fn reported_idle_cores_raise_spare_capacity_after_low_admission() {
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

/// Each of a hundred balancers has saved sends for each upstream: all at once, they would fell what is left of a
/// fleet in the second that others drop out.
#[test]
fn saved_send_budget_is_not_spent_at_once() {
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
fn service_rate_grows_with_idle_cores_while_sends_are_paced() {
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
fn sends_less_than_the_stated_rate_before_the_first_reports() {
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
fn larger_subset_does_not_raise_the_service_rate() {
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
fn prefers_first_attempts_over_retries_when_overloaded() {
    let round = [(0, false), (0, true), (0, true)];
    let [first, again, twice] = in_a_shortage(&[worth(1.0, 100)], round);
    assert!(
        first > 3 * (again + twice),
        "{first} first tries, {again} and {twice} repeats"
    );
}

/// What is worth ten times as much goes first, but the rest is not starved.
#[test]
fn prefers_the_class_with_higher_priority_weight_when_overloaded() {
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
fn weighs_a_class_by_its_service_time_when_overloaded() {
    let round = [(0, false), (1, false), (1, false)];
    let [heavy, light, other] = in_a_shortage(&[worth(3.0, 150), worth(1.0, 50)], round);
    assert!(
        heavy < 2 * (light + other),
        "{heavy} of the heavy, {light} and {other} of the light"
    );
}

/// Another balancer is lost: this one carries three times as much at once, while the upstreams say that they are
/// no busier than before. What they are believed to do must keep up with what they are seen to do.
#[test]
fn service_rate_follows_completions_at_constant_utilization() {
    let (reports, report_fields) = (LoadReports::Inline, vec![LoadField::Utilization]);
    let mut bench = Bench::new(
        Settings {
            load_reports: reports,
            report_fields,
            ..stated(2, &[200.0])
        },
        &fleet(4),
    );
    let (mut open, mut done) = (std::collections::VecDeque::new(), 0);
    let mut play = |bench: &mut Bench, halves: u32, every: u64| {
        let before = done;
        for step in 0..halves * 125 {
            if u64::from(step) % every == 0 {
                let id = bench.request(0, 0, ms(1000));
                open.extend(bench.at(id, 0).map(|_| (bench.now, id)));
            }
            while open
                .front()
                .is_some_and(|(at, _)| bench.now >= *at + ms(80))
            {
                bench.ended(open.pop_front().unwrap().1, 0, Outcome::Ok);
                done += 1;
                let (upstream, outcome, latency) = (UpstreamId(1), Outcome::Ok, ms(1));
                bench.tell(Event::HealthCheckEnded {
                    upstream,
                    outcome,
                    latency,
                    report: &[0.65],
                });
            }
            bench.run(ms(4));
        }
        f64::from(done - before) / f64::from(halves) * 2.0
    };
    let before = play(&mut bench, 16, 6);
    let steady = bench.balancer.status().service_rate;
    assert!(
        (before - 42.0).abs() < 3.0 && (steady - before).abs() < 8.0,
        "{before} done, {steady} believed"
    );
    let after = play(&mut bench, 3, 2);
    let followed = bench.balancer.status().service_rate;
    assert!(after > 100.0, "{after} done a second");
    assert!(
        followed > 0.6 * after,
        "{followed} believed where {after} are done a second"
    );
}

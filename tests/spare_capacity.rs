//! The service rate C and the spare capacity W, and which requests get it under overload.

mod common;

use common::{
    CompletionQueue, Harness, class, endpoint_in_state, endpoints, ms, settings_with_quotas,
    with_inline_reports,
};
use frostkeel_policy::{
    Availability, Class, ClassId, Effect, Endpoint, EndpointWeights, LoadField, Outcome, Settings,
    TenantId, UpdateScope, UpstreamId,
};
use std::time::Duration;

/// The load that an upstream reports.
#[derive(Clone, Copy)]
struct Load {
    utilization: f32,
    in_flight: f32,
}

impl Load {
    const MODERATE: Self = Self::new(0.65, 9.0);

    const fn new(utilization: f32, in_flight: f32) -> Self {
        Self {
            utilization,
            in_flight,
        }
    }

    /// The values in the order of the settings' report fields.
    fn report(self) -> [f32; 2] {
        [self.utilization, self.in_flight]
    }
}

/// The settings of one of a hundred balancers that each get fifteen requests a second.
fn shared_settings() -> Settings {
    let settings = settings_with_quotas(100, &[1500.0]);
    with_inline_reports(settings, &[LoadField::Utilization, LoadField::InFlight])
}

/// One of a hundred balancers that share ten upstreams.
fn shared_harness() -> Harness {
    Harness::new(shared_settings(), &endpoints(10))
}

/// Ends the requests that are due; the upstream of each reports this load.
fn complete_due(harness: &mut Harness, in_flight: &mut CompletionQueue, load: Load) {
    while let Some(id) = in_flight.pop_due(harness.now) {
        let upstream = harness.attempts[&id][0].upstream;
        harness.end_attempt(id, 0, Outcome::Ok);
        harness.report_load(upstream, &load.report());
    }
}

/// Sends fifteen requests a second, each served after 100 ms with this load report; returns how
/// many were sent.
fn run_load(harness: &mut Harness, count: usize, load: Load) -> usize {
    let mut in_flight = CompletionQueue::default();
    let mut sent = 0;
    for _ in 0..count {
        let id = harness.request();
        if harness.is_sent(id) {
            sent += 1;
            in_flight.schedule(harness.now + ms(100), id);
        }
        harness.advance(ms(66));
        complete_due(harness, &mut in_flight, load);
    }
    while let Some(id) = in_flight.pop() {
        harness.end_attempt(id, 0, Outcome::Ok);
    }
    sent
}

/// Most of the upstreams are lost. If every balancer moved its load to the remaining ones at once,
/// those would fail next.
#[test]
fn remaining_upstreams_are_not_overloaded_when_others_are_removed() {
    let mut harness = shared_harness();
    let sent = run_load(&mut harness, 300, Load::MODERATE);
    assert!(sent > 280, "{sent} of 300 sent while all are listed");
    let removed = |id| endpoint_in_state(id, Availability::Removed);
    let removed: Vec<Endpoint> = (1..=6).map(removed).collect();
    harness.update_endpoints(UpdateScope::Delta, &removed);
    let sent = run_load(&mut harness, 45, Load::MODERATE);
    assert!(
        (10..=30).contains(&sent),
        "{sent} of 45 in 3 s to four of ten upstreams that can serve 18"
    );
}

/// Where little has been admitted, C is low: reports of idle cores must raise W all the same.
#[test]
fn reported_idle_cores_raise_spare_capacity_after_low_admission() {
    let mut harness = shared_harness();
    run_load(&mut harness, 150, Load::MODERATE);
    harness.advance(ms(15_000));
    let mut spare_capacity_when_all_report = |load: Load| {
        for id in 1..=10 {
            harness.report_load(UpstreamId(id), &load.report());
        }
        harness.advance(ms(50));
        harness.balancer.status().spare_capacity
    };
    let when_full = spare_capacity_when_all_report(Load::new(0.9, 30.0));
    let when_idle = spare_capacity_when_all_report(Load::new(0.1, 1.0));
    assert!(
        when_idle > when_full + 0.2,
        "W is {when_idle} at a utilization of 0.1 and {when_full} at 0.9"
    );
}

/// Another balancer is lost: this one gets three times as many requests at once, while the
/// upstreams report the same utilization. The service rate must keep up with the completions.
#[test]
fn service_rate_follows_completions_at_constant_utilization() {
    let settings = settings_with_quotas(2, &[200.0]);
    let settings = with_inline_reports(settings, &[LoadField::Utilization]);
    let mut harness = Harness::new(settings, &endpoints(4));
    let mut in_flight = CompletionQueue::default();
    let mut completions_per_s =
        |harness: &mut Harness, half_seconds: u32, steps_per_request: u32| {
            let mut completed = 0;
            for step in 0..half_seconds * 125 {
                if step % steps_per_request == 0 {
                    let id = harness.request();
                    if harness.is_sent(id) {
                        in_flight.schedule(harness.now + ms(80), id);
                    }
                }
                while let Some(id) = in_flight.pop_due(harness.now) {
                    harness.end_attempt(id, 0, Outcome::Ok);
                    completed += 1;
                    harness.report_load(UpstreamId(1), &[0.65]);
                }
                harness.advance(ms(4));
            }
            f64::from(completed) / f64::from(half_seconds) * 2.0
        };
    let completed = completions_per_s(&mut harness, 16, 6);
    let service_rate = harness.balancer.status().service_rate;
    assert!(
        (completed - 42.0).abs() < 3.0 && (service_rate - completed).abs() < 8.0,
        "{completed} completed a second, a service rate of {service_rate}"
    );
    let completed = completions_per_s(&mut harness, 3, 2);
    let service_rate = harness.balancer.status().service_rate;
    assert!(completed > 100.0, "{completed} completed a second");
    assert!(
        service_rate > 0.6 * completed,
        "a service rate of {service_rate} where {completed} are completed a second"
    );
}

/// Each of a hundred balancers has saved sends for each upstream. If it spent them at once, they
/// would overload what is left of a fleet in the second in which the others fail.
#[test]
fn saved_send_budget_is_not_spent_at_once() {
    let mut harness = shared_harness();
    run_load(&mut harness, 150, Load::MODERATE);
    harness.advance(ms(2000));
    let ids: Vec<_> = (0..40).map(|_| harness.request()).collect();
    let sent = ids.into_iter().filter(|id| harness.is_sent(*id)).count();
    assert!(
        (2..=6).contains(&sent),
        "{sent} of 40 in an instant, where 15 a second are usual"
    );
}

/// After an overload little is admitted, so little is completed: that must not keep C low while
/// cores are idle.
#[test]
fn service_rate_grows_with_idle_cores_while_sends_are_paced() {
    const OVERLOADED: Load = Load::new(1.0, 40.0);
    const RECOVERED: Load = Load::new(0.35, 4.0);
    let mut harness = shared_harness();
    run_load(&mut harness, 150, Load::MODERATE);
    run_load(&mut harness, 150, OVERLOADED);
    let at_first = run_load(&mut harness, 30, RECOVERED);
    run_load(&mut harness, 60, RECOVERED);
    let six_seconds_later = run_load(&mut harness, 30, RECOVERED);
    assert!(
        at_first <= 5 && six_seconds_later >= 10,
        "{at_first} of 30, then {six_seconds_later} of 30 six seconds later"
    );
}

/// No upstream's size is known yet, and reports come late: the stated rate would fill the cores, so
/// that all balancers together would overload the small ones before the first report of them.
#[test]
fn sends_less_than_the_stated_rate_before_the_first_reports() {
    let settings = Settings {
        endpoint_weights: EndpointWeights::Off,
        ..shared_settings()
    };
    let mut harness = Harness::new(settings, &endpoints(10));
    let sent = run_load(&mut harness, 45, Load::MODERATE);
    assert!(
        (25..=34).contains(&sent),
        "{sent} of 45 in 3 s, where 45 are stated"
    );
}

/// Retries at once make a balancer's subset larger, but not its share of what all upstreams can
/// serve.
#[test]
fn larger_subset_does_not_raise_the_service_rate() {
    let mut harness = Harness::new(shared_settings(), &endpoints(200));
    run_load(&mut harness, 60, Load::MODERATE);
    let before = harness.balancer.status();
    for _ in 0..400 {
        harness.request();
        harness.advance(ms(5));
    }
    let after = harness.balancer.status();
    assert!(
        after.rotation_size > before.rotation_size,
        "{} upstreams after {}",
        after.rotation_size,
        before.rotation_size
    );
    assert!(
        after.service_rate < 1.2 * before.service_rate,
        "C is {} after {}",
        after.service_rate,
        before.service_rate
    );
}

/// A class of requests and the time that each of them takes.
struct ServedClass {
    class: Class,
    service_time: Duration,
}

impl ServedClass {
    fn new(priority_weight: f64, service_time_ms: u64) -> Self {
        let class = Class {
            priority_weight,
            ..class(400, 1000, Effect::Idempotent)
        };
        Self {
            class,
            service_time: ms(service_time_ms),
        }
    }
}

/// One of the requests that come again and again under overload.
#[derive(Clone, Copy)]
struct Arrival {
    class: u16,
    is_retry: bool,
}

impl Arrival {
    const fn first_attempt(class: u16) -> Self {
        Self {
            class,
            is_retry: false,
        }
    }

    const fn retry(class: u16) -> Self {
        Self {
            class,
            is_retry: true,
        }
    }
}

/// One request of the first class for each two of the second.
const ONE_TO_TWO: [Arrival; 3] = [
    Arrival::first_attempt(0),
    Arrival::first_attempt(1),
    Arrival::first_attempt(1),
];

/// Three requests arrive for each that can be sent, in a fixed order; returns how many of each
/// place in that order were sent.
fn sent_under_overload(classes: &[ServedClass], arrivals: [Arrival; 3]) -> [usize; 3] {
    const REPORTED: Load = Load::new(0.75, 12.0);
    let settings = Settings {
        classes: classes.iter().map(|served| served.class.clone()).collect(),
        ..shared_settings()
    };
    let mut harness = Harness::new(settings, &endpoints(10));
    run_load(&mut harness, 150, Load::MODERATE);
    let mut in_flight = CompletionQueue::default();
    let mut sent = [0; 3];
    for step in 0..600 {
        let Arrival { class, is_retry } = arrivals[step % 3];
        let id = harness.submit(ClassId(class), TenantId(0), ms(1000), is_retry);
        if harness.is_sent(id) {
            sent[step % 3] += 1;
            let service_time = classes[usize::from(class)].service_time;
            in_flight.schedule(harness.now + service_time, id);
        }
        harness.advance(ms(22));
        complete_due(&mut harness, &mut in_flight, REPORTED);
    }
    sent
}

/// First come, first served is not good enough: a retry may be late already, and spare capacity
/// that it takes turns a first attempt into a retry.
#[test]
fn prefers_first_attempts_over_retries_when_overloaded() {
    let arrivals = [
        Arrival::first_attempt(0),
        Arrival::retry(0),
        Arrival::retry(0),
    ];
    let [first, second, third] = sent_under_overload(&[ServedClass::new(1.0, 100)], arrivals);
    assert!(
        first > 3 * (second + third),
        "{first} first attempts, {second} and {third} retries"
    );
}

/// Requests of ten times the priority weight go first, but the others are not starved.
#[test]
fn prefers_the_class_with_higher_priority_weight_when_overloaded() {
    let classes = [ServedClass::new(10.0, 100), ServedClass::new(1.0, 100)];
    let [high, low, other_low] = sent_under_overload(&classes, ONE_TO_TWO);
    assert!(
        2 * high > 3 * low.max(other_low),
        "{high} of high, {low} and {other_low} of low priority weight"
    );
    assert!(
        low + other_low > 20,
        "{low} and {other_low} of low priority weight"
    );
}

/// Requests of three times the priority weight that take three times as long have no advantage:
/// others could be served in that time.
#[test]
fn weighs_a_class_by_its_service_time_when_overloaded() {
    let classes = [ServedClass::new(3.0, 150), ServedClass::new(1.0, 50)];
    let [heavy, light, other_light] = sent_under_overload(&classes, ONE_TO_TWO);
    assert!(
        heavy < 2 * (light + other_light),
        "{heavy} heavy, {light} and {other_light} light requests"
    );
}

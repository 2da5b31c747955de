//! The service rate C, the spare capacity W, and the requests that are preferred under overload.

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

    /// Returns the values in the order of the settings' report fields.
    fn report(self) -> [f32; 2] {
        [self.utilization, self.in_flight]
    }
}

/// Returns the settings of one of 100 balancers that each get 15 requests per second.
fn shared_settings() -> Settings {
    let settings = settings_with_quotas(100, &[1500.0]);
    with_inline_reports(settings, &[LoadField::Utilization, LoadField::InFlight])
}

/// Returns one of 100 balancers that share ten upstreams.
fn shared_harness() -> Harness {
    Harness::new(shared_settings(), &endpoints(10))
}

/// Ends the requests that are due. The upstream of each one reports this load.
fn complete_due(harness: &mut Harness, in_flight: &mut CompletionQueue, load: Load) {
    while let Some(id) = in_flight.pop_due(harness.now) {
        let upstream = harness.attempts[&id][0].upstream;
        harness.end_attempt(id, 0, Outcome::Ok);
        harness.report_load(upstream, &load.report());
    }
}

/// Submits 15 requests per second, which are served after 100 ms with this load report. Returns how
/// many of them were sent.
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

/// Six of ten upstreams are removed. If every balancer moved its load to the remaining ones
/// immediately, those would fail next.
#[test]
fn remaining_upstreams_are_not_overloaded_when_others_are_removed() {
    let mut harness = shared_harness();
    let sent = run_load(&mut harness, 300, Load::MODERATE);
    assert!(
        sent > 280,
        "{sent} of 300 requests sent while all upstreams are listed, expected more than 280"
    );
    let removed = |id| endpoint_in_state(id, Availability::Removed);
    let removed: Vec<Endpoint> = (1..=6).map(removed).collect();
    harness.update_endpoints(UpdateScope::Delta, &removed);
    let sent = run_load(&mut harness, 45, Load::MODERATE);
    assert!(
        (10..=30).contains(&sent),
        "{sent} of 45 requests sent in 3 s, expected 10 to 30: the four upstreams can serve 18"
    );
}

/// After a period in which little was admitted, C is low. Reports of idle cores must still raise W.
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

/// Another balancer has failed, so that the tested balancer suddenly gets three times as many
/// requests, while the upstreams report the same utilization. The service rate must follow the
/// completions.
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
        "{completed} completions per second, a service rate of {service_rate}"
    );
    let completed = completions_per_s(&mut harness, 3, 2);
    let service_rate = harness.balancer.status().service_rate;
    assert!(
        completed > 100.0,
        "{completed} completions per second, expected over 100"
    );
    assert!(
        service_rate > 0.6 * completed,
        "a service rate of {service_rate} at {completed} completions per second"
    );
}

/// Each of 100 balancers has accumulated a send budget for each upstream. If all balancers spent
/// their budgets at the same time, they would overload the remaining upstreams in the second in
/// which other upstreams fail.
#[test]
fn accumulated_send_budget_is_limited_to_a_small_burst() {
    let mut harness = shared_harness();
    run_load(&mut harness, 150, Load::MODERATE);
    harness.advance(ms(2000));
    let ids: Vec<_> = (0..40).map(|_| harness.request()).collect();
    let sent = ids.into_iter().filter(|id| harness.is_sent(*id)).count();
    assert!(
        (2..=6).contains(&sent),
        "{sent} of 40 simultaneous requests sent, expected 2 to 6 at 15 requests per second"
    );
}

/// After an overload few requests are admitted and therefore few are completed. This must not keep
/// C low while cores are idle.
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
        "{at_first} of 30 requests sent at first, {six_seconds_later} of 30 after about 6 s"
    );
}

/// The sizes of the upstreams are unknown, and load reports arrive late. At the rate of the quotas
/// the cores would be fully used, and all balancers together would overload the small upstreams
/// before the first reports of these arrive.
#[test]
fn sends_below_the_quota_before_the_first_reports() {
    let settings = Settings {
        endpoint_weights: EndpointWeights::Off,
        ..shared_settings()
    };
    let mut harness = Harness::new(settings, &endpoints(10));
    let sent = run_load(&mut harness, 45, Load::MODERATE);
    assert!(
        (25..=34).contains(&sent),
        "{sent} of 45 requests sent in 3 s, expected 25 to 34 at a quota of 45"
    );
}

/// A burst of requests makes a balancer's subset larger, but must not raise this balancer's part of
/// what all upstreams can serve.
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
        "{} upstreams in the rotation after the burst, {} before",
        after.rotation_size,
        before.rotation_size
    );
    assert!(
        after.service_rate < 1.2 * before.service_rate,
        "a service rate of {} after the burst, {} before",
        after.service_rate,
        before.service_rate
    );
}

/// A class of requests and the time that an upstream needs for each of them.
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

/// One position in the repeated sequence of requests under overload.
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

/// A sequence with one request of the first class and two of the second.
const ONE_TO_TWO: [Arrival; 3] = [
    Arrival::first_attempt(0),
    Arrival::first_attempt(1),
    Arrival::first_attempt(1),
];

/// Submits the sequence of three arrivals 200 times, at three times the rate that can be sent.
/// Returns how many requests of each position in the sequence were sent.
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

/// Under overload, requests must not be sent simply in the order of arrival. A request that its
/// client marks as a retry may already be too late for the latency objective, which counts from the
/// client's first attempt. If the retry uses the last spare capacity, the first attempt of another
/// request is rejected, and the client of that request sends it again, as one more retry.
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
        "{first} first attempts sent, but {second} and {third} retries"
    );
}

/// Requests of ten times the priority weight are preferred, but the other requests are not starved.
#[test]
fn prefers_the_class_with_higher_priority_weight_when_overloaded() {
    let classes = [ServedClass::new(10.0, 100), ServedClass::new(1.0, 100)];
    let [high, low, other_low] = sent_under_overload(&classes, ONE_TO_TWO);
    assert!(
        2 * high > 3 * low.max(other_low),
        "{high} requests of high priority weight sent, {low} and {other_low} of low"
    );
    assert!(
        low + other_low > 20,
        "{low} and {other_low} requests of low priority weight sent, expected over 20 together"
    );
}

/// Requests of three times the priority weight that take three times as long are not preferred, as
/// three other requests could be served in the time of each.
#[test]
fn weighs_a_class_by_its_service_time_when_overloaded() {
    let classes = [ServedClass::new(3.0, 150), ServedClass::new(1.0, 50)];
    let [heavy, light, other_light] = sent_under_overload(&classes, ONE_TO_TWO);
    assert!(
        heavy < 2 * (light + other_light),
        "{heavy} heavy requests sent, {light} and {other_light} light ones"
    );
}

//! The text of the request counters in the log.

use frostkeel_balancer::request_counters::RequestCounters;
use frostkeel_policy::{ClassId, FailureReason, Outcome};
use std::time::Duration;

#[test]
fn shows_only_nonzero_counters_of_each_class() {
    let site = frostkeel_settings::parse(
        r#"{"classes": [{"name": "look", "aim_ms": 100}, {"name": "pay", "aim_ms": 200}]}"#,
    );
    let mut counters = RequestCounters::new(&site.expect("a site"));
    assert_eq!(counters.to_string(), "");
    let pay = ClassId(1);
    for (k, reason) in FailureReason::ALL.iter().enumerate() {
        assert_eq!(
            *reason as usize, k,
            "the reasons must be in the order of their discriminants"
        );
    }
    (0..4).for_each(|_| counters.count_received(pay));
    counters.count_forwarded(pay, Duration::from_millis(200));
    counters.count_forwarded(pay, Duration::from_millis(201));
    counters.count_failed(pay, FailureReason::NoSpareCapacity);
    counters.count_failed(pay, FailureReason::UpstreamUnresponsive);
    counters.count_attempt(pay, Outcome::Ok);
    counters.count_attempt(pay, Outcome::TimedOut);
    counters.count_client_disconnected(ClassId(9));
    let shown = "pay: received 4, in-time 1, late 1, no-spare-capacity 1, upstream-unresponsive 1, attempts 2, failed-attempts 1";
    assert_eq!(counters.to_string(), shown);
    counters.reset();
    assert_eq!(counters.to_string(), "");
}

//! Request counters as they are shown in the log.

use frostkeel_balancer::tally::Tally;
use frostkeel_policy::{ClassId, FailureReason, Outcome};
use std::time::Duration;

#[test]
fn shows_only_nonzero_counters_of_each_class() {
    let site = frostkeel_settings::parse(
        r#"{"classes": [{"name": "look", "aim_ms": 100}, {"name": "pay", "aim_ms": 200}]}"#,
    );
    let mut counters = Tally::new(&site.expect("a site"));
    assert_eq!(counters.to_string(), "");
    let pay = ClassId(1);
    for (k, reason) in FailureReason::ALL.iter().enumerate() {
        assert_eq!(*reason as usize, k, "the order of the numbers");
    }
    (0..4).for_each(|_| counters.asked(pay));
    counters.served(pay, Duration::from_millis(200));
    counters.served(pay, Duration::from_millis(201));
    counters.lost(pay, FailureReason::NoSpareCapacity);
    counters.lost(pay, FailureReason::UpstreamUnresponsive);
    counters.attempt(pay, Outcome::Ok);
    counters.attempt(pay, Outcome::TimedOut);
    counters.gone(ClassId(9));
    let shown = "pay: asked 4, in-time 1, after-objective 1, no-spare-capacity 1, upstream-unresponsive 1, attempts 2, unanswered 1";
    assert_eq!(counters.to_string(), shown);
    counters.clear();
    assert_eq!(counters.to_string(), "");
}

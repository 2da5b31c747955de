//! What the log says became of requests.

use frostkeel_balancer::tally::Tally;
use frostkeel_policy::{ClassId, FailureReason, Outcome};
use std::time::Duration;

#[test]
fn each_class_says_only_what_is_not_nil() {
    let site = frostkeel_settings::parse(
        r#"{"classes": [{"name": "look", "aim_ms": 100}, {"name": "pay", "aim_ms": 200}]}"#,
    );
    let mut tally = Tally::new(&site.expect("a site"));
    assert_eq!(tally.to_string(), "");
    let pay = ClassId(1);
    for (k, reason) in FailureReason::ALL.iter().enumerate() {
        assert_eq!(*reason as usize, k, "the order of the numbers");
    }
    (0..4).for_each(|_| tally.asked(pay));
    tally.served(pay, Duration::from_millis(200));
    tally.served(pay, Duration::from_millis(201));
    tally.lost(pay, FailureReason::NoSpareCapacity);
    tally.lost(pay, FailureReason::UpstreamUnresponsive);
    tally.attempt(pay, Outcome::Ok);
    tally.attempt(pay, Outcome::TimedOut);
    tally.gone(ClassId(9));
    let shown = "pay: asked 4, in-time 1, after-objective 1, no-spare-capacity 1, upstream-unresponsive 1, attempts 2, unanswered 1";
    assert_eq!(tally.to_string(), shown);
    tally.clear();
    assert_eq!(tally.to_string(), "");
}

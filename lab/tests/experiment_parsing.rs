//! Parsing of experiment files: the result for a valid file, and the line and reason of errors.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use frostkeel_lab::experiment::{Experiment, FaultKind, Target};
use std::time::Duration;

const VALID: &str = "name = \"x\"\nseconds = 5.0\n[fleet]\nbalancers = 2\nupstreams = 4\n\
                     [[fault]]\nat_s = 1\nkind = \"kill\"\ntarget = \"u1\"\nfor_s = 2\n";

#[test]
fn parses_a_valid_experiment() {
    let experiment = Experiment::parse(VALID).expect("a valid experiment");
    assert_eq!(
        (
            experiment.classes.len(),
            experiment.tenants.len(),
            experiment.seed
        ),
        (4, 5, 1)
    );
    let fault = &experiment.faults[0];
    assert_eq!(
        (&fault.target, fault.start),
        (&Target::Upstream(1), Duration::from_secs(1))
    );
    let restart_after = Some(Duration::from_secs(2));
    assert_eq!(
        fault.kind,
        FaultKind::Kill {
            restart_after,
            new_name: None
        }
    );
}

/// A replacement in the valid text that makes it invalid, and the expected error.
struct Case {
    from: &'static str,
    to: &'static str,
    line: usize,
    reason: &'static str,
}

const fn case(from: &'static str, to: &'static str, line: usize, reason: &'static str) -> Case {
    Case {
        from,
        to,
        line,
        reason,
    }
}

/// Keys of a fault on the link between two balancers, which exists only with membership.
const PEER_CUT: &str = "kind = \"cut\"\ntarget = \"b1\"\nwith = \"b0\"";

const INVALID: [Case; 16] = [
    case(
        "seconds = 5.0",
        "seconds = 0.0",
        2,
        "seconds must be between 1 and 3600, got 0",
    ),
    case(
        "balancers = 2",
        "balancers = 2\nbalancer = 1",
        5,
        "balancer",
    ),
    case(
        "balancers = 2",
        "balancers = 0",
        3,
        "balancers must be between 1 and 300, got 0",
    ),
    case("kind = \"kill\"", "kind = \"burn\"", 8, "burn"),
    case(
        "\"u1\"",
        "\"u9\"",
        6,
        "\"u9\" does not exist: its number must be below 4",
    ),
    case(
        "\"u1\"",
        "\"some of us\"",
        6,
        "unknown target \"some of us\"",
    ),
    case(
        "at_s = 1",
        "at_s = 9",
        6,
        "between 0 and 5 s, the length of the run, got 9",
    ),
    case(
        "kind = \"kill\"",
        "kind = \"stop\"",
        6,
        "does not apply to target \"u1\"",
    ),
    case("kind = \"kill\"", "kind = \"slow\"", 6, "factor is missing"),
    case(
        "for_s = 2",
        "for_s = 2\nbatch = 1",
        6,
        "batch has no effect",
    ),
    case(
        "kind = \"kill\"",
        "kind = \"cut\"\nwith = \"u2\"",
        6,
        "one end of a link must be a balancer",
    ),
    case(
        "kind = \"kill\"\ntarget = \"u1\"",
        PEER_CUT,
        6,
        "add a [membership] table",
    ),
    case("kind = \"kill\"", "kind = \"delay\"", 6, "a delay needs"),
    case(
        "\"u1\"",
        "\"clients\"",
        6,
        "does not apply to target \"clients\"",
    ),
    case(
        "for_s = 2",
        "for_s = 2\nname = \"x\"",
        6,
        "name has no effect",
    ),
    case("name = \"x\"", "", 1, "name"),
];

#[test]
fn rejects_an_invalid_experiment_with_line_and_reason() {
    for Case {
        from,
        to,
        line,
        reason,
    } in INVALID
    {
        let error = Experiment::parse(&VALID.replace(from, to)).expect_err(to);
        assert_eq!(error.line, line, "{to}: {error}");
        assert!(error.reason.to_string().contains(reason), "{to}: {error}");
    }
}

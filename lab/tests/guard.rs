//! The guard process, which kills the child processes of a lab that has ended.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use frostkeel_lab::guard::kill_children_when_input_ends;
use std::process::Command;

#[test]
fn kills_remaining_children_when_the_input_ends() {
    let mut child = Command::new("sleep").arg("60").spawn().expect("a child");
    let input = format!("+{}\n+999999999\n-999999999\nnonsense\n", child.id());
    assert_eq!(kill_children_when_input_ends(input.as_bytes()), 1);
    assert!(!child.wait().expect("it has exited").success());
}

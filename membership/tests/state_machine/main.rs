//! Tests of the state machine by itself, with datagrams and the current time as inputs.
#![expect(
    clippy::expect_used,
    reason = "a test fails where its input cannot be set up"
)]

mod datagrams;
mod name_conflicts;
mod support;
mod view;

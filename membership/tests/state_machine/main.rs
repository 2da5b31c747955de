//! The state machine alone, fed with datagrams and time.
#![expect(
    clippy::expect_used,
    reason = "a test fails where its input cannot be set up"
)]

mod datagrams;
mod name_conflicts;
mod support;
mod view;

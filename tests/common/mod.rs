//! Helpers that the tests of the decision module share.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test binary uses a part of this module"
)]
#![expect(clippy::expect_used, reason = "invalid settings fail the test")]

mod builders;
mod harness;

pub use builders::*;
pub use harness::*;

//! The progress and the results that `frostkeel lab run` and `frostkeel demo` print.

pub mod progress;
pub mod results;

//! What the commands of the lab print.

pub mod progress;
pub mod results;

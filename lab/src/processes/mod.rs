//! Child processes: their start and their logs, and the guard that kills them if the lab dies.

mod child;
pub mod guard;

pub use child::{log_field, process_id, spawn_logged, write_file};

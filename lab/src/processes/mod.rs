//! Child processes: their logs are stored and read line by line, and none outlives the lab.

mod child;
pub mod guard;

pub use child::{log_field, process_id, spawn_logged, write_file};

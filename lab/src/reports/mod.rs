//! Reports of runs.

mod page;

pub use page::{over_sizes as size_plot, write as write_report};

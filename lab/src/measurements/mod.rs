//! What is measured over a whole run.

pub mod figures;

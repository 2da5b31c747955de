//! The state machine alone, fed with datagrams and time.

mod datagrams;
mod name_conflicts;
mod support;
mod view;

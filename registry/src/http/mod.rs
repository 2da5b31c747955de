//! The two HTTP interfaces: one to read and watch the endpoint list in its published format, and
//! one for writes, status and metrics.

mod connection;
mod read_api;
mod response;
mod watch_stream;
mod write_api;

pub use connection::serve;
pub use read_api::ReadApi;
pub use write_api::WriteApi;

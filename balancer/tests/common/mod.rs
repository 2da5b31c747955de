//! Support for tests of the balancer on real sockets: the balancer as a process, and clients,
//! upstreams and discovery on loopback. The system assigns the ports. Tests wait for conditions,
//! for at most [`TIMEOUT`].
#![allow(
    dead_code,
    unused_imports,
    reason = "each test binary uses only a part of this module"
)]
#![expect(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a failed step fails the test"
)]

mod client;
mod config;
mod discovery;
mod in_process_server;
mod message;
mod process;
mod upstream;
mod upstream_pool;

pub use client::*;
pub use config::*;
pub use discovery::*;
pub use in_process_server::*;
pub use message::*;
pub use process::*;
pub use upstream::*;
pub use upstream_pool::*;

use std::time::{Duration, Instant};

/// The longest time for which a test waits for one condition.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until `holds` returns true. Fails after [`TIMEOUT`] with `description`, which completes
/// "timed out waiting until".
pub fn wait_until(description: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < TIMEOUT,
            "timed out waiting until {description}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

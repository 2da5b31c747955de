//! The Tokio runtimes that commands run on.

use std::io;
use tokio::runtime::{Builder, Runtime};

/// The number of threads of a lab. The lab's stand-ins, e.g. for clients and upstreams, must not wait for a core while
/// a hundred balancers run on the same machine.
const LAB_THREAD_COUNT: usize = 4;

/// Returns a runtime for a command that makes only a few requests.
pub fn single_threaded() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Returns a runtime for the registry server and for its clients.
pub fn multi_threaded() -> io::Result<Runtime> {
    Builder::new_multi_thread().enable_all().build()
}

/// Returns a runtime for an experiment.
pub fn for_lab() -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(LAB_THREAD_COUNT)
        .enable_all()
        .build()
}

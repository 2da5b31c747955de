//! The Tokio runtimes that commands run on.

use std::io;
use tokio::runtime::{Builder, Runtime};

/// The number of worker threads of an experiment, which does not depend on the number of cores. The clients and
/// upstreams that the lab provides run on these threads, and share the cores with e.g. a hundred balancer processes.
/// With several threads they wait for a core less often than with one.
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

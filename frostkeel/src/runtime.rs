//! The runtimes that commands run on.

use std::io;
use tokio::runtime::{Builder, Runtime};

/// Threads of a lab's own. Beside a hundred balancers its stand-ins must not wait for a core.
const LAB_THREADS: usize = 4;

/// For a command that makes a few calls.
pub fn single_threaded() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// For the registry server and its clients.
pub fn multi_threaded() -> io::Result<Runtime> {
    Builder::new_multi_thread().enable_all().build()
}

/// For an experiment.
pub fn for_lab() -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(LAB_THREADS)
        .enable_all()
        .build()
}

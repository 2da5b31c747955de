//! Locks that remain usable after a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a panic while it was held: a lab whose stand-in panics still reports.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

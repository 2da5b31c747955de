//! A library that tests preload into a process (`LD_PRELOAD`): some of its system calls fail with given errors, chosen
//! by a seed, and its wall clock is offset. It is no part of the product, and the only crate with `unsafe` code.
//!
//! | environment variable | value |
//! | --- | --- |
//! | `FAULT_ACCEPT`, `FAULT_CONNECT`, `FAULT_READ`, `FAULT_WRITE` | the share of these calls that fail, and their errors: `0.3:EMFILE,ECONNABORTED` |
//! | `FAULT_SEED` | the seed that chooses which calls fail and with which of the errors |
//! | `FAULT_WALL_MS` | the offset of the wall clock in milliseconds, rounded towards zero to seconds |
//!
//! Without a variable the calls work as usual. A rule that can't be parsed ends the process; a number that can't counts as 0.

mod config;
mod errors;
mod injection;

use config::SyscallKind;
use injection::{inject_error, wall_clock_offset_s};
use libc::{c_int, c_void, clockid_t, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::CStr;

/// What the C library returns from a call that has failed.
const FAILED: i8 = -1;

/// The function of this name that would be called without this library.
fn next_symbol(name: &CStr) -> *mut c_void {
    // SAFETY: `dlsym` only reads the name, which is terminated by a zero byte.
    let function = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!function.is_null(), "{name:?} is in no library");
    function
}

/// Defines a function of the C library that fails as the environment says, and otherwise calls the next function of its
/// name.
macro_rules! failing_function {
    ($kind:expr, $name:ident($($argument:ident: $type:ty),*) -> $result:ty) => {
        /// The function of the C library of this name, or its failure.
        ///
        /// # Safety
        /// As for the function of the C library of this name.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($argument: $type),*) -> $result {
            if inject_error($kind) {
                return FAILED.into();
            }
            const NAME: &CStr = match CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes()) {
                Ok(name) => name,
                Err(_) => panic!("the name isn't terminated by a zero byte"),
            };
            type Function = unsafe extern "C" fn($($type),*) -> $result;
            // SAFETY: the next function of this name has this type, and the caller vouches for the arguments.
            unsafe { std::mem::transmute::<*mut c_void, Function>(next_symbol(NAME))($($argument),*) }
        }
    };
}

failing_function!(
    SyscallKind::Accept,
    accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int
);
failing_function!(
    SyscallKind::Connect,
    connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int
);
failing_function!(
    SyscallKind::Read,
    recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t
);
failing_function!(
    SyscallKind::Write,
    send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t
);
failing_function!(
    SyscallKind::Write,
    writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t
);

/// Reads a clock of the system. The wall clock is offset as the environment says; the others are right.
///
/// # Safety
/// As for the function of the C library of this name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    type Function = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
    let next = next_symbol(c"clock_gettime");
    // SAFETY: the next function of this name has this type, and the caller vouches for the arguments.
    let result = unsafe { std::mem::transmute::<*mut c_void, Function>(next)(clock, time) };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        // SAFETY: the call has succeeded, so `time` points to a value that may be written.
        unsafe { (*time).tv_sec += wall_clock_offset_s() };
    }
    result
}

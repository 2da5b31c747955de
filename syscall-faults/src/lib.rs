//! Injects faults into a process: a fraction of the system calls fail with given errors, and the wall clock has an
//! offset. Tests preload this library into the process with `LD_PRELOAD`. The library is not part of the product. No
//! other crate has `unsafe` code.
//!
//! | environment variable | value |
//! | --- | --- |
//! | `FAULT_ACCEPT`, `FAULT_CONNECT`, `FAULT_READ`, `FAULT_WRITE` | the fraction of these calls that fail, and the errors that they fail with: `0.3:EMFILE,ECONNABORTED` |
//! | `FAULT_SEED` | the seed of the random numbers, which decide whether a call fails and with which error |
//! | `FAULT_WALL_MS` | the time added to the wall clock, in milliseconds; rounded towards zero to whole seconds |
//!
//! `FAULT_READ` applies to `recv`, and `FAULT_WRITE` to `send` and `writev`. Without the variable of a fault, the fault
//! is not injected. An invalid rule ends the process. A missing or invalid seed or offset counts as 0.

mod config;
mod errors;
mod injection;

use config::SyscallKind;
use injection::{inject_error, wall_clock_offset_s};
use libc::{c_int, c_void, clockid_t, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::CStr;

/// The value that the C library returns from a call that has failed.
const FAILED: i8 = -1;

/// Returns the function with this name that the process would call if this library were not loaded.
fn next_symbol(name: &CStr) -> *mut c_void {
    // SAFETY: `dlsym` only reads the name, which is terminated by a zero byte.
    let function = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(
        !function.is_null(),
        "no library loaded after this library defines {name:?}"
    );
    function
}

/// Defines a replacement for a function of the C library. The fault rule for this kind of system call states the
/// probability with which the replacement fails. Otherwise the replacement calls the replaced function.
macro_rules! replacement_function {
    ($kind:expr, $name:ident($($argument:ident: $type:ty),*) -> $result:ty) => {
        /// Calls the C library's function of the same name, or fails with an injected error.
        ///
        /// # Safety
        /// The requirements are those of the C library's function of the same name.
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
            // SAFETY: the replaced function has this type, and the caller ensures that the arguments are valid.
            unsafe { std::mem::transmute::<*mut c_void, Function>(next_symbol(NAME))($($argument),*) }
        }
    };
}

replacement_function!(
    SyscallKind::Accept,
    accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int
);
replacement_function!(
    SyscallKind::Connect,
    connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int
);
replacement_function!(
    SyscallKind::Read,
    recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t
);
replacement_function!(
    SyscallKind::Write,
    send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t
);
replacement_function!(
    SyscallKind::Write,
    writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t
);

/// Reads a clock of the system. If the clock is the wall clock (`CLOCK_REALTIME`), adds the offset that the environment
/// variable `FAULT_WALL_MS` states, in whole seconds. Other clocks are not changed.
///
/// # Safety
/// The requirements are those of the C library's function of the same name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    type Function = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
    let next = next_symbol(c"clock_gettime");
    // SAFETY: the replaced function has this type, and the caller ensures that the arguments are valid.
    let result = unsafe { std::mem::transmute::<*mut c_void, Function>(next)(clock, time) };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        // SAFETY: the call has succeeded, so `time` points to a value that may be written.
        unsafe { (*time).tv_sec += wall_clock_offset_s() };
    }
    result
}

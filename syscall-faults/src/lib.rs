//! A library that tests preload into a process (`LD_PRELOAD`) to inject faults: a fraction of the system calls fail
//! with given errors, and the wall clock has an offset. The library is not part of the product, and no other crate has
//! `unsafe` code.
//!
//! | environment variable | value |
//! | --- | --- |
//! | `FAULT_ACCEPT`, `FAULT_CONNECT`, `FAULT_READ`, `FAULT_WRITE` | the fraction of these calls that fail, and their errors: `0.3:EMFILE,ECONNABORTED` |
//! | `FAULT_SEED` | the seed of the random choice of the calls that fail and of their errors |
//! | `FAULT_WALL_MS` | the offset of the wall clock in milliseconds, rounded towards zero to whole seconds |
//!
//! A missing variable injects no fault. An invalid rule ends the process. An invalid seed or offset counts as 0.

mod config;
mod errors;
mod injection;

use config::SyscallKind;
use injection::{inject_error, wall_clock_offset_s};
use libc::{c_int, c_void, clockid_t, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::CStr;

/// The value that the C library returns from a call that has failed.
const FAILED: i8 = -1;

/// Returns the function that the process would call by this name without this library.
fn next_symbol(name: &CStr) -> *mut c_void {
    // SAFETY: `dlsym` only reads the name, which is terminated by a zero byte.
    let function = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(
        !function.is_null(),
        "no library loaded after this library defines {name:?}"
    );
    function
}

/// Defines a replacement for a function of the C library. A call of the replacement fails with the probability in the
/// fault rule for this kind of system call; otherwise it calls the replaced function.
macro_rules! replacement_function {
    ($kind:expr, $name:ident($($argument:ident: $type:ty),*) -> $result:ty) => {
        /// Calls the function of the C library with this name, or fails with an injected error.
        ///
        /// # Safety
        /// The requirements are those of the function of the C library with this name.
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

/// Reads a clock of the system. Adds the offset of `FAULT_WALL_MS` to the wall clock, and to no other clock.
///
/// # Safety
/// The requirements are those of the function of the C library with this name.
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

//! A library that tests preload into a balancer (`LD_PRELOAD`): system calls of its process fail with given errors, by
//! a seed, and its wall clock is off. The one crate with `unsafe` code, and no part of the product's build.
//!
//! The environment says what fails: `FAULT_SEED`, and for each of `FAULT_ACCEPT`, `FAULT_CONNECT`, `FAULT_READ` and
//! `FAULT_WRITE` a share of the calls and the errors that they end with, as in `0.3:EMFILE,ECONNABORTED`;
//! `FAULT_WALL_MS`, by how much the wall clock is off. What is not named works as ever.

mod faults;

use faults::{Call, fail};
use libc::{c_int, c_void, clockid_t, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::CStr;

/// The function that this library stands in front of.
fn next(name: &CStr) -> *mut c_void {
    // SAFETY: `dlsym` only reads the name, which ends with nil.
    let function = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!function.is_null(), "{name:?} is in no library");
    function
}

/// Defines a function of the C library that fails as the environment says, and is passed on otherwise.
macro_rules! failing {
    ($call:expr, $name:ident($($argument:ident: $kind:ty),*) -> $result:ty) => {
        /// The function of the C library, or its failure.
        ///
        /// # Safety
        /// As that of the function of this name.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($argument: $kind),*) -> $result {
            if fail($call) {
                return -1;
            }
            const NAME: &CStr = match CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes()) {
                Ok(name) => name,
                Err(_) => panic!("a name without an end"),
            };
            type Function = unsafe extern "C" fn($($kind),*) -> $result;
            // SAFETY: the next function of this name has this type, and the arguments are the caller's own.
            unsafe { std::mem::transmute::<*mut c_void, Function>(next(NAME))($($argument),*) }
        }
    };
}

failing!(Call::Accept, accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int);
failing!(Call::Connect, connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int);
failing!(Call::Read, recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t);
failing!(Call::Write, send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t);
failing!(Call::Write, writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t);

/// The clocks, the wall clock among them off by what the environment says.
///
/// # Safety
/// As that of the function of this name.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    type Function = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
    // SAFETY: the next function of this name has this type, and the arguments are the caller's own.
    let result = unsafe {
        std::mem::transmute::<*mut c_void, Function>(next(c"clock_gettime"))(clock, time)
    };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        // SAFETY: the call has succeeded, so that `time` may be written.
        unsafe { (*time).tv_sec += faults::wall_offset_s() };
    }
    result
}

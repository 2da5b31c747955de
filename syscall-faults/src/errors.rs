//! The errors that a fault rule can name.

use libc::c_int;

/// Returns the `errno` value of the error with this name, or `None` if a fault rule can't name this error.
pub(crate) fn error_number(name: &str) -> Option<c_int> {
    Some(match name {
        "EINTR" => libc::EINTR,
        "ECONNABORTED" => libc::ECONNABORTED,
        "EMFILE" => libc::EMFILE,
        "ENFILE" => libc::ENFILE,
        "ENOBUFS" => libc::ENOBUFS,
        "ENOMEM" => libc::ENOMEM,
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "ENETUNREACH" => libc::ENETUNREACH,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        "EPROTO" => libc::EPROTO,
        _ => return None,
    })
}

//! The errors that the environment can name.

use libc::c_int;

/// The number of the error with this name.
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

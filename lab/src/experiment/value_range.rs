//! Range checks for the numbers in an experiment file.

use thiserror::Error;

/// The error for a number that is outside its range.
#[derive(Debug, PartialEq, Error)]
#[error("{key} must be between {min} and {max}, got {value}")]
pub struct ValueOutOfRange {
    /// The key in the experiment file.
    pub key: &'static str,
    /// The value in the file, in the unit of the key.
    pub value: f64,
    /// The smallest valid value, in the unit of the key.
    pub min: f64,
    /// The largest valid value, in the unit of the key.
    pub max: f64,
}

/// Returns the value if it is between `min` and `max`, both included; otherwise an error that names
/// `key`.
pub(super) fn check_range(
    key: &'static str,
    value: f64,
    min: f64,
    max: f64,
) -> Result<f64, ValueOutOfRange> {
    if (min..=max).contains(&value) {
        return Ok(value);
    }
    Err(ValueOutOfRange {
        key,
        value,
        min,
        max,
    })
}

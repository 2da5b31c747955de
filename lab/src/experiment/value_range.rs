//! Ranges of the values of an experiment file.

use thiserror::Error;

/// A value is out of its range.
#[derive(Debug, PartialEq, Error)]
#[error("{key} is {value}: {min} to {max} can be played")]
pub struct ValueOutOfRange {
    /// The key.
    pub key: &'static str,
    /// Its value.
    pub value: f64,
    /// The least.
    pub min: f64,
    /// The most.
    pub max: f64,
}

/// Checks that a value is within its range, and returns it.
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

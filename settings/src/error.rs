//! The error type of the settings parser.

use thiserror::Error;

/// The error for a settings object that can't be parsed.
#[derive(Debug, Error)]
pub enum SettingsParseError {
    /// The text isn't JSON, or a value has the wrong type. The source error names the line and the column, and, for a
    /// wrong type, the value or its type.
    #[error("settings: {0}")]
    Json(#[from] serde_json::Error),
    /// A key has a value that is not among the accepted values.
    #[error("settings: {key} must be one of {accepted_values}, got {value:?}")]
    UnknownValue {
        /// The key with its path, such as `classes[1].effect`.
        key: String,
        /// The value found for the key.
        value: String,
        /// The accepted values, separated by commas.
        accepted_values: &'static str,
    },
    /// A key is missing although the value of another key requires it.
    #[error("settings: {key} is missing: {requirement}")]
    MissingKey {
        /// The missing key with its path, such as `classes[1].dedup_scope`.
        key: String,
        /// The value of the other key that requires the missing key, and the accepted values of the missing key.
        requirement: &'static str,
    },
}

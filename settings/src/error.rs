//! Why a settings object can't be used.

use thiserror::Error;

/// Why a settings object can't be parsed.
#[derive(Debug, Error)]
pub enum SettingsParseError {
    /// The text isn't JSON, or a value has the wrong type; the source names the value, its line and column.
    #[error("settings: {0}")]
    Json(#[from] serde_json::Error),
    /// A key has an unknown value.
    #[error("settings: {key} is {value:?}: possible are {possible}")]
    UnknownValue {
        /// The key with its path, as `classes[1].effect`.
        key: String,
        /// Its value.
        value: String,
        /// The values that are known.
        possible: &'static str,
    },
    /// A key is missing that another key's value requires.
    #[error("settings: {key} is missing: {required_by} requires it")]
    MissingKey {
        /// The key with its path.
        key: String,
        /// What requires it.
        required_by: &'static str,
    },
}

//! Errors of parsing a settings object.

use olivecart_decisions::InvalidSettings;

/// The reason a settings object is rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The JSON is invalid, a required key is missing, or a value has the wrong type.
    #[error("settings: {path}: {error}")]
    Malformed {
        /// The path of the key, such as `allowed.probes`.
        path: String,
        /// The parser's error.
        error: serde_json::Error,
    },
    /// The value of a key is invalid.
    #[error("settings: {key}: {problem}")]
    InvalidValue {
        /// The path of the key.
        key: String,
        /// The problem with its value.
        problem: String,
    },
    /// The values are valid one by one but contradict each other.
    #[error("{0}")]
    Inconsistent(InvalidSettings),
}

impl SettingsError {
    pub(crate) fn value(key: impl Into<String>, problem: impl Into<String>) -> SettingsError {
        SettingsError::InvalidValue { key: key.into(), problem: problem.into() }
    }
}

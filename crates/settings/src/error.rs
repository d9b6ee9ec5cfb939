//! Why a settings object cannot be used.

use olivecart_decisions::InvalidSettings;

/// Why a settings object cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It is not of the expected form.
    #[error("settings: {path}: {error}")]
    Form {
        /// Where.
        path: String,
        /// What was found.
        error: serde_json::Error,
    },
    /// The value of a key makes no sense.
    #[error("settings: {key}: {problem}")]
    Value {
        /// Which key.
        key: String,
        /// What is wrong with its value.
        problem: String,
    },
    /// The values contradict each other.
    #[error("{0}")]
    Unusable(InvalidSettings),
}

impl SettingsError {
    pub(crate) fn value(key: impl Into<String>, problem: impl Into<String>) -> SettingsError {
        SettingsError::Value { key: key.into(), problem: problem.into() }
    }
}

//! Why a batch could not be played, and why the adapter ends.

use base64::DecodeError;
use olivecart_settings::SettingsError;
use std::io;

/// Why an event could not be given to its instance, or an action of the instance not be written.
#[derive(Debug, thiserror::Error)]
pub enum InstanceError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("unknown stage-state {0}")]
    UnknownEndpointState(u8),
    #[error("unknown catalog {0}")]
    UnknownCatalog(u64),
    #[error("unknown form {0}")]
    UnknownForm(u8),
    #[error("unknown class {0:?}")]
    UnknownClass(String),
    #[error("unknown result {0:?}")]
    UnknownOutcome(String),
    #[error("peer bytes: {0}")]
    PeerBytes(#[from] DecodeError),
    #[error("the decision module panicked: {0}")]
    Panicked(String),
    #[error("an action for a request that is gone")]
    UnknownRequest,
    #[error("an action for an unknown endpoint")]
    UnknownEndpoint,
}

/// A batch that could not be played, and the instance concerned.
#[derive(Debug, thiserror::Error)]
#[error("instance {instance}: {error}")]
pub struct BatchError {
    pub instance: u64,
    pub error: InstanceError,
}

/// Why the adapter ends with a failure.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    #[error("standard input: {0}")]
    Input(io::Error),
    #[error("standard output: {0}")]
    Output(io::Error),
    /// A line is no batch.
    #[error("{line}: {error}")]
    Line {
        /// Which line, in words.
        line: String,
        error: serde_json::Error,
    },
    /// A batch could not be played.
    #[error("batch {number}: {error}")]
    Batch { number: u64, error: BatchError },
}

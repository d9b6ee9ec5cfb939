//! The errors of processing a batch, and those that end the adapter.

use base64::DecodeError;
use olivecart_settings::SettingsError;
use std::io;

/// An event that an instance could not process, or an action that could not be sent to the simulator.
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

/// The error of an event in a batch, with the instance that the event was for.
#[derive(Debug, thiserror::Error)]
#[error("instance {instance}: {error}")]
pub struct BatchError {
    pub instance: u64,
    pub error: InstanceError,
}

/// The errors that end the adapter.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    #[error("standard input: {0}")]
    Input(io::Error),
    #[error("standard output: {0}")]
    Output(io::Error),
    /// A line is not a valid batch.
    #[error("{line}: {error}")]
    Line {
        /// A description of the line, such as `batch 7`.
        line: String,
        error: serde_json::Error,
    },
    /// An event of a batch could not be processed.
    #[error("batch {number}: {error}")]
    Batch { number: u64, error: BatchError },
}

//! Counts the messages that were rejected, by their form.

use super::FramingError;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Who sent a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// A client, which sent a request.
    Client,
    /// An endpoint, which sent a response.
    Endpoint,
}

impl Side {
    fn name(self) -> &'static str {
        match self {
            Side::Client => "request",
            Side::Endpoint => "response",
        }
    }
}

/// The number of rejected messages of each form. Any thread can read them.
#[derive(Debug, Default)]
pub struct RejectedForms {
    requests: [AtomicU64; FramingError::ALL.len()],
    responses: [AtomicU64; FramingError::ALL.len()],
}

impl RejectedForms {
    /// Counts a rejected message.
    pub fn count(&self, side: Side, form: FramingError) {
        if let Some(at) = FramingError::ALL.iter().position(|other| *other == form) {
            self.of(side)[at].fetch_add(1, Relaxed);
        }
    }

    fn of(&self, side: Side) -> &[AtomicU64; FramingError::ALL.len()] {
        match side {
            Side::Client => &self.requests,
            Side::Endpoint => &self.responses,
        }
    }
}

impl fmt::Display for RejectedForms {
    /// Writes the forms that were seen.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for side in [Side::Client, Side::Endpoint] {
            for (form, count) in FramingError::ALL.iter().zip(self.of(side)) {
                let count = count.load(Relaxed);
                if count > 0 {
                    writeln!(f, "edge.rejected_{}.{}={count}", side.name(), form.name())?;
                }
            }
        }
        Ok(())
    }
}

//! Scenarios: what the lab plays, as TOML files with checks that name the faulty key and line.

mod span;
mod types;

pub use span::{BadSpan, Span};
pub use types::*;

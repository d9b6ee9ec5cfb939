//! Scenarios: what the lab plays, as TOML files with checks that name the faulty key and line.

mod check;
mod figures;
mod problem;
mod read;
mod schema;
mod types;

pub use figures::Seat;
pub use olivecart_config::document::{ParseSpanError, SourceSpan, Span};
pub use problem::{Finding, Problems};
pub use read::{Checked, check_files};
pub use schema::schema;
pub use types::*;

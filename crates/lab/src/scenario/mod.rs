//! Scenarios: what the lab plays, as TOML files with checks that name the faulty key and line.

mod check;
mod figures;
mod key;
mod problem;
mod read;
mod schema;
mod shape;
mod source;
mod span;
mod types;

pub use figures::Seat;
pub use problem::{Finding, Place, Problems};
pub use read::{Checked, check_files};
pub use schema::schema;
pub use span::{BadSpan, Span};
pub use types::*;

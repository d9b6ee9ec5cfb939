//! Each decision of the catalog, by example.

mod harness;
mod quarantine;
mod rejection;
mod updates;

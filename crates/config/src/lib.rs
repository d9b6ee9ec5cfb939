//! The operators' format. So far: TOML files as people write them, with places, checks against a schema, lengths
//! of time and sizes.

pub mod document;

//! Tests of the catalog's decisions through its public interface.

mod harness;
mod quarantine;
mod rejection;
mod updates;

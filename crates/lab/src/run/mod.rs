//! Runs of a scenario in virtual time, and what they come to.

pub mod result;

//! A server's own decisions, without sockets or clocks: what it takes in, what runs when and how fast, and
//! what it reports of itself.
//!
//! Work is time, not computing: a core is busy for the work's time over its speed. All happens at the instant
//! at which it is due, however late somebody asks, so that a timer that fires late delays one answer and
//! slows nothing down.

mod machine;
mod pace;
mod reports;
#[cfg(test)]
mod tests;

pub use machine::{Ask, Machine, Said, Shape, Tally, Ticket};
pub use reports::{Figures, NAMES as REPORT_NAMES};

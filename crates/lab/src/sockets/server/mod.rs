//! The behaviour of a stand-in server without sockets or clocks: admission, scheduling on its cores, and load
//! reports.
//!
//! Work is simulated as time: a core is busy for the work divided by its speed. Each event is applied at the
//! instant at which it is due, no matter when the caller asks, so a timer that fires late delays one response
//! and does not slow the server down.

mod machine;
mod pace;
mod reports;
#[cfg(test)]
mod tests;

pub use machine::{Machine, RequestEvent, RequestSpec, Shape, Tally, Ticket};
pub use reports::{Figures, NAMES as REPORT_NAMES};

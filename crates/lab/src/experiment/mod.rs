//! Experiments: many runs of a plan, and what their results say.
//!
//! What plays a run is behind [`Player`]; nothing here knows how.

pub mod bootstrap;
pub mod compare;
mod folder;
mod grid;
pub mod key_path;
pub mod metrics;
pub mod plan;
mod player;
pub mod select;
pub mod sweep;
pub mod winners;
pub mod words;

pub use compare::{Comparison, compare};
pub use player::{Model, Player};
pub use sweep::{Options, Summary, SweepError, check, sweep};
pub use winners::{Winners, winners};

//! Experiments: many runs of a plan, and what their results say.
//!
//! What plays a run is behind [`Engine`]; nothing here knows how a scenario is read or played.

pub mod bootstrap;
pub mod compare;
mod folder;
mod grid;
pub mod key_path;
pub mod metrics;
mod nearest;
pub mod plan;
pub mod select;
pub mod sweep;
pub mod winners;
pub mod words;

pub use compare::{Comparison, compare};
pub use sweep::{Options, Summary, SweepError, sweep};
pub use winners::{Winners, winners};

use crate::run::result::RunResult;
use crate::scenario::Scenario;
use std::path::Path;

/// What reads scenarios and plays them.
///
/// Errors are sentences for the person who wrote the plan; of a scenario they name file, line and key.
pub trait Engine: Sync {
    /// Reads and checks a scenario. `file` is for messages only: the text is not what stands in it, if a grid
    /// has changed it.
    fn read(&self, file: &Path, text: &str) -> Result<Scenario, String>;

    /// Hash of a scenario with all defaults filled in, as results give it.
    fn digest(&self, scenario: &Scenario) -> String;

    /// The build's revision, as results give it.
    fn revision(&self) -> String;

    /// Refuses a policy that there is not.
    fn check_policy(&self, name: &str) -> Result<(), String>;

    /// Plays a scenario on as many threads.
    fn run(&self, scenario: &Scenario, policy: &str, seed: u64, threads: usize) -> Result<RunResult, String>;
}

//! What plays the runs of an experiment.

use crate::policy;
use crate::run::{self, Options};
use crate::run_result::RunResult;
use crate::scenario::Checked;

/// What plays a scenario. Errors are sentences for the person who wrote the plan.
pub trait Player: Sync {
    /// The build's revision, as results give it.
    fn revision(&self) -> String;

    /// Refuses a policy that there is not.
    fn check_policy(&self, name: &str) -> Result<(), String>;

    /// Plays a scenario on one thread.
    fn run(&self, scenario: &Checked, policy: &str, seed: u64) -> Result<RunResult, String>;
}

/// The model in virtual time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Model;

impl Player for Model {
    fn revision(&self) -> String {
        run::revision().to_owned()
    }

    fn check_policy(&self, name: &str) -> Result<(), String> {
        policy::named(name).map(|_| ()).map_err(|error| error.to_string())
    }

    fn run(&self, scenario: &Checked, policy: &str, seed: u64) -> Result<RunResult, String> {
        run::run(scenario, policy, seed, Options::default()).map_err(|error| error.to_string())
    }
}

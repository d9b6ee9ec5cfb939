//! Many runs, and what their results say.

use super::{BROKEN_RULE, FAULTY, FINE, OUT_OF_BOUNDS, faulty};
use argh::FromArgs;
use olivecart_lab::experiment::{self, Model, Options, winners};
use olivecart_lab::report;
use slog::{Logger, info, warn};
use std::num::NonZero;
use std::path::PathBuf;

/// Play a grid of parameters times seeds, spread over the cores. What was played before is kept. Exit codes: 0; 1 a run could not be played; 3 a rule was broken; 4 out of bounds.
#[derive(FromArgs)]
#[argh(subcommand, name = "sweep")]
pub struct Sweep {
    /// plan file
    #[argh(positional)]
    plan: PathBuf,
    /// folder for the results
    #[argh(option)]
    out: PathBuf,
    /// runs at a time (default: as many as there are cores)
    #[argh(option)]
    jobs: Option<NonZero<usize>>,
    /// try again what could not be played before
    #[argh(switch)]
    retry_failed: bool,
    /// a broken rule or bound is no failure: textbook policies break them
    #[argh(switch)]
    lenient: bool,
}

/// Compare two sets of runs, paired by seed: the difference of each figure, its interval, and whether it is more than chance.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct Compare {
    /// results: FILE or DIR, with :POLICY and :KEY=VALUE to choose among them
    #[argh(positional)]
    a: String,
    /// results to compare with
    #[argh(positional)]
    b: String,
}

/// Say which policy wins which scenario, as a table in Markdown.
#[derive(FromArgs)]
#[argh(subcommand, name = "winners")]
pub struct Winners {
    /// results of a sweep: FILE or DIR
    #[argh(positional)]
    runs: String,
    /// the figure that decides (default goodput)
    #[argh(option)]
    metric: Option<String>,
}

/// Write a page of one or more runs: plots of what happened, in one file.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {
    /// results: FILE or DIR, with :POLICY and :KEY=VALUE to choose among them
    #[argh(positional)]
    results: Vec<String>,
    /// the page
    #[argh(option)]
    out: PathBuf,
}

impl Sweep {
    /// Plays it.
    pub fn run(self, log: &Logger) -> u8 {
        let options = Options { jobs: self.jobs, retry_failed: self.retry_failed };
        info!(log, "sweeping"; "plan" => %self.plan.display(), "out" => %self.out.display());
        let summary = match experiment::sweep(&self.plan, &self.out, &options, &Model) {
            Ok(summary) => summary,
            Err(error) => return faulty(error),
        };
        println!("{summary}");
        match () {
            () if !summary.complete() => FAULTY,
            () if self.lenient => FINE,
            () if summary.broke_rules > 0 => BROKEN_RULE,
            () if summary.out_of_bounds > 0 => OUT_OF_BOUNDS,
            () => FINE,
        }
    }
}

impl Compare {
    /// Compares.
    pub fn run(self) -> u8 {
        match experiment::compare(&self.a, &self.b) {
            Ok(comparison) => {
                println!("{comparison}");
                FINE
            }
            Err(error) => faulty(error),
        }
    }
}

impl Winners {
    /// Prints the table.
    pub fn run(self) -> u8 {
        let mut rules = winners::Rules::default();
        if let Some(metric) = self.metric {
            rules.metric = metric;
        }
        match experiment::winners(&self.runs, &rules) {
            Ok(table) => {
                println!("{table}");
                FINE
            }
            Err(error) => faulty(error),
        }
    }
}

impl Report {
    /// Writes the page.
    pub fn run(self, log: &Logger) -> u8 {
        match report::report(&self.results, &self.out) {
            Ok(content) => {
                content.torn.iter().for_each(|torn| warn!(log, "a line was cut off"; "line" => %torn));
                println!("{}: {} runs", self.out.display(), content.runs.len());
                FINE
            }
            Err(error) => faulty(error),
        }
    }
}

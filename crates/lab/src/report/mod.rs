//! Reports: one HTML page of one or several runs, with nothing outside of it.
//!
//! Plots are SVG inside the page (drawn by plotters); the page follows the reader's light or dark scheme.

mod axis;
mod buckets;
mod classes;
mod frame;
mod held;
mod over_time;
mod overlay;
mod page;
mod palette;
mod run;
mod servers;

pub use frame::NotDrawn;
pub use page::page;

use crate::experiment::select::{SelectError, Selection};
use crate::results::{Cell, Entry, Failed, Outcome, Torn};
use crate::run_result::RunResult;
use std::io;
use std::path::{Path, PathBuf};

/// Most runs of a page.
pub const MOST_RUNS: usize = 24;

/// A run to be shown.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    /// Where in a grid.
    pub cell: Cell,
    /// What it came to.
    pub run: Box<RunResult>,
}

/// What a page shows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Content {
    /// Runs, each with a section of its own; two of them also over each other.
    pub runs: Vec<Shown>,
    /// Runs that could not be played.
    pub failed: Vec<Failed>,
    /// Lines that were cut off.
    pub torn: Vec<Torn>,
}

/// Why there is no page.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// Runs cannot be read.
    #[error(transparent)]
    Select(#[from] SelectError),
    /// There are too many.
    #[error("{0} runs are too many for a page, which takes {MOST_RUNS}; choose, as in FILE:POLICY:seed=1")]
    Many(usize),
    /// Nothing was given.
    #[error("no file of results was given")]
    None,
    /// A plot went wrong.
    #[error(transparent)]
    NotDrawn(#[from] NotDrawn),
    /// The page cannot be written.
    #[error("{file}: {error}", file = .0.display(), error = .1)]
    Write(PathBuf, io::Error),
}

/// Writes a page of runs, each input a choice as in [`crate::experiment::select`].
///
/// # Errors
/// Runs cannot be read, are more than [`MOST_RUNS`], or the page cannot be written.
pub fn report(inputs: &[String], out: &Path) -> Result<Content, ReportError> {
    if inputs.is_empty() {
        return Err(ReportError::None);
    }
    let mut content = Content::default();
    let mut count = 0;
    for input in inputs {
        let torn = Selection::parse(input)?.each(|_, entry| {
            count += 1;
            if count <= MOST_RUNS {
                content.add(entry);
            }
        })?;
        content.torn.extend(torn);
    }
    if count > MOST_RUNS {
        return Err(ReportError::Many(count));
    }
    write(&content, out)?;
    Ok(content)
}

/// Writes a page of what is at hand.
///
/// # Errors
/// The page cannot be written.
pub fn write(content: &Content, out: &Path) -> Result<(), ReportError> {
    let text = page(content)?;
    std::fs::write(out, text).map_err(|error| ReportError::Write(out.to_owned(), error))
}

impl Content {
    fn add(&mut self, entry: Entry) {
        match entry.outcome {
            Outcome::Played(run) => self.runs.push(Shown { cell: entry.cell, run }),
            Outcome::Failed(failed) => self.failed.push(failed),
        }
    }
}

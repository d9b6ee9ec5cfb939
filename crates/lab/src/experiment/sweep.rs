//! Playing a plan: every run once, spread over cores, a line each in `DIR/results.jsonl`.
//!
//! A sweep that died goes on where it was: what the file has is not played again. A run that cannot be played
//! is a line too, and does not stop the others.

use super::folder::{self, Manifest, RESULTS};
use super::grid::{Job, jobs};
use super::plan::{self, PlanError};
use super::player::Player;
use super::words::{first_some, run_words};
use crate::results::{
    Appender, Encoded, Entry, Failed, NotStorable, Outcome, Reader, ResultsError, RunId, Torn,
};
use crate::run_result::RunResult;
use indicatif::{ProgressBar, ProgressStyle};
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io;
use std::num::NonZero;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread;

/// How a plan is played.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Runs at a time; none: as many as there are cores.
    pub jobs: Option<NonZero<usize>>,
    /// Runs that failed before are tried again.
    pub retry_failed: bool,
}

/// Why a plan was not played to its end. What was played until then is in the results.
#[derive(Debug, thiserror::Error)]
pub enum SweepError {
    /// The plan, or a scenario in one of its cells.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The folder cannot be used.
    #[error("{file}: {error}", file = .0.display(), error = .1)]
    Io(PathBuf, io::Error),
    /// The folder belongs to something else.
    #[error("{}: {why}; give another folder", .folder.display())]
    Foreign {
        /// The folder.
        folder: PathBuf,
        /// Whose it is.
        why: String,
    },
    /// The results cannot be read or written.
    #[error(transparent)]
    Results(#[from] ResultsError),
}

/// What a sweep came to.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The results.
    pub results: PathBuf,
    /// Runs of the plan.
    pub runs: usize,
    /// Of those, played by an earlier start.
    pub kept: usize,
    /// Of those, played now, failed ones included.
    pub played: usize,
    /// Runs that could not be played, by now or before, in words.
    pub failed: Vec<String>,
    /// Runs that broke a rule.
    pub broke_rules: usize,
    /// Runs whose figures are not to be trusted.
    pub unsound: usize,
    /// Runs that were not within their scenario's bounds.
    pub out_of_bounds: usize,
    /// A line that an earlier start left unfinished.
    pub torn: Option<Torn>,
}

impl Summary {
    /// Every run was played. If not, the command ends with an exit code that is not 0.
    pub fn complete(&self) -> bool {
        self.failed.is_empty()
    }

    fn count(&mut self, entry: &Entry) {
        match &entry.outcome {
            Outcome::Played(run) => {
                self.broke_rules += usize::from(!run.breaches.is_empty());
                self.unsound += usize::from(!run.unsound.is_empty());
                self.out_of_bounds += usize::from(!run.out_of_bounds.is_empty());
            }
            Outcome::Failed(run) => {
                let name = run_words(&run.scenario, &entry.cell, &run.policy, run.seed);
                self.failed.push(format!("{name}: {}", run.error));
            }
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if let Some(torn) = &self.torn {
            writeln!(f, "{torn}, and played again")?;
        }
        let Summary { runs, kept, played, .. } = self;
        write!(f, "{}: {runs} runs, {played} played now", self.results.display())?;
        if *kept > 0 {
            write!(f, ", {kept} there from an earlier start")?;
        }
        let counts = [
            (self.broke_rules, "broke a rule"),
            (self.out_of_bounds, "left their scenario's bounds"),
            (self.unsound, "are not to be trusted (unsound)"),
            (self.failed.len(), "could not be played:"),
        ];
        for (count, what) in counts.into_iter().filter(|(count, _)| *count > 0) {
            write!(f, "\n{count} {what}")?;
        }
        for failed in first_some(&self.failed, 20) {
            write!(f, "\n  {failed}")?;
        }
        Ok(())
    }
}

/// Reads and checks a plan with its scenarios, in every cell of its grid; how many runs it makes.
///
/// # Errors
/// Everything that is wrong with it.
pub fn check(plan: &Path, player: &dyn Player) -> Result<usize, PlanError> {
    Ok(jobs(&plan::read(plan)?, player)?.len())
}

/// Plays a plan into a folder, or goes on with one that was begun.
///
/// # Errors
/// The plan is wrong, the folder belongs to another plan or build, or the results cannot be written. Runs
/// that fail are no error here, but make the [`Summary`] incomplete.
pub fn sweep(plan: &Path, out: &Path, options: &Options, player: &dyn Player) -> Result<Summary, SweepError> {
    let plan = plan::read(plan)?;
    let jobs = jobs(&plan, player)?;
    let manifest = Manifest::new(&plan, &jobs, player.revision());
    folder::open(out, &plan, &manifest)?;
    let results = out.join(RESULTS);
    let (mut appender, torn) = Appender::open(&results)?;
    let mut summary = Summary { runs: jobs.len(), torn, ..Summary::default() };
    let done = already(&results, &jobs, options, &mut summary)?;
    summary.results = results;
    summary.kept = done.len();
    let open: Vec<&Job> = jobs.iter().filter(|job| !done.contains_key(&job.id())).collect();
    play(&open, options, player, |entry, line| {
        appender.append(&line?)?;
        summary.played += 1;
        summary.count(entry);
        Ok(())
    })?;
    Ok(summary)
}

/// The runs that need not be played again.
fn already(
    results: &Path,
    jobs: &[Job],
    options: &Options,
    summary: &mut Summary,
) -> Result<BTreeMap<RunId, Entry>, SweepError> {
    let wanted: BTreeSet<RunId> = jobs.iter().map(Job::id).collect();
    let mut done = BTreeMap::new();
    for entry in Reader::open(results)? {
        let (line, mut entry) = entry?;
        let id = entry.id();
        if !wanted.contains(&id) {
            let (file, why) = (results.to_owned(), "its run is not one of this plan's".to_owned());
            return Err(ResultsError::Line { file, line, why }.into());
        }
        // Only what the summary needs: all results together may be larger than memory.
        if let Outcome::Played(run) = &mut entry.outcome {
            let RunResult { unsound, breaches, out_of_bounds, .. } = std::mem::take(&mut **run);
            **run = RunResult { unsound, breaches, out_of_bounds, ..RunResult::default() };
        }
        done.insert(id, entry);
    }
    if options.retry_failed {
        done.retain(|_, entry| matches!(entry.outcome, Outcome::Played(_)));
    }
    done.values().for_each(|entry| summary.count(entry));
    Ok(done)
}

type Line = Result<Encoded, NotStorable>;

/// Plays runs on as many threads as asked for and hands their lines over one after another, as they come.
fn play(
    jobs: &[&Job],
    options: &Options,
    player: &dyn Player,
    mut store: impl FnMut(&Entry, Line) -> Result<(), ResultsError>,
) -> Result<(), ResultsError> {
    let cores = options.jobs.or_else(|| thread::available_parallelism().ok()).map_or(1, NonZero::get);
    let threads = cores.min(jobs.len());
    let bar = progress(jobs.len());
    let (next, stop) = (AtomicUsize::new(0), AtomicBool::new(false));
    let (to, from) = sync_channel(threads);
    let stored = thread::scope(|scope| {
        for _ in 0..threads {
            let (to, next, stop) = (to.clone(), &next, &stop);
            scope.spawn(move || work(jobs, next, stop, player, &to));
        }
        drop(to);
        let stored = from.iter().try_for_each(|(entry, line): (Entry, Line)| {
            store(&entry, line)?;
            bar.inc(1);
            Ok(())
        });
        stop.store(true, Ordering::Relaxed);
        // Danger: threads that wait to hand over their last run would never end, and the scope with them.
        drop(from);
        stored
    });
    bar.finish_and_clear();
    stored
}

fn work(
    jobs: &[&Job],
    next: &AtomicUsize,
    stop: &AtomicBool,
    player: &dyn Player,
    to: &SyncSender<(Entry, Line)>,
) {
    while !stop.load(Ordering::Relaxed)
        && let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed))
        && to.send(play_one(job, player)).is_ok()
    {}
}

fn play_one(job: &Job, player: &dyn Player) -> (Entry, Line) {
    let entry = |outcome| Entry { cell: (*job.cell).clone(), outcome };
    let played = catch_unwind(AssertUnwindSafe(|| player.run(&job.scenario, &job.policy, job.seed)));
    let played = played.unwrap_or_else(|panic| Err(format!("the run panicked: {}", panic_words(&*panic))));
    let stored = played.and_then(|run| {
        let entry = entry(Outcome::Played(Box::new(run)));
        if entry.id() != job.id() {
            return Err("the result is another run's: scenario digest, policy or seed differ".to_owned());
        }
        let line = Encoded::entry(&entry).map_err(|error| error.to_string())?;
        Ok((entry, line))
    });
    let error = match stored {
        Ok((entry, line)) => return (entry, Ok(line)),
        Err(error) => error,
    };
    let failed = entry(Outcome::Failed(Failed {
        scenario: job.scenario.name.clone(),
        scenario_digest: job.scenario.digest().to_owned(),
        policy: job.policy.to_string(),
        seed: job.seed,
        error,
    }));
    let line = Encoded::entry(&failed);
    (failed, line)
}

fn panic_words(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("no reason given")
}

/// A bar on standard error; indicatif draws none where that is no terminal.
fn progress(runs: usize) -> ProgressBar {
    let bar = ProgressBar::new(runs as u64);
    if let Ok(style) = ProgressStyle::with_template("{wide_bar} {pos}/{len} runs, {elapsed} gone, {eta} left")
    {
        bar.set_style(style);
    }
    bar
}

//! Prints the progress and the report of a run on sockets, and waits for signals that end it early.

use super::load::{LiveCounts, Load, LoadError, Report};
use super::proc::Track;
use crate::run_result::Group;
use std::io::{self, Write};
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::interval_at;

/// Resolves on SIGINT, SIGTERM or SIGHUP.
///
/// # Errors
/// The signal handlers cannot be installed.
pub async fn interrupted() -> io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
        _ = hang_up.recv() => {}
    }
    Ok(())
}

/// Why an observed load failed.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The load failed.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The progress output failed.
    #[error("cannot write progress output: {0}")]
    Output(#[from] io::Error),
}

/// Runs a load to its end and writes a progress line per second to `out`; `down` returns the names of servers
/// and proxies that do not run.
///
/// # Errors
/// As [`Load::run`], or `out` cannot be written.
pub async fn watch(
    load: Load,
    begin: Instant,
    down: impl Fn() -> Vec<String>,
    out: &mut (dyn Write + Send),
) -> Result<Report, WatchError> {
    let (live, second) = (load.live(), Duration::from_secs(1));
    let run = load.run(begin);
    tokio::pin!(run);
    let mut ticks = interval_at((begin + second).into(), second);
    loop {
        tokio::select! {
            report = &mut run => return Ok(report?),
            now = ticks.tick() => {
                let at = now.into_std().saturating_duration_since(begin).as_secs();
                writeln!(out, "{}", line(at, &mut live.live_counts(), &down()))?;
            }
        }
    }
}

/// Formats the counts of one second. Requests count when they end, so the numbers of a line need not add up.
fn line(at: u64, live_counts: &mut LiveCounts, down: &[String]) -> String {
    let (p50, p99) = (live_counts.percentile_ms(50.0), live_counts.percentile_ms(99.0));
    let LiveCounts { offered, in_time, late, refused, failed, .. } = live_counts;
    let down = if down.is_empty() { String::new() } else { format!("  down: {}", down.join(", ")) };
    format!(
        "{at:3} s  offered {offered:5}  in time {in_time:5}  late {late:4}  refused {refused:4}  \
         failed {failed:4}  p50 {p50:7.1} ms  p99 {p99:7.1} ms{down}"
    )
}

/// Writes a load's report as a table.
///
/// # Errors
/// `out` cannot be written.
pub fn table(report: &Report, out: &mut dyn Write) -> io::Result<()> {
    let (result, totals) = (&report.result, &report.result.totals);
    writeln!(out, "{:<14} offered  goodput  refused   failed        p50        p99      p99.9", "class")?;
    for Group { name, offered, goodput, refused, failed, latency } in &result.classes {
        writeln!(
            out,
            "{name:<14} {offered:7} {goodput:8.4} {refused:8} {failed:8} {:7.1} ms {:7.1} ms {:7.1} ms",
            latency.p50_ms, latency.p99_ms, latency.p999_ms
        )?;
    }
    writeln!(
        out,
        "goodput {:.4}, worst ten seconds {:.4}; {} client retries; {} connections",
        totals.goodput, result.worst_window, totals.client_retries, report.connections
    )?;
    if report.waited > 0 {
        writeln!(out, "{} requests waited for a free connection", report.waited)?;
    }
    let breaches = result.breaches.iter().map(|b| format!("rule broken {} times: {}", b.count, b.what));
    let unsound = result.unsound.iter().map(|why| format!("not to be trusted: {why}"));
    let bounds = result.out_of_bounds.iter().cloned();
    breaches.chain(unsound).chain(bounds).try_for_each(|line| writeln!(out, "{line}"))
}

/// Writes the resource usage of proxies as a table.
///
/// # Errors
/// `out` cannot be written.
pub fn proxies(tracks: &[Track], out: &mut dyn Write) -> io::Result<()> {
    writeln!(out, "{:<14}     CPU  most memory  descriptors", "proxy")?;
    for track in tracks.iter().filter(|track| track.samples.len() > 1) {
        let (cpu, memory, descriptors) = (track.cpu_s(), track.peak_mib(), track.peak_descriptors());
        writeln!(out, "{:<14} {cpu:5.2} s  {memory:7.1} MiB  {descriptors:11}", track.name)?;
    }
    Ok(())
}

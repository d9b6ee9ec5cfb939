//! How a run on sockets is told while it goes on, and at its end; and what ends it early.

use super::load::{Lately, Load, LoadError, Report};
use super::proc::Track;
use crate::run_result::Group;
use std::io::{self, Write};
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::interval_at;

/// Resolves at an interrupt, a SIGTERM or a SIGHUP.
///
/// # Errors
/// They cannot be caught.
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

/// Why a load that was watched came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The load's own reason.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// Nobody reads what is said.
    #[error("what is said cannot be written: {0}")]
    Out(#[from] io::Error),
}

/// Plays a load to its end, and says a line a second on `out`; `down` tells who does not run at present.
///
/// # Errors
/// As [`Load::run`], and where `out` fails.
pub async fn watch(
    load: Load,
    begin: Instant,
    down: impl Fn() -> Vec<String>,
    out: &mut (dyn Write + Send),
) -> Result<Report, WatchError> {
    let (live, second) = (load.live(), Duration::from_secs(1));
    let run = load.run(begin);
    tokio::pin!(run);
    let mut every = interval_at((begin + second).into(), second);
    loop {
        tokio::select! {
            report = &mut run => return Ok(report?),
            now = every.tick() => {
                let at = now.into_std().saturating_duration_since(begin).as_secs();
                writeln!(out, "{}", line(at, &mut live.lately(), &down()))?;
            }
        }
    }
}

/// What happened in a second. Requests count when they end, so that a line need not add up.
fn line(at: u64, lately: &mut Lately, down: &[String]) -> String {
    let (p50, p99) = (lately.percentile_ms(50.0), lately.percentile_ms(99.0));
    let Lately { offered, in_time, late, refused, failed, .. } = lately;
    let down = if down.is_empty() { String::new() } else { format!("  down: {}", down.join(", ")) };
    format!(
        "{at:3} s  offered {offered:5}  in time {in_time:5}  late {late:4}  refused {refused:4}  \
         failed {failed:4}  p50 {p50:7.1} ms  p99 {p99:7.1} ms{down}"
    )
}

/// A load's report as a table.
///
/// # Errors
/// `out` fails.
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
        "goodput {:.4}, worst ten seconds {:.4}; {} tries of clients after their first; {} connections",
        totals.goodput, result.worst_window, totals.client_retries, report.connections
    )?;
    if report.waited > 0 {
        writeln!(out, "{} requests waited for one of the connections that they may have", report.waited)?;
    }
    let breaches = result.breaches.iter().map(|b| format!("rule broken {} times: {}", b.count, b.what));
    let unsound = result.unsound.iter().map(|why| format!("not to be trusted: {why}"));
    let bounds = result.out_of_bounds.iter().cloned();
    breaches.chain(unsound).chain(bounds).try_for_each(|line| writeln!(out, "{line}"))
}

/// What proxies used, as a table.
///
/// # Errors
/// `out` fails.
pub fn proxies(tracks: &[Track], out: &mut dyn Write) -> io::Result<()> {
    writeln!(out, "{:<14}     CPU  most memory  descriptors", "proxy")?;
    for track in tracks.iter().filter(|track| track.samples.len() > 1) {
        let (cpu, memory, descriptors) = (track.cpu_s(), track.peak_mib(), track.peak_descriptors());
        writeln!(out, "{:<14} {cpu:5.2} s  {memory:7.1} MiB  {descriptors:11}", track.name)?;
    }
    Ok(())
}

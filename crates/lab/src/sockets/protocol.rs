//! This platform's protocol as its peers speak it: names of headers and paths, and discovery's form.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The request's id, fresh for each try of a client.
pub const REQUEST_ID: &str = "x-request-id";
/// The class, by name.
pub const CLASS: &str = "x-class";
/// The tenant, by name.
pub const TENANT: &str = "x-tenant";
/// How long the sender waits, from its sending.
pub const DEADLINE: &str = "x-deadline";
/// What tells repeats of a keyed request.
pub const KEY: &str = "idempotency-key";
/// `1` on later tries, where clients mark them.
pub const RETRY: &str = "x-retry";
/// Further figures, `name=value` with commas between.
pub const EXTRAS: &str = "x-extras";
/// A load report.
pub const LOAD: &str = "x-load";
/// `1` on an answer to what never ran.
pub const NOT_RUN: &str = "x-not-run";

/// Where requests go.
pub const API: &str = "/api";
/// Answers while the process does.
pub const LIVE: &str = "/health/live";
/// Whether a proxy can be put to use.
pub const READY: &str = "/health/ready";
/// The load report.
pub const STATS: &str = "/stats";
/// The list of servers.
pub const LIST: &str = "/registry/instances";

/// Largest body, either way.
pub const BODY_LIMIT: usize = 64 * 1024;
/// An open watch says something at least this often.
pub const WATCH_PERIOD: Duration = Duration::from_secs(2);

/// The figure in `X-Extras` that carries a request's whole work, in microseconds.
pub const WORK: &str = "work_us";

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is withdrawn; only among changes.
    Gone,
}

/// One line of discovery's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The server's name.
    pub id: String,
    /// Where it is, for whoever asked.
    pub addr: String,
    /// Its zone's name.
    pub zone: String,
    /// Its kind's name.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it takes requests.
    pub state: State,
    /// Its size; 1 where nothing is told.
    pub weight: f64,
    /// When it last started, Unix time in milliseconds; 0: long ago.
    pub started_ms: u64,
}

/// One object of discovery's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The version that the list is at.
    pub version: u64,
    /// The whole list, or what changed.
    pub full: bool,
    /// The lines.
    pub servers: Vec<Line>,
}

/// A length of time as `X-Deadline` states it.
pub fn deadline_text(left: Duration) -> String {
    format!("{}u", left.as_micros())
}

/// Reads `X-Deadline`: a number followed by `m` for milliseconds or `u` for microseconds.
pub fn deadline(text: &str) -> Option<Duration> {
    let text = text.trim();
    let (number, scale) = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(number), _) => (number, 1e-3),
        (_, Some(number)) => (number, 1e-6),
        _ => return None,
    };
    let plain = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds = number.parse::<f64>().ok().filter(|_| plain)? * scale;
    Duration::try_from_secs_f64(seconds).ok()
}

/// A figure of `X-Extras`.
pub fn extra(text: &str, name: &str) -> Option<f64> {
    let (_, value) =
        text.split(',').filter_map(|part| part.split_once('=')).find(|(n, _)| n.trim() == name)?;
    value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)
}

/// Reads `Retry-After` in seconds, whole or decimal. Its other form, a date, is not used here.
pub fn retry_after(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.trim().parse().ok()?).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_are_read_with_their_units_and_rubbish_is_none() {
        assert_eq!(deadline("480m"), Some(Duration::from_millis(480)));
        assert_eq!(deadline(&deadline_text(Duration::from_micros(1500))), Some(Duration::from_micros(1500)));
        for bad in ["", "m", "480", "480s", "-1m", "infm", "1e9m", "é"] {
            assert_eq!(deadline(bad), None, "{bad:?}");
        }
        assert_eq!(retry_after("0.25"), Some(Duration::from_millis(250)));
        assert_eq!(retry_after("-1"), None);
        assert_eq!(retry_after("Wed, 21 Oct 2015 07:28:00 GMT"), None);
    }

    #[test]
    fn figures_are_found_by_name() {
        assert_eq!(extra("a=1, work_us=2500.5,b", WORK), Some(2500.5));
        assert_eq!(extra("work_us=inf", WORK), None);
        assert_eq!(extra("", WORK), None);
    }
}

//! The platform's protocol as its peers use it: header names, paths, and the discovery document.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The request's id, new for each attempt of a client.
pub const REQUEST_ID: &str = "x-request-id";
/// The name of the class.
pub const CLASS: &str = "x-class";
/// The name of the tenant.
pub const TENANT: &str = "x-tenant";
/// How long the sender waits for the response, counted from sending.
pub const DEADLINE: &str = "x-deadline";
/// The idempotency key, which identifies repeats of a request.
pub const KEY: &str = "idempotency-key";
/// `1` on retries, if clients mark them.
pub const RETRY: &str = "x-retry";
/// Further figures as `name=value`, separated by commas.
pub const EXTRAS: &str = "x-extras";
/// The server's load report.
pub const LOAD: &str = "x-load";
/// `1` on the response to a request that was not executed.
pub const NOT_RUN: &str = "x-not-run";

/// The path of requests.
pub const API: &str = "/api";
/// The liveness check.
pub const LIVE: &str = "/health/live";
/// The readiness check of a proxy.
pub const READY: &str = "/health/ready";
/// The path of the load report.
pub const STATS: &str = "/stats";
/// The path of discovery's list of servers.
pub const LIST: &str = "/registry/instances";

/// The largest body of a request or response, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;
/// The longest time between two lines of an open watch.
pub const WATCH_PERIOD: Duration = Duration::from_secs(2);

/// The name of the figure in `X-Extras` with a request's total work, in microseconds.
pub const WORK: &str = "work_us";

/// The state of a server in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The server accepts requests.
    Ready,
    /// The server finishes its open requests and accepts no others.
    Draining,
    /// The server was removed. Appears only in changes.
    Gone,
}

/// A server in a discovery document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The server's name.
    pub id: String,
    /// The server's address for the client that asked.
    pub addr: String,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// The server's state.
    pub state: State,
    /// Its weight; 1 if weights are not published.
    pub weight: f64,
    /// When it last started, as Unix time in milliseconds; 0 if unknown.
    pub started_ms: u64,
}

/// A discovery document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The version of the list.
    pub version: u64,
    /// Whether the document contains the full list or only changes.
    pub full: bool,
    /// The servers.
    pub servers: Vec<ServerEntry>,
}

/// Formats a duration for `X-Deadline`.
pub fn deadline_text(left: Duration) -> String {
    format!("{}u", left.as_micros())
}

/// Parses `X-Deadline`: a number followed by `m` for milliseconds or `u` for microseconds.
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

/// Returns a figure of `X-Extras`.
pub fn extra(text: &str, name: &str) -> Option<f64> {
    let (_, value) =
        text.split(',').filter_map(|part| part.split_once('=')).find(|(n, _)| n.trim() == name)?;
    value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)
}

/// Parses `Retry-After` in seconds, whole or decimal. The date form is not supported.
pub fn retry_after(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.trim().parse().ok()?).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn durations_are_parsed_with_units_and_invalid_values_are_none() {
        assert_eq!(deadline("480m"), Some(Duration::from_millis(480)));
        assert_eq!(deadline(&deadline_text(Duration::from_micros(1500))), Some(Duration::from_micros(1500)));
        for invalid in ["", "m", "480", "480s", "-1m", "infm", "1e9m", "é"] {
            assert_eq!(deadline(invalid), None, "{invalid:?}");
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

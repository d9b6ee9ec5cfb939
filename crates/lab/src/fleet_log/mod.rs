//! Counts events across the logs of all proxies of a fleet. A load that is harmless from one proxy may not be
//! harmless from all of them together.
//!
//! The input is one log per proxy, written with `OLIVECART_LOG=debug`. Proxies that share an endpoint form
//! one tier.

mod line;
mod table;

pub use line::Line;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::{self, BufRead};

/// Counts by name.
pub type Counts = BTreeMap<String, u64>;

/// The counts of one endpoint, added up over all proxies.
#[derive(Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The numbers of attempts, connections and health checks, and of the outcomes of attempts and health
    /// checks.
    pub counts: Counts,
    /// The current number of attempts in flight.
    in_flight: u64,
    /// The highest number of attempts in flight.
    pub max_in_flight: u64,
}

/// A tier: the proxies that share endpoints.
#[derive(Debug, Default, PartialEq)]
pub struct Tier {
    /// The names of the proxies.
    pub proxies: BTreeSet<String>,
    /// The endpoints, by name.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// The counts of all proxies, by second since the first line.
    pub seconds: BTreeMap<u64, Counts>,
}

/// The counts of all logs.
#[derive(Debug, Default, PartialEq)]
pub struct Fleet {
    /// The tiers, in the order of the name of their first proxy.
    pub tiers: Vec<Tier>,
    /// The number of lines that are incomplete or were not written by a proxy.
    pub unreadable_count: u64,
    /// The file and line number of the first unreadable lines.
    pub unreadable_lines: Vec<String>,
}

/// The maximum number of unreadable lines that are listed.
const MAX_LISTED_LINES: usize = 5;

/// An event of one proxy.
struct LoggedEvent {
    at_ms: u64,
    proxy: String,
    name: String,
    endpoint: Option<String>,
}

/// Counts the events of logs, each given with the name for error messages.
///
/// # Errors
/// Returns an error if a log cannot be read.
pub fn count<R: BufRead>(logs: impl IntoIterator<Item = (String, R)>) -> io::Result<Fleet> {
    let mut fleet = Fleet::default();
    let (mut events, mut start_ms) = (Vec::new(), None);
    let mut listed: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for (file, log) in logs {
        let mut names: BTreeMap<String, String> = BTreeMap::new();
        for (number, text) in log.split(b'\n').enumerate() {
            let text = String::from_utf8_lossy(&text?).into_owned();
            let Some(line) = Line::parse(&text) else {
                fleet.unreadable_count += 1;
                if fleet.unreadable_lines.len() < MAX_LISTED_LINES {
                    fleet.unreadable_lines.push(format!("{file}:{}", number + 1));
                }
                continue;
            };
            let proxy = line.key("proxy").unwrap_or_default().to_owned();
            let start_ms = *start_ms.get_or_insert(line.at_ms);
            let named = listed.entry(proxy.clone()).or_default();
            if let ("endpoint" | "endpoint updated", Some(number), Some(name)) =
                (line.message, line.key("endpoint"), line.key("name"))
            {
                names.insert(number.to_owned(), name.to_owned());
                named.insert(name.to_owned());
                continue;
            }
            let endpoint = line.key("endpoint").and_then(|number| names.get(number)).cloned();
            let outcome = line.key("outcome").map_or(String::new(), |outcome| format!(" {outcome}"));
            // A line of another log that is earlier than the first line counts as simultaneous with it.
            let at_ms = Some(line.since(start_ms)).filter(|at| *at < 12 * 3_600_000).unwrap_or(0);
            events.push(LoggedEvent {
                at_ms,
                proxy,
                name: format!("{}{outcome}", count_name(line.message)),
                endpoint,
            });
        }
    }
    fleet.tiers = group_into_tiers(listed);
    events.sort_by_key(|event| event.at_ms);
    for event in events {
        if let Some(tier) = fleet.tiers.iter_mut().find(|tier| tier.proxies.contains(&event.proxy)) {
            tier.record(event);
        }
    }
    Ok(fleet)
}

/// Returns the name that a message is counted under, which is the message of earlier builds.
fn count_name(message: &str) -> &str {
    match message {
        "request received" => "request",
        "request aborted" => "aborted",
        "request shed" => "shed",
        "request failed" => "fail",
        "attempt started" => "send",
        "attempt completed" => "outcome",
        "attempt cancelled" => "cancel",
        "health check started" => "check",
        "health check completed" => "checked",
        "idle pool closed" => "close",
        "endpoint watch changed" => "watch",
        "endpoint refresh requested" => "refresh",
        "endpoint list received" => "list",
        other => other,
    }
}

/// Groups proxies that share an endpoint.
fn group_into_tiers(listed: BTreeMap<String, BTreeSet<String>>) -> Vec<Tier> {
    let mut tiers: Vec<Tier> = Vec::new();
    for (proxy, names) in listed {
        let shares = |tier: &Tier| names.iter().any(|name| tier.endpoints.contains_key(name));
        let (joined, mut others): (Vec<_>, Vec<_>) = tiers.into_iter().partition(shares);
        let mut merged = Tier::default();
        for tier in joined {
            merged.proxies.extend(tier.proxies);
            merged.endpoints.extend(tier.endpoints);
        }
        merged.proxies.insert(proxy);
        merged.endpoints.extend(names.into_iter().map(|name| (name, Endpoint::default())));
        others.push(merged);
        tiers = others;
    }
    tiers.sort_by(|a, b| a.proxies.first().cmp(&b.proxies.first()));
    tiers
}

impl Tier {
    fn record(&mut self, event: LoggedEvent) {
        let second = self.seconds.entry(event.at_ms / 1000).or_default();
        *second.entry(event.name.clone()).or_default() += 1;
        let Some(endpoint) = event.endpoint.and_then(|name| self.endpoints.get_mut(&name)) else { return };
        match &*event.name {
            "send" => {
                endpoint.in_flight += 1;
                endpoint.max_in_flight = endpoint.max_in_flight.max(endpoint.in_flight);
            }
            name if name.starts_with("outcome") => endpoint.in_flight = endpoint.in_flight.saturating_sub(1),
            _ => {}
        }
        *endpoint.counts.entry(event.name).or_default() += 1;
    }

    /// Returns the total of one count.
    pub fn total(&self, name: &str) -> u64 {
        self.seconds.values().filter_map(|counts| counts.get(name)).sum()
    }
}

impl fmt::Display for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for tier in &self.tiers {
            table::write(f, tier)?;
        }
        if self.unreadable_count > 0 {
            writeln!(
                f,
                "{} lines are incomplete or not from a proxy, the first at {}",
                self.unreadable_count,
                self.unreadable_lines.join(", ")
            )?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn log(proxy: &str, lines: &[(u32, &str)]) -> (String, io::Cursor<Vec<u8>>) {
        let line = |(ms, text): &(u32, &str)| {
            format!("Dec 01 18:00:{:02}.{:03} DEBG {text}, proxy: {proxy}\n", ms / 1000, ms % 1000)
        };
        (format!("{proxy}.log"), io::Cursor::new(lines.iter().map(line).collect::<String>().into_bytes()))
    }

    #[test]
    fn events_of_all_proxies_are_added_up_by_endpoint_name() {
        let (named, send) = ("endpoint, endpoint: 0, name: s", "send, request: 1, endpoint: 0");
        let a = log("a", &[(0, named), (1, send), (900, "outcome, outcome: Overloaded, endpoint: 0")]);
        // Proxy b has another id for the same endpoint, and logs the messages of newer builds. Proxy c has
        // another endpoint, and thus forms another tier.
        let b = log(
            "b",
            &[
                (0, "endpoint updated, endpoint: 4, name: s"),
                (2, "attempt started, endpoint: 4"),
                (1200, "connect, endpoint: 4"),
            ],
        );
        let c = log("c", &[(0, "endpoint, endpoint: 0, name: t"), (3, send)]);
        let fleet = count([a, b, c]).expect("readable");
        let [first, second] = &fleet.tiers[..] else { panic!("{fleet:?}") };
        assert_eq!((first.proxies.len(), second.proxies.len()), (2, 1));
        assert_eq!((first.total("send"), second.total("send"), first.total("outcome Overloaded")), (2, 1, 1));
        assert_eq!(first.endpoints["s"].max_in_flight, 2);
        assert_eq!(first.seconds[&1], Counts::from([("connect".into(), 1)]));
        assert_eq!(fleet.unreadable_count, 0);
    }

    #[test]
    fn incomplete_and_foreign_lines_are_counted_and_listed() {
        let (name, log) = log("a", &[(0, "endpoint, endpoint: 0, name: s"), (1, "send, endpoint: 0")]);
        let mut bytes = log.into_inner();
        bytes.extend_from_slice(b"thread 'main' panicked\n\xff\xfe\nDec 01 18:00:01.000 DEBG send, endp");
        let fleet = count([(name, io::Cursor::new(bytes))]).expect("readable");
        assert_eq!(
            (fleet.unreadable_count, &*fleet.unreadable_lines),
            (3, &["a.log:3".into(), "a.log:4".into(), "a.log:5".into()][..])
        );
        assert_eq!(fleet.tiers[0].total("send"), 1);
        assert!(
            fleet.to_string().contains("3 lines are incomplete or not from a proxy, the first at a.log:3"),
            "{fleet}"
        );
    }
}

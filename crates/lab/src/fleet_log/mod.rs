//! What all proxies of a fleet did together, counted from their logs: each may be harmless alone.
//!
//! The logs are those of `OLIVECART_LOG=debug`, one file for each proxy. Proxies that share an endpoint are one tier.

mod line;
mod table;

pub use line::Line;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::{self, BufRead};

/// Counts by the name of what is counted.
pub type Counts = BTreeMap<String, u64>;

/// What happened at one endpoint, at all proxies together.
#[derive(Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Sends, connections, checks, and how attempts and checks ended.
    pub counts: Counts,
    /// Attempts out now, and the most at a time.
    out: u64,
    /// The most attempts out at a time.
    pub most_out: u64,
}

/// One tier: proxies that share endpoints.
#[derive(Debug, Default, PartialEq)]
pub struct Tier {
    /// Its proxies.
    pub proxies: BTreeSet<String>,
    /// Its endpoints by name.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// All of them by second since the first line.
    pub seconds: BTreeMap<u64, Counts>,
}

/// All that the logs tell.
#[derive(Debug, Default, PartialEq)]
pub struct Fleet {
    /// Tiers in the order of their first proxy's name.
    pub tiers: Vec<Tier>,
    /// Lines that no proxy wrote whole: how many, and the first few by file and number.
    pub unread: u64,
    /// The first few of them, by file and number.
    pub unread_at: Vec<String>,
}

/// How many unreadable lines are named.
const NAMED: usize = 5;

struct Happened {
    at_ms: u64,
    proxy: String,
    what: String,
    endpoint: Option<String>,
}

/// Reads logs, each with the name it is reported by.
///
/// # Errors
/// A log can't be read.
pub fn count<R: BufRead>(logs: impl IntoIterator<Item = (String, R)>) -> io::Result<Fleet> {
    let mut fleet = Fleet::default();
    let (mut events, mut began) = (Vec::new(), None);
    let mut listed: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for (file, log) in logs {
        let mut names: BTreeMap<String, String> = BTreeMap::new();
        for (number, text) in log.split(b'\n').enumerate() {
            let text = String::from_utf8_lossy(&text?).into_owned();
            let Some(line) = Line::read(&text) else {
                fleet.unread += 1;
                if fleet.unread_at.len() < NAMED {
                    fleet.unread_at.push(format!("{file}:{}", number + 1));
                }
                continue;
            };
            let proxy = line.key("proxy").unwrap_or_default().to_owned();
            let began = *began.get_or_insert(line.at_ms);
            let named = listed.entry(proxy.clone()).or_default();
            if let ("endpoint", Some(number), Some(name)) =
                (line.what, line.key("endpoint"), line.key("name"))
            {
                names.insert(number.to_owned(), name.to_owned());
                named.insert(name.to_owned());
                continue;
            }
            let endpoint = line.key("endpoint").and_then(|number| names.get(number)).cloned();
            let end = line.key("outcome").map_or(String::new(), |outcome| format!(" {outcome}"));
            // A proxy whose log starts before the first one's is as good as at its start.
            let at_ms = Some(line.since(began)).filter(|at| *at < 12 * 3_600_000).unwrap_or(0);
            events.push(Happened { at_ms, proxy, what: format!("{}{end}", line.what), endpoint });
        }
    }
    fleet.tiers = tiers(listed);
    events.sort_by_key(|event| event.at_ms);
    for event in events {
        if let Some(tier) = fleet.tiers.iter_mut().find(|tier| tier.proxies.contains(&event.proxy)) {
            tier.take(event);
        }
    }
    Ok(fleet)
}

/// Puts proxies together that share an endpoint.
fn tiers(listed: BTreeMap<String, BTreeSet<String>>) -> Vec<Tier> {
    let mut tiers: Vec<Tier> = Vec::new();
    for (proxy, names) in listed {
        let shares = |tier: &Tier| names.iter().any(|name| tier.endpoints.contains_key(name));
        let (joined, mut others): (Vec<_>, Vec<_>) = tiers.into_iter().partition(shares);
        let mut whole = Tier::default();
        for tier in joined {
            whole.proxies.extend(tier.proxies);
            whole.endpoints.extend(tier.endpoints);
        }
        whole.proxies.insert(proxy);
        whole.endpoints.extend(names.into_iter().map(|name| (name, Endpoint::default())));
        others.push(whole);
        tiers = others;
    }
    tiers.sort_by(|a, b| a.proxies.first().cmp(&b.proxies.first()));
    tiers
}

impl Tier {
    fn take(&mut self, event: Happened) {
        let second = self.seconds.entry(event.at_ms / 1000).or_default();
        *second.entry(event.what.clone()).or_default() += 1;
        let Some(endpoint) = event.endpoint.and_then(|name| self.endpoints.get_mut(&name)) else { return };
        match &*event.what {
            "send" => {
                endpoint.out += 1;
                endpoint.most_out = endpoint.most_out.max(endpoint.out);
            }
            what if what.starts_with("outcome") => endpoint.out = endpoint.out.saturating_sub(1),
            _ => {}
        }
        *endpoint.counts.entry(event.what).or_default() += 1;
    }

    /// How often something happened.
    pub fn total(&self, what: &str) -> u64 {
        self.seconds.values().filter_map(|counts| counts.get(what)).sum()
    }
}

impl fmt::Display for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for tier in &self.tiers {
            table::write(f, tier)?;
        }
        if self.unread > 0 {
            writeln!(
                f,
                "{} lines are torn or foreign, the first at {}",
                self.unread,
                self.unread_at.join(", ")
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
    fn what_each_proxy_does_a_little_is_added_up_by_the_names_that_all_share() {
        let (named, send) = ("endpoint, endpoint: 0, name: s", "send, request: 1, endpoint: 0");
        let a = log("a", &[(0, named), (1, send), (900, "outcome, outcome: Overloaded, endpoint: 0")]);
        // The same endpoint has another number at another proxy, and a tier of its own elsewhere.
        let b = log(
            "b",
            &[
                (0, "endpoint, endpoint: 4, name: s"),
                (2, "send, endpoint: 4"),
                (1200, "connect, endpoint: 4"),
            ],
        );
        let c = log("c", &[(0, "endpoint, endpoint: 0, name: t"), (3, send)]);
        let fleet = count([a, b, c]).expect("readable");
        let [first, second] = &fleet.tiers[..] else { panic!("{fleet:?}") };
        assert_eq!((first.proxies.len(), second.proxies.len()), (2, 1));
        assert_eq!((first.total("send"), second.total("send"), first.total("outcome Overloaded")), (2, 1, 1));
        assert_eq!(first.endpoints["s"].most_out, 2);
        assert_eq!(first.seconds[&1], Counts::from([("connect".into(), 1)]));
        assert_eq!(fleet.unread, 0);
    }

    #[test]
    fn torn_and_foreign_lines_are_counted_and_named() {
        let (name, log) = log("a", &[(0, "endpoint, endpoint: 0, name: s"), (1, "send, endpoint: 0")]);
        let mut bytes = log.into_inner();
        bytes.extend_from_slice(b"thread 'main' panicked\n\xff\xfe\nDec 01 18:00:01.000 DEBG send, endp");
        let fleet = count([(name, io::Cursor::new(bytes))]).expect("readable");
        assert_eq!(
            (fleet.unread, &*fleet.unread_at),
            (3, &["a.log:3".into(), "a.log:4".into(), "a.log:5".into()][..])
        );
        assert_eq!(fleet.tiers[0].total("send"), 1);
        assert!(fleet.to_string().contains("3 lines are torn or foreign, the first at a.log:3"), "{fleet}");
    }
}

//! Discovery's form: the paths asked and the lists that come back.

use crate::discovery::News;
use olivecart_decisions::State;
use olivecart_settings::{Listed, Site};
use serde::Deserialize;
use std::borrow::Cow;

/// The path of the whole list.
pub const LIST: &str = "/registry/instances";

/// The path of a watch on what changes after a version.
pub fn watch(after: u64) -> String {
    format!("{LIST}?watch=1&after={after}")
}

/// One object of discovery's.
#[derive(Deserialize)]
struct Document<'a> {
    version: u64,
    #[serde(default)]
    full: bool,
    #[serde(borrow)]
    servers: Vec<Server<'a>>,
}

#[derive(Deserialize)]
struct Server<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow, default)]
    addr: Cow<'a, str>,
    #[serde(borrow, default)]
    zone: Cow<'a, str>,
    #[serde(borrow, default)]
    kind: Cow<'a, str>,
    #[serde(default)]
    cell: u64,
    #[serde(borrow)]
    state: Cow<'a, str>,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    started_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// Reads one object. A state never heard of counts as draining: known, and not to be sent anything.
pub fn read(site: &mut Site, text: &[u8]) -> Result<News, serde_json::Error> {
    let document: Document = serde_json::from_slice(text)?;
    let entry = |server: &Server| {
        let addr = server.addr.parse().ok();
        let state = match (&*server.state, addr) {
            ("ready", Some(_)) => State::Ready,
            ("gone", _) => State::Gone,
            _ => State::Draining,
        };
        let entry = site.entry(&Listed {
            name: &server.id,
            state,
            zone: &server.zone,
            kind: &server.kind,
            cell: server.cell,
            size: server.weight,
            started: (server.started_ms > 0).then(|| server.started_ms.saturating_mul(1_000_000)),
        });
        (entry, addr)
    };
    let entries = document.servers.iter().map(entry).collect();
    Ok(News { version: document.version, full: document.full, entries })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_change_is_read_with_its_addresses_and_start_times() {
        let grades = r#"{"grades":[{"name":"v","aim-ns":1,"give-up-ns":2,"effect":"repeatable"}]}"#;
        let mut site = Site::read(grades).expect("settings");
        let text =
            br#"{"version":43,"servers":[{"id":"s","addr":"127.0.0.9:1","state":"ready","started_ms":7},
            {"id":"t","state":"resting","addr":"127.0.0.9:2"},{"id":"s","state":"gone"}],"more":1}"#;
        let news = read(&mut site, text).expect("a change");
        assert_eq!((news.version, news.full), (43, false));
        let states: Vec<_> = news.entries.iter().map(|(e, a)| (e.id.0, e.state, a.is_some())).collect();
        assert_eq!(states, [(0, State::Ready, true), (1, State::Draining, true), (0, State::Gone, false)]);
        assert_eq!(news.entries[0].0.started, Some(7_000_000));
    }
}

//! The format of discovery: the request paths, and the endpoint lists in the responses.

use crate::membership::{Endpoint, ListUpdate};
use olivecart_decisions::EndpointState;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// The path of the endpoint list.
pub const LIST: &str = "/registry/instances";

/// Returns the path of a watch for changes after a version.
pub fn watch(after: u64) -> String {
    format!("{LIST}?watch=1&after={after}")
}

/// Serializes an update in the format that [`read`] parses.
pub fn write(update: &ListUpdate) -> String {
    let servers = update.endpoints.iter().map(|e| SerializedServer {
        id: &e.name,
        addr: e.addr.map(|addr| addr.to_string()).unwrap_or_default(),
        zone: &e.zone,
        kind: &e.kind,
        cell: e.cell,
        state: match e.state {
            EndpointState::Ready => "ready",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "gone",
        },
        weight: e.size,
        started_ms: e.started.unwrap_or(0) / 1_000_000,
    });
    let servers: Vec<SerializedServer> = servers.collect();
    serde_json::json!({ "version": update.version, "full": update.full, "servers": servers }).to_string()
}

#[derive(Serialize)]
struct SerializedServer<'a> {
    id: &'a str,
    addr: String,
    zone: &'a str,
    kind: &'a str,
    cell: u64,
    state: &'a str,
    weight: f64,
    started_ms: u64,
}

/// A response of discovery: a snapshot or a delta.
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
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    started_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

/// Parses a response of discovery. An unknown state counts as draining: the endpoint stays listed and takes
/// no requests.
pub fn read(text: &[u8]) -> Result<ListUpdate<'_>, serde_json::Error> {
    let document: Document = serde_json::from_slice(text)?;
    let endpoints = document.servers.into_iter().map(endpoint).collect();
    Ok(ListUpdate { version: document.version, full: document.full, endpoints })
}

fn endpoint(server: Server<'_>) -> Endpoint<'_> {
    let addr = server.addr.parse().ok();
    let state = match (&*server.state, addr) {
        ("ready", Some(_)) => EndpointState::Ready,
        ("gone", _) => EndpointState::Removed,
        _ => EndpointState::Draining,
    };
    Endpoint {
        name: server.id,
        state,
        zone: server.zone,
        kind: server.kind,
        cell: server.cell,
        size: server.weight,
        started: (server.started_ms > 0).then(|| server.started_ms.saturating_mul(1_000_000)),
        addr,
    }
}

#[cfg(test)]
mod tests;

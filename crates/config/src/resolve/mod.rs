//! Puts the layers together: what each proxy reads, and where every value of it came from. Pure; called by
//! `check` with what was loaded.

mod application;
mod classes;
mod layers;
mod overrides;
mod proxy;

use crate::load::Loaded;
use crate::origin::Origins;
use crate::types::Proxy;
use layers::Layers;

pub use overrides::{Environment, OWN_DESCRIPTORS, VARIABLE_PREFIX, built_in, value_of_variable};

/// A proxy with all its values.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolved {
    /// What it reads.
    pub proxy: Proxy,
    /// Where each value came from.
    pub origins: Origins,
    /// The application: its index among those that were loaded; none for what a single proxy reads.
    pub application: Option<usize>,
    /// The machine that it runs on.
    pub machine: String,
    /// Of each of its calls: how often for each request that it serves.
    pub times: Vec<f64>,
}

/// Requests that may be open at an application, unless it says.
pub const MAX_REQUESTS: u32 = 100;

/// The keys of a class as a proxy reads it.
pub const CLASS_KEYS: [&str; 11] = [
    "name",
    "aim",
    "deadline",
    "effect",
    "group",
    "window",
    "attempt",
    "repeat",
    "worth",
    "late_worth",
    "stream",
];

/// The keys of an inbound listener.
const INBOUND_KEYS: [&str; 3] = ["listen", "application", "max_requests"];

/// The proxies of all that was loaded: of each application that belongs to the fleet, then single ones.
pub fn resolve(loaded: &Loaded, environment: &Environment) -> Vec<Resolved> {
    let mut all = Vec::new();
    if let Some((fleet_source, fleet)) = &loaded.fleet {
        for (index, (source, application)) in loaded.applications.iter().enumerate() {
            let layers = Layers::new(*fleet_source, fleet, *source, application);
            all.push(application::resolve_application(&layers, index, environment));
        }
    }
    all.extend(
        loaded.proxies.iter().map(|(source, proxy)| proxy::resolve_proxy(*source, proxy, environment)),
    );
    all
}

//! Merges the layers into the configuration of each proxy and records the origin of every value. No I/O; used
//! by `check`.

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

/// A proxy's configuration after merging all layers.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolved {
    /// The merged configuration.
    pub proxy: Proxy,
    /// The origin of each value.
    pub origins: Origins,
    /// The index of the application among the loaded ones; `None` for a proxy file.
    pub application: Option<usize>,
    /// The machine that the application runs on.
    pub machine: String,
    /// For each call: the average number of calls for each request that the application serves.
    pub calls_per_request: Vec<f64>,
}

/// The default maximum number of concurrent requests to an application.
pub const MAX_REQUESTS: u32 = 100;

/// The keys of a class in a proxy file.
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

/// The keys of an inbound listener in a proxy file.
const INBOUND_KEYS: [&str; 3] = ["listen", "application", "max_requests"];

/// Resolves all loaded files: first the proxies of the fleet's applications, then the proxy files.
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

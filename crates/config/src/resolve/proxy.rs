//! Resolves a proxy file: fills in the defaults of its settings.

use super::overrides::{Environment, OverrideLayer, merge};
use super::{CLASS_KEYS, INBOUND_KEYS, Resolved};
use crate::document::{Key, top};
use crate::origin::{Layer, Origin, Origins};
use crate::types::Proxy;

/// Resolves a proxy file.
pub(super) fn resolve_proxy(source: usize, proxy: &Proxy, environment: &Environment) -> Resolved {
    let mut origins = Origins::new();
    let layer =
        OverrideLayer { layer: Layer::Proxy, source, key: top("settings"), overrides: &proxy.settings };
    let settings = merge(&[layer], environment, &mut origins);
    // All other values come from the file itself, from the same keys.
    for key in own_keys(proxy) {
        origins.insert(key.clone(), Origin::File { layer: Layer::Proxy, source, key });
    }
    Resolved {
        proxy: Proxy { settings, ..proxy.clone() },
        origins,
        application: None,
        machine: proxy.name.clone(),
        calls_per_request: Vec::new(),
    }
}

/// Returns all keys except those of settings.
fn own_keys(proxy: &Proxy) -> Vec<Key> {
    let mut keys = Vec::from(["name", "tier", "zone", "zones", "tenants", "sources"].map(top));
    keys.push(top("admin").name("listen"));
    keys.extend(INBOUND_KEYS.map(|name| top("inbound").name(name)));
    for i in 0..proxy.outbound.len() {
        let names = ["application", "listen", "attempts", "clusters", "routes"];
        keys.extend(names.map(|name| top("outbound").at(i).name(name)));
    }
    for i in 0..proxy.classes.len() {
        keys.extend(CLASS_KEYS.map(|name| top("classes").at(i).name(name)));
    }
    keys
}

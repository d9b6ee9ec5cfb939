//! Resolves the configuration of an application's proxy from the fleet, the tier and the application.

use super::classes::resolve_classes;
use super::layers::Layers;
use super::overrides::{Environment, OverrideLayer, merge};
use super::{INBOUND_KEYS, Resolved};
use crate::document::{Key, top};
use crate::origin::{Layer, Origins};
use crate::types::{Admin, Call, Fleet, Outbound, Overrides, Proxy, Source, VERSION};

/// Resolves what the proxy of an application reads; `index` is the application's among those that were
/// loaded.
pub(super) fn resolve_application(layers: &Layers, index: usize, environment: &Environment) -> Resolved {
    let Layers { fleet, application, .. } = layers;
    let mut origins = Origins::new();
    add_own_origins(layers, &mut origins);
    let settings = resolve_settings(layers, environment, &mut origins);
    let admin = resolve_admin(layers, &mut origins);
    let outbound = resolve_calls(layers, &settings, &mut origins);
    let classes = resolve_classes(layers, &mut origins);
    let proxy = Proxy {
        version: VERSION,
        kind: "proxy".to_owned(),
        name: application.name.clone(),
        tier: layers.tier_index.unwrap_or(0) as u32,
        zone: application.zone.clone().or_else(|| only_zone(fleet)),
        zones: fleet.zones.clone(),
        settings,
        admin,
        inbound: application.inbound.clone(),
        outbound,
        classes,
        tenants: fleet.tenants.clone(),
        sources: resolve_sources(fleet),
    };
    Resolved {
        proxy,
        origins,
        application: Some(index),
        machine: application.machine.clone().unwrap_or_else(|| application.name.clone()),
        calls_per_request: application.calls.iter().map(|call| call.times.unwrap_or(1.0)).collect(),
    }
}

/// Adds the origins of the values that are copied unchanged.
fn add_own_origins(layers: &Layers, origins: &mut Origins) {
    for name in ["name", "tier", "zone"] {
        origins.insert(top(name), layers.in_application(top(name)));
    }
    for name in ["zones", "tenants", "sources"] {
        origins.insert(top(name), layers.in_fleet(top(name)));
    }
    if layers.application.inbound.is_some() {
        for name in INBOUND_KEYS {
            let key = top("inbound").name(name);
            origins.insert(key.clone(), layers.in_application(key));
        }
    }
}

fn resolve_settings(layers: &Layers, environment: &Environment, origins: &mut Origins) -> Overrides {
    let mut overrides = vec![OverrideLayer {
        layer: Layer::Fleet,
        source: layers.fleet_source,
        key: top("settings"),
        overrides: &layers.fleet.settings,
    }];
    if let Some((key, tier)) = layers.tier() {
        overrides.push(OverrideLayer {
            layer: Layer::Tier,
            source: layers.fleet_source,
            key: key.name("settings"),
            overrides: &tier.settings,
        });
    }
    overrides.push(OverrideLayer {
        layer: Layer::Application,
        source: layers.source,
        key: top("settings"),
        overrides: &layers.application.settings,
    });
    merge(&overrides, environment, origins)
}

/// Resolves the listener of the admin server: the application's, otherwise the tier's, otherwise the fleet's.
fn resolve_admin(layers: &Layers, origins: &mut Origins) -> Option<Admin> {
    let of_application = layers
        .application
        .admin
        .as_ref()
        .map(|admin| (layers.in_application(listen_key(&Key::default())), admin));
    let of_tier = || {
        let (key, tier) = layers.tier()?;
        Some((layers.in_tier(listen_key(&key)), tier.admin.as_ref()?))
    };
    let of_fleet = || Some((layers.in_fleet(listen_key(&Key::default())), layers.fleet.admin.as_ref()?));
    let (origin, admin) = of_application.or_else(of_tier).or_else(of_fleet)?;
    origins.insert(listen_key(&Key::default()), origin);
    Some(admin.clone())
}

/// Returns the key of the admin server's address in a table.
fn listen_key(table: &Key) -> Key {
    table.name("admin").name("listen")
}

fn resolve_calls(layers: &Layers, settings: &Overrides, origins: &mut Origins) -> Vec<Outbound> {
    let mut outbound = Vec::new();
    for (i, call) in layers.application.calls.iter().enumerate() {
        let own_key = top("calls").at(i);
        let key = top("outbound").at(i);
        for name in ["application", "listen", "clusters", "routes"] {
            origins.insert(key.name(name), layers.in_application(own_key.name(name)));
        }
        let attempts_origin = match call.attempts {
            Some(_) => Some(layers.in_application(own_key.name("attempts"))),
            None => origins.get(&top("settings").name("attempts")).cloned(),
        };
        if let Some(origin) = attempts_origin {
            origins.insert(key.name("attempts"), origin);
        }
        outbound.push(resolve_call(call, settings));
    }
    outbound
}

fn resolve_call(call: &Call, settings: &Overrides) -> Outbound {
    Outbound {
        application: call.application.clone(),
        listen: call.listen,
        attempts: call.attempts.or(settings.attempts).unwrap_or(1),
        clusters: call.clusters.clone().unwrap_or_else(|| vec![call.application.clone()]),
        routes: call.routes.clone(),
    }
}

/// Returns the zone of a fleet that has exactly one.
fn only_zone(fleet: &Fleet) -> Option<String> {
    match &fleet.zones[..] {
        [zone] => Some(zone.clone()),
        _ => None,
    }
}

/// Resolves the fleet's sources. The node cluster of an xDS source is the fleet's name by default.
fn resolve_sources(fleet: &Fleet) -> Vec<Source> {
    let mut sources = fleet.sources.clone();
    for source in sources.iter_mut().filter(|source| source.xds.is_some()) {
        source.node_cluster.get_or_insert_with(|| fleet.name.clone());
    }
    sources
}

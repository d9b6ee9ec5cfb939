//! Converts the configuration of one proxy to the settings of its listeners, routes and sources.

use crate::cluster_config::{self, Criteria, SourceKind, Watched};
use olivecart_config::document::Span;
use olivecart_config::resolve::OWN_DESCRIPTORS;
use olivecart_config::types::{DeduplicationScope, Proxy, ProxyClass, RetryRule, Route, Variant};
use olivecart_decisions::ClassId;
use olivecart_membership::xds::session;
use olivecart_membership::{ClusterName, SourceId};
use olivecart_settings::{SettingsError, Site};
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;

/// The limits on connections, which together stay within the limit on descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShares {
    /// The limit on client connections of the inbound listener.
    pub inbound: usize,
    /// The limit on the application's connections to each outbound listener.
    pub outbound: usize,
    /// The limit on connections to endpoints and to the application.
    pub endpoints: usize,
}

/// The smallest limit of each kind.
const MIN_CONNECTIONS: usize = 8;

/// Divides the descriptors. The inbound listener, if there is one, gets half of the client connections, and
/// the outbound listeners share the rest.
pub fn divide_descriptors(proxy: &Proxy) -> DescriptorShares {
    let descriptors = proxy.settings.descriptors.unwrap_or(0) as usize;
    let clients = proxy.settings.client_connections.unwrap_or(0) as usize;
    let outbound_count = proxy.outbound.len();
    let inbound = match (proxy.inbound.is_some(), outbound_count) {
        (false, _) => 0,
        (true, 0) => clients,
        (true, _) => clients / 2,
    };
    let outbound = (clients - inbound) / outbound_count.max(1);
    let endpoints = descriptors.saturating_sub(clients + OWN_DESCRIPTORS as usize);
    DescriptorShares {
        inbound: inbound.max(MIN_CONNECTIONS),
        outbound: outbound.max(MIN_CONNECTIONS),
        endpoints: endpoints.max(MIN_CONNECTIONS),
    }
}

/// Returns the limit on the memory of the process, in bytes, if it is configured.
pub fn memory_limit(proxy: &Proxy) -> Option<usize> {
    proxy.settings.memory.and_then(|size| usize::try_from(size.bytes()).ok())
}

/// The settings of each listener.
pub struct Sites {
    /// The settings of the inbound listener, if there is one.
    pub inbound: Option<Site>,
    /// The settings of the outbound listeners, in their order.
    pub outbound: Vec<Site>,
}

/// Builds the settings of each listener. They go through a JSON settings object, so that the same code
/// validates them as for `olivecart serve`.
///
/// # Errors
/// Returns an error if the settings are invalid.
pub fn read_sites(proxy: &Proxy) -> Result<Sites, SettingsError> {
    let outbound =
        proxy.outbound.iter().map(|call| Site::read(&settings_object(proxy, call.attempts).to_string()));
    let outbound = outbound.collect::<Result<_, _>>()?;
    // One attempt, since the application is the only endpoint: a caller with other endpoints can retry
    // better.
    let inbound =
        proxy.inbound.as_ref().map(|_| Site::read(&settings_object(proxy, 1).to_string())).transpose()?;
    Ok(Sites { inbound, outbound })
}

fn nanos(span: Option<Span>) -> Value {
    span.map_or(Value::Null, |span| span.nanos().into())
}

fn settings_object(proxy: &Proxy, attempts: u32) -> Value {
    let settings = &proxy.settings;
    let retry_after = settings.retry_after.map_or(0, Span::nanos);
    json!({
        "grades": proxy.classes.iter().map(class_object).collect::<Vec<_>>(),
        "accounts": proxy.tenants.iter().map(|tenant| json!({
            "name": tenant.name, "share": tenant.share, "quota-per-s": tenant.rate,
        })).collect::<Vec<_>>(),
        "allowed": {
            "max-attempts": attempts,
            "probes": settings.probes.unwrap_or(true),
            "may-cancel": true,
            "second-copies": false,
            "retry-after": retry_after > 0,
            "max-retry-after-ns": retry_after,
            "connect-timeout-ns": nanos(settings.connect_timeout),
            "idle-close-ns": nanos(settings.idle_close),
            "most-held": settings.open_requests,
        },
        "rules": {
            "cold-ns": nanos(settings.cold),
            "cold-share": settings.cold_share,
            "drain-grace-ns": nanos(settings.drain_grace),
        },
        "registry-mode": "automatic",
        "tier": proxy.tier,
        "zone": proxy.zone,
        "dcs": proxy.zones,
    })
}

/// Returns the settings object of a class. Its effect follows from the retry rule, which is as strict as the
/// configured effect or stricter.
fn class_object(class: &ProxyClass) -> Value {
    let (effect, group, window) = match class.retry_rule {
        RetryRule::Unsent => ("once", Value::Null, Value::Null),
        RetryRule::Anywhere => ("repeatable", Value::Null, Value::Null),
        RetryRule::Window => {
            let group = match class.scope.unwrap_or(DeduplicationScope::All) {
                DeduplicationScope::All => "all",
                DeduplicationScope::Zone => "zone",
                DeduplicationScope::Cell => "cell",
            };
            // Only an idempotent class can lack a window here. A window of 0 allows no retries.
            ("by_key", group.into(), class.window.map_or(0, Span::nanos).into())
        }
    };
    json!({
        "name": class.name,
        "aim-ns": class.latency_objective.nanos(),
        "give-up-ns": class.deadline.nanos(),
        "effect": effect,
        "group": group,
        "window-ns": window,
        "worth": class.priority_weight,
        "late-worth": class.late_weight_ratio,
        "stream": class.stream,
    })
}

/// Converts routes to routing rules.
pub fn convert_routes(
    routes: &[Route],
    class: impl Fn(&str) -> Option<ClassId>,
) -> Vec<(Criteria, ClusterName)> {
    let rule = |route: &Route| {
        let criteria = Criteria {
            authority: None,
            path: route.path.as_ref().map(|path| path.trim_end_matches('/').to_owned()),
            method: route.method.clone(),
            class: route.class.as_deref().and_then(&class),
        };
        (criteria, ClusterName::from(route.cluster.as_str()))
    };
    routes.iter().map(rule).collect()
}

/// Converts the sources of endpoints. Relative paths are relative to the directory of the proxy's
/// configuration file.
pub fn convert_sources(proxy: &Proxy, directory: &Path) -> Vec<cluster_config::Source> {
    let cluster_names: Vec<ClusterName> = proxy
        .outbound
        .iter()
        .flat_map(|call| &call.clusters)
        .map(|name| ClusterName::from(name.as_str()))
        .collect();
    let time =
        |span: Option<Span>, default_s: u64| span.map_or(Duration::from_secs(default_s), Span::duration);
    let convert_source = |source: &olivecart_config::types::Source| {
        let watched = |path: &String| Watched { path: directory.join(path), poll: time(source.poll, 2) };
        let kind = match (&source.file, &source.directory, &source.envoy, &source.xds) {
            (Some(path), ..) => SourceKind::File(watched(path)),
            (_, Some(path), ..) => SourceKind::Directory(watched(path)),
            (_, _, Some(path), _) => SourceKind::Envoy(watched(path)),
            (.., address) => SourceKind::Xds(cluster_config::Xds {
                address: address.clone().unwrap_or_default(),
                node: proxy.name.clone(),
                node_cluster: source.node_cluster.clone().unwrap_or_default(),
                clusters: cluster_names.clone(),
                first_fetch: time(source.first_fetch, 15),
                backoff: time(source.backoff, 30),
                variant: match source.variant.unwrap_or_default() {
                    Variant::Incremental => session::Variant::Incremental,
                    Variant::StateOfTheWorld => session::Variant::StateOfTheWorld,
                },
                region: String::new(),
                zone: proxy.zone.clone().unwrap_or_default(),
            }),
        };
        cluster_config::Source { id: SourceId::new(source.name.as_str()), kind }
    };
    proxy.sources.iter().map(convert_source).collect()
}

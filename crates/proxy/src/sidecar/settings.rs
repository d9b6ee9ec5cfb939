//! From what one proxy reads to what its parts are told.

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

/// How the descriptors are shared out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Connections of clients at the inbound listener.
    pub inbound: usize,
    /// Connections of the application at each outbound one.
    pub outbound: usize,
    /// Connections to endpoints and to the application.
    pub endpoints: usize,
}

/// The least that a listener is given.
const LEAST: usize = 8;

/// Half of what clients may hold is for the inbound listener, where there is one; the outbound ones share the rest.
pub fn shares(proxy: &Proxy) -> Shares {
    let descriptors = proxy.settings.descriptors.unwrap_or(0) as usize;
    let clients = proxy.settings.client_connections.unwrap_or(0) as usize;
    let calls = proxy.outbound.len();
    let inbound = match (proxy.inbound.is_some(), calls) {
        (false, _) => 0,
        (true, 0) => clients,
        (true, _) => clients / 2,
    };
    let outbound = (clients - inbound) / calls.max(1);
    let endpoints = descriptors.saturating_sub(clients + OWN_DESCRIPTORS as usize);
    Shares { inbound: inbound.max(LEAST), outbound: outbound.max(LEAST), endpoints: endpoints.max(LEAST) }
}

/// What the decisions of each listener are told.
pub struct Sites {
    /// Of the inbound one, if there is one.
    pub inbound: Option<Site>,
    /// Of the outbound ones, in their order.
    pub outbound: Vec<Site>,
}

/// Reads the settings for each listener by way of the platform's own form, so that both are checked by one reader.
///
/// # Errors
/// What the reader will have none of.
pub fn sites(proxy: &Proxy) -> Result<Sites, SettingsError> {
    let outbound = proxy.outbound.iter().map(|call| Site::read(&options(proxy, call.attempts).to_string()));
    let outbound = outbound.collect::<Result<_, _>>()?;
    // There is one endpoint: what could not be sent there once is better tried by whoever has others.
    let inbound = proxy.inbound.as_ref().map(|_| Site::read(&options(proxy, 1).to_string())).transpose()?;
    Ok(Sites { inbound, outbound })
}

fn nanos(span: Option<Span>) -> Value {
    span.map_or(Value::Null, |span| span.nanos().into())
}

fn options(proxy: &Proxy, attempts: u32) -> Value {
    let s = &proxy.settings;
    let retry_after = s.retry_after.map_or(0, Span::nanos);
    json!({
        "grades": proxy.classes.iter().map(grade).collect::<Vec<_>>(),
        "accounts": proxy.tenants.iter().map(|tenant| json!({
            "name": tenant.name, "share": tenant.share, "quota-per-s": tenant.rate,
        })).collect::<Vec<_>>(),
        "allowed": {
            "max-attempts": attempts,
            "probes": s.probes.unwrap_or(true),
            "may-cancel": true,
            "second-copies": false,
            "retry-after": retry_after > 0,
            "max-retry-after-ns": retry_after,
            "connect-timeout-ns": nanos(s.connect_timeout),
            "idle-close-ns": nanos(s.idle_close),
            "most-held": s.open_requests,
        },
        "rules": {
            "cold-ns": nanos(s.cold),
            "cold-share": s.cold_share,
            "drain-grace-ns": nanos(s.drain_grace),
        },
        "registry-mode": "automatic",
        "tier": proxy.tier,
        "zone": proxy.zone,
        "dcs": proxy.zones,
    })
}

/// A class as the decisions treat it: by the rule of repeats, which is the effect or stricter.
fn grade(class: &ProxyClass) -> Value {
    let (effect, group, window) = match class.retry_rule {
        RetryRule::Unsent => ("once", Value::Null, Value::Null),
        RetryRule::Anywhere => ("repeatable", Value::Null, Value::Null),
        RetryRule::Window => {
            let group = match class.scope.unwrap_or(DeduplicationScope::All) {
                DeduplicationScope::All => "all",
                DeduplicationScope::Zone => "zone",
                DeduplicationScope::Cell => "cell",
            };
            // Without a window, which only a repeatable class can lack here, none may be repeated.
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

/// Routes as rules.
pub fn rules(routes: &[Route], class: impl Fn(&str) -> Option<ClassId>) -> Vec<(Criteria, ClusterName)> {
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

/// Where endpoints come from. Files that are not absolute are beside the proxy's own.
pub fn sources(proxy: &Proxy, beside: &Path) -> Vec<cluster_config::Source> {
    let wanted: Vec<ClusterName> = proxy
        .outbound
        .iter()
        .flat_map(|call| &call.clusters)
        .map(|name| ClusterName::from(name.as_str()))
        .collect();
    let time = |span: Option<Span>, usual: u64| span.map_or(Duration::from_secs(usual), Span::duration);
    let one = |source: &olivecart_config::types::Source| {
        let watched = |path: &String| Watched { path: beside.join(path), poll: time(source.poll, 2) };
        let kind = match (&source.file, &source.directory, &source.envoy, &source.xds) {
            (Some(path), ..) => SourceKind::File(watched(path)),
            (_, Some(path), ..) => SourceKind::Directory(watched(path)),
            (_, _, Some(path), _) => SourceKind::Envoy(watched(path)),
            (.., address) => SourceKind::Xds(cluster_config::Xds {
                address: address.clone().unwrap_or_default(),
                node: proxy.name.clone(),
                node_cluster: source.node_cluster.clone().unwrap_or_default(),
                clusters: wanted.clone(),
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
    proxy.sources.iter().map(one).collect()
}

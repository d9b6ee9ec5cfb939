//! Rules for the clusters and routes of calls, and for calls without a source of endpoints.

use super::Checker;
use crate::document::{Key, top};
use crate::origin::Origin;
use crate::report::Finding;
use crate::types::{Outbound, Route};
use std::collections::BTreeSet;

/// The criteria of a route, in the form in which routes are compared.
#[derive(PartialEq)]
struct Criteria<'a> {
    path: Option<&'a str>,
    method: Option<&'a str>,
    class: Option<&'a str>,
}

impl<'a> Criteria<'a> {
    fn of(route: &'a Route) -> Criteria<'a> {
        Criteria {
            path: route.path.as_deref().map(|path| path.trim_end_matches('/')),
            method: route.method.as_deref(),
            class: route.class.as_deref(),
        }
    }

    /// Returns whether all requests that match the other criteria also match these.
    fn covers(&self, other: &Criteria) -> bool {
        self.covers_path(other)
            && (self.method.is_none() || self.method == other.method)
            && (self.class.is_none() || self.class == other.class)
    }

    fn covers_path(&self, other: &Criteria) -> bool {
        match (self.path, other.path) {
            (None, _) => true,
            (Some(own), Some(other)) => {
                other.strip_prefix(own).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
            }
            (Some(_), None) => false,
        }
    }
}

/// A key in a file.
struct KeyInFile {
    source: usize,
    key: Key,
}

/// One route of a call.
#[derive(Clone, Copy)]
struct RouteView<'a> {
    /// The index of the proxy among the resolved ones.
    proxy: usize,
    call: &'a Outbound,
    /// The index of the route in the call.
    index: usize,
    route: &'a Route,
    /// The key of the call's routes, if they are set in a file.
    routes: Option<&'a KeyInFile>,
}

impl Checker<'_> {
    /// Checks the clusters and routes of one proxy.
    pub(super) fn check_routes(&mut self, proxy: usize) {
        let resolved = self.resolved;
        for (i, call) in resolved[proxy].proxy.outbound.iter().enumerate() {
            let routes = self.key_in_file(proxy, &top("outbound").at(i).name("routes"));
            for (index, route) in call.routes.iter().enumerate() {
                self.check_route(RouteView { proxy, call, index, route, routes: routes.as_ref() });
            }
            let findings = self.clusters_without_route(proxy, call, &top("outbound").at(i).name("clusters"));
            self.findings.extend(findings);
        }
        let finding = self.calls_without_source(proxy);
        self.findings.extend(finding);
    }

    fn check_route(&mut self, view: RouteView) {
        let findings = [
            self.unknown_cluster(view),
            self.route_without_criteria(view),
            self.malformed_path(view),
            self.malformed_method(view),
        ];
        self.findings.extend(findings.into_iter().flatten());
        let findings = self.same_criteria(view);
        self.findings.extend(findings);
        let finding = self.covered_by_others(view);
        self.findings.extend(finding);
    }

    /// OC0702: a route leads to a cluster that the call does not have.
    fn unknown_cluster(&self, view: RouteView) -> Option<Finding> {
        let RouteView { call, route, .. } = view;
        if call.clusters.contains(&route.cluster) {
            return None;
        }
        let message = format!(
            "the route leads to {:?}, but the clusters of the call are {}",
            route.cluster,
            call.clusters.join(", ")
        );
        self.route_finding(view, "OC0702", message, "cluster")
    }

    /// OC0705: a route has no criteria.
    fn route_without_criteria(&self, view: RouteView) -> Option<Finding> {
        let Route { path, method, class, .. } = view.route;
        if path.is_some() || method.is_some() || class.is_some() {
            return None;
        }
        self.route_finding(view, "OC0705", "the route has no path, method or class".to_owned(), "cluster")
    }

    /// OC0705: no request can have the path.
    fn malformed_path(&self, view: RouteView) -> Option<Finding> {
        let path = view.route.path.as_ref()?;
        let is_not_of_path = |c: char| c == '?' || c == '#' || !c.is_ascii_graphic();
        if path.starts_with('/') && !path.contains(is_not_of_path) {
            return None;
        }
        self.route_finding(view, "OC0705", format!("{path:?} is not a valid path"), "path")
    }

    /// OC0705: a method is not in the form that requests use.
    fn malformed_method(&self, view: RouteView) -> Option<Finding> {
        let method = view.route.method.as_deref()?;
        if !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-') {
            return None;
        }
        self.route_finding(view, "OC0705", format!("{method:?} is not a valid method"), "method")
    }

    /// OC0703: an earlier route matches the same requests.
    fn same_criteria(&self, view: RouteView) -> Vec<Finding> {
        let own = Criteria::of(view.route);
        let mut findings = Vec::new();
        for (earlier, route) in view.call.routes[..view.index].iter().enumerate() {
            if Criteria::of(route) == own {
                let message = format!(
                    "routes {} and {} of the call to {:?} match the same requests",
                    earlier + 1,
                    view.index + 1,
                    view.call.application
                );
                findings.extend(self.route_finding(view, "OC0703", message, "cluster"));
            }
        }
        findings
    }

    /// OC0704: a route has no effect, since all broader routes lead to the same cluster.
    fn covered_by_others(&self, view: RouteView) -> Option<Finding> {
        let own = Criteria::of(view.route);
        let is_broader = |other: &&Route| {
            let other = Criteria::of(other);
            other != own && other.covers(&own)
        };
        let broader: Vec<&Route> = view.call.routes.iter().filter(is_broader).collect();
        if broader.is_empty() || broader.iter().any(|other| other.cluster != view.route.cluster) {
            return None;
        }
        let message = format!(
            "route {} of the call to {:?} has no effect: a broader route also leads to {:?}",
            view.index + 1,
            view.call.application,
            view.route.cluster
        );
        self.route_finding(view, "OC0704", message, "cluster")
    }

    /// OC0701: no route leads to a cluster other than the first.
    fn clusters_without_route(&self, proxy: usize, call: &Outbound, clusters_key: &Key) -> Vec<Finding> {
        let Some(clusters) = self.key_in_file(proxy, clusters_key) else { return Vec::new() };
        let default = call.clusters.first();
        let used: BTreeSet<&String> =
            default.into_iter().chain(call.routes.iter().map(|route| &route.cluster)).collect();
        let mut findings = Vec::new();
        for (i, cluster) in call.clusters.iter().enumerate().filter(|(_, cluster)| !used.contains(cluster)) {
            let message =
                format!("no route of the call to {:?} leads to cluster {cluster:?}", call.application);
            let finding = self.finding_in(clusters.source, "OC0701", message, &clusters.key.at(i));
            findings.push(finding.with_application(&self.resolved[proxy].proxy.name));
        }
        findings
    }

    /// OC0706: there are calls but no source of endpoints.
    fn calls_without_source(&self, proxy: usize) -> Option<Finding> {
        let own = &self.resolved[proxy].proxy;
        if own.outbound.is_empty() || !own.sources.is_empty() {
            return None;
        }
        let message = format!("{:?} has calls, but there is no source of endpoints", own.name);
        Some(self.finding(proxy, "OC0706", message, &top("sources")))
    }

    /// Creates a finding about a key of a route; returns `None` if the routes are not set in a file.
    fn route_finding(&self, view: RouteView, code: &str, message: String, name: &str) -> Option<Finding> {
        let KeyInFile { source, key } = view.routes?;
        let finding = self.finding_in(*source, code, message, &key.at(view.index).name(name));
        Some(finding.with_application(&self.resolved[view.proxy].proxy.name))
    }

    /// Returns the file and the key that set a value of a proxy, or `None` if no file does.
    fn key_in_file(&self, proxy: usize, key: &Key) -> Option<KeyInFile> {
        match self.resolved[proxy].origins.get(key)? {
            Origin::File { source, key, .. } => Some(KeyInFile { source: *source, key: key.clone() }),
            Origin::BuiltIn | Origin::Variable(_) => None,
        }
    }
}

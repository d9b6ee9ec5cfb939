//! Clusters and routes.

use super::Model;
use crate::document::top;
use crate::load::known;
use crate::report::Finding;
use crate::types::Route;
use std::collections::BTreeSet;

/// What a route asks for, as it is compared.
type Criteria<'a> = (Option<&'a str>, Option<&'a str>, Option<&'a str>);

fn criteria(route: &Route) -> Criteria<'_> {
    let path = route.path.as_deref().map(|path| path.trim_end_matches('/'));
    (path, route.method.as_deref(), route.class.as_deref())
}

/// Whether whatever fits `b` fits `a` too.
fn covers(a: Criteria, b: Criteria) -> bool {
    let path = match (a.0, b.0) {
        (None, _) => true,
        (Some(a), Some(b)) => b.strip_prefix(a).is_some_and(|rest| rest.is_empty() || rest.starts_with('/')),
        (Some(_), None) => false,
    };
    path && (a.1.is_none() || a.1 == b.1) && (a.2.is_none() || a.2 == b.2)
}

impl Model<'_> {
    pub(super) fn routes(&mut self, at: usize) {
        let proxy = &self.resolved[at].proxy;
        for (i, call) in proxy.outbound.iter().enumerate() {
            let key = top("outbound").at(i);
            let routes = self.spot_key(at, &key.name("routes"));
            let mut used: BTreeSet<&str> = call.clusters.first().map(String::as_str).into_iter().collect();
            for (n, route) in call.routes.iter().enumerate() {
                let place = |name: &str| routes.as_ref().map(|(source, key)| (*source, key.at(n).name(name)));
                used.insert(&route.cluster);
                if !call.clusters.contains(&route.cluster) {
                    let what = format!(
                        "route to {:?}, and the clusters are {}",
                        route.cluster,
                        call.clusters.join(", ")
                    );
                    self.route(at, "OC0702", what, place("cluster"));
                }
                if route.path.is_none() && route.method.is_none() && route.class.is_none() {
                    let what = "a route without path, method or class".to_owned();
                    self.route(at, "OC0705", what, place("cluster"));
                }
                if let Some(path) = &route.path {
                    let odd = |c: char| c == '?' || c == '#' || !c.is_ascii_graphic();
                    if !path.starts_with('/') || path.contains(odd) {
                        self.route(at, "OC0705", format!("{path:?} is no path"), place("path"));
                    }
                }
                let plain = |method: &str| method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
                if let Some(method) = route.method.as_deref().filter(|m| m.is_empty() || !plain(m)) {
                    self.route(at, "OC0705", format!("{method:?} is no method"), place("method"));
                }
                for (m, before) in call.routes[..n].iter().enumerate() {
                    let (new, old) = (criteria(route), criteria(before));
                    if new == old {
                        let what = format!(
                            "routes {} and {} of {:?} fit the same requests",
                            m + 1,
                            n + 1,
                            call.application
                        );
                        self.route(at, "OC0703", what, place("cluster"));
                    }
                }
                let broader = |other: &Route| {
                    criteria(other) != criteria(route) && covers(criteria(other), criteria(route))
                };
                let others: Vec<&Route> = call.routes.iter().filter(|other| broader(other)).collect();
                let same = |other: &&Route| other.cluster == route.cluster;
                if !others.is_empty() && others.iter().all(same) {
                    let what = format!(
                        "route {} of {:?} changes nothing: a broader one leads to {:?} too",
                        n + 1,
                        call.application,
                        route.cluster
                    );
                    self.route(at, "OC0704", what, place("cluster"));
                }
            }
            for (n, cluster) in call.clusters.iter().enumerate().filter(|(_, c)| !used.contains(c.as_str())) {
                let clusters = self.spot_key(at, &key.name("clusters"));
                let place = clusters.map(|(source, key)| (source, key.at(n)));
                self.route(
                    at,
                    "OC0701",
                    format!("no route of {:?} leads to {cluster:?}", call.application),
                    place,
                );
            }
        }
        if !proxy.outbound.is_empty() && proxy.sources.is_empty() {
            let place = self.spot_of(at, &top("sources"));
            let what = format!("{:?} calls others, and there is no source of endpoints", proxy.name);
            self.found(at, "OC0706", what, place);
        }
    }

    /// The file and key that a value of a proxy stands at.
    fn spot_key(&self, at: usize, key: &crate::document::Key) -> Option<(usize, crate::document::Key)> {
        match self.resolved[at].origins.get(key)? {
            crate::origin::Origin::File(_, source, key) => Some((*source, key.clone())),
            _ => None,
        }
    }

    fn route(&mut self, at: usize, id: &str, what: String, place: Option<(usize, crate::document::Key)>) {
        let Some((source, key)) = place else { return };
        let spot = self.at(source, &key);
        let name = self.resolved[at].proxy.name.clone();
        self.push(Finding::new(known(id), what, spot).about(&name));
    }
}

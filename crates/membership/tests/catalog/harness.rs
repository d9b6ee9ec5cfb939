//! A catalog for tests, whose outputs are described as short texts.

use olivecart_membership::{
    Catalog, Cluster, ClusterDelta, Endpoint, EndpointUpdate, Event, Nanos, Output, Policy, State, Version,
};

pub const S: Nanos = 1_000_000_000;

/// A catalog with a manual clock, whose outputs are described as short texts.
pub struct CatalogHarness {
    pub inner: Catalog,
    pub now: Nanos,
}

impl CatalogHarness {
    pub fn new(policy: Policy, sources: &[&'static str]) -> CatalogHarness {
        let sources = sources.iter().map(|s| (*s).into());
        CatalogHarness { inner: Catalog::new(policy, sources).expect("a valid policy"), now: 0 }
    }

    /// Creates a catalog in which the source `file` provides the cluster `cart` with these endpoints.
    pub fn serving(list: &[&str]) -> CatalogHarness {
        let mut catalog = CatalogHarness::new(Policy::default(), &["file", "xds"]);
        assert!(catalog.list("file", list)[0].starts_with("added cart"));
        catalog
    }

    pub fn handle_event(&mut self, event: Event) -> Vec<String> {
        let mut out = Vec::new();
        self.inner.handle(self.now, event, &mut out);
        out.iter().flat_map(describe).collect()
    }

    pub fn update_from(&mut self, source: &str, update: EndpointUpdate) -> Vec<String> {
        let (source, version) = (source.into(), Version::from(self.now / S));
        self.handle_event(Event::Update { source, version, update })
    }

    pub fn list(&mut self, source: &str, list: &[&str]) -> Vec<String> {
        self.update_from(
            source,
            EndpointUpdate::ClusterSnapshots(vec![Cluster::new("cart", endpoints(list))]),
        )
    }

    pub fn update(&mut self, source: &str, upserts: &[&str], removals: &[&str]) -> Vec<String> {
        let (upserts, removals) = (endpoints(upserts), removals.iter().map(|id| (*id).into()).collect());
        let update = ClusterDelta { cluster: "cart".into(), settings: None, upserts, removals };
        self.update_from(source, EndpointUpdate::ClusterDeltas(vec![update]))
    }

    pub fn confirm(&mut self, source: &str) -> Vec<String> {
        self.handle_event(Event::Confirm { source: source.into(), cluster: "cart".into() })
    }

    pub fn wait(&mut self, seconds: u64) -> Vec<String> {
        self.now += seconds * S;
        self.handle_event(Event::Tick)
    }

    /// Returns the endpoints in service; those that accept no requests are marked with `!`.
    pub fn serves(&self) -> String {
        let Some(cart) = self.inner.cluster(&"cart".into()) else { return "nothing".into() };
        let mark = |e: &Endpoint| if e.takes_requests() { "" } else { "!" };
        cart.endpoints().map(|e| format!("{}{}", e.name, mark(e))).collect::<Vec<_>>().join(" ")
    }
}

/// Parses `a`, `a@7` (another address), `a*2` (weight), `a~` (draining), `a^5` (start time) or a combination.
pub fn endpoint(text: &str) -> Endpoint {
    let at = text.find(|c: char| !c.is_alphanumeric()).unwrap_or(text.len());
    let (id, mut rest) = text.split_at(at);
    let own = id.bytes().last().unwrap_or(0);
    let mut endpoint = Endpoint::ready(id, ([10, 0, 0, own], 80).into());
    while let Some(mark) = rest.chars().next() {
        let end = rest[1..].find(|c: char| !c.is_alphanumeric()).map_or(rest.len(), |at| at + 1);
        let value = &rest[1..end];
        let number = || value.parse::<u8>().expect("a number");
        match mark {
            '@' => endpoint.address = Some(([10, 0, 0, number()], 80).into()),
            '*' => endpoint.weight = number().into(),
            '^' => endpoint.started = Some(number().into()),
            '~' => endpoint.state = State::Draining,
            other => panic!("{other}"),
        }
        rest = &rest[end..];
    }
    endpoint
}

pub fn endpoints(list: &[&str]) -> Vec<Endpoint> {
    list.iter().map(|text| endpoint(text)).collect()
}

pub fn describe(output: &Output) -> Vec<String> {
    match output {
        Output::Added(added) => vec![format!("added {}", added.cluster)],
        Output::Removed(removed) => vec![format!("removed {}: {}", removed.cluster, removed.cause)],
        Output::Changed(change) => {
            let removed = change.removed.iter().map(|id| format!("-{id}"));
            let upserted = change.upserted.iter().map(|u| format!("+{} {}", u.endpoint.name, u.arrival));
            let limits = change.settings.iter().map(|s| format!("limit {:?}", s.max_requests));
            removed.chain(upserted).chain(limits).collect()
        }
        Output::Stale(stale) => vec![format!("stale {} since {} s", stale.cluster, stale.since / S)],
        Output::Recovered { cluster, .. } => vec![format!("recovered {cluster}")],
        Output::Quarantined(quarantined) => {
            let reasons: Vec<_> = quarantined.anomalies.iter().map(|s| s.to_string()).collect();
            vec![format!("quarantined until {} s: {}", quarantined.until / S, reasons.join("; "))]
        }
        Output::Released { cause, .. } => vec![format!("released: {cause}")],
        Output::QuarantineDropped { .. } => vec!["dropped".into()],
        Output::RefetchRequested { source, .. } => vec![format!("refetch {source}")],
        Output::Rejected(rejection) => vec![rejection.to_string()],
    }
}

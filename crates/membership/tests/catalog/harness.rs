//! A catalog, and what it puts out in short words.

use olivecart_membership::{
    Catalog, Cluster, ClusterDelta, Endpoint, EndpointUpdate, Event, Nanos, Output, Policy, State, Version,
};

pub const S: Nanos = 1_000_000_000;

/// A catalog, and what it put out in short words.
pub struct CatalogHarness {
    pub inner: Catalog,
    pub now: Nanos,
}

impl CatalogHarness {
    pub fn new(policy: Policy, sources: &[&'static str]) -> CatalogHarness {
        let sources = sources.iter().map(|s| (*s).into());
        CatalogHarness { inner: Catalog::new(policy, sources).expect("a usable policy"), now: 0 }
    }

    /// A catalog that serves cluster `cart` of endpoints from a file.
    pub fn serving(list: &[&str]) -> CatalogHarness {
        let mut catalog = CatalogHarness::new(Policy::default(), &["file", "xds"]);
        assert!(catalog.list("file", list)[0].starts_with("added cart"));
        catalog
    }

    pub fn tell(&mut self, event: Event) -> Vec<String> {
        let mut out = Vec::new();
        self.inner.handle(self.now, event, &mut out);
        out.iter().flat_map(words).collect()
    }

    pub fn say(&mut self, source: &str, update: EndpointUpdate) -> Vec<String> {
        let (source, version) = (source.into(), Version::from(self.now / S));
        self.tell(Event::Update { source, version, update })
    }

    pub fn list(&mut self, source: &str, list: &[&str]) -> Vec<String> {
        self.say(source, EndpointUpdate::ClusterSnapshots(vec![Cluster::new("cart", endpoints(list))]))
    }

    pub fn update(&mut self, source: &str, upserts: &[&str], removals: &[&str]) -> Vec<String> {
        let (upserts, removals) = (endpoints(upserts), removals.iter().map(|id| (*id).into()).collect());
        let update = ClusterDelta { cluster: "cart".into(), settings: None, upserts, removals };
        self.say(source, EndpointUpdate::ClusterDeltas(vec![update]))
    }

    pub fn confirm(&mut self, source: &str) -> Vec<String> {
        self.tell(Event::Confirm { source: source.into(), cluster: "cart".into() })
    }

    pub fn wait(&mut self, seconds: u64) -> Vec<String> {
        self.now += seconds * S;
        self.tell(Event::Tick)
    }

    /// The endpoints that serve, with what is not ordinary about them.
    pub fn serves(&self) -> String {
        let Some(cart) = self.inner.cluster(&"cart".into()) else { return "nothing".into() };
        let state = |e: &Endpoint| if e.takes_requests() { "" } else { "!" };
        cart.endpoints().map(|e| format!("{}{}", e.name, state(e))).collect::<Vec<_>>().join(" ")
    }
}

/// `a`, `a@7` (at another address), `a*2` (weight), `a~` (draining), `a^5` (started), in any combination.
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

pub fn words(output: &Output) -> Vec<String> {
    match output {
        Output::Added(added) => vec![format!("added {}", added.cluster)],
        Output::Removed(removed) => vec![format!("removed {}: {}", removed.cluster, removed.cause)],
        Output::Changed(change) => {
            let removed = change.removed.iter().map(|id| format!("-{id}"));
            let upserted = change.upserted.iter().map(|u| format!("+{} {}", u.endpoint.name, u.arrival));
            let limits = change.settings.iter().map(|s| format!("limit {:?}", s.max_requests));
            removed.chain(upserted).chain(limits).collect()
        }
        Output::Stale(aged) => vec![format!("aged {} since {} s", aged.cluster, aged.since / S)],
        Output::Recovered { cluster, .. } => vec![format!("renewed {cluster}")],
        Output::Quarantined(held) => {
            let reasons: Vec<_> = held.anomalies.iter().map(|s| s.to_string()).collect();
            vec![format!("held until {} s: {}", held.until / S, reasons.join("; "))]
        }
        Output::Released { cause, .. } => vec![format!("released: {cause}")],
        Output::QuarantineDropped { .. } => vec!["withdrawn".into()],
        Output::RefetchRequested { source, .. } => vec![format!("ask {source}")],
        Output::Rejected(refusal) => vec![refusal.to_string()],
    }
}

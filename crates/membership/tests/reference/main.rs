//! Runs random sequences of source events on the catalog and on a simple reference model. Checks that both
//! have the same state, that the catalog's outputs applied to a map yield that state, and that no damaged
//! list takes all endpoints of a cluster out of service.

mod model;

use model::{Effects, Map, Model};
use olivecart_membership::{
    Catalog, Cause, Cluster, ClusterDelta, ClusterName, ClusterSettings, ConfirmationSource, Endpoint,
    EndpointName, EndpointUpdate, Endpoints, Event, Nanos, Output, Policy, Silence, SourceId, State, Version,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

const SOURCES: [&str; 3] = ["file", "xds", "registry"];
const CLUSTERS: [&str; 2] = ["cart", "pay"];
const S: Nanos = 1_000_000_000;

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    /// An action of a source on a cluster.
    Apply(usize, usize, Action),
}

#[derive(Clone, Debug)]
enum Action {
    /// A random list of one cluster.
    List(Vec<Endpoint>),
    FullSnapshot(Vec<(usize, Vec<Endpoint>)>),
    Update(Vec<Endpoint>, Vec<u8>, Option<u32>),
    Empty,
    Removed,
    /// The last update of the source again, after a delay in seconds.
    Repeat(u64),
    /// The quarantined list of another source.
    AgreeWithQuarantined,
    Damage(Fault),
    Confirm,
    Silent,
    Reconnect,
}

/// A fault in a copy of an accepted list.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Truncated(usize),
    Empty,
    AllZero,
    DuplicateEndpoint(usize),
    InvalidWeight(usize),
    NoClusters,
}

fn endpoint() -> impl Strategy<Value = Endpoint> {
    let state = prop::sample::select(vec![
        State::Ready,
        State::Ready,
        State::Ready,
        State::Draining,
        State::Unhealthy,
    ]);
    let weight = prop::sample::select(vec![1.0, 1.0, 1.0, 1.0, 2.0, 0.0, f64::NAN]);
    let started = prop::sample::select(vec![None, None, None, Some(1), Some(2)]);
    // Mostly the endpoint's own address, so that moves and duplicate addresses are a minority.
    let address_offset = prop::sample::select(vec![0u8, 0, 0, 0, 0, 0, 1]);
    (0..7u8, state, weight, started, address_offset).prop_map(
        |(id, state, weight, started, address_offset)| {
            let address = ([10, 0, 0, (id + address_offset) % 7 + 1], 80).into();
            Endpoint { state, weight, started, ..Endpoint::ready(format!("e{id}").as_str(), address) }
        },
    )
}

fn listed() -> impl Strategy<Value = Vec<Endpoint>> {
    // One list in four may have duplicate ids and invalid weights.
    (prop::collection::vec(endpoint(), 0..9), 0..4u8).prop_map(|(mut list, variant)| {
        if variant > 0 {
            list.sort_by(|a, b| a.name.cmp(&b.name));
            list.dedup_by(|a, b| a.name == b.name);
            list.iter_mut().filter(|e| e.weight.is_nan()).for_each(|e| e.weight = 1.0);
        }
        list
    })
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    // The registry, last in precedence, updates most often, so that earlier sources have listings to
    // displace.
    let source = || prop::sample::select(vec![2usize, 2, 1, 1, 0]);
    let cluster = || 0..CLUSTERS.len();
    let fault = prop_oneof![
        (0..7usize).prop_map(Fault::Truncated),
        Just(Fault::Empty),
        Just(Fault::AllZero),
        (0..7usize).prop_map(Fault::DuplicateEndpoint),
        (0..7usize).prop_map(Fault::InvalidWeight),
        Just(Fault::NoClusters),
    ];
    let limit = prop::sample::select(vec![None, None, None, Some(0), Some(5)]);
    let update = (prop::collection::vec(endpoint(), 0..4), prop::collection::vec(0..7u8, 0..5), limit);
    let action = prop_oneof![
        6 => listed().prop_map(Action::List),
        2 => prop::collection::vec((cluster(), listed()), 0..4).prop_map(Action::FullSnapshot),
        8 => update.prop_map(|(upserts, removals, limit)| Action::Update(upserts, removals, limit)),
        1 => Just(Action::Empty),
        1 => Just(Action::Removed),
        4 => prop::sample::select(vec![0, 0, 5, 31, 31]).prop_map(Action::Repeat),
        3 => Just(Action::AgreeWithQuarantined),
        6 => fault.prop_map(Action::Damage),
        1 => Just(Action::Confirm),
        1 => Just(Action::Silent),
        1 => Just(Action::Reconnect),
    ];
    let step = prop_oneof![
        1 => prop::sample::select(vec![0u64, 1, 4, 11, 31]).prop_map(Step::Wait),
        4 => (source(), cluster(), action)
            .prop_map(|(source, cluster, action)| Step::Apply(source, cluster, action)),
    ];
    prop::collection::vec(step, 1..60)
}

/// The catalog, the reference model, and a map to which the catalog's outputs are applied.
struct Harness {
    catalog: Catalog,
    model: Model,
    published: BTreeMap<String, PublishedCluster>,
    last_updates: BTreeMap<usize, EndpointUpdate>,
    now: Nanos,
    /// The number of outputs by kind, to check that the sequences produce each kind often enough.
    output_counts: BTreeMap<&'static str, usize>,
}

#[derive(Default)]
struct PublishedCluster {
    source: String,
    endpoints: Map,
    settings: ClusterSettings,
    is_stale: bool,
}

impl Harness {
    fn new(policy: Policy) -> Harness {
        let catalog = Catalog::new(policy, SOURCES.map(SourceId::from)).expect("a valid policy");
        let model = Model::new(policy, &SOURCES);
        Harness {
            catalog,
            model,
            published: BTreeMap::new(),
            last_updates: BTreeMap::new(),
            now: 0,
            output_counts: BTreeMap::new(),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let (source, cluster, action) = match step {
            Step::Wait(seconds) => {
                self.now += seconds * S;
                return self.handle_event(Event::Tick);
            }
            Step::Apply(source, cluster, action) => (*source, *cluster, action),
        };
        let (id, named) = (SourceId::from(SOURCES[source]), ClusterName::from(CLUSTERS[cluster]));
        let whole = |cluster: usize, list: &[Endpoint]| Cluster::new(CLUSTERS[cluster], list.to_vec());
        let update = match action {
            Action::Confirm => return self.handle_event(Event::Confirm { source: id, cluster: named }),
            Action::Silent => return self.handle_event(Event::Silent { source: id, silence: Silence::Lost }),
            Action::Reconnect => return self.handle_event(Event::Reconnected { source: id }),
            Action::Damage(fault) => return self.damage(source, cluster, *fault),
            Action::Repeat(seconds) => {
                self.now += seconds * S;
                let Some(update) = self.last_updates.get(&source) else { return Ok(()) };
                update.clone()
            }
            Action::AgreeWithQuarantined => {
                let subscriptions =
                    self.model.clusters.get(CLUSTERS[cluster]).into_iter().flat_map(|c| &c.subscriptions);
                let mut others = subscriptions
                    .filter(|(rank, subscription)| **rank != source && subscription.quarantine.is_some());
                let Some((_, subscription)) = others.next() else { return Ok(()) };
                EndpointUpdate::ClusterSnapshots(vec![Cluster::new(
                    named,
                    subscription.listing_if_released().into_values().collect(),
                )])
            }
            Action::List(list) => EndpointUpdate::ClusterSnapshots(vec![whole(cluster, list)]),
            Action::FullSnapshot(lists) => EndpointUpdate::FullSnapshot(
                lists.iter().map(|(cluster, list)| whole(*cluster, list)).collect(),
            ),
            Action::Update(upserts, removals, limit) => {
                let settings = limit.map(|n| ClusterSettings { max_retries: Some(n), ..Default::default() });
                let removals =
                    removals.iter().map(|id| EndpointName::from(format!("e{id}").as_str())).collect();
                let (cluster, upserts) = (named, upserts.clone());
                EndpointUpdate::ClusterDeltas(vec![ClusterDelta { cluster, settings, upserts, removals }])
            }
            Action::Empty => EndpointUpdate::ClusterSnapshots(vec![Cluster::empty(named)]),
            Action::Removed => EndpointUpdate::ClustersRemoved(vec![named]),
        };
        self.update_from(source, update)
    }

    fn update_from(&mut self, source: usize, update: EndpointUpdate) -> Result<(), TestCaseError> {
        self.last_updates.insert(source, update.clone());
        self.handle_event(Event::Update { source: SOURCES[source].into(), version: Version::from(1), update })
    }

    /// Applies a damaged copy of the source's accepted list; each serving cluster must stay in service.
    fn damage(&mut self, source: usize, cluster: usize, fault: Fault) -> Result<(), TestCaseError> {
        let subscription =
            self.model.clusters.get(CLUSTERS[cluster]).and_then(|c| c.subscriptions.get(&source));
        let Some((accepted, settings)) = subscription.and_then(|subscription| subscription.accepted.clone())
        else {
            return Ok(());
        };
        let mut list: Vec<Endpoint> = accepted.into_values().collect();
        if list.is_empty() {
            return Ok(());
        }
        let count = list.len();
        match fault {
            Fault::Truncated(at) => list.truncate(at % count),
            Fault::Empty => list.clear(),
            Fault::AllZero => list.iter_mut().for_each(|e| e.weight = 0.0),
            Fault::DuplicateEndpoint(at) => list.push(list[at % count].clone()),
            Fault::InvalidWeight(at) => list[at % count].weight = -1.0,
            Fault::NoClusters => {}
        }
        let is_serving =
            |cluster: &PublishedCluster| cluster.endpoints.values().any(Endpoint::takes_requests);
        let before: Vec<String> = self
            .published
            .iter()
            .filter(|(_, cluster)| is_serving(cluster))
            .map(|(name, _)| name.clone())
            .collect();
        let update = match fault {
            Fault::NoClusters => EndpointUpdate::FullSnapshot(Vec::new()),
            _ => {
                let (name, endpoints) = (CLUSTERS[cluster].into(), Endpoints::Listed(list));
                EndpointUpdate::ClusterSnapshots(vec![Cluster { name, endpoints, settings }])
            }
        };
        self.update_from(source, update)?;
        for name in before {
            let serves = self.published.get(&name).is_some_and(is_serving);
            prop_assert!(serves, "{fault:?} of {} emptied {name}", SOURCES[source]);
        }
        Ok(())
    }

    fn handle_event(&mut self, event: Event) -> Result<(), TestCaseError> {
        self.model.handle(self.now, &event);
        let mut out = Vec::new();
        self.catalog.handle(self.now, event, &mut out);
        let mut effects = Effects::default();
        for output in out {
            self.apply(output, &mut effects)?;
        }
        prop_assert_eq!(&effects, &self.model.effects);
        self.compare_service()?;
        self.compare_quarantines()
    }

    fn apply(&mut self, output: Output, effects: &mut Effects) -> Result<(), TestCaseError> {
        let kind = match output {
            Output::Added(added) => {
                let (source, settings) = (added.source.as_str().to_owned(), added.settings);
                let cluster = PublishedCluster { source, settings, ..PublishedCluster::default() };
                let old = self.published.insert(added.cluster.as_str().to_owned(), cluster);
                prop_assert!(old.is_none(), "a cluster was added twice");
                "added"
            }
            Output::Removed(removed) => {
                let old = self.published.remove(removed.cluster.as_str());
                prop_assert!(old.is_some(), "an unknown cluster was removed");
                "removed"
            }
            Output::Changed(change) => {
                let cluster = change.cluster.as_str().to_owned();
                let Some(published) = self.published.get_mut(&cluster) else {
                    return Err(TestCaseError::fail("an unknown cluster changed"));
                };
                published.source = change.source.as_str().to_owned();
                published.settings = change.settings.unwrap_or(published.settings);
                for id in change.removed {
                    let id = id.as_str().to_owned();
                    prop_assert!(
                        published.endpoints.remove(&id).is_some(),
                        "unknown endpoint {} was removed",
                        id
                    );
                    effects.removed.insert((cluster.clone(), id));
                }
                for upserted in change.upserted {
                    let (id, new) =
                        (upserted.endpoint.name.as_str().to_owned(), (*upserted.endpoint).clone());
                    let old = published.endpoints.insert(id.clone(), new.clone());
                    prop_assert_ne!(old, Some(new), "an upsert without a change");
                    effects.upserted.insert((cluster.clone(), id), upserted.arrival);
                }
                "changed"
            }
            Output::Stale(stale) => {
                self.published.entry(stale.cluster.as_str().to_owned()).or_default().is_stale = true;
                "stale"
            }
            Output::Recovered { cluster, .. } => {
                self.published.entry(cluster.as_str().to_owned()).or_default().is_stale = false;
                "recovered"
            }
            Output::Rejected(_) => {
                effects.rejections += 1;
                "rejected"
            }
            Output::RefetchRequested { cluster, source } => {
                effects.refetches.insert((cluster.as_str().to_owned(), source.as_str().to_owned()));
                "refetch requested"
            }
            Output::Quarantined(_) => "quarantined",
            Output::Released { cause, .. } => match cause {
                Cause::Confirmed(ConfirmationSource::Repetition) => "confirmed by repetition",
                Cause::Confirmed(ConfirmationSource::ExplicitCommand) => "confirmed by command",
                Cause::Confirmed(ConfirmationSource::SecondSource(_)) => "confirmed by a second source",
                Cause::Resolved => "resolved",
                Cause::Update { .. } => "released by update",
            },
            Output::QuarantineDropped { .. } => "quarantine dropped",
        };
        *self.output_counts.entry(kind).or_default() += 1;
        Ok(())
    }

    fn compare_service(&self) -> Result<(), TestCaseError> {
        let names: BTreeSet<&str> = self.catalog.clusters().map(|served| served.name.as_str()).collect();
        let published: BTreeSet<&str> = self.published.keys().map(String::as_str).collect();
        prop_assert_eq!(&names, &published);
        let served =
            self.model.clusters.iter().filter_map(|(name, c)| Some((name.as_str(), c.published.as_ref()?)));
        let served: BTreeMap<&str, _> = served.collect();
        prop_assert_eq!(names, served.keys().copied().collect());
        for cluster in self.catalog.clusters() {
            let (published, model) = (&self.published[cluster.name.as_str()], &served[cluster.name.as_str()]);
            let endpoints: Map =
                cluster.endpoints().map(|e| (e.name.as_str().to_owned(), Endpoint::clone(e))).collect();
            prop_assert_eq!(&endpoints, &model.endpoints, "cluster {}", cluster.name);
            prop_assert_eq!(&endpoints, &published.endpoints, "outputs of cluster {}", cluster.name);
            prop_assert_eq!((cluster.settings, cluster.settings), (&model.settings, &published.settings));
            let source = cluster.source.as_str();
            prop_assert_eq!((source, source), (SOURCES[model.owner], published.source.as_str()));
            let is_stale = cluster.is_stale;
            prop_assert_eq!((is_stale, is_stale), (self.model.is_stale(model.owner), published.is_stale));
        }
        Ok(())
    }

    /// Compares the quarantines: cluster, source, kind of confirmation, size, start and next refetch.
    fn compare_quarantines(&self) -> Result<(), TestCaseError> {
        let ms = |at: Nanos| at / 1_000_000;
        let mut quarantines = BTreeMap::new();
        for view in self.catalog.view() {
            for subscription in view.subscriptions {
                if let Some(q) = subscription.quarantine {
                    let key = (view.cluster.as_str().to_owned(), subscription.source.as_str().to_owned());
                    quarantines
                        .insert(key, (q.needs_explicit_confirmation, q.endpoints, q.for_ms, q.refetch_in_ms));
                }
            }
        }
        let mut expected = BTreeMap::new();
        for (name, cluster) in &self.model.clusters {
            for (rank, subscription) in &cluster.subscriptions {
                let quarantine = subscription
                    .quarantine
                    .as_ref()
                    .map(|q| (q.needs_explicit_confirmation(), q.changes.len(), q.since, q.refetch_at));
                let missing = subscription
                    .missing
                    .as_ref()
                    .map(|m| (m.needs_explicit_confirmation(), 0, m.since, m.refetch_at));
                let both: Vec<_> = quarantine.into_iter().chain(missing).collect();
                let Some(since) = both.iter().map(|q| q.2).min() else { continue };
                let refetch_at = both.iter().map(|q| q.3).min().unwrap_or(0);
                let (is_explicit, changes) =
                    (both.iter().any(|q| q.0), both.iter().map(|q| q.1).sum::<usize>());
                let key = (name.clone(), SOURCES[*rank].to_owned());
                expected.insert(
                    key,
                    (is_explicit, changes, ms(self.now - since), ms(refetch_at.saturating_sub(self.now))),
                );
            }
        }
        prop_assert_eq!(quarantines, expected);
        Ok(())
    }
}

/// Creates a runner with a fixed seed, so that the sequences are reproducible.
fn runner(cases: u32, seed: u8) -> TestRunner {
    let config =
        ProptestConfig { cases, failure_persistence: None, max_shrink_iters: 20_000, ..Default::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

#[test]
fn random_sequences_match_reference_model() {
    let output_counts = std::cell::RefCell::new(BTreeMap::<&str, usize>::new());
    let test = |steps: Vec<Step>| {
        let mut harness = Harness::new(Policy::default());
        steps.iter().try_for_each(|step| harness.step(step))?;
        harness
            .output_counts
            .iter()
            .for_each(|(kind, n)| *output_counts.borrow_mut().entry(kind).or_default() += n);
        Ok(())
    };
    runner(1500, 1).run(&steps(), test).unwrap();
    let output_counts = output_counts.into_inner();
    for kind in [
        "added",
        "removed",
        "changed",
        "quarantined",
        "quarantine dropped",
        "rejected",
        "refetch requested",
        "stale",
        "recovered",
        "resolved",
        "confirmed by repetition",
        "confirmed by command",
        "confirmed by a second source",
    ] {
        assert!(
            output_counts.get(kind).is_some_and(|n| *n > 50),
            "too few outputs of the kind {kind} in {output_counts:?}"
        );
    }
    assert!(!output_counts.contains_key("released by update"), "an update alone releases nothing");
}

#[test]
fn random_sequences_with_extreme_policy_match_reference_model() {
    let zero = std::time::Duration::ZERO;
    let policy =
        Policy { hold: zero, most_gone: 1.0, returns_within: zero, aged_after: zero, ..Policy::default() };
    let test = |steps: Vec<Step>| {
        let mut harness = Harness::new(policy);
        steps.iter().try_for_each(|step| harness.step(step))
    };
    runner(300, 2).run(&steps(), test).unwrap();
}

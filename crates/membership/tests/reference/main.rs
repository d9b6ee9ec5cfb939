//! Random sequences of source events against a plain model: the catalog's result is the same, its outputs
//! applied to a plain map give its view, and no fault empties a cluster.

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
    /// A source does something about a cluster.
    Act(usize, usize, Act),
}

#[derive(Clone, Debug)]
enum Act {
    /// A random list, complete or not.
    List(Vec<Endpoint>),
    All(Vec<(usize, Vec<Endpoint>)>),
    Update(Vec<Endpoint>, Vec<u8>, Option<u32>),
    Empty,
    Removed,
    /// The same news once more, so many seconds later.
    Again(u64),
    /// Lists what another source says and is held.
    Agree,
    Damage(Fault),
    Confirm,
    Silent,
    Back,
}

/// What is wrong with a list that was good.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Torn(usize),
    Empty,
    AllZero,
    Twice(usize),
    NoWeight(usize),
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
    // Mostly at its own address, so that moves and clashes stay a minority.
    let away = prop::sample::select(vec![0u8, 0, 0, 0, 0, 0, 1]);
    (0..7u8, state, weight, started, away).prop_map(|(id, state, weight, started, away)| {
        let address = ([10, 0, 0, (id + away) % 7 + 1], 80).into();
        Endpoint { state, weight, started, ..Endpoint::ready(format!("e{id}").as_str(), address) }
    })
}

fn listed() -> impl Strategy<Value = Vec<Endpoint>> {
    // Ids are unique but for one list in four.
    (prop::collection::vec(endpoint(), 0..9), 0..4u8).prop_map(|(mut list, keep)| {
        if keep > 0 {
            list.sort_by(|a, b| a.name.cmp(&b.name));
            list.dedup_by(|a, b| a.name == b.name);
            list.iter_mut().filter(|e| e.weight.is_nan()).for_each(|e| e.weight = 1.0);
        }
        list
    })
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    // The registry speaks most often, so that there is something to lose.
    let source = || prop::sample::select(vec![2usize, 2, 1, 1, 0]);
    let cluster = || 0..CLUSTERS.len();
    let fault = prop_oneof![
        (0..7usize).prop_map(Fault::Torn),
        Just(Fault::Empty),
        Just(Fault::AllZero),
        (0..7usize).prop_map(Fault::Twice),
        (0..7usize).prop_map(Fault::NoWeight),
        Just(Fault::NoClusters),
    ];
    let limit = prop::sample::select(vec![None, None, None, Some(0), Some(5)]);
    let update = (prop::collection::vec(endpoint(), 0..4), prop::collection::vec(0..7u8, 0..5), limit);
    let act = prop_oneof![
        6 => listed().prop_map(Act::List),
        2 => prop::collection::vec((cluster(), listed()), 0..4).prop_map(Act::All),
        8 => update.prop_map(|(upserts, removals, limit)| Act::Update(upserts, removals, limit)),
        1 => Just(Act::Empty),
        1 => Just(Act::Removed),
        4 => prop::sample::select(vec![0, 0, 5, 31, 31]).prop_map(Act::Again),
        3 => Just(Act::Agree),
        6 => fault.prop_map(Act::Damage),
        1 => Just(Act::Confirm),
        1 => Just(Act::Silent),
        1 => Just(Act::Back),
    ];
    let step = prop_oneof![
        1 => prop::sample::select(vec![0u64, 1, 4, 11, 31]).prop_map(Step::Wait),
        4 => (source(), cluster(), act).prop_map(|(source, cluster, act)| Step::Act(source, cluster, act)),
    ];
    prop::collection::vec(step, 1..60)
}

/// The catalog, the model, and a plain map that the outputs are applied to.
struct Bench {
    catalog: Catalog,
    model: Model,
    plain: BTreeMap<String, Plain>,
    last: BTreeMap<usize, EndpointUpdate>,
    now: Nanos,
    /// How often something was held, released and refused: the sequences must get there.
    seen: BTreeMap<&'static str, usize>,
}

#[derive(Default)]
struct Plain {
    source: String,
    endpoints: Map,
    settings: ClusterSettings,
    aged: bool,
}

impl Bench {
    fn new(policy: Policy) -> Bench {
        let catalog = Catalog::new(policy, SOURCES.map(SourceId::from)).expect("a usable policy");
        let model = Model::new(policy, &SOURCES);
        Bench { catalog, model, plain: BTreeMap::new(), last: BTreeMap::new(), now: 0, seen: BTreeMap::new() }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let (source, cluster, act) = match step {
            Step::Wait(seconds) => {
                self.now += seconds * S;
                return self.tell(Event::Tick);
            }
            Step::Act(source, cluster, act) => (*source, *cluster, act),
        };
        let (id, named) = (SourceId::from(SOURCES[source]), ClusterName::from(CLUSTERS[cluster]));
        let whole = |cluster: usize, list: &[Endpoint]| Cluster::new(CLUSTERS[cluster], list.to_vec());
        let update = match act {
            Act::Confirm => return self.tell(Event::Confirm { source: id, cluster: named }),
            Act::Silent => return self.tell(Event::Silent { source: id, silence: Silence::Lost }),
            Act::Back => return self.tell(Event::Reconnected { source: id }),
            Act::Damage(fault) => return self.damage(source, cluster, *fault),
            Act::Again(seconds) => {
                self.now += seconds * S;
                let Some(update) = self.last.get(&source) else { return Ok(()) };
                update.clone()
            }
            Act::Agree => {
                let subscriptions =
                    self.model.clusters.get(CLUSTERS[cluster]).into_iter().flat_map(|c| &c.subscriptions);
                let mut others = subscriptions
                    .filter(|(rank, subscription)| **rank != source && subscription.held.is_some());
                let Some((_, subscription)) = others.next() else { return Ok(()) };
                EndpointUpdate::ClusterSnapshots(vec![Cluster::new(
                    named,
                    subscription.wanted().into_values().collect(),
                )])
            }
            Act::List(list) => EndpointUpdate::ClusterSnapshots(vec![whole(cluster, list)]),
            Act::All(lists) => EndpointUpdate::FullSnapshot(
                lists.iter().map(|(cluster, list)| whole(*cluster, list)).collect(),
            ),
            Act::Update(upserts, removals, limit) => {
                let settings = limit.map(|n| ClusterSettings { max_retries: Some(n), ..Default::default() });
                let removals =
                    removals.iter().map(|id| EndpointName::from(format!("e{id}").as_str())).collect();
                let (cluster, upserts) = (named, upserts.clone());
                EndpointUpdate::ClusterDeltas(vec![ClusterDelta { cluster, settings, upserts, removals }])
            }
            Act::Empty => EndpointUpdate::ClusterSnapshots(vec![Cluster::empty(named)]),
            Act::Removed => EndpointUpdate::ClustersRemoved(vec![named]),
        };
        self.say(source, update)
    }

    fn say(&mut self, source: usize, update: EndpointUpdate) -> Result<(), TestCaseError> {
        self.last.insert(source, update.clone());
        self.tell(Event::Update { source: SOURCES[source].into(), version: Version::from(1), update })
    }

    /// A list that the source has given and was accepted comes damaged: what served must serve on.
    fn damage(&mut self, source: usize, cluster: usize, fault: Fault) -> Result<(), TestCaseError> {
        let subscription =
            self.model.clusters.get(CLUSTERS[cluster]).and_then(|c| c.subscriptions.get(&source));
        let Some((good, settings)) = subscription.and_then(|subscription| subscription.good.clone()) else {
            return Ok(());
        };
        let mut list: Vec<Endpoint> = good.into_values().collect();
        if list.is_empty() {
            return Ok(());
        }
        let count = list.len();
        match fault {
            Fault::Torn(at) => list.truncate(at % count),
            Fault::Empty => list.clear(),
            Fault::AllZero => list.iter_mut().for_each(|e| e.weight = 0.0),
            Fault::Twice(at) => list.push(list[at % count].clone()),
            Fault::NoWeight(at) => list[at % count].weight = -1.0,
            Fault::NoClusters => {}
        }
        let is_serving = |plain: &Plain| plain.endpoints.values().any(Endpoint::takes_requests);
        let before: Vec<String> =
            self.plain.iter().filter(|(_, plain)| is_serving(plain)).map(|(name, _)| name.clone()).collect();
        let update = match fault {
            Fault::NoClusters => EndpointUpdate::FullSnapshot(Vec::new()),
            _ => {
                let (name, endpoints) = (CLUSTERS[cluster].into(), Endpoints::Listed(list));
                EndpointUpdate::ClusterSnapshots(vec![Cluster { name, endpoints, settings }])
            }
        };
        self.say(source, update)?;
        for name in before {
            let serves = self.plain.get(&name).is_some_and(is_serving);
            prop_assert!(serves, "{fault:?} of {} emptied {name}", SOURCES[source]);
        }
        Ok(())
    }

    fn tell(&mut self, event: Event) -> Result<(), TestCaseError> {
        self.model.handle(self.now, &event);
        let mut out = Vec::new();
        self.catalog.handle(self.now, event, &mut out);
        let mut effects = Effects::default();
        for output in out {
            self.apply(output, &mut effects)?;
        }
        prop_assert_eq!(&effects, &self.model.effects);
        self.compare_service()?;
        self.compare_holds()
    }

    fn apply(&mut self, output: Output, effects: &mut Effects) -> Result<(), TestCaseError> {
        let kind = match output {
            Output::Added(added) => {
                let (source, settings) = (added.source.as_str().to_owned(), added.settings);
                let plain = Plain { source, settings, ..Plain::default() };
                let old = self.plain.insert(added.cluster.as_str().to_owned(), plain);
                prop_assert!(old.is_none(), "a cluster was added twice");
                "added"
            }
            Output::Removed(removed) => {
                let old = self.plain.remove(removed.cluster.as_str());
                prop_assert!(old.is_some(), "a cluster was removed that was not there");
                "removed"
            }
            Output::Changed(change) => {
                let cluster = change.cluster.as_str().to_owned();
                let Some(plain) = self.plain.get_mut(&cluster) else {
                    return Err(TestCaseError::fail("a cluster changed that was not there"));
                };
                plain.source = change.source.as_str().to_owned();
                plain.settings = change.settings.unwrap_or(plain.settings);
                for id in change.removed {
                    let id = id.as_str().to_owned();
                    prop_assert!(plain.endpoints.remove(&id).is_some(), "{} was not there", id);
                    effects.removed.insert((cluster.clone(), id));
                }
                for upserted in change.upserted {
                    let (id, new) =
                        (upserted.endpoint.name.as_str().to_owned(), (*upserted.endpoint).clone());
                    let old = plain.endpoints.insert(id.clone(), new.clone());
                    prop_assert_ne!(old, Some(new), "a change that changes nothing");
                    effects.upserted.insert((cluster.clone(), id), upserted.arrival);
                }
                "changed"
            }
            Output::Stale(aged) => {
                self.plain.entry(aged.cluster.as_str().to_owned()).or_default().aged = true;
                "aged"
            }
            Output::Recovered { cluster, .. } => {
                self.plain.entry(cluster.as_str().to_owned()).or_default().aged = false;
                "renewed"
            }
            Output::Rejected(_) => {
                effects.refused += 1;
                "refused"
            }
            Output::RefetchRequested { cluster, source } => {
                effects.asked.insert((cluster.as_str().to_owned(), source.as_str().to_owned()));
                "asked"
            }
            Output::Quarantined(_) => "held",
            Output::Released { cause, .. } => match cause {
                Cause::Confirmed(ConfirmationSource::Repetition) => "said again",
                Cause::Confirmed(ConfirmationSource::ExplicitCommand) => "confirmed by word",
                Cause::Confirmed(ConfirmationSource::SecondSource(_)) => "confirmed by a second source",
                Cause::Resolved => "resolved",
                Cause::Update { .. } => "released by news",
            },
            Output::QuarantineDropped { .. } => "withdrawn",
        };
        *self.seen.entry(kind).or_default() += 1;
        Ok(())
    }

    fn compare_service(&self) -> Result<(), TestCaseError> {
        let names: BTreeSet<&str> = self.catalog.clusters().map(|served| served.name.as_str()).collect();
        let plain: BTreeSet<&str> = self.plain.keys().map(String::as_str).collect();
        prop_assert_eq!(&names, &plain);
        let served =
            self.model.clusters.iter().filter_map(|(name, c)| Some((name.as_str(), c.served.as_ref()?)));
        let served: BTreeMap<&str, _> = served.collect();
        prop_assert_eq!(names, served.keys().copied().collect());
        for cluster in self.catalog.clusters() {
            let (plain, model) = (&self.plain[cluster.name.as_str()], &served[cluster.name.as_str()]);
            let endpoints: Map =
                cluster.endpoints().map(|e| (e.name.as_str().to_owned(), Endpoint::clone(e))).collect();
            prop_assert_eq!(&endpoints, &model.endpoints, "cluster {}", cluster.name);
            prop_assert_eq!(&endpoints, &plain.endpoints, "outputs of cluster {}", cluster.name);
            prop_assert_eq!((cluster.settings, cluster.settings), (&model.settings, &plain.settings));
            let source = cluster.source.as_str();
            prop_assert_eq!((source, source), (SOURCES[model.owner], plain.source.as_str()));
            let aged = cluster.is_stale;
            prop_assert_eq!((aged, aged), (self.model.is_aged(model.owner), plain.aged));
        }
        Ok(())
    }

    /// What is held, of whom, since when, and when its source is asked again.
    fn compare_holds(&self) -> Result<(), TestCaseError> {
        let ms = |at: Nanos| at / 1_000_000;
        let mut held = BTreeMap::new();
        for view in self.catalog.view() {
            for subscription in view.subscriptions {
                if let Some(h) = subscription.quarantine {
                    let key = (view.cluster.as_str().to_owned(), subscription.source.as_str().to_owned());
                    held.insert(key, (h.needs_explicit_confirmation, h.endpoints, h.for_ms, h.refetch_in_ms));
                }
            }
        }
        let mut expected = BTreeMap::new();
        for (name, cluster) in &self.model.clusters {
            for (rank, subscription) in &cluster.subscriptions {
                let hold = subscription
                    .held
                    .as_ref()
                    .map(|h| (h.needs_explicit_confirmation(), h.parts.len(), h.since, h.due));
                let missing = subscription
                    .missing
                    .as_ref()
                    .map(|m| (m.needs_explicit_confirmation(), 0, m.since, m.due));
                let both: Vec<_> = hold.into_iter().chain(missing).collect();
                let Some(since) = both.iter().map(|h| h.2).min() else { continue };
                let due = both.iter().map(|h| h.3).min().unwrap_or(0);
                let (word, parts) = (both.iter().any(|h| h.0), both.iter().map(|h| h.1).sum::<usize>());
                let key = (name.clone(), SOURCES[*rank].to_owned());
                expected.insert(key, (word, parts, ms(self.now - since), ms(due.saturating_sub(self.now))));
            }
        }
        prop_assert_eq!(held, expected);
        Ok(())
    }
}

/// Fixed seeds: the same sequences every time.
fn runner(cases: u32, seed: u8) -> TestRunner {
    let config =
        ProptestConfig { cases, failure_persistence: None, max_shrink_iters: 20_000, ..Default::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

#[test]
fn random_sequences_have_the_result_of_the_plain_model() {
    let seen = std::cell::RefCell::new(BTreeMap::<&str, usize>::new());
    let test = |steps: Vec<Step>| {
        let mut bench = Bench::new(Policy::default());
        steps.iter().try_for_each(|step| bench.step(step))?;
        bench.seen.iter().for_each(|(kind, n)| *seen.borrow_mut().entry(kind).or_default() += n);
        Ok(())
    };
    runner(1500, 1).run(&steps(), test).unwrap();
    let seen = seen.into_inner();
    for kind in [
        "added",
        "removed",
        "changed",
        "held",
        "withdrawn",
        "refused",
        "asked",
        "aged",
        "renewed",
        "resolved",
        "said again",
        "confirmed by word",
        "confirmed by a second source",
    ] {
        assert!(
            seen.get(kind).is_some_and(|n| *n > 50),
            "the sequences get there too rarely: {kind} in {seen:?}"
        );
    }
    assert!(!seen.contains_key("released by news"), "news confirms nothing");
}

#[test]
fn a_policy_of_other_figures_has_the_result_of_the_plain_model() {
    let zero = std::time::Duration::ZERO;
    let policy =
        Policy { hold: zero, most_gone: 1.0, returns_within: zero, aged_after: zero, ..Policy::default() };
    let test = |steps: Vec<Step>| {
        let mut bench = Bench::new(policy);
        steps.iter().try_for_each(|step| bench.step(step))
    };
    runner(300, 2).run(&steps(), test).unwrap();
}

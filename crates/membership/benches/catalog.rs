//! Benchmarks of the catalog at 10, 1,000 and 10,000 endpoints: a first list, the same list again, a list in
//! which one endpoint in ten has changed, a list that is quarantined, one changed endpoint, an endpoint that
//! is removed and added again, and one changed endpoint while a list is quarantined. Prints the memory per
//! endpoint first.

use criterion::{BatchSize, BenchmarkId, Criterion};
use olivecart_membership::{
    Catalog, Cluster, ClusterDelta, Endpoint, EndpointUpdate, Event, Label, Nanos, Output, Policy, SourceId,
    Version,
};
use std::hint::black_box;
use std::time::Duration;

const SIZES: [usize; 3] = [10, 1_000, 10_000];
const S: Nanos = 1_000_000_000;

struct Bench {
    catalog: Catalog,
    source: SourceId,
    now: Nanos,
    out: Vec<Output>,
}

impl Bench {
    fn new() -> Bench {
        let source = SourceId::from("bench");
        let catalog = Catalog::new(Policy::default(), [source.clone()]).expect("the default policy");
        Bench { catalog, source, now: 0, out: Vec::new() }
    }

    fn with(endpoints: &[Endpoint]) -> Bench {
        let mut bench = Bench::new();
        bench.update(list(endpoints));
        bench
    }

    fn update(&mut self, update: EndpointUpdate) -> usize {
        self.now += S / 10;
        let event = Event::Update { source: self.source.clone(), version: Version::from(1), update };
        self.out.clear();
        self.catalog.handle(self.now, event, &mut self.out);
        self.out.len()
    }
}

fn endpoints(count: usize) -> Vec<Endpoint> {
    let zones: Vec<Label> = ["a", "b", "c"].map(Label::from).into();
    let endpoint = |i: usize| {
        let address = ([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 8080).into();
        // Names in random order, as registries generate them.
        let name = format!("s-{:08x}", (i as u32).wrapping_mul(0x9e37_79b1));
        Endpoint { zone: zones[i % 3].clone(), ..Endpoint::ready(name.as_str(), address) }
    };
    (0..count).map(endpoint).collect()
}

fn list(endpoints: &[Endpoint]) -> EndpointUpdate {
    EndpointUpdate::ClusterSnapshots(vec![Cluster::new("cart", endpoints.to_vec())])
}

fn update(upserts: Vec<Endpoint>, removals: &[&Endpoint]) -> EndpointUpdate {
    let removals = removals.iter().map(|e| e.name.clone()).collect();
    EndpointUpdate::ClusterDeltas(vec![ClusterDelta {
        cluster: "cart".into(),
        settings: None,
        upserts,
        removals,
    }])
}

fn lists(c: &mut Criterion) {
    let mut group = c.benchmark_group("list");
    group.sample_size(20).warm_up_time(Duration::from_millis(500)).measurement_time(Duration::from_secs(2));
    for size in SIZES {
        let first = endpoints(size);
        let mut tenth_changed = first.clone();
        tenth_changed.iter_mut().step_by(10).for_each(|e| e.weight = 2.0);
        group.bench_with_input(BenchmarkId::new("first", size), &first, |b, first| {
            let fresh = || (Bench::new(), list(first));
            b.iter_batched(
                fresh,
                |(mut bench, update)| (bench.update(update), bench),
                BatchSize::PerIteration,
            );
        });
        group.bench_with_input(BenchmarkId::new("same", size), &first, |b, first| {
            let mut bench = Bench::with(first);
            b.iter_batched(|| list(first), |update| black_box(bench.update(update)), BatchSize::PerIteration);
        });
        group.bench_with_input(
            BenchmarkId::new("tenth", size),
            &(first, tenth_changed),
            |b, (first, changed)| {
                let (mut bench, mut is_changed) = (Bench::with(first), false);
                let next = || {
                    is_changed = !is_changed;
                    list(if is_changed { changed } else { first })
                };
                b.iter_batched(next, |update| black_box(bench.update(update)), BatchSize::PerIteration);
            },
        );
        group.bench_with_input(BenchmarkId::new("held", size), &endpoints(size), |b, first| {
            let mut bench = Bench::with(first);
            let third = &first[..size / 3];
            b.iter_batched(|| list(third), |update| black_box(bench.update(update)), BatchSize::PerIteration);
        });
    }
    group.finish();
}

fn changes(c: &mut Criterion) {
    let mut group = c.benchmark_group("one endpoint");
    group.sample_size(50).warm_up_time(Duration::from_millis(500)).measurement_time(Duration::from_secs(2));
    for size in SIZES {
        let first = endpoints(size);
        let heavier = |at: &mut usize| {
            *at += 1;
            let endpoint = &first[*at * 7 % size];
            Endpoint { weight: 1.0 + (*at / size + 1) as f64, ..endpoint.clone() }
        };
        group.bench_function(BenchmarkId::new("changed", size), |b| {
            let (mut bench, mut at) = (Bench::with(&first), 0);
            let next = || update(vec![heavier(&mut at)], &[]);
            b.iter_batched(next, |update| black_box(bench.update(update)), BatchSize::SmallInput);
        });
        group.bench_function(BenchmarkId::new("left and came", size), |b| {
            let (mut bench, mut at) = (Bench::with(&first), 0);
            let next = || {
                at += 1;
                let endpoint = &first[at * 7 % size];
                (update(Vec::new(), &[endpoint]), update(vec![endpoint.clone()], &[]))
            };
            let both = |(removal, addition)| black_box(bench.update(removal) + bench.update(addition));
            b.iter_batched(next, both, BatchSize::SmallInput);
        });
        group.bench_function(BenchmarkId::new("changed while a list is held", size), |b| {
            let (mut bench, mut at) = (Bench::with(&first), 0);
            bench.update(list(&first[..size / 3]));
            let next = || update(vec![heavier(&mut at)], &[]);
            b.iter_batched(next, |update| black_box(bench.update(update)), BatchSize::SmallInput);
        });
    }
    group.finish();
}

/// Returns the resident memory of this process in bytes, or `None` if it cannot be read.
fn resident_bytes() -> Option<usize> {
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: usize = statm.split_ascii_whitespace().nth(1)?.parse().ok()?;
    Some(pages * 4096)
}

fn print_memory_per_endpoint() {
    const COUNT: usize = 100_000;
    let source = SourceId::from("bench");
    let policy = Policy { max_endpoints: COUNT, ..Policy::default() };
    let mut bench = Bench {
        catalog: Catalog::new(policy, [source.clone()]).expect("a valid policy"),
        source,
        now: 0,
        out: Vec::new(),
    };
    let before = resident_bytes();
    bench.update(list(&endpoints(COUNT)));
    bench.out = Vec::new();
    if let (Some(before), Some(after)) = (before, resident_bytes()) {
        println!("memory: {} bytes for each of {COUNT} endpoints", after.saturating_sub(before) / COUNT);
    }
    drop(bench);
}

fn main() {
    print_memory_per_endpoint();
    let mut criterion = Criterion::default().configure_from_args();
    lists(&mut criterion);
    changes(&mut criterion);
    criterion.final_summary();
}

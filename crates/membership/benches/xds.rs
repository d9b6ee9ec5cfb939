//! Benchmarks of an xDS response with 10,000 endpoints, from its bytes through the session and the catalog:
//! the first response, an unchanged one, and one with one changed endpoint. Decoding and conversion are also
//! measured on their own; the rest of the time is spent in the session and the catalog.

use criterion::{BatchSize, Criterion};
use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryResponse, Resource};
use envoy_types::pb::google::protobuf::UInt32Value;
use envoy_types::util::pack_any;
use olivecart_lab::control_plane::{eds_cluster, endpoints};
use olivecart_membership::xds::resource::{Kind, parse_assignment};
use olivecart_membership::xds::session::{Config, Input, Node, Output, Response, Session};
use olivecart_membership::{Catalog, Nanos, Policy};
use prost::Message;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

const COUNT: usize = 10_000;

struct Bench {
    session: Session,
    catalog: Catalog,
    now: Nanos,
    out: Vec<Output>,
}

impl Bench {
    fn new() -> Bench {
        let session = Session::new(Config::new("xds".into(), Node::default()));
        let catalog = Catalog::new(Policy::default(), ["xds".into()]).expect("the default policy");
        let mut bench = Bench { session, catalog, now: 0, out: Vec::new() };
        bench.handle_input(Input::Tick);
        bench.handle_input(Input::Connected);
        let cluster = vec![resource(pack_any(eds_cluster("cart")))];
        bench.receive(&response(Kind::Cluster, cluster));
        bench
    }

    fn with(bytes: &[u8]) -> Bench {
        let mut bench = Bench::new();
        bench.receive(bytes);
        bench
    }

    fn handle_input(&mut self, input: Input) -> usize {
        self.now += 100_000_000;
        self.session.handle(self.now, input, &mut self.out);
        let mut changes = Vec::new();
        for output in self.out.drain(..) {
            if let Output::Notify(event) = output {
                self.catalog.handle(self.now, event, &mut changes);
            }
        }
        changes.len()
    }

    fn receive(&mut self, bytes: &[u8]) -> usize {
        let response = DeltaDiscoveryResponse::decode(bytes).expect("a response");
        self.handle_input(Input::Response(Response::Delta(response)))
    }
}

fn resource(any: envoy_types::pb::google::protobuf::Any) -> Resource {
    Resource { name: "cart".into(), version: "1".into(), resource: Some(any), ..Resource::default() }
}

fn response(kind: Kind, resources: Vec<Resource>) -> Vec<u8> {
    let type_url = kind.type_url().to_owned();
    DeltaDiscoveryResponse { resources, type_url, ..DeltaDiscoveryResponse::default() }.encode_to_vec()
}

fn list() -> ClusterLoadAssignment {
    // Names in random order, as registries generate them.
    let name = |i: usize| format!("s-{:08x}", (i as u32).wrapping_mul(0x9e37_79b1));
    let names: Vec<(String, SocketAddr)> =
        (0..COUNT).map(|i| (name(i), ([10, 0, (i >> 8) as u8, i as u8], 8080).into())).collect();
    let list: Vec<(&str, SocketAddr)> = names.iter().map(|(name, at)| (&**name, *at)).collect();
    endpoints("cart", &list)
}

fn assignment_response(list: &ClusterLoadAssignment) -> Vec<u8> {
    response(Kind::Assignment, vec![resource(pack_any(list.clone()))])
}

fn main() {
    let first = list();
    let mut changed = first.clone();
    changed.endpoints[0].lb_endpoints[4711].load_balancing_weight = Some(UInt32Value { value: 2 });
    let (all, one) = (assignment_response(&first), assignment_response(&changed));
    println!("a response with {COUNT} endpoints has {} bytes", all.len());
    let mut criterion = Criterion::default().configure_from_args();
    let mut group = criterion.benchmark_group("xds, 10,000 endpoints");
    group.sample_size(20).warm_up_time(Duration::from_millis(500)).measurement_time(Duration::from_secs(3));
    group.bench_function("first push", |b| {
        b.iter_batched(Bench::new, |mut bench| (bench.receive(&all), bench), BatchSize::PerIteration);
    });
    group.bench_function("same push", |b| {
        let mut bench = Bench::with(&all);
        b.iter(|| black_box(bench.receive(&all)));
    });
    group.bench_function("one endpoint changed", |b| {
        let (mut bench, mut is_changed) = (Bench::with(&all), false);
        b.iter(|| {
            is_changed = !is_changed;
            black_box(bench.receive(if is_changed { &one } else { &all }))
        });
    });
    let bytes = first.encode_to_vec();
    group.bench_function("of that: decoding", |b| {
        b.iter(|| black_box(ClusterLoadAssignment::decode(&*bytes).map(|list| list.endpoints.len())));
    });
    group.bench_function("of that: conversion", |b| {
        b.iter(|| black_box(parse_assignment(&first).map(|list| list.endpoints.len())));
    });
    group.finish();
    criterion.final_summary();
}

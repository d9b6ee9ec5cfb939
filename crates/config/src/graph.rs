//! The call graph of a fleet: who calls whom, how often, with how many attempts.

use crate::resolve::Resolved;
use petgraph::algo::{kosaraju_scc, toposort};
use petgraph::graphmap::DiGraphMap;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;

/// A call of one application to another, by their places among the resolved ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Edge {
    /// Who calls.
    pub from: usize,
    /// Who is called.
    pub to: usize,
    /// Which of the caller's calls it is.
    pub call: usize,
    /// Calls for each request that the caller serves.
    pub times: f64,
    /// Most attempts of each.
    pub attempts: u32,
}

/// The call graph.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    /// All calls to applications that are there.
    pub edges: Vec<Edge>,
    count: usize,
}

/// What one request of a client may come to at an application.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrivals {
    /// Attempts over all ways to it.
    pub sum: f64,
    /// The way with most of them.
    pub heaviest: Vec<Edge>,
}

impl Calls {
    /// The calls of what was resolved.
    pub fn of(resolved: &[Resolved]) -> Calls {
        let by_name: BTreeMap<&str, usize> = resolved
            .iter()
            .enumerate()
            .filter(|(_, one)| one.application.is_some())
            .map(|(at, one)| (one.proxy.name.as_str(), at))
            .collect();
        let mut edges = Vec::new();
        for (from, one) in resolved.iter().enumerate() {
            for (call, out) in one.proxy.outbound.iter().enumerate() {
                let Some(&to) = by_name.get(out.application.as_str()) else { continue };
                let times = one.times.get(call).copied().unwrap_or(1.0);
                edges.push(Edge { from, to, call, times, attempts: out.attempts });
            }
        }
        Calls { edges, count: resolved.len() }
    }

    /// A call between two.
    pub fn edge(&self, from: usize, to: usize) -> Option<&Edge> {
        self.edges.iter().find(|edge| edge.from == from && edge.to == to)
    }

    fn graph(&self) -> DiGraphMap<usize, ()> {
        let mut graph = DiGraphMap::new();
        (0..self.count).for_each(|at| _ = graph.add_node(at));
        self.edges.iter().for_each(|edge| _ = graph.add_edge(edge.from, edge.to, ()));
        graph
    }

    /// A shortest loop of each knot of applications that call each other round.
    pub fn loops(&self) -> Vec<Vec<usize>> {
        let mut loops = Vec::new();
        for knot in kosaraju_scc(&self.graph()) {
            let Some(&first) = knot.iter().min() else { continue };
            let is_loop = knot.len() > 1 || self.edge(first, first).is_some();
            if is_loop {
                loops.extend(self.round(first));
            }
        }
        loops.sort();
        loops
    }

    /// A shortest way from an application back to itself.
    fn round(&self, start: usize) -> Option<Vec<usize>> {
        let mut before: BTreeMap<usize, usize> = BTreeMap::new();
        let mut queue = VecDeque::from([start]);
        while let Some(at) = queue.pop_front() {
            for edge in self.edges.iter().filter(|edge| edge.from == at) {
                if edge.to == start {
                    let mut way = vec![at];
                    let mut last = at;
                    while let Some(&earlier) = before.get(&last).filter(|_| last != start) {
                        way.push(earlier);
                        last = earlier;
                    }
                    way.reverse();
                    return Some(way);
                }
                if let Entry::Vacant(place) = before.entry(edge.to) {
                    place.insert(at);
                    queue.push_back(edge.to);
                }
            }
        }
        None
    }

    /// Applications, callers before those that they call; empty if there is a loop.
    pub fn order(&self) -> Vec<usize> {
        toposort(&self.graph(), None).unwrap_or_default()
    }

    /// What one request of a client may come to at each application. Clients call whoever nobody else does.
    pub fn arrivals(&self, client_tries: f64) -> Vec<Arrivals> {
        let mut all = vec![Arrivals::default(); self.count];
        for at in self.order() {
            if !self.edges.iter().any(|edge| edge.to == at) {
                all[at].sum = client_tries;
            }
            let here = all[at].clone();
            for edge in self.edges.iter().filter(|edge| edge.from == at) {
                let more = here.sum * edge.times * f64::from(edge.attempts);
                let to = &mut all[edge.to];
                if more >= to.sum - more || to.heaviest.is_empty() {
                    to.heaviest = here.heaviest.iter().copied().chain([*edge]).collect();
                }
                to.sum += more;
            }
        }
        all
    }
}

/// The graph in words: each application with its calls, deadlines and what it may be asked for.
pub fn text(resolved: &[Resolved], client_tries: u32) -> String {
    let calls = Calls::of(resolved);
    let arrivals = calls.arrivals(f64::from(client_tries));
    let mut out = String::new();
    let order = calls.order();
    let all: Vec<usize> = if order.is_empty() { (0..resolved.len()).collect() } else { order };
    for at in all {
        let proxy = &resolved[at].proxy;
        // Writing to a string does not fail.
        let _ = writeln!(
            out,
            "{} (tier {}): up to {:.0} attempts for a client's request",
            proxy.name,
            proxy.tier,
            arrivals[at].sum.max(0.0)
        );
        for class in &proxy.classes {
            let _ = writeln!(out, "    class {}: aim {}, deadline {}", class.name, class.aim, class.deadline);
        }
        for edge in calls.edges.iter().filter(|edge| edge.from == at) {
            let _ = writeln!(
                out,
                "    -> {}: {} a request, up to {} attempts",
                resolved[edge.to].proxy.name, edge.times, edge.attempts
            );
        }
    }
    out
}

/// The same as a picture: tiers from left to right, a box for each application, an arrow for each call.
pub fn svg(resolved: &[Resolved], client_tries: u32) -> String {
    const WIDE: usize = 220;
    const HIGH: usize = 64;
    let calls = Calls::of(resolved);
    let arrivals = calls.arrivals(f64::from(client_tries));
    let mut rows: BTreeMap<u32, usize> = BTreeMap::new();
    let mut places = Vec::new();
    for one in resolved {
        let row = rows.entry(one.proxy.tier).or_default();
        places.push((40 + one.proxy.tier as usize * (WIDE + 100), 40 + *row * (HIGH + 30)));
        *row += 1;
    }
    let width = places.iter().map(|(x, _)| x + WIDE + 40).max().unwrap_or(80);
    let height = places.iter().map(|(_, y)| y + HIGH + 40).max().unwrap_or(80);
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {width} {height}\" width=\"{width}\" \
         height=\"{height}\" font-family=\"sans-serif\" font-size=\"12\">\n\
         <defs><marker id=\"a\" viewBox=\"0 0 10 10\" refX=\"10\" refY=\"5\" markerWidth=\"7\" markerHeight=\"7\" \
         orient=\"auto\"><path d=\"M0 0 10 5 0 10z\" fill=\"#444\"/></marker></defs>\n"
    );
    for edge in &calls.edges {
        let ((x1, y1), (x2, y2)) = (places[edge.from], places[edge.to]);
        let (x1, y1, y2) = (x1 + WIDE, y1 + HIGH / 2, y2 + HIGH / 2);
        let _ = writeln!(
            out,
            "<path d=\"M{x1} {y1}C{} {y1} {} {y2} {x2} {y2}\" fill=\"none\" stroke=\"#444\" marker-end=\"url(#a)\"/>",
            x1 + 50,
            x2.saturating_sub(50)
        );
        let (x, y) = ((x1 + x2) / 2, (y1 + y2) / 2 - 4);
        let _ = writeln!(
            out,
            "<text x=\"{x}\" y=\"{y}\" text-anchor=\"middle\" fill=\"#444\">{} x {}</text>",
            edge.times, edge.attempts
        );
    }
    for (at, one) in resolved.iter().enumerate() {
        let (x, y) = places[at];
        let longest = one.proxy.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        let _ = writeln!(
            out,
            "<rect x=\"{x}\" y=\"{y}\" width=\"{WIDE}\" height=\"{HIGH}\" rx=\"6\" fill=\"#eef3f8\" stroke=\"#345\"/>"
        );
        let _ = writeln!(
            out,
            "<text x=\"{}\" y=\"{}\" font-weight=\"bold\">{}</text>",
            x + 10,
            y + 22,
            escaped(&one.proxy.name)
        );
        let _ = writeln!(
            out,
            "<text x=\"{}\" y=\"{}\">deadline {longest}, up to {:.0} attempts</text>",
            x + 10,
            y + 44,
            arrivals[at].sum
        );
    }
    out + "</svg>\n"
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

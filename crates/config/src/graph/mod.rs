//! The call graph of a fleet: the calls between applications with their rates and attempts. Used by `check`
//! and `plan`; [`text`] and [`svg`] print it.

mod svg;
mod text;

pub use svg::svg;
pub use text::text;

use crate::resolve::Resolved;
use petgraph::algo::{kosaraju_scc, toposort};
use petgraph::graphmap::DiGraphMap;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};

/// A call from one application to another, by their indices among the resolved proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Edge {
    /// The caller.
    pub from: usize,
    /// The callee.
    pub to: usize,
    /// The index of the call among the caller's.
    pub call: usize,
    /// The average number of calls for each request that the caller serves.
    pub calls_per_request: f64,
    /// The maximum number of attempts for each call.
    pub attempts: u32,
}

/// The call graph.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    /// All calls to existing applications.
    pub edges: Vec<Edge>,
    /// The number of applications.
    count: usize,
}

/// The attempts that one client request can cause at an application.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrivals {
    /// The number of attempts over all paths to the application.
    pub sum: f64,
    /// The path with the most attempts.
    pub heaviest: Vec<Edge>,
}

impl Calls {
    /// Builds the call graph of resolved proxies.
    pub fn of(resolved: &[Resolved]) -> Calls {
        let by_name: BTreeMap<&str, usize> = resolved
            .iter()
            .enumerate()
            .filter(|(_, resolved)| resolved.application.is_some())
            .map(|(index, resolved)| (resolved.proxy.name.as_str(), index))
            .collect();
        let mut edges = Vec::new();
        for (from, caller) in resolved.iter().enumerate() {
            for (call, outbound) in caller.proxy.outbound.iter().enumerate() {
                let Some(&to) = by_name.get(outbound.application.as_str()) else { continue };
                let calls_per_request = caller.calls_per_request.get(call).copied().unwrap_or(1.0);
                edges.push(Edge { from, to, call, calls_per_request, attempts: outbound.attempts });
            }
        }
        Calls { edges, count: resolved.len() }
    }

    /// Returns the first call from one application to another.
    pub fn edge(&self, from: usize, to: usize) -> Option<&Edge> {
        self.edges.iter().find(|edge| edge.from == from && edge.to == to)
    }

    fn graph(&self) -> DiGraphMap<usize, ()> {
        let mut graph = DiGraphMap::new();
        (0..self.count).for_each(|at| _ = graph.add_node(at));
        self.edges.iter().for_each(|edge| _ = graph.add_edge(edge.from, edge.to, ()));
        graph
    }

    /// Returns a shortest loop of each strongly connected component.
    pub fn loops(&self) -> Vec<Vec<usize>> {
        let mut loops = Vec::new();
        for component in kosaraju_scc(&self.graph()) {
            let Some(&first) = component.iter().min() else { continue };
            let is_loop = component.len() > 1 || self.edge(first, first).is_some();
            if is_loop {
                loops.extend(self.shortest_loop(first));
            }
        }
        loops.sort();
        loops
    }

    /// Returns a shortest path from an application back to itself, by a breadth-first search.
    fn shortest_loop(&self, start: usize) -> Option<Vec<usize>> {
        let mut predecessors: BTreeMap<usize, usize> = BTreeMap::new();
        let mut queue = VecDeque::from([start]);
        while let Some(at) = queue.pop_front() {
            for edge in self.edges.iter().filter(|edge| edge.from == at) {
                if edge.to == start {
                    return Some(path_to(at, start, &predecessors));
                }
                if let Entry::Vacant(entry) = predecessors.entry(edge.to) {
                    entry.insert(at);
                    queue.push_back(edge.to);
                }
            }
        }
        None
    }

    /// Returns the applications in topological order, callers before callees; empty if there is a loop.
    pub fn order(&self) -> Vec<usize> {
        toposort(&self.graph(), None).unwrap_or_default()
    }

    /// Returns the attempts that one client request can cause at each application. Clients call the
    /// applications that no application calls.
    pub fn arrivals(&self, client_tries: f64) -> Vec<Arrivals> {
        let mut all = vec![Arrivals::default(); self.count];
        for at in self.order() {
            if !self.edges.iter().any(|edge| edge.to == at) {
                all[at].sum = client_tries;
            }
            let here = all[at].clone();
            for edge in self.edges.iter().filter(|edge| edge.from == at) {
                let added = here.sum * edge.calls_per_request * f64::from(edge.attempts);
                let callee = &mut all[edge.to];
                if added >= callee.sum - added || callee.heaviest.is_empty() {
                    callee.heaviest = here.heaviest.iter().copied().chain([*edge]).collect();
                }
                callee.sum += added;
            }
        }
        all
    }
}

/// Returns the path from a start to an application, following the predecessors backwards.
fn path_to(end: usize, start: usize, predecessors: &BTreeMap<usize, usize>) -> Vec<usize> {
    let mut path = vec![end];
    let mut at = end;
    while let Some(&earlier) = predecessors.get(&at).filter(|_| at != start) {
        path.push(earlier);
        at = earlier;
    }
    path.reverse();
    path
}

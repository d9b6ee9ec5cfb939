//! The servers and their lifetimes. A replaced server dies silently while the control plane is down; shortly
//! before, its replacement starts with another id and another address.

use super::{GOES, Plan};
use crate::control_plane::Resources;
use crate::model::mix;
use olivecart_decisions::{EndpointId, Nanos};
use std::net::SocketAddr;

/// One server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its id.
    pub id: String,
    /// Its cluster.
    pub cluster: u32,
    /// Its address.
    pub address: SocketAddr,
    /// When it starts.
    pub born: Nanos,
    /// When it dies.
    pub dies: Nanos,
}

/// All servers of a run, including replacements.
#[derive(Debug)]
pub struct Fleet {
    /// The servers by number. Those of a cluster are adjacent.
    pub servers: Vec<Server>,
    /// The number of the first server by cluster.
    pub first: Vec<u32>,
    /// When the set of servers changes, in order. Each change begins a new generation, counted from 1.
    pub changes: Vec<Nanos>,
    clusters: u32,
}

/// How long a replacement runs before the old server dies.
const OVERLAP: Nanos = 500_000_000;

impl Fleet {
    /// Creates the fleet of a plan.
    pub fn new(plan: &Plan) -> Fleet {
        let outage = plan.outage.as_nanos() as Nanos;
        let (mut servers, mut changes, mut first) = (Vec::new(), Vec::new(), Vec::new());
        for cluster in 0..plan.clusters {
            first.push(servers.len() as u32);
            let mut later = Vec::new();
            for at in 0..plan.endpoints {
                let draw = mix(mix(plan.seed, u64::from(cluster) + 1), u64::from(at));
                let is_replaced =
                    (draw >> 11) as f64 / (1u64 << 53) as f64 <= plan.replaced && plan.replaced > 0.0;
                // In the middle of the outage, so that the control plane knows all changes when it returns.
                let dies = GOES + outage / 4 + mix(draw, 7) % (outage / 2);
                let end = if is_replaced { dies } else { Nanos::MAX };
                servers.push(server(cluster, format!("{cluster}-{at}"), 0, end));
                if is_replaced {
                    let born = dies.saturating_sub(OVERLAP);
                    later.push(server(cluster, format!("{cluster}-{at}-new"), born, Nanos::MAX));
                    changes.extend([born, dies]);
                }
            }
            servers.extend(later);
        }
        for (number, server) in servers.iter_mut().enumerate() {
            let [a, b, c] = [number >> 16, number >> 8, number].map(|byte| byte as u8);
            server.address = ([10, a, b, c], 80).into();
        }
        changes.sort_unstable();
        changes.dedup();
        Fleet { servers, first, changes, clusters: plan.clusters }
    }

    /// Returns the server with this endpoint id in a cluster's decisions.
    pub fn server(&self, cluster: u32, endpoint: EndpointId) -> &Server {
        &self.servers[(self.first[cluster as usize] + endpoint.0) as usize]
    }

    /// Returns the control plane's resources at a time; their versions begin after `version`.
    pub fn resources(&self, at: Nanos, version: u64) -> Resources {
        let mut resources = Resources::starting_at(version);
        for cluster in 0..self.clusters {
            resources.set_cluster(&name(cluster));
            self.list(cluster, at, &mut resources);
        }
        resources
    }

    /// Applies the changes between two times to the resources.
    pub fn change(&self, from: Nanos, to: Nanos, resources: &mut Resources) {
        for cluster in 0..self.clusters {
            let mut of_cluster = self.servers.iter().filter(|server| server.cluster == cluster);
            if of_cluster.any(|server| lives(server, from) != lives(server, to)) {
                self.list(cluster, to, resources);
            }
        }
    }

    fn list(&self, cluster: u32, at: Nanos, resources: &mut Resources) {
        let all = self.servers.iter().filter(|server| server.cluster == cluster && lives(server, at));
        let list: Vec<_> = all.map(|server| (server.id.as_str(), server.address)).collect();
        resources.set_endpoints(&name(cluster), &list);
    }

    /// Returns the fingerprint of the servers that run at a time: the sum of their [`mark`]s.
    pub fn print(&self, at: Nanos) -> u64 {
        let numbers = 0..self.servers.len() as u32;
        let all = numbers.filter(|number| lives(&self.servers[*number as usize], at));
        all.fold(0, |sum, number| sum.wrapping_add(mark(number)))
    }
}

/// Returns the contribution of one server to the fingerprint of a set.
pub fn mark(number: u32) -> u64 {
    mix(number.into(), 0x5EED)
}

fn server(cluster: u32, id: String, born: Nanos, dies: Nanos) -> Server {
    Server { id, cluster, address: ([10, 0, 0, 0], 80).into(), born, dies }
}

/// Returns whether a server runs at a time.
pub fn lives(server: &Server, at: Nanos) -> bool {
    (server.born..server.dies).contains(&at)
}

/// Returns the name of a cluster.
pub fn name(cluster: u32) -> String {
    format!("cluster-{cluster}")
}

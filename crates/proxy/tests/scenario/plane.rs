//! Runs the lab's xDS control plane on loopback, on a separate thread, for scenarios and tests.

use super::STEP_TIMEOUT;
use olivecart_lab::control_plane::{ControlPlane, HealthStatus, Kind, Resources};
use std::net::SocketAddr;
use tokio::runtime::Runtime;

pub struct Plane {
    plane: ControlPlane,
    runtime: Runtime,
    /// The number of journal lines that earlier `expect` steps have consumed.
    seen: usize,
}

impl Plane {
    pub fn start(resources: Resources) -> Plane {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().expect("a runtime");
        let plane = runtime.block_on(ControlPlane::start(resources)).expect("a port");
        Plane { plane, runtime, seen: 0 }
    }

    pub fn address(&self) -> SocketAddr {
        self.plane.address()
    }

    pub fn change(&self, change: impl FnOnce(&mut Resources)) {
        self.plane.change(change);
    }

    /// Runs one step of a scenario. `at` returns the address of an id.
    pub fn step(&mut self, verb: &str, rest: &str, at: impl Fn(&str) -> SocketAddr) -> Result<(), String> {
        let set = |resources: &mut Resources| {
            for (cluster, ids) in rest.split_whitespace().filter_map(|word| word.split_once('=')) {
                resources.set_cluster(cluster);
                let ids: Vec<_> =
                    ids.split(',').filter(|id| !id.is_empty()).map(|id| parse_endpoint(id, &at)).collect();
                let ids: Vec<_> = ids.iter().map(|(id, at, health)| (id.as_str(), *at, *health)).collect();
                resources.set_health(cluster, &ids);
            }
        };
        match verb {
            "list" => self.plane.change(set),
            "cluster" => self.plane.change(|resources| resources.set_cluster(rest)),
            "remove" => self.plane.change(|resources| {
                resources.remove(Kind::Cds, rest);
                resources.remove(Kind::Eds, rest);
            }),
            "drop" => self.runtime.block_on(async { self.plane.drop_streams() }),
            "restart" => {
                let mut resources = Resources::default();
                set(&mut resources);
                self.runtime.block_on(async { self.plane.restart(resources) });
            }
            "expect" => {
                let (from, parts) = (self.seen, rest.split(" .. ").collect::<Vec<_>>());
                let found = async {
                    tokio::time::timeout(STEP_TIMEOUT, self.plane.journal().wait_for(from, &parts)).await
                };
                let lines = || self.plane.journal().lines().split_off(from).join("\n");
                let (line, _) = self
                    .runtime
                    .block_on(found)
                    .map_err(|_| format!("not found in the journal:\n{}", lines()))?;
                self.seen = line + 1;
            }
            _ => return Err("no such step".into()),
        }
        Ok(())
    }
}

/// Parses `ID/STATE` into an endpoint of the control plane.
fn parse_endpoint(word: &str, at: impl Fn(&str) -> SocketAddr) -> (String, SocketAddr, HealthStatus) {
    let (id, state) = word.split_once('/').unwrap_or((word, ""));
    let health = match state {
        "draining" => HealthStatus::Draining,
        "unhealthy" => HealthStatus::Unhealthy,
        _ => HealthStatus::Healthy,
    };
    (format!("{id}-0"), at(id), health)
}

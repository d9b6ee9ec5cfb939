//! The network between nodes: how long a message takes, and whether it arrives.

use super::topology::Topology;
use crate::scenario::Network;
use olivecart_decisions::Nanos;
use rand::Rng;
use rand_distr::Exp1;
use rand_pcg::Pcg64Mcg;

/// Whether a message between two nodes arrives: neither has vanished, and no cut lies between them.
pub fn reaches(topology: &Topology, from: u32, to: u32, at: Nanos) -> bool {
    let timeline = &topology.timeline;
    let dark = |node: u32| {
        let machine = node.checked_sub(topology.clients).filter(|m| (*m as usize) < topology.machines.len());
        machine.is_some_and(|machine| timeline.is_dark(machine, at))
    };
    !dark(from) && !dark(to) && timeline.joined(topology.zone_of(from), topology.zone_of(to), at)
}

/// How long a message between two machines takes, one way.
pub fn between(topology: &Topology, from: u32, to: u32, rng: &mut Pcg64Mcg) -> Nanos {
    let network = &topology.scenario.network;
    let same = topology.zone_of(from) == topology.zone_of(to);
    jittered(network, if same { network.same_zone.nanos() } else { network.cross_zone.nanos() }, rng)
}

/// How long a message between a client and a proxy takes, one way.
pub fn client(topology: &Topology, rng: &mut Pcg64Mcg) -> Nanos {
    jittered(&topology.scenario.network, topology.scenario.network.client.nanos(), rng)
}

fn jittered(network: &Network, base: Nanos, rng: &mut Pcg64Mcg) -> Nanos {
    if network.jitter <= 0.0 {
        return base;
    }
    base + (base as f64 * network.jitter * rng.sample::<f64, _>(Exp1)) as Nanos
}

/// The least that any message takes.
pub fn least(network: &Network) -> Nanos {
    network.same_zone.nanos().min(network.cross_zone.nanos()).min(network.client.nanos())
}

//! The network between nodes: the delay of a message, and whether it arrives.

use super::topology::Topology;
use crate::scenario::Network;
use olivecart_decisions::Nanos;
use rand::Rng;
use rand_distr::Exp1;
use rand_pcg::Pcg64Mcg;

/// Whether a message between two nodes arrives: both machines are reachable, and no partition separates their
/// zones.
pub fn reaches(topology: &Topology, from: u32, to: u32, at: Nanos) -> bool {
    let timeline = &topology.timeline;
    let is_unreachable = |node: u32| {
        let machine = node.checked_sub(topology.clients).filter(|m| (*m as usize) < topology.machines.len());
        machine.is_some_and(|machine| timeline.is_unreachable(machine, at))
    };
    !is_unreachable(from)
        && !is_unreachable(to)
        && timeline.joined(topology.zone_of(from), topology.zone_of(to), at)
}

/// Draws the one-way delay of a message between two machines.
pub fn draw_delay(topology: &Topology, from: u32, to: u32, rng: &mut Pcg64Mcg) -> Nanos {
    let network = &topology.scenario.network;
    let same = topology.zone_of(from) == topology.zone_of(to);
    jittered(network, if same { network.same_zone.nanos() } else { network.cross_zone.nanos() }, rng)
}

/// Draws the one-way delay of a message between a client and a proxy.
pub fn draw_client_delay(topology: &Topology, rng: &mut Pcg64Mcg) -> Nanos {
    jittered(&topology.scenario.network, topology.scenario.network.client.nanos(), rng)
}

fn jittered(network: &Network, base: Nanos, rng: &mut Pcg64Mcg) -> Nanos {
    if network.jitter <= 0.0 {
        return base;
    }
    base + (base as f64 * network.jitter * rng.sample::<f64, _>(Exp1)) as Nanos
}

/// The minimum delay of any message.
pub fn min_delay(network: &Network) -> Nanos {
    network.same_zone.nanos().min(network.cross_zone.nanos()).min(network.client.nanos())
}

//! What follows from a scenario: which server is where and of which kind, what the fleet can do, what is
//! asked of it, and whom a fault can touch. Whoever plays a scenario takes these figures from here, so that
//! the checks speak of the same fleet.

use super::types::*;

/// Where a server of a tier stands, and of which kind it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    /// Index into [`Scenario::zones`].
    pub zone: usize,
    /// Index into [`Tier::kind`].
    pub kind: usize,
    /// Its cell, numbered from 0 in each tier. A cell lies in one zone.
    pub cell: usize,
}

impl Distribution {
    /// Its mean, in seconds.
    pub fn mean_s(&self) -> f64 {
        match self {
            Distribution::Fixed { mean }
            | Distribution::Exponential { mean }
            | Distribution::Lognormal { mean, .. }
            | Distribution::Gamma { mean, .. }
            | Distribution::Pareto { mean, .. } => mean.seconds(),
            Distribution::Uniform { least, most } => (least.seconds() + most.seconds()) / 2.0,
        }
    }
}

impl Kind {
    /// The middle of its speeds.
    pub fn mean_speed(&self) -> f64 {
        (self.speed[0] + self.speed[1]) / 2.0
    }
}

impl Tier {
    /// Where each server stands: server `i` in zone `i` modulo the zones, the kinds mixed evenly in each zone
    /// and in the whole, cells filled one after another within a zone.
    pub fn layout(&self, zones: usize) -> Vec<Seat> {
        let (servers, zones) = (self.servers as usize, zones.max(1));
        let mut seats = vec![Seat { zone: 0, kind: 0, cell: 0 }; servers];
        let mut kinds = self.kinds_in_turn();
        let mut cells = 0;
        for zone in 0..zones.min(servers) {
            for (place, server) in (zone..servers).step_by(zones).enumerate() {
                let starts_cell = place.checked_rem(self.cell_size as usize).unwrap_or(place) == 0;
                cells += usize::from(starts_cell);
                let Some(kind) = kinds.next() else { return Vec::new() };
                seats[server] = Seat { zone, kind, cell: cells - 1 };
            }
        }
        seats
    }

    /// Kinds by their shares, without end: each time the one that is owed most, of equals the first. No kind
    /// is ever a whole server ahead of its share.
    fn kinds_in_turn(&self) -> impl Iterator<Item = usize> {
        let total: f64 = self.kind.iter().map(|k| k.share).sum();
        let mut owed = vec![0.0; self.kind.len()];
        std::iter::from_fn(move || {
            for (owed, kind) in owed.iter_mut().zip(&self.kind) {
                *owed += kind.share / total;
            }
            let most = (0..owed.len()).reduce(|best, k| if owed[k] > owed[best] { k } else { best })?;
            owed[most] -= 1.0;
            Some(most)
        })
    }
}

impl Fault {
    /// How many it touches of those that it can touch.
    pub fn count(&self, of: usize) -> usize {
        (self.part * of as f64).round() as usize
    }
}

impl Scenario {
    /// The index of a zone.
    pub fn zone_index(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|z| z == name)
    }

    /// The index of a class.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.class.iter().position(|c| c.name == name)
    }

    /// The index of a tenant.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.tenant.iter().position(|t| t.name == name)
    }

    /// The index of a tier.
    pub fn tier_index(&self, name: &str) -> Option<usize> {
        self.tier.iter().position(|t| t.name == name)
    }

    /// The index of a kind of machine within a tier.
    pub fn kind_index(&self, tier: usize, name: &str) -> Option<usize> {
        self.tier.get(tier)?.kind.iter().position(|k| k.name == name)
    }

    /// The index of the tier whose servers a fault touches; none if there is no tier of that name.
    pub fn fault_tier(&self, fault: &Fault) -> Option<usize> {
        fault.tier.as_deref().map_or(Some(0), |name| self.tier_index(name))
    }

    /// The zone of a first-tier proxy. The proxy that a server has for the next tier stands beside it.
    pub fn proxy_zone(&self, proxy: usize) -> usize {
        proxy % self.zones.len().max(1)
    }

    /// Where the servers of a tier stand.
    pub fn layout(&self, tier: usize) -> Vec<Seat> {
        self.tier.get(tier).map_or_else(Vec::new, |t| t.layout(self.zones.len()))
    }

    /// Mean work of a first try, in seconds on one core of speed 1: the factor of each tier's
    /// [`work_share`](Tier::work_share).
    pub fn mean_work(&self) -> f64 {
        let all: f64 = self.class.iter().map(|c| c.share).sum();
        self.class.iter().map(|c| c.share * c.work.mean_s()).sum::<f64>() / all
    }

    /// Calls that reach a tier for each first try, on average.
    pub fn calls_to(&self, tier: usize) -> f64 {
        self.tier.iter().take(tier + 1).skip(1).map(|t| t.calls).product()
    }

    /// How many servers of a tier are of each kind.
    pub fn kind_counts(&self, tier: usize) -> Vec<usize> {
        let mut counts = vec![0; self.tier.get(tier).map_or(0, |t| t.kind.len())];
        self.layout(tier).iter().for_each(|seat| counts[seat.kind] += 1);
        counts
    }

    /// First tries a second that one tier can do with all its servers warm and not crowded, by their mean
    /// speeds.
    pub fn tier_capacity(&self, tier: usize) -> f64 {
        let Some(t) = self.tier.get(tier) else { return 0.0 };
        let of = |(kind, count): (&Kind, usize)| count as f64 * f64::from(kind.cores) * kind.mean_speed();
        let cores: f64 = t.kind.iter().zip(self.kind_counts(tier)).map(of).sum();
        cores / (self.mean_work() * t.work_share * self.calls_to(tier))
    }

    /// First tries a second that the fleet can do: those of the tier that runs out first.
    pub fn capacity(&self) -> f64 {
        (0..self.tier.len()).map(|t| self.tier_capacity(t)).fold(f64::INFINITY, f64::min)
    }

    /// First tries a second, on average over a wave or over bursts.
    pub fn rate(&self) -> f64 {
        match (self.clients.rate, self.clients.load) {
            (Some(rate), _) => rate,
            (None, load) => load.unwrap_or(0.0) * self.capacity(),
        }
    }

    /// Those that a fault can touch, of which it touches [`Fault::count`]: first-tier proxies by their index
    /// for `proxy_restart`, otherwise servers of its tier by their index. Of no meaning for kinds of faults
    /// that single out neither (`zone_loss`, `partition`, discovery's and clients' faults).
    pub fn within_reach(&self, fault: &Fault) -> Vec<usize> {
        let zone = fault.zone.as_deref().map(|name| self.zone_index(name));
        let here = |z: usize| zone.is_none_or(|zone| zone == Some(z));
        let Some(t) = self.fault_tier(fault) else { return Vec::new() };
        if fault.kind == FaultKind::ProxyRestart {
            let proxies = self.tier.first().map_or(0, |t| t.proxies as usize);
            return (0..proxies).filter(|&p| here(self.proxy_zone(p))).collect();
        }
        let machine = fault.machine.as_deref().map(|name| self.kind_index(t, name));
        let reports = |k: usize| self.tier[t].kind[k].report.is_some();
        let touches = |seat: &Seat| {
            here(seat.zone)
                && machine.is_none_or(|kind| kind == Some(seat.kind))
                && (fault.kind != FaultKind::LateReports || reports(seat.kind))
        };
        let seats = self.layout(t).into_iter().enumerate();
        seats.filter(|(_, seat)| touches(seat)).map(|(server, _)| server).collect()
    }
}

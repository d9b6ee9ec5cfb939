//! Least outstanding requests: the endpoint at which fewest of this proxy's own attempts are out.

use super::{Chance, Pick, TRIES, least};
use crate::policy::pool::{Ask, Pool};
use olivecart_decisions::EndpointId;
use rand::Rng;

/// Place of an endpoint that is in no bucket.
const NOWHERE: u32 = u32::MAX;

/// Fewest own attempts out; of equal ones each is as likely as the other.
///
/// Ready endpoints lie in buckets by their count, so that a choice and a change of a count take constant
/// time.
#[derive(Default)]
pub struct LeastOutstanding {
    /// By count; in no order within one.
    buckets: Vec<Vec<EndpointId>>,
    /// By endpoint: its place in its bucket.
    places: Vec<u32>,
    /// No bucket below this one has any.
    lowest: usize,
}

impl LeastOutstanding {
    fn put(&mut self, id: EndpointId, count: u32) {
        let (at, count) = (id.0 as usize, count as usize);
        if self.places.len() <= at {
            self.places.resize(at + 1, NOWHERE);
        }
        if self.buckets.len() <= count {
            self.buckets.resize_with(count + 1, Vec::new);
        }
        self.places[at] = self.buckets[count].len() as u32;
        self.buckets[count].push(id);
        self.lowest = self.lowest.min(count);
    }

    /// Takes an endpoint out of the bucket of `count`; says whether it was in one.
    fn take(&mut self, id: EndpointId, count: u32) -> bool {
        let Some(place) = self.places.get_mut(id.0 as usize) else { return false };
        let place = std::mem::replace(place, NOWHERE);
        let Some(bucket) = self.buckets.get_mut(count as usize).filter(|_| place != NOWHERE) else {
            return false;
        };
        bucket.swap_remove(place as usize);
        if let Some(moved) = bucket.get(place as usize) {
            self.places[moved.0 as usize] = place;
        }
        while self.buckets.get(self.lowest).is_some_and(Vec::is_empty) {
            self.lowest += 1;
        }
        true
    }

    fn recount(&mut self, id: EndpointId, before: u32, after: u32) {
        if self.take(id, before) {
            self.put(id, after);
        }
    }
}

impl Pick for LeastOutstanding {
    fn choose(&mut self, pool: &Pool, ask: &Ask, chance: &mut Chance) -> Option<EndpointId> {
        if pool.confines(ask) {
            return least(pool.candidates(ask), |id| pool.in_flight(id), chance);
        }
        for bucket in self.buckets.iter().skip(self.lowest).filter(|b| !b.is_empty()) {
            for _ in 0..TRIES {
                let id = bucket[chance.random_range(0..bucket.len())];
                if pool.allows(ask, id) {
                    return Some(id);
                }
            }
            let allowed = bucket.iter().copied().filter(|id| pool.allows(ask, *id));
            if let Some(id) = least(allowed, |_| 0, chance) {
                return Some(id);
            }
        }
        None
    }

    fn joined(&mut self, pool: &Pool, id: EndpointId, _name: &str) {
        self.put(id, pool.in_flight(id));
    }

    fn left(&mut self, pool: &Pool, id: EndpointId) {
        self.take(id, pool.in_flight(id));
    }

    fn sent(&mut self, pool: &Pool, id: EndpointId, _ask: &Ask) {
        let count = pool.in_flight(id);
        self.recount(id, count - 1, count);
    }

    fn ended(&mut self, pool: &Pool, id: EndpointId) {
        let count = pool.in_flight(id);
        self.recount(id, count + 1, count);
    }
}

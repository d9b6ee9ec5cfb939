//! Ring hash: a request goes to the endpoint whose point follows the hash of its subject on a ring.
//!
//! Karger, Lehman, Leighton, Panigrahy, Levine, Lewin, "Consistent Hashing and Random Trees" (STOC 1997):
//! each endpoint has several points, and one that comes or goes moves only the keys that are its own. Points
//! come from the names, so that all proxies agree. Counts play no part.

use super::{Chance, Pick, least};
use crate::policy::pool::{Ask, Pool};
use olivecart_decisions::EndpointId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Points of an endpoint on a short list: the parts that endpoints own differ by about 1/sqrt(128) = 9%.
const MOST_POINTS: usize = 128;
/// Points of a ring, 8 bytes each: a long list has fewer for each endpoint, 10,000 of them 8 (parts differ by
/// about a third).
const RING: usize = 1 << 17;
/// Points that are passed over before the list is walked.
const STEPS: usize = 64;

/// The endpoint whose point follows the request's on the ring; where that one is not allowed, the next.
pub struct RingHash {
    points: Vec<(u32, EndpointId)>,
    each: usize,
    /// By endpoint: the hash of its name.
    names: Vec<u64>,
    joined: Vec<EndpointId>,
    left: bool,
}

impl Default for RingHash {
    fn default() -> Self {
        RingHash { points: Vec::new(), each: MOST_POINTS, names: Vec::new(), joined: Vec::new(), left: false }
    }
}

/// How many points each of `n` endpoints has, when it was `each` up to now. More only once they would fill
/// half the ring's room: a list whose length goes up and down a little must not move half of all keys each
/// time.
fn points_each(n: usize, mut each: usize) -> usize {
    while each > 1 && each * n > RING {
        each /= 2;
    }
    while each < MOST_POINTS && each * 2 * n <= RING / 2 {
        each *= 2;
    }
    each
}

impl RingHash {
    fn add(&mut self, id: EndpointId) {
        let name = self.names.get(id.0 as usize).copied().unwrap_or_default().to_le_bytes();
        let point = |n| ((xxh3_64_with_seed(&name, n) >> 32) as u32, id);
        self.points.extend((0..self.each as u64).map(point));
    }
}

impl Pick for RingHash {
    fn choose(&mut self, pool: &Pool, ask: &Ask, chance: &mut Chance) -> Option<EndpointId> {
        if !pool.confines(ask) {
            let start = self.points.partition_point(|(at, _)| *at < (ask.key >> 32) as u32);
            let round = self.points[start..].iter().chain(&self.points[..start]);
            if let Some((_, id)) = round.take(STEPS).find(|(_, id)| pool.allows(ask, *id)) {
                return Some(*id);
            }
        }
        // Highest random weight (Thaler, Ravishankar 1998): the same for a key, as long as the others stay.
        let weight = |id: EndpointId| u64::MAX - xxh3_64_with_seed(&id.0.to_le_bytes(), ask.key);
        least(pool.candidates(ask), weight, chance)
    }

    fn joined(&mut self, _pool: &Pool, id: EndpointId, name: &str) {
        let at = id.0 as usize;
        if self.names.len() <= at {
            self.names.resize(at + 1, 0);
        }
        self.names[at] = xxh3_64(name.as_bytes());
        self.joined.push(id);
    }

    fn left(&mut self, _pool: &Pool, _id: EndpointId) {
        self.left = true;
    }

    /// Once for all changes of a list: each insertion by itself would move half the ring.
    fn listed(&mut self, pool: &Pool) {
        if self.joined.is_empty() && !self.left {
            return;
        }
        let mut joined = std::mem::take(&mut self.joined);
        let each = points_each(pool.ready().len(), self.each);
        if each != self.each {
            self.each = each;
            self.points.clear();
            joined = pool.ready().to_vec();
        } else if std::mem::take(&mut self.left) {
            self.points.retain(|(_, id)| pool.is_ready(*id));
        }
        joined.into_iter().filter(|id| pool.is_ready(*id)).for_each(|id| self.add(id));
        self.points.sort(); // stable: it finds the sorted runs, and merges them
        self.points.dedup(); // an endpoint may have left and joined within one piece of news
        self.left = false;
    }
}

#[cfg(test)]
mod tests {
    use super::points_each;

    #[test]
    fn a_ring_keeps_its_size_and_its_points_while_a_list_goes_up_and_down_a_little() {
        assert_eq!(
            [points_each(1, 128), points_each(1024, 128), points_each(1025, 128), points_each(10_000, 128)],
            [128, 128, 64, 8]
        );
        assert_eq!([points_each(1000, 64), points_each(600, 64), points_each(512, 64)], [64, 64, 128]);
        assert_eq!(points_each(1_000_000, 128), 1, "a longer list has one point for each");
    }
}

//! Ring hash: sends a request to the endpoint whose point follows the hash of the request's key on a ring.
//!
//! Karger, Lehman, Leighton, Panigrahy, Levine, Lewin, "Consistent Hashing and Random Trees" (STOC 1997):
//! each endpoint has several points, and adding or removing an endpoint moves only its own keys. Points are
//! derived from the names of endpoints, so that all proxies agree. Load is ignored.

use super::{EndpointPicker, PolicyRng, lowest_score};
use crate::policy::pool::{EndpointPool, PickRequest};
use olivecart_decisions::EndpointId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The maximum number of points per endpoint: the shares of endpoints then differ by about 1/sqrt(128) = 9%.
const MAX_POINTS_PER_ENDPOINT: usize = 128;
/// The maximum number of points of a ring, 8 bytes each. Endpoints of a long list have fewer points: with
/// 10,000 endpoints each has 8, and their shares differ by about a third.
const MAX_RING_POINTS: usize = 1 << 17;
/// The maximum number of points that are examined before the whole list is examined.
const MAX_STEPS: usize = 64;

/// A point of an endpoint on the ring; points sort by position.
type RingPoint = (u32, EndpointId);

/// Picks the endpoint whose point follows that of the request on the ring, or the next allowed endpoint.
pub struct RingHash {
    points: Vec<RingPoint>,
    points_per_endpoint: usize,
    /// The hash of the name of each endpoint.
    name_hashes: Vec<u64>,
    /// Endpoints added since the ring was last rebuilt.
    added: Vec<EndpointId>,
    /// Whether an endpoint was removed since the ring was last rebuilt.
    has_removals: bool,
}

impl Default for RingHash {
    fn default() -> Self {
        RingHash {
            points: Vec::new(),
            points_per_endpoint: MAX_POINTS_PER_ENDPOINT,
            name_hashes: Vec::new(),
            added: Vec::new(),
            has_removals: false,
        }
    }
}

/// Returns the number of points per endpoint, given the current number. The number is doubled only if the
/// points then fill at most half of the ring; otherwise a list whose length varies slightly would move half
/// of all keys each time.
fn points_per_endpoint(endpoints: usize, current: usize) -> usize {
    let mut points = current;
    while points > 1 && points * endpoints > MAX_RING_POINTS {
        points /= 2;
    }
    while points < MAX_POINTS_PER_ENDPOINT && points * 2 * endpoints <= MAX_RING_POINTS / 2 {
        points *= 2;
    }
    points
}

impl RingHash {
    fn add_points(&mut self, id: EndpointId) {
        let name_hash = self.name_hashes.get(id.0 as usize).copied().unwrap_or_default().to_le_bytes();
        let point = |number| ((xxh3_64_with_seed(&name_hash, number) >> 32) as u32, id);
        self.points.extend((0..self.points_per_endpoint as u64).map(point));
    }
}

impl EndpointPicker for RingHash {
    fn pick(
        &mut self,
        pool: &EndpointPool,
        request: &PickRequest,
        rng: &mut PolicyRng,
    ) -> Option<EndpointId> {
        if !pool.is_confined_to_cell(request) {
            let position = (request.hash >> 32) as u32;
            let start = self.points.partition_point(|(point, _)| *point < position);
            let clockwise = self.points[start..].iter().chain(&self.points[..start]);
            if let Some((_, id)) = clockwise.take(MAX_STEPS).find(|(_, id)| pool.allows(request, *id)) {
                return Some(*id);
            }
        }
        // Highest random weight (Thaler, Ravishankar 1998): stable for a key while the list does not change.
        let inverse_weight = |id: EndpointId| u64::MAX - xxh3_64_with_seed(&id.0.to_le_bytes(), request.hash);
        lowest_score(pool.candidates(request), inverse_weight, rng)
    }

    fn endpoint_added(&mut self, _pool: &EndpointPool, id: EndpointId, name: &str) {
        let index = id.0 as usize;
        if self.name_hashes.len() <= index {
            self.name_hashes.resize(index + 1, 0);
        }
        self.name_hashes[index] = xxh3_64(name.as_bytes());
        self.added.push(id);
    }

    fn endpoint_removed(&mut self, _pool: &EndpointPool, _id: EndpointId) {
        self.has_removals = true;
    }

    /// Rebuilds the ring once for all changes of an update, as each single insertion would move half of the
    /// ring.
    fn update_completed(&mut self, pool: &EndpointPool) {
        if self.added.is_empty() && !self.has_removals {
            return;
        }
        let mut added = std::mem::take(&mut self.added);
        let points = points_per_endpoint(pool.ready().len(), self.points_per_endpoint);
        if points != self.points_per_endpoint {
            self.points_per_endpoint = points;
            self.points.clear();
            added = pool.ready().to_vec();
        } else if self.has_removals {
            self.points.retain(|(_, id)| pool.is_ready(*id));
        }
        for id in added.into_iter().filter(|id| pool.is_ready(*id)) {
            self.add_points(id);
        }
        // The sort is stable: it finds the sorted runs and merges them.
        self.points.sort();
        // An endpoint may have been removed and added again within one update.
        self.points.dedup();
        self.has_removals = false;
    }
}

#[cfg(test)]
mod tests;

//! The algorithms by which textbook policies pick an endpoint. The rest of these policies is the
//! [policy harness](super::policy_harness).
//!
//! Apart from the oracle, no picker uses weights, zones, slow start, load reports or failures of other
//! proxies' attempts: comparisons show the effect of ignoring them.

mod least_outstanding;
mod oracle;
mod power_of_two;
mod random;
mod ring_hash;
mod round_robin;

pub use least_outstanding::LeastOutstanding;
pub use oracle::Oracle;
pub use power_of_two::PowerOfTwo;
pub use random::Random;
pub use ring_hash::RingHash;
pub use round_robin::RoundRobin;

use super::pool::{EndpointPool, PickRequest};
use olivecart_decisions::EndpointId;
use rand::Rng;

/// The random number generator of a policy: it has 16 bytes of state and the same sequence on every platform.
pub type PolicyRng = rand_pcg::Pcg64Mcg;

/// The number of endpoints that are drawn at random before the whole list is examined.
const MAX_PROBES: u32 = 16;

/// Picks one of the ready endpoints.
pub trait EndpointPicker {
    /// Picks the endpoint for a request; returns `None` if no endpoint is allowed.
    fn pick(&mut self, pool: &EndpointPool, request: &PickRequest, rng: &mut PolicyRng)
    -> Option<EndpointId>;

    /// Called when an endpoint has become ready. Its name is the same at all proxies.
    fn endpoint_added(&mut self, _pool: &EndpointPool, _id: EndpointId, _name: &str) {}

    /// Called when an endpoint is no longer ready.
    fn endpoint_removed(&mut self, _pool: &EndpointPool, _id: EndpointId) {}

    /// Called after all changes of one update of the list.
    fn update_completed(&mut self, _pool: &EndpointPool) {}

    /// Called when an attempt was started; the pool already counts it.
    fn attempt_started(&mut self, _pool: &EndpointPool, _id: EndpointId, _request: &PickRequest) {}

    /// Called when an attempt has ended; the pool no longer counts it. The endpoint may have been removed in
    /// the meantime.
    fn attempt_ended(&mut self, _pool: &EndpointPool, _id: EndpointId) {}
}

/// Draws one of the allowed endpoints, all with the same probability.
fn random_allowed(pool: &EndpointPool, request: &PickRequest, rng: &mut PolicyRng) -> Option<EndpointId> {
    let ready = pool.ready();
    if !ready.is_empty() && !pool.is_confined_to_cell(request) {
        for _ in 0..MAX_PROBES {
            let id = ready[rng.random_range(0..ready.len())];
            if pool.allows(request, id) {
                return Some(id);
            }
        }
    }
    lowest_score(pool.candidates(request), |_| 0, rng)
}

/// Returns the endpoint with the lowest score. Ties are broken uniformly at random (reservoir sampling).
fn lowest_score<S: PartialOrd>(
    candidates: impl Iterator<Item = EndpointId>,
    mut score_of: impl FnMut(EndpointId) -> S,
    rng: &mut PolicyRng,
) -> Option<EndpointId> {
    let mut best: Option<(S, EndpointId)> = None;
    let mut ties = 1u32;
    for id in candidates {
        let score = score_of(id);
        match &best {
            Some((lowest, _)) if score > *lowest => {}
            Some((lowest, _)) if score == *lowest => {
                ties += 1;
                if rng.random_range(0..ties) == 0 {
                    best = Some((score, id));
                }
            }
            _ => {
                best = Some((score, id));
                ties = 1;
            }
        }
    }
    best.map(|(_, id)| id)
}

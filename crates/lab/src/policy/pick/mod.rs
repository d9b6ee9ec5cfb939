//! How a textbook policy picks an endpoint; everything else about it is the
//! [policy harness](super::policy_harness).
//!
//! Apart from the oracle, no picker knows of sizes, zones, slow start, load reports or failures of other
//! proxies' attempts: that is what they are here to show.

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

/// The random number generator of a policy: 16 bytes, the same sequence on every machine.
pub type PolicyRng = rand_pcg::Pcg64Mcg;

/// How many endpoints are probed at random before the list is walked.
const MAX_PROBES: u32 = 16;

/// Picks one of the ready endpoints.
pub trait EndpointPicker {
    /// The endpoint that a request is sent to; `None` if there is none for it.
    fn pick(&mut self, pool: &EndpointPool, request: &PickRequest, rng: &mut PolicyRng)
    -> Option<EndpointId>;

    /// An endpoint started taking requests. Its name is the same at all proxies.
    fn endpoint_added(&mut self, _pool: &EndpointPool, _id: EndpointId, _name: &str) {}

    /// An endpoint stopped taking requests.
    fn endpoint_removed(&mut self, _pool: &EndpointPool, _id: EndpointId) {}

    /// All changes of one update of the list have been reported.
    fn update_completed(&mut self, _pool: &EndpointPool) {}

    /// An attempt was started; the pool counts it already.
    fn attempt_started(&mut self, _pool: &EndpointPool, _id: EndpointId, _request: &PickRequest) {}

    /// An attempt ended; the pool no longer counts it. The endpoint may have been removed meanwhile.
    fn attempt_ended(&mut self, _pool: &EndpointPool, _id: EndpointId) {}
}

/// One of the allowed endpoints, all equally likely.
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

/// The endpoint with the lowest score, ties broken evenly at random (reservoir sampling).
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

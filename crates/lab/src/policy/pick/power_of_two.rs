//! Power of two choices: of two endpoints drawn at random, picks that with fewer attempts of this proxy in
//! flight.
//!
//! Azar, Broder, Karlin, Upfal, "Balanced Allocations" (SIAM J. Comput. 1999; STOC 1994): the fullest of n
//! bins then holds about ln ln n balls instead of ln n / ln ln n. Mitzenmacher, "The Power of Two Choices in
//! Randomized Load Balancing" (IEEE TPDS 2001): the same for queues.

use super::{EndpointPicker, MAX_PROBES, PolicyRng, lowest_score, random_allowed};
use crate::policy::pool::{EndpointPool, PickRequest};
use olivecart_decisions::EndpointId;

/// Picks the less loaded of two different endpoints drawn at random, or the first drawn if both are equally
/// loaded.
#[derive(Default)]
pub struct PowerOfTwo;

impl EndpointPicker for PowerOfTwo {
    fn pick(
        &mut self,
        pool: &EndpointPool,
        request: &PickRequest,
        rng: &mut PolicyRng,
    ) -> Option<EndpointId> {
        if pool.is_confined_to_cell(request) {
            // A cell is small enough to compare all of its endpoints.
            return lowest_score(pool.candidates(request), |id| pool.in_flight(id), rng);
        }
        let first = random_allowed(pool, request, rng)?;
        let probes = if pool.ready().len() > 1 { MAX_PROBES } else { 0 };
        let second = (0..probes).find_map(|_| random_allowed(pool, request, rng).filter(|id| *id != first));
        second.filter(|id| pool.in_flight(*id) < pool.in_flight(first)).or(Some(first))
    }
}

//! Power of two choices: of two endpoints drawn at random, the one with fewer own attempts out.
//!
//! Azar, Broder, Karlin, Upfal, "Balanced Allocations" (SIAM J. Comput. 1999; STOC 1994): the fullest of n
//! bins then holds about ln ln n balls instead of ln n / ln ln n. Mitzenmacher, "The Power of Two Choices in
//! Randomized Load Balancing" (IEEE TPDS 2001): the same for queues.

use super::{Chance, Pick, TRIES, any, least};
use crate::policy::pool::{Ask, Pool};
use olivecart_decisions::EndpointId;

/// The less loaded of two different endpoints drawn at random; of equal ones the first drawn.
#[derive(Default)]
pub struct PowerOfTwo;

impl Pick for PowerOfTwo {
    fn choose(&mut self, pool: &Pool, ask: &Ask, chance: &mut Chance) -> Option<EndpointId> {
        if pool.confines(ask) {
            return least(pool.candidates(ask), |id| pool.in_flight(id), chance); // of a handful, all are seen
        }
        let first = any(pool, ask, chance)?;
        let others = if pool.ready().len() > 1 { TRIES } else { 0 };
        let second = (0..others).find_map(|_| any(pool, ask, chance).filter(|id| *id != first));
        second.filter(|id| pool.in_flight(*id) < pool.in_flight(first)).or(Some(first))
    }
}

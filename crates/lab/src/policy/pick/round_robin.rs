//! Round robin: one ready endpoint after another.

use super::{Chance, Pick, TRIES, any};
use crate::policy::pool::{Ask, Pool};
use olivecart_decisions::EndpointId;
use rand::Rng;

/// One ready endpoint after another, beginning anywhere: proxies that start together must not go in step.
#[derive(Default)]
pub struct RoundRobin {
    next: Option<usize>,
}

impl Pick for RoundRobin {
    fn choose(&mut self, pool: &Pool, ask: &Ask, chance: &mut Chance) -> Option<EndpointId> {
        let ready = pool.ready();
        if ready.is_empty() || pool.confines(ask) {
            return any(pool, ask, chance);
        }
        let mut at = self.next.unwrap_or_else(|| chance.random_range(0..ready.len()));
        for _ in 0..TRIES {
            let id = ready[at % ready.len()];
            at = (at + 1) % ready.len();
            self.next = Some(at);
            if pool.allows(ask, id) {
                return Some(id);
            }
        }
        any(pool, ask, chance)
    }
}

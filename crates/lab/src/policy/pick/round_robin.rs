//! Round robin: picks one ready endpoint after another.

use super::{EndpointPicker, MAX_PROBES, PolicyRng, random_allowed};
use crate::policy::pool::{EndpointPool, PickRequest};
use olivecart_decisions::EndpointId;
use rand::Rng;

/// Picks one ready endpoint after another. Starts at a random endpoint, so that proxies that start at the
/// same time do not pick the same endpoints.
#[derive(Default)]
pub struct RoundRobin {
    next: Option<usize>,
}

impl EndpointPicker for RoundRobin {
    fn pick(
        &mut self,
        pool: &EndpointPool,
        request: &PickRequest,
        rng: &mut PolicyRng,
    ) -> Option<EndpointId> {
        let ready = pool.ready();
        if ready.is_empty() || pool.is_confined_to_cell(request) {
            return random_allowed(pool, request, rng);
        }
        let mut index = self.next.unwrap_or_else(|| rng.random_range(0..ready.len()));
        for _ in 0..MAX_PROBES {
            let id = ready[index % ready.len()];
            index = (index + 1) % ready.len();
            self.next = Some(index);
            if pool.allows(request, id) {
                return Some(id);
            }
        }
        random_allowed(pool, request, rng)
    }
}

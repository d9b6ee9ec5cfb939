//! Random: picks each ready endpoint with the same probability.

use super::{EndpointPicker, PolicyRng, random_allowed};
use crate::policy::pool::{EndpointPool, PickRequest};
use olivecart_decisions::EndpointId;

/// Picks each ready endpoint with the same probability, regardless of the attempts in flight.
#[derive(Default)]
pub struct Random;

impl EndpointPicker for Random {
    fn pick(
        &mut self,
        pool: &EndpointPool,
        request: &PickRequest,
        rng: &mut PolicyRng,
    ) -> Option<EndpointId> {
        random_allowed(pool, request, rng)
    }
}

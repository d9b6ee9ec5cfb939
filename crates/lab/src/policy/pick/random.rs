//! Random: each ready endpoint equally likely.

use super::{EndpointPicker, PolicyRng, random_allowed};
use crate::policy::pool::{EndpointPool, PickRequest};
use olivecart_decisions::EndpointId;

/// Each ready endpoint equally likely, whatever is in flight already.
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

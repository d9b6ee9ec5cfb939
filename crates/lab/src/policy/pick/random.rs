//! Random: each ready endpoint equally likely.

use super::{Chance, Pick, any};
use crate::policy::pool::{Ask, Pool};
use olivecart_decisions::EndpointId;

/// Each ready endpoint equally likely, whatever is out there already.
#[derive(Default)]
pub struct Random;

impl Pick for Random {
    fn choose(&mut self, pool: &Pool, ask: &Ask, chance: &mut Chance) -> Option<EndpointId> {
        any(pool, ask, chance)
    }
}

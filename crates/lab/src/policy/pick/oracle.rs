//! The oracle: a bound for what can be reached. It sees the true state of the servers and sends each request
//! where it should be finished first.
//!
//! It knows who serves, how much work waits, and what a cold or slow server can do at present; it does not
//! know what is on its way from other proxies, nor how long a request really takes. It refuses nothing but
//! what no server can take, also where all answers will come too late.

use super::{Chance, Pick, any, least};
use crate::policy::Sight;
use crate::policy::pool::{Ask, Pool};
use olivecart_decisions::{EndpointId, Nanos};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::rc::Rc;

/// Endpoints looked at for a request; of a longer list a sample.
const LOOKS: usize = 64;
/// So long an attempt of its own may be under way (connection and network) before the server is seen to have
/// it. Danger: without counting these, all requests of a moment go to one server.
const UNDER_WAY: Nanos = 2_000_000;

/// The least expected time to the end, among all endpoints or a sample of 64.
pub struct Oracle {
    sight: Rc<dyn Sight>,
    /// Its own attempts that may not be seen yet, oldest first: until when, where, how much work.
    under_way: VecDeque<(Nanos, EndpointId, Nanos)>,
    /// The same summed up by endpoint; only ever looked up.
    unseen: FxHashMap<EndpointId, Nanos>,
}

impl Oracle {
    /// One that looks through `sight`.
    pub fn new(sight: Rc<dyn Sight>) -> Oracle {
        Oracle { sight, under_way: VecDeque::new(), unseen: FxHashMap::default() }
    }

    fn forget_what_is_seen(&mut self, now: Nanos) {
        while let Some((_, id, work)) = self.under_way.front().copied().filter(|(until, ..)| *until <= now) {
            self.under_way.pop_front();
            let left = self.unseen.get(&id).map_or(0, |sum| sum.saturating_sub(work));
            if left == 0 {
                self.unseen.remove(&id)
            } else {
                self.unseen.insert(id, left)
            };
        }
    }

    /// Expected time until a request sent now is finished there; infinite: never.
    fn finish(&self, id: EndpointId, work: Nanos) -> f64 {
        let truth = self.sight.see(id);
        if !truth.serves || truth.capacity <= 0.0 {
            return f64::INFINITY;
        }
        let unseen = self.unseen.get(&id).map_or(0.0, |sum| *sum as f64);
        let speed = if truth.speed > 0.0 { truth.speed } else { truth.capacity };
        truth.wait as f64 + unseen / truth.capacity + work as f64 / speed
    }

    fn best(
        &self,
        among: impl Iterator<Item = EndpointId>,
        ask: &Ask,
        chance: &mut Chance,
    ) -> Option<EndpointId> {
        let best = least(among, |id| self.finish(id, ask.work), chance)?;
        self.finish(best, ask.work).is_finite().then_some(best)
    }
}

impl Pick for Oracle {
    fn choose(&mut self, pool: &Pool, ask: &Ask, chance: &mut Chance) -> Option<EndpointId> {
        self.forget_what_is_seen(ask.now);
        if pool.ready().len() > LOOKS && !pool.confines(ask) {
            let sample: Vec<_> = (0..LOOKS).filter_map(|_| any(pool, ask, chance)).collect();
            if let Some(id) = self.best(sample.into_iter(), ask, chance) {
                return Some(id);
            }
        }
        self.best(pool.candidates(ask), ask, chance)
    }

    fn sent(&mut self, _pool: &Pool, id: EndpointId, ask: &Ask) {
        let work = ask.work.max(1);
        self.under_way.push_back((ask.now + UNDER_WAY + self.sight.age(), id, work));
        *self.unseen.entry(id).or_default() += work;
    }
}

//! How a textbook policy chooses a server; all the rest of one is the [chassis](super::chassis).
//!
//! None of them knows of sizes, zones, warm-up, load reports or failures but for its own attempts: that is
//! what they are here to show.

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

use super::pool::{Ask, Pool};
use olivecart_decisions::EndpointId;
use rand::Rng;

/// The generator of a policy's chance: 16 bytes, the same sequence on every machine.
pub type Chance = rand_pcg::Pcg64Mcg;

/// Endpoints that are tried at random before the list is walked.
const TRIES: u32 = 16;

/// A choice among the ready endpoints.
pub trait Pick {
    /// The endpoint a request goes to; none: there is none for it.
    fn choose(&mut self, pool: &Pool, ask: &Ask, chance: &mut Chance) -> Option<EndpointId>;

    /// An endpoint now takes requests. Its name is the same at all proxies.
    fn joined(&mut self, _pool: &Pool, _id: EndpointId, _name: &str) {}

    /// An endpoint no longer takes requests.
    fn left(&mut self, _pool: &Pool, _id: EndpointId) {}

    /// All that one piece of news said has been told.
    fn listed(&mut self, _pool: &Pool) {}

    /// An attempt went out; the pool counts it already.
    fn sent(&mut self, _pool: &Pool, _id: EndpointId, _ask: &Ask) {}

    /// An attempt ended; the pool counts it no more. The endpoint may have left meanwhile.
    fn ended(&mut self, _pool: &Pool, _id: EndpointId) {}
}

/// One of those that may be chosen, all equally likely.
fn any(pool: &Pool, ask: &Ask, chance: &mut Chance) -> Option<EndpointId> {
    let ready = pool.ready();
    if !ready.is_empty() && !pool.confines(ask) {
        for _ in 0..TRIES {
            let id = ready[chance.random_range(0..ready.len())];
            if pool.allows(ask, id) {
                return Some(id);
            }
        }
    }
    least(pool.candidates(ask), |_| 0, chance)
}

/// The one of least `score`, all such equally likely (reservoir sampling).
fn least<S: PartialOrd>(
    among: impl Iterator<Item = EndpointId>,
    mut score: impl FnMut(EndpointId) -> S,
    chance: &mut Chance,
) -> Option<EndpointId> {
    let mut best: Option<(S, EndpointId)> = None;
    let mut ties = 1u32;
    for id in among {
        let score = score(id);
        match &best {
            Some((least, _)) if score > *least => {}
            Some((least, _)) if score == *least => {
                ties += 1;
                if chance.random_range(0..ties) == 0 {
                    best = Some((score, id));
                }
            }
            _ => (best, ties) = (Some((score, id)), 1),
        }
    }
    best.map(|(_, id)| id)
}

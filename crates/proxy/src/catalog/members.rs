//! The endpoints of one cluster in numbers, as the decisions know them: what a change of the catalog's comes to.
//! Without I/O.

use olivecart_decisions::EndpointState;
use olivecart_membership::{Arrival, Endpoint, EndpointName, Upserted};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Numbers that nobody has any more are not used again; when they are this many times those in use, and this
/// many more, the cluster begins anew.
const SPENT_SHARE: usize = 3;
const SPENT_LEAST: usize = 4096;

/// An endpoint as it is from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct Numbered {
    /// The decisions' number for it.
    pub number: u32,
    /// Whether requests go to it.
    pub state: EndpointState,
    /// What it is, or was.
    pub endpoint: Arc<Endpoint>,
}

/// What a change comes to.
#[derive(Debug, Default, PartialEq)]
pub struct Turn {
    /// Those that take nothing new: to be told first, since an address may pass from one to another.
    pub stops: Vec<Numbered>,
    /// Those that take requests.
    pub takes: Vec<Numbered>,
}

/// The endpoints of one cluster.
#[derive(Debug, Default)]
pub struct Members {
    numbers: FxHashMap<EndpointName, u32>,
    /// By number; none for one that left.
    listed: Vec<Option<Arc<Endpoint>>>,
    live: usize,
    /// How many could take requests, by priority.
    able: BTreeMap<u32, usize>,
}

impl Members {
    /// Takes in a change.
    pub fn change(&mut self, removed: &[EndpointName], upserted: Vec<Upserted>) -> Turn {
        let before = self.serving();
        let mut touched = Vec::with_capacity(removed.len() + upserted.len());
        let mut turn = Turn::default();
        for name in removed {
            let Some(&number) = self.numbers.get(name) else { continue };
            if let Some(endpoint) = self.listed.get_mut(number as usize).and_then(Option::take) {
                self.uncount(&endpoint);
                self.live -= 1;
                turn.stops.push(Numbered { number, state: EndpointState::Removed, endpoint });
            }
        }
        for Upserted { endpoint, arrival } in upserted {
            let (number, replaced) = self.number(&endpoint.name, arrival);
            turn.stops.extend(replaced);
            self.count(&endpoint);
            if let Some(old) = self.listed[number as usize].replace(endpoint) {
                self.uncount(&old);
            }
            touched.push(number);
        }
        let after = self.serving();
        if before != after {
            // The tier that serves is another: all of both are told anew.
            let tiers: BTreeSet<u32> = before.into_iter().chain(after).collect();
            let told: BTreeSet<u32> = touched.iter().copied().collect();
            let of_tiers = |number: &u32| {
                !told.contains(number)
                    && self.get(*number).is_some_and(|e| tiers.contains(&e.priority) && e.takes_requests())
            };
            touched.extend((0..self.listed.len() as u32).filter(of_tiers));
        }
        for number in touched {
            let Some(endpoint) = self.get(number).cloned() else { continue };
            match endpoint.takes_requests() && Some(endpoint.priority) == after {
                true => turn.takes.push(Numbered { number, state: EndpointState::Ready, endpoint }),
                false => turn.stops.push(Numbered { number, state: EndpointState::Draining, endpoint }),
            }
        }
        turn
    }

    /// Whether so many numbers are spent that the cluster shall begin anew.
    pub fn is_spent(&self) -> bool {
        self.listed.len() > self.live * (1 + SPENT_SHARE) + SPENT_LEAST
    }

    /// Begins anew: the same endpoints with new numbers, from 0.
    pub fn renew(&mut self) -> Turn {
        let old = std::mem::take(self);
        let upserted = old.listed.into_iter().flatten();
        self.change(&[], upserted.map(|endpoint| Upserted { endpoint, arrival: Arrival::New }).collect())
    }

    /// The priority that serves: the first with an endpoint that could take requests.
    fn serving(&self) -> Option<u32> {
        self.able.keys().next().copied()
    }

    fn get(&self, number: u32) -> Option<&Arc<Endpoint>> {
        self.listed.get(number as usize)?.as_ref()
    }

    /// The number of an endpoint. One that is new gets another than an earlier one of its id had, whose
    /// history is not its own; that one, if it is listed still, stops.
    fn number(&mut self, name: &EndpointName, arrival: Arrival) -> (u32, Option<Numbered>) {
        let known = self.numbers.get(name).copied();
        if let Some(number) = known.filter(|_| arrival != Arrival::New) {
            self.live += usize::from(self.listed[number as usize].is_none());
            return (number, None);
        }
        let replaced = known.and_then(|number| {
            let endpoint = self.listed.get_mut(number as usize)?.take()?;
            self.uncount(&endpoint);
            self.live -= 1;
            Some(Numbered { number, state: EndpointState::Removed, endpoint })
        });
        let number = self.listed.len() as u32;
        self.listed.push(None);
        self.live += 1;
        self.numbers.insert(name.clone(), number);
        (number, replaced)
    }

    fn count(&mut self, endpoint: &Endpoint) {
        if endpoint.takes_requests() {
            *self.able.entry(endpoint.priority).or_default() += 1;
        }
    }

    fn uncount(&mut self, endpoint: &Endpoint) {
        let Some(able) = self.able.get_mut(&endpoint.priority).filter(|_| endpoint.takes_requests()) else {
            return;
        };
        *able -= 1;
        if *able == 0 {
            self.able.remove(&endpoint.priority);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn endpoint(text: &str) -> Upserted {
        // name, priority, weight; a name with `!` has left for long, one with `?` drains
        let [name, priority, weight] = text.split(' ').collect::<Vec<_>>()[..] else { panic!("{text}") };
        let is = |mark| name.contains(mark);
        let arrival = if is('!') { Arrival::New } else { Arrival::Changed };
        let mut endpoint = Endpoint::ready(name.trim_matches(['!', '?']), ([127, 0, 0, 1], 1).into());
        endpoint.priority = priority.parse().expect("a number");
        endpoint.weight = weight.parse().expect("a number");
        if is('?') {
            endpoint.state = olivecart_membership::State::Draining;
        }
        Upserted { endpoint: Arc::new(endpoint), arrival }
    }

    fn told(turn: &Turn) -> String {
        let told = |n: &Numbered| {
            let letter = match n.state {
                EndpointState::Ready => 'R',
                EndpointState::Draining => 'D',
                EndpointState::Removed => 'G',
            };
            format!("{letter}{}{}", n.number, n.endpoint.name)
        };
        let stops = turn.stops.iter().map(told).collect::<Vec<_>>().join(" ");
        format!("{stops} | {}", turn.takes.iter().map(told).collect::<Vec<_>>().join(" "))
    }

    #[test]
    fn what_stops_comes_first_and_only_the_first_priority_that_can_serve_serves() {
        let mut members = Members::default();
        for (removed, upserted, expected) in [
            ("", "a! 0 1;b! 0 1;c! 1 1", "D2c | R0a R1b"),
            ("a", "b? 0 1", "G0a D1b | R2c"), // nobody of 0 is left, and c is told of though it did not change
            ("", "b 0 0", "D1b | "),          // of weight 0: it gets nothing
            ("", "b 0 2", "D2c | R1b"),
            ("", "a 0 1", " | R0a"),  // it returns with the number it had
            ("a", "", "G0a | "),      // and leaves for long:
            ("", "a! 0 1", " | R3a"), // whoever comes under its name is another
            ("", "a! 0 1", "G3a | R4a"),
            ("nobody", "", " | "),
            ("a b c", "", "G4a G1b G2c | "),
        ] {
            let removed: Vec<EndpointName> = removed.split_whitespace().map(EndpointName::from).collect();
            let upserted = upserted.split_terminator(';').map(endpoint).collect();
            assert_eq!(told(&members.change(&removed, upserted)), expected, "after {removed:?}");
        }
        assert_eq!((members.live, members.able.len()), (0, 0));
    }

    #[test]
    fn numbers_that_are_spent_are_not_kept_for_good() {
        let mut members = Members::default();
        members.change(&[], vec![endpoint("stays! 0 1")]);
        let mut rounds = 0;
        while !members.is_spent() {
            let name = format!("n{rounds}");
            members.change(&[], vec![endpoint(&format!("{name}! 0 1"))]);
            members.change(&[name.as_str().into()], Vec::new());
            rounds += 1;
            assert!(rounds <= SPENT_LEAST + 10, "never spent");
        }
        assert_eq!(told(&members.renew()), " | R0stays");
        assert!(!members.is_spent() && members.numbers.len() == 1);
    }
}

//! Who did what already: the key tables of a tier's servers, seen together, so that an effect which took
//! place twice is found wherever that was.
//!
//! An execution counts when it has run to its end, whether or not anybody gets the answer.

use crate::scenario::{Class, Effect, Group};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};

/// What an execution amounts to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It is done.
    Done,
    /// It is known in its group, and has no effect.
    Dropped,
    /// It is done, and was done before.
    DoneTwice,
}

struct Rule {
    effect: Effect,
    group: Group,
    window: u64,
    /// For so long a key can come again at all.
    remembered: u64,
}

/// The tables of a tier.
pub struct Effects {
    rules: Vec<Rule>,
    /// For each key where it was done, and when last.
    done: FxHashMap<(usize, String), Vec<(u64, u64)>>,
    order: VecDeque<(u64, (usize, String))>,
    by_cell: BTreeMap<u64, u64>,
    twice: u64,
}

impl Effects {
    /// Empty tables for these classes.
    pub fn new(classes: &[Class]) -> Effects {
        let rule = |class: &Class| {
            let window = class.window.map_or(0, |w| w.nanos());
            let remembered = 2 * (window + class.deadline.nanos());
            Rule { effect: class.effect, group: class.group, window, remembered }
        };
        let (done, order) = (FxHashMap::default(), VecDeque::new());
        Effects { rules: classes.iter().map(rule).collect(), done, order, by_cell: BTreeMap::new(), twice: 0 }
    }

    /// A request of a class with this key has run to its end in a cell of a zone.
    pub fn ran(&mut self, now: u64, class: usize, key: Option<&str>, zone: u64, cell: u64) -> Execution {
        self.forget(now);
        let (Some(rule), Some(key)) = (self.rules.get(class), key) else { return Execution::Done };
        let group = match (rule.effect, rule.group) {
            (Effect::Repeatable, _) => return Execution::Done,
            (Effect::Once, _) => None,
            (Effect::ByKey, Group::All) => Some(0),
            (Effect::ByKey, Group::Zone) => Some(zone),
            (Effect::ByKey, Group::Cell) => Some(cell),
        };
        let (window, until) = (rule.window, now + rule.remembered);
        let name = (class, key.to_owned());
        let done = self.done.entry(name.clone()).or_default();
        if done.iter().any(|(g, at)| Some(*g) == group && now - at <= window) {
            return Execution::Dropped;
        }
        done.push((group.unwrap_or(0), now));
        *self.by_cell.entry(cell).or_default() += 1;
        let times = done.len();
        self.order.push_back((until, name));
        match times {
            1 => Execution::Done,
            _ => {
                self.twice += u64::from(times == 2);
                Execution::DoneTwice
            }
        }
    }

    /// Keys whose effect took place more than once.
    pub fn twice(&self) -> u64 {
        self.twice
    }

    /// Effects by cell.
    pub fn by_cell(&self) -> &BTreeMap<u64, u64> {
        &self.by_cell
    }

    /// Lets go of keys that cannot come again, so that a long run does not grow without bound. Classes
    /// remember for different times; one that is behind a longer one waits for it.
    fn forget(&mut self, now: u64) {
        while self.order.front().is_some_and(|(until, _)| *until < now) {
            let Some((_, name)) = self.order.pop_front() else { return };
            if let Some(done) = self.done.get_mut(&name) {
                done.remove(0);
                if done.is_empty() {
                    self.done.remove(&name);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000_000;

    fn class(effect: &str, group: &str) -> Class {
        let text = format!(
            r#"{{"name":"x","aim":"1s","deadline":"2s","effect":"{effect}","group":"{group}","window":"5s",
            "work":{{"dist":"fixed","mean":"1ms"}}}}"#
        );
        serde_json::from_str(&text).unwrap()
    }

    #[test]
    fn a_repeat_is_dropped_in_its_group_and_its_window_and_seen_outside() {
        use Execution::*;
        // (effect, group), then (time, zone, cell) of the second execution, and what it is.
        for (effect, group, second, is) in [
            ("repeatable", "all", (0, 0, 0), Done),
            ("by_key", "all", (4 * S, 1, 9), Dropped),
            ("by_key", "zone", (S, 0, 9), Dropped),
            ("by_key", "zone", (S, 1, 9), DoneTwice),
            ("by_key", "cell", (S, 0, 3), Dropped),
            ("by_key", "cell", (S, 0, 4), DoneTwice),
            ("by_key", "cell", (6 * S, 0, 3), DoneTwice),
            ("once", "all", (S, 0, 3), DoneTwice),
        ] {
            let mut effects = Effects::new(&[class(effect, group)]);
            assert_eq!(effects.ran(0, 0, Some("k"), 0, 3), Done);
            let (now, zone, cell) = second;
            assert_eq!(effects.ran(now, 0, Some("k"), zone, cell), is, "{effect} {group} {second:?}");
            assert_eq!(effects.ran(now, 0, Some("other"), zone, cell), Done);
            assert_eq!(effects.twice(), u64::from(is == DoneTwice));
        }
    }

    #[test]
    fn a_key_counts_once_however_often_it_was_done_and_is_forgotten_in_the_end() {
        let mut effects = Effects::new(&[class("once", "all")]);
        for now in 0..3 {
            effects.ran(now, 0, Some("k"), 0, now);
        }
        assert_eq!(effects.twice(), 1);
        assert_eq!(effects.by_cell().values().sum::<u64>(), 3);
        assert_eq!(effects.ran(100 * S, 0, Some("k"), 0, 0), Execution::Done);
        assert_eq!((effects.done.len(), effects.order.len()), (1, 1));
    }
}

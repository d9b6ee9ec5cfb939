//! The deduplication tables of a tier's servers in one place, so that an effect that took place twice is
//! detected even on different servers.
//!
//! An execution counts when it is complete, whether or not the response reaches the sender.

use crate::scenario::{Class, Effect, Group};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};

/// The result of an execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The effect took place for the first time.
    Done,
    /// The key is known in its deduplication scope; the execution has no effect.
    Dropped,
    /// The effect took place again.
    DoneTwice,
}

struct Rule {
    effect: Effect,
    group: Group,
    window: u64,
    /// How long a repeat of a key can still arrive.
    retention: u64,
}

/// The deduplication tables of a tier.
pub struct Effects {
    rules: Vec<Rule>,
    /// By class and key: the scopes in which the effect took place, with the time.
    done: FxHashMap<(usize, String), Vec<(u64, u64)>>,
    order: VecDeque<(u64, (usize, String))>,
    by_cell: BTreeMap<u64, u64>,
    repeated_keys: u64,
}

impl Effects {
    /// Creates empty tables for these classes.
    pub fn new(classes: &[Class]) -> Effects {
        let rule = |class: &Class| {
            let window = class.window.map_or(0, |w| w.nanos());
            let retention = 2 * (window + class.deadline.nanos());
            Rule { effect: class.effect, group: class.group, window, retention }
        };
        let (done, order) = (FxHashMap::default(), VecDeque::new());
        Effects {
            rules: classes.iter().map(rule).collect(),
            done,
            order,
            by_cell: BTreeMap::new(),
            repeated_keys: 0,
        }
    }

    /// Records a complete execution of a request in a cell of a zone.
    pub fn record(&mut self, now: u64, class: usize, key: Option<&str>, zone: u64, cell: u64) -> Execution {
        self.remove_expired(now);
        let (Some(rule), Some(key)) = (self.rules.get(class), key) else { return Execution::Done };
        let group = match (rule.effect, rule.group) {
            (Effect::Repeatable, _) => return Execution::Done,
            (Effect::Once, _) => None,
            (Effect::ByKey, Group::All) => Some(0),
            (Effect::ByKey, Group::Zone) => Some(zone),
            (Effect::ByKey, Group::Cell) => Some(cell),
        };
        let (window, until) = (rule.window, now + rule.retention);
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
                self.repeated_keys += u64::from(times == 2);
                Execution::DoneTwice
            }
        }
    }

    /// Returns the number of keys whose effect took place more than once.
    pub fn repeated_keys(&self) -> u64 {
        self.repeated_keys
    }

    /// Returns the number of effects by cell.
    pub fn by_cell(&self) -> &BTreeMap<u64, u64> {
        &self.by_cell
    }

    /// Removes keys that cannot repeat any more, so that memory stays bounded in a long run. Retention
    /// differs between classes; a key queued behind one with a longer retention is removed after that one.
    fn remove_expired(&mut self, now: u64) {
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
    fn repeat_is_dropped_within_scope_and_window_and_detected_outside() {
        use Execution::*;
        // (effect, scope), then (time, zone, cell) of the second execution, and its result.
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
            assert_eq!(effects.record(0, 0, Some("k"), 0, 3), Done);
            let (now, zone, cell) = second;
            assert_eq!(effects.record(now, 0, Some("k"), zone, cell), is, "{effect} {group} {second:?}");
            assert_eq!(effects.record(now, 0, Some("other"), zone, cell), Done);
            assert_eq!(effects.repeated_keys(), u64::from(is == DoneTwice));
        }
    }

    #[test]
    fn repeated_key_counts_once_and_is_removed_after_its_retention() {
        let mut effects = Effects::new(&[class("once", "all")]);
        for now in 0..3 {
            effects.record(now, 0, Some("k"), 0, now);
        }
        assert_eq!(effects.repeated_keys(), 1);
        assert_eq!(effects.by_cell().values().sum::<u64>(), 3);
        assert_eq!(effects.record(100 * S, 0, Some("k"), 0, 0), Execution::Done);
        assert_eq!((effects.done.len(), effects.order.len()), (1, 1));
    }
}

//! The rules between two applications of which one calls the other, or which share a machine. No I/O: `check`
//! applies them to one configuration, and `plan` to the intermediate states of a rollout.

use super::listener::{all_listeners, collide};
use crate::document::{Key, Span, top};
use crate::origin::Origin;
use crate::resolve::Resolved;
use crate::types::ProxyClass;

/// Two contradictory values of two applications.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// The code of the rule.
    pub code: &'static str,
    /// A description with the names and values.
    pub message: String,
    /// The wrong value.
    pub value: ValueOf,
    /// The value that it contradicts.
    pub other: ValueOf,
    /// A short description of the other value.
    pub other_label: String,
}

/// A value of one of two applications.
#[derive(Clone, Debug, PartialEq)]
pub struct ValueOf {
    /// The application that has the value.
    pub side: Side,
    /// The key in that application's proxy file.
    pub key: Key,
}

/// One of the two applications of a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The caller, or the first application on a machine.
    Caller,
    /// The callee, or the second application on a machine.
    Callee,
}

fn caller_value(key: Key) -> ValueOf {
    ValueOf { side: Side::Caller, key }
}

fn callee_value(key: Key) -> ValueOf {
    ValueOf { side: Side::Callee, key }
}

/// A call from one application to another.
#[derive(Clone, Copy)]
struct CallPair<'a> {
    caller: &'a Resolved,
    callee: &'a Resolved,
    /// The index of the call among the caller's.
    call: usize,
}

/// A class that both the caller and the callee serve.
struct SharedClass<'a> {
    of_caller: &'a ProxyClass,
    of_callee: &'a ProxyClass,
    caller_index: usize,
    callee_index: usize,
}

impl SharedClass<'_> {
    fn caller_key(&self, name: &str) -> Key {
        top("classes").at(self.caller_index).name(name)
    }

    fn callee_deadline(&self) -> ValueOf {
        callee_value(top("classes").at(self.callee_index).name("deadline"))
    }
}

/// Returns the conflicts between a caller and a callee; `call` is the index of the call among the caller's.
pub fn between(caller: &Resolved, callee: &Resolved, call: usize) -> Vec<Conflict> {
    let pair = CallPair { caller, callee, call };
    let mut conflicts: Vec<Conflict> = Vec::new();
    conflicts.extend(pair.callee_without_listener());
    conflicts.extend(pair.callee_not_in_later_tier());
    for caller_index in 0..caller.proxy.classes.len() {
        conflicts.extend(pair.class_conflict(caller_index));
    }
    conflicts
}

impl CallPair<'_> {
    fn call_key(&self) -> Key {
        top("outbound").at(self.call).name("application")
    }

    /// OC0604: the callee has no inbound listener.
    fn callee_without_listener(&self) -> Option<Conflict> {
        let (caller, callee) = (&self.caller.proxy, &self.callee.proxy);
        if callee.inbound.is_some() {
            return None;
        }
        Some(Conflict {
            code: "OC0604",
            message: format!("{:?} calls {:?}, which has no inbound listener", caller.name, callee.name),
            value: caller_value(self.call_key()),
            other: callee_value(top("name")),
            other_label: "an application without [inbound]".to_owned(),
        })
    }

    /// OC0602: the callee is not in a later tier than the caller.
    fn callee_not_in_later_tier(&self) -> Option<Conflict> {
        let (caller, callee) = (&self.caller.proxy, &self.callee.proxy);
        if callee.tier > caller.tier || caller.name == callee.name {
            return None;
        }
        Some(Conflict {
            code: "OC0602",
            message: format!("{:?} calls {:?}, which is not in a later tier", caller.name, callee.name),
            value: caller_value(self.call_key()),
            other: callee_value(top("tier")),
            other_label: "the tier of the called application".to_owned(),
        })
    }

    /// Returns the first conflict about one of the caller's classes.
    fn class_conflict(&self, caller_index: usize) -> Option<Conflict> {
        let of_caller = &self.caller.proxy.classes[caller_index];
        let callee_classes = &self.callee.proxy.classes;
        let Some(callee_index) = callee_classes.iter().position(|other| other.name == of_caller.name) else {
            return Some(self.class_unknown_to_callee(of_caller));
        };
        let of_callee = &callee_classes[callee_index];
        let class = SharedClass { of_caller, of_callee, caller_index, callee_index };
        self.deadline_beyond_callers(&class).or_else(|| self.deadline_beyond_remaining(&class))
    }

    /// OC0801: the callee does not serve a class of the caller.
    fn class_unknown_to_callee(&self, class: &ProxyClass) -> Conflict {
        Conflict {
            code: "OC0801",
            message: format!(
                "{:?} does not serve class {:?}, with which {:?} calls it",
                self.callee.proxy.name, class.name, self.caller.proxy.name
            ),
            value: callee_value(top("serves")),
            other: caller_value(self.call_key()),
            other_label: "the call".to_owned(),
        }
    }

    /// OC0202: a deadline is longer than the caller's deadline.
    fn deadline_beyond_callers(&self, class: &SharedClass) -> Option<Conflict> {
        if class.of_callee.deadline <= class.of_caller.deadline {
            return None;
        }
        let caller = &self.caller.proxy.name;
        Some(Conflict {
            code: "OC0202",
            message: format!(
                "class {:?}: {:?} has a deadline of {}, its caller {caller:?} one of {}",
                class.of_caller.name,
                self.callee.proxy.name,
                class.of_callee.deadline,
                class.of_caller.deadline
            ),
            value: class.callee_deadline(),
            other: caller_value(class.caller_key("deadline")),
            other_label: format!("the deadline of {caller:?}"),
        })
    }

    /// OC0203: a deadline is longer than the time that the caller has left for its last attempt.
    fn deadline_beyond_remaining(&self, class: &SharedClass) -> Option<Conflict> {
        let of_caller = class.of_caller;
        let attempt_key = class.caller_key("attempt");
        // The duration of an attempt is known only if a file sets it.
        if matches!(self.caller.origins.get(&attempt_key), None | Some(Origin::BuiltIn)) {
            return None;
        }
        let earlier_attempts = self.caller.proxy.outbound[self.call].attempts.saturating_sub(1);
        let spent = of_caller.attempt.nanos().saturating_mul(u64::from(earlier_attempts));
        let remaining = Span::from_nanos(of_caller.deadline.nanos().saturating_sub(spent));
        if of_caller.attempt > of_caller.deadline || class.of_callee.deadline <= remaining {
            return None;
        }
        let caller = &self.caller.proxy.name;
        Some(Conflict {
            code: "OC0203",
            message: format!(
                "class {:?}: {:?} has a deadline of {}, but after {earlier_attempts} attempts of {} its \
                    caller {caller:?} has only {remaining} left",
                of_caller.name, self.callee.proxy.name, class.of_callee.deadline, of_caller.attempt,
            ),
            value: class.callee_deadline(),
            other: caller_value(attempt_key),
            other_label: format!("the duration of an attempt of {caller:?}"),
        })
    }
}

/// OC0302: two applications on one machine listen at the same address.
pub fn on_one_machine(first: &Resolved, second: &Resolved) -> Vec<Conflict> {
    if first.machine != second.machine {
        return Vec::new();
    }
    let (first_name, second_name) = (&first.proxy.name, &second.proxy.name);
    let second_listeners = all_listeners(second);
    let mut conflicts = Vec::new();
    for listener in all_listeners(first) {
        for other in second_listeners.iter().filter(|other| collide(listener.address, other.address)) {
            conflicts.push(Conflict {
                code: "OC0302",
                message: format!(
                    "{} of {second_name:?} and {} of {first_name:?} are both at {} on machine {:?}",
                    other.description, listener.description, other.address, first.machine
                ),
                value: callee_value(other.key.clone()),
                other: caller_value(listener.key.clone()),
                other_label: format!("{} of {first_name:?}", listener.description),
            });
        }
    }
    conflicts
}

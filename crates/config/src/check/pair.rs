//! What two applications must agree on, one calling the other, or both on one machine. Pure: it is asked for
//! configurations that are in force, and for those in between two.

use super::addresses::{collide, listeners};
use crate::document::{Key, Span, top};
use crate::origin::Origin;
use crate::resolve::Resolved;

/// Something that two do not agree on.
#[derive(Clone, Debug, PartialEq)]
pub struct Clash {
    /// The code.
    pub id: &'static str,
    /// In words.
    pub what: String,
    /// Whose value is at fault first.
    pub first: (Side, Key),
    /// The value that it contradicts, and what that is.
    pub other: (Side, Key, String),
}

/// Which of the two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Who calls; of two on one machine, the one that comes first.
    Caller,
    /// Who is called; the other.
    Callee,
}

/// What a caller and one that it calls do not agree on. `call` is which of its calls it is.
pub fn between(caller: &Resolved, callee: &Resolved, call: usize) -> Vec<Clash> {
    let (from, to) = (&caller.proxy, &callee.proxy);
    let key = |name: &str| top("outbound").at(call).name(name);
    let mut all = Vec::new();
    let mut add = |id, what, first, other| all.push(Clash { id, what, first, other });
    if to.inbound.is_none() {
        let what = format!("{:?} calls {:?}, which has no inbound listener", from.name, to.name);
        let other = (Side::Callee, top("name"), "no [inbound] here".to_owned());
        add("OC0604", what, (Side::Caller, key("application")), other);
    }
    if to.tier <= from.tier && from.name != to.name {
        let what = format!("{:?} calls {:?}, which is not of a tier after its own", from.name, to.name);
        let other = (Side::Callee, top("tier"), "its tier".to_owned());
        add("OC0602", what, (Side::Caller, key("application")), other);
    }
    for (i, class) in from.classes.iter().enumerate() {
        let own = |name: &str| top("classes").at(i).name(name);
        let Some(below) = to.classes.iter().position(|other| other.name == class.name) else {
            let what = format!(
                "{:?} does not know class {:?}, which {:?} calls it with",
                to.name, class.name, from.name
            );
            let other = (Side::Caller, key("application"), "the call".to_owned());
            add("OC0801", what, (Side::Callee, top("serves")), other);
            continue;
        };
        let other = &to.classes[below];
        let deadline = (Side::Callee, top("classes").at(below).name("deadline"));
        if other.deadline > class.deadline {
            let what = format!(
                "class {:?}: {:?} has {} and its caller {:?} has {}",
                class.name, to.name, other.deadline, from.name, class.deadline
            );
            let beside = (Side::Caller, own("deadline"), format!("the deadline of {:?}", from.name));
            add("OC0202", what, deadline, beside);
            continue;
        }
        // What an attempt takes is known only where somebody has said it.
        let is_said = !matches!(caller.origins.get(&own("attempt")), None | Some(Origin::BuiltIn));
        let attempts = from.outbound[call].attempts;
        let spent = class.attempt.nanos().saturating_mul(u64::from(attempts.saturating_sub(1)));
        let left = Span::from_nanos(class.deadline.nanos().saturating_sub(spent));
        if is_said && class.attempt <= class.deadline && other.deadline > left {
            let what = format!(
                "class {:?}: {:?} has {}, and after {} attempts of {} its caller {:?} has {left} left",
                class.name,
                to.name,
                other.deadline,
                attempts - 1,
                class.attempt,
                from.name
            );
            let beside = (Side::Caller, own("attempt"), format!("an attempt of {:?}", from.name));
            add("OC0203", what, deadline, beside);
        }
    }
    all
}

/// Addresses that two of one machine would both listen at.
pub fn on_one_machine(first: &Resolved, second: &Resolved) -> Vec<Clash> {
    if first.machine != second.machine {
        return Vec::new();
    }
    let (ones, others) = (listeners(first, true), listeners(second, true));
    let mut all = Vec::new();
    for one in &ones {
        for other in others.iter().filter(|other| collide(one.address, other.address)) {
            let (name, others) = (&first.proxy.name, &second.proxy.name);
            let what = format!(
                "{} of {others:?} and {} of {name:?} are both at {} on machine {:?}",
                other.what, one.what, other.address, first.machine
            );
            let beside = (Side::Caller, one.key.clone(), format!("{} of {name:?}", one.what));
            all.push(Clash { id: "OC0302", what, first: (Side::Callee, other.key.clone()), other: beside });
        }
    }
    all
}

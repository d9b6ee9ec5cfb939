//! Policies by name.

use super::broken::{Broken, Bug};
use super::chassis::Textbook;
use super::pick::{LeastOutstanding, Oracle, Pick, PowerOfTwo, Random, RingHash, RoundRobin};
use super::{Place, Policy};
use olivecart_config::document::suggestion;
use olivecart_decisions::Balancer;
use thiserror::Error;

/// Makes a policy. A plain function, so that every thread can make its own.
pub type Maker = fn(Place) -> Box<dyn Policy>;

/// The ordinary policies: the project's own decisions first.
pub const NAMES: &[&str] =
    &["olivecart", "random", "round_robin", "least_outstanding", "power_of_two", "ring_hash", "oracle"];

/// The decisions with a bug, for the monitors to catch. Accepted by [`named`], but no policies to compare
/// with.
pub const BROKEN: &[&str] = &[
    "broken_sends_twice",
    "broken_sends_to_draining",
    "broken_answers_twice",
    "broken_loses_one",
    "broken_answers_late",
    "broken_floods_cold",
    "broken_resends_keyed",
];

/// No policy has that name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("there is no policy {name:?}; {}", suggestion(name, known.iter().copied()))]
pub struct UnknownPolicy {
    /// What was asked for.
    pub name: String,
    /// The ordinary policies.
    pub known: Vec<&'static str>,
}

/// The policy of a name.
///
/// # Errors
/// The name is neither among [`NAMES`] nor among [`BROKEN`].
pub fn named(name: &str) -> Result<Maker, UnknownPolicy> {
    ordinary(name)
        .or_else(|| broken(name))
        .ok_or_else(|| UnknownPolicy { name: name.to_owned(), known: NAMES.to_vec() })
}

fn ordinary(name: &str) -> Option<Maker> {
    Some(match name {
        "olivecart" => |place| Box::new(Balancer::new(place.settings, place.seed, place.now)),
        "random" => textbook::<Random>,
        "round_robin" => textbook::<RoundRobin>,
        "least_outstanding" => textbook::<LeastOutstanding>,
        "power_of_two" => textbook::<PowerOfTwo>,
        "ring_hash" => textbook::<RingHash>,
        "oracle" => |place| {
            let oracle = Oracle::new(place.sight.clone());
            Box::new(Textbook::new(place, oracle))
        },
        _ => return None,
    })
}

fn broken(name: &str) -> Option<Maker> {
    Some(match name {
        "broken_sends_twice" => |place| Broken::boxed(Bug::SendsTwice, place),
        "broken_sends_to_draining" => |place| Broken::boxed(Bug::SendsToDraining, place),
        "broken_answers_twice" => |place| Broken::boxed(Bug::AnswersTwice, place),
        "broken_loses_one" => |place| Broken::boxed(Bug::LosesOne, place),
        "broken_answers_late" => |place| Broken::boxed(Bug::AnswersLate, place),
        "broken_floods_cold" => |place| Broken::boxed(Bug::FloodsCold, place),
        "broken_resends_keyed" => |place| Broken::boxed(Bug::ResendsKeyed, place),
        _ => return None,
    })
}

fn textbook<P: Pick + Default + 'static>(place: Place) -> Box<dyn Policy> {
    Box::new(Textbook::new(place, P::default()))
}

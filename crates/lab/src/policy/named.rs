//! Looks up policies by the names that the command line and experiment plans use.

use super::broken::{Broken, Bug};
use super::pick::{EndpointPicker, LeastOutstanding, Oracle, PowerOfTwo, Random, RingHash, RoundRobin};
use super::policy_harness::PolicyHarness;
use super::{Policy, PolicyContext};
use olivecart_config::document::suggestion;
use olivecart_decisions::Balancer;
use thiserror::Error;

/// Constructs a policy. It is a function pointer, so that every thread can construct its own policies.
pub type PolicyFactory = fn(PolicyContext) -> Box<dyn Policy>;

/// The ordinary policies; the project's decision module comes first.
pub const NAMES: &[&str] =
    &["olivecart", "random", "round_robin", "least_outstanding", "power_of_two", "ring_hash", "oracle"];

/// The decision module with a bug, which the monitors have to detect. [`named`] accepts these names, but the
/// policies are not meant for comparisons.
pub const BROKEN: &[&str] = &[
    "broken_sends_twice",
    "broken_sends_to_draining",
    "broken_answers_twice",
    "broken_loses_one",
    "broken_answers_late",
    "broken_floods_cold",
    "broken_resends_keyed",
];

/// No policy has the requested name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("there is no policy {name:?}; {}", suggestion(name, known.iter().copied()))]
pub struct UnknownPolicy {
    /// The requested name.
    pub name: String,
    /// The ordinary policies.
    pub known: Vec<&'static str>,
}

/// Returns the factory of the policy with this name.
///
/// # Errors
/// The name is neither among [`NAMES`] nor among [`BROKEN`].
pub fn named(name: &str) -> Result<PolicyFactory, UnknownPolicy> {
    ordinary(name)
        .or_else(|| broken(name))
        .ok_or_else(|| UnknownPolicy { name: name.to_owned(), known: NAMES.to_vec() })
}

fn ordinary(name: &str) -> Option<PolicyFactory> {
    Some(match name {
        "olivecart" => |context| Box::new(Balancer::new(context.settings, context.seed, context.now)),
        "random" => textbook::<Random>,
        "round_robin" => textbook::<RoundRobin>,
        "least_outstanding" => textbook::<LeastOutstanding>,
        "power_of_two" => textbook::<PowerOfTwo>,
        "ring_hash" => textbook::<RingHash>,
        "oracle" => |context| {
            let oracle = Oracle::new(context.true_state.clone());
            Box::new(PolicyHarness::new(context, oracle))
        },
        _ => return None,
    })
}

fn broken(name: &str) -> Option<PolicyFactory> {
    Some(match name {
        "broken_sends_twice" => |context| Broken::new_boxed(Bug::SendsTwice, context),
        "broken_sends_to_draining" => |context| Broken::new_boxed(Bug::SendsToDraining, context),
        "broken_answers_twice" => |context| Broken::new_boxed(Bug::AnswersTwice, context),
        "broken_loses_one" => |context| Broken::new_boxed(Bug::LosesOne, context),
        "broken_answers_late" => |context| Broken::new_boxed(Bug::AnswersLate, context),
        "broken_floods_cold" => |context| Broken::new_boxed(Bug::FloodsCold, context),
        "broken_resends_keyed" => |context| Broken::new_boxed(Bug::ResendsKeyed, context),
        _ => return None,
    })
}

fn textbook<P: EndpointPicker + Default + 'static>(context: PolicyContext) -> Box<dyn Policy> {
    Box::new(PolicyHarness::new(context, P::default()))
}

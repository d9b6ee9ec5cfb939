//! Resolves the classes of an application: the fleet's classes with the overrides of the tier and the
//! application.

use super::CLASS_KEYS;
use super::layers::Layers;
use crate::document::{Key, top};
use crate::origin::{Origin, Origins};
use crate::types::{Class, ClassChange, DeduplicationScope, Idempotency, ProxyClass};

/// Resolves the classes that the application's tier serves.
pub(super) fn resolve_classes(layers: &Layers, origins: &mut Origins) -> Vec<ProxyClass> {
    let served = layers.tier().and_then(|(_, tier)| tier.serves.as_ref());
    let mut classes = Vec::new();
    for (index, class) in layers.fleet.classes.iter().enumerate() {
        if served.is_none_or(|names| names.contains(&class.name)) {
            let mut origins = ClassOrigins { key: top("classes").at(classes.len()), origins };
            classes.push(resolve_class(layers, index, class, &mut origins));
        }
    }
    classes
}

/// The origins of one class's values.
struct ClassOrigins<'a> {
    /// The key of the class in the proxy file.
    key: Key,
    origins: &'a mut Origins,
}

impl ClassOrigins<'_> {
    fn set(&mut self, name: &str, origin: Origin) {
        self.origins.insert(self.key.name(name), origin);
    }
}

fn resolve_class(layers: &Layers, index: usize, class: &Class, origins: &mut ClassOrigins) -> ProxyClass {
    for name in CLASS_KEYS {
        origins.set(name, layers.in_fleet(top("classes").at(index).name(name)));
    }
    for name in built_in_keys(class) {
        origins.set(name, Origin::BuiltIn);
    }
    let mut resolved = class_of_fleet(class);
    let mut attempt_is_set = class.attempt.is_some();
    if let Some((key, tier)) = layers.tier()
        && let Some(change) = tier.classes.get(&class.name)
    {
        let key = key.name("classes").name(class.name.as_str());
        attempt_is_set |= change.attempt.is_some();
        let in_tier = |name: &str| layers.in_tier(key.name(name));
        apply(&mut resolved, change, origins, in_tier);
    }
    if let Some(change) = layers.application.classes.get(&class.name) {
        let key = top("classes").name(class.name.as_str());
        attempt_is_set |= change.attempt.is_some();
        let in_application = |name: &str| layers.in_application(key.name(name));
        apply(&mut resolved, change, origins, in_application);
    }
    if !attempt_is_set {
        resolved.attempt = resolved.latency_objective.min(resolved.deadline);
    }
    resolved
}

/// Returns the keys of a class that have built-in values. A fleet cannot set `repeat`.
fn built_in_keys(class: &Class) -> impl Iterator<Item = &'static str> {
    let keys = [
        ("attempt", class.attempt.is_none()),
        ("repeat", true),
        ("worth", class.priority_weight.is_none()),
        ("late_worth", class.late_weight_ratio.is_none()),
        ("stream", class.stream.is_none()),
    ];
    keys.into_iter().filter(|(_, is_built_in)| *is_built_in).map(|(name, _)| name)
}

/// Returns a class as the fleet defines it, without overrides.
fn class_of_fleet(class: &Class) -> ProxyClass {
    let is_keyed = class.idempotency == Idempotency::Keyed;
    ProxyClass {
        name: class.name.clone(),
        latency_objective: class.latency_objective,
        deadline: class.deadline,
        idempotency: class.idempotency,
        scope: class.scope.or(is_keyed.then_some(DeduplicationScope::All)),
        window: class.window,
        attempt: class.attempt.unwrap_or(class.latency_objective),
        retry_rule: class.idempotency.most_permissive_retry_rule(),
        priority_weight: class.priority_weight.unwrap_or(1.0),
        late_weight_ratio: class.late_weight_ratio.unwrap_or(0.0),
        stream: class.stream.unwrap_or(false),
    }
}

/// Applies a layer's overrides of a class; `origin` returns the origin of a key of the override.
fn apply(
    class: &mut ProxyClass,
    change: &ClassChange,
    origins: &mut ClassOrigins,
    origin: impl Fn(&str) -> Origin,
) {
    if let Some(latency_objective) = change.latency_objective {
        class.latency_objective = latency_objective;
        origins.set("aim", origin("aim"));
    }
    if let Some(deadline) = change.deadline {
        class.deadline = deadline;
        origins.set("deadline", origin("deadline"));
    }
    if let Some(attempt) = change.attempt {
        class.attempt = attempt;
        origins.set("attempt", origin("attempt"));
    }
    if let Some(priority_weight) = change.priority_weight {
        class.priority_weight = priority_weight;
        origins.set("worth", origin("worth"));
    }
    if let Some(retry_rule) = change.retry_rule {
        class.retry_rule = retry_rule;
        origins.set("repeat", origin("repeat"));
    }
    if let Some(idempotency) = change.idempotency {
        class.idempotency = idempotency;
        origins.set("effect", origin("effect"));
        if change.retry_rule.is_none() {
            class.retry_rule = class.retry_rule.min(idempotency.most_permissive_retry_rule());
        }
    }
}

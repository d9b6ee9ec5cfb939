//! Rules for retries: a request that must not run twice is never retried where it could run again.

use super::{Checker, ClassView};
use crate::document::Span;
use crate::origin::Origin;
use crate::report::Finding;
use crate::types::{Idempotency, RetryRule};

impl Checker<'_> {
    /// Checks the retry rules of each class of one proxy.
    pub(super) fn check_retries(&mut self, proxy: usize) {
        let attempts = self.max_attempts(proxy);
        for view in self.classes(proxy) {
            let findings = [self.retry_rule_too_permissive(view), self.deduplication_window(view, attempts)];
            self.findings.extend(findings.into_iter().flatten());
            let findings = self.deduplication_without_key(view);
            self.findings.extend(findings);
        }
    }

    /// OC0101, OC0102: the retry rule of a class is more permissive than its idempotency allows.
    fn retry_rule_too_permissive(&self, view: ClassView) -> Option<Finding> {
        let class = view.class;
        if class.retry_rule <= class.idempotency.most_permissive_retry_rule() {
            return None;
        }
        let (code, allowed) = match class.idempotency {
            Idempotency::NonIdempotent => ("OC0101", "must run at most once"),
            _ => ("OC0102", "may be retried only within its group and window"),
        };
        let message = format!(
            "class {:?} {allowed}, but repeat = {:?} also retries it elsewhere",
            class.name,
            class.retry_rule.name()
        );
        let effect = self.location_of(view.proxy, &view.key("effect"));
        let label = format!("the effect is {}", class.idempotency.name());
        let finding = self.finding(view.proxy, code, message, &view.key("repeat"));
        Some(finding.with_related(effect, label))
    }

    /// Checks the window in which duplicates of a key are dropped.
    fn deduplication_window(&self, view: ClassView, attempts: u32) -> Option<Finding> {
        if view.class.idempotency != Idempotency::Keyed {
            return None;
        }
        match view.class.window {
            None => Some(self.window_missing(view)),
            Some(window) if window <= view.class.attempt => Some(self.window_within_attempt(view, window)),
            Some(window) if view.class.retry_rule == RetryRule::Window => {
                self.window_before_last_attempt(view, window, attempts)
            }
            Some(_) => None,
        }
    }

    /// OC0105: a keyed class has no window.
    fn window_missing(&self, view: ClassView) -> Finding {
        let message = format!("class {:?} has the effect by-key but no window", view.class.name);
        self.finding(view.proxy, "OC0105", message, &view.key("effect"))
    }

    /// OC0103: the window is not longer than one attempt.
    fn window_within_attempt(&self, view: ClassView, window: Span) -> Finding {
        let class = view.class;
        let message = format!(
            "class {:?}: the window of {window} is not longer than one attempt, {}",
            class.name, class.attempt
        );
        let attempt = self.location_of(view.proxy, &view.key("attempt"));
        let finding = self.finding(view.proxy, "OC0103", message, &view.key("window"));
        finding.with_related(attempt, "the duration of an attempt")
    }

    /// OC0104: the window is shorter than all attempts together.
    fn window_before_last_attempt(&self, view: ClassView, window: Span, attempts: u32) -> Option<Finding> {
        let class = view.class;
        if window.nanos() >= class.attempt.nanos().saturating_mul(attempts.into()) {
            return None;
        }
        let message = format!(
            "class {:?}: the window of {window} is shorter than {attempts} attempts of {}",
            class.name, class.attempt
        );
        Some(self.finding(view.proxy, "OC0104", message, &view.key("window")))
    }

    /// OC0106: a class that is not keyed has a window or a group.
    fn deduplication_without_key(&self, view: ClassView) -> Vec<Finding> {
        let class = view.class;
        if class.idempotency == Idempotency::Keyed {
            return Vec::new();
        }
        let mut findings = Vec::new();
        for (name, is_given) in [("window", class.window.is_some()), ("group", class.scope.is_some())] {
            // If another layer changes the idempotency, OC0802 reports that change instead.
            if is_given && self.is_set_with_effect(view, name) {
                let message = format!(
                    "class {:?} has a {name}, which has no meaning with the effect {}",
                    class.name,
                    class.idempotency.name()
                );
                findings.push(self.finding(view.proxy, "OC0106", message, &view.key(name)));
            }
        }
        findings
    }

    /// Returns whether a value of a class is set in the same table as its effect.
    fn is_set_with_effect(&self, view: ClassView, name: &str) -> bool {
        let table_of = |name: &str| match self.resolved[view.proxy].origins.get(&view.key(name)) {
            Some(Origin::File { source, key, .. }) => Some((*source, key.parent())),
            _ => None,
        };
        table_of(name) == table_of("effect")
    }

    /// Returns the largest number of attempts of a proxy's calls.
    fn max_attempts(&self, proxy: usize) -> u32 {
        let proxy = &self.resolved[proxy].proxy;
        let of_calls = proxy.outbound.iter().map(|call| call.attempts).max();
        of_calls.unwrap_or_else(|| proxy.settings.attempts.unwrap_or(1))
    }
}

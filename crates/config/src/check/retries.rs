//! Rules for retries: a request that must not run twice is never sent where it could.

use super::{Checker, ClassView};
use crate::document::Span;
use crate::origin::Origin;
use crate::report::Finding;
use crate::types::{Idempotency, RetryRule};

impl Checker<'_> {
    /// The retries of each class of one proxy.
    pub(super) fn check_retries(&mut self, proxy: usize) {
        let attempts = self.most_attempts(proxy);
        for view in self.classes(proxy) {
            let findings = [self.retried_too_freely(view), self.deduplication_window(view, attempts)];
            self.findings.extend(findings.into_iter().flatten());
            let findings = self.keys_without_meaning(view);
            self.findings.extend(findings);
        }
    }

    /// OC0101, OC0102: a class is retried where its idempotency does not allow it.
    fn retried_too_freely(&self, view: ClassView) -> Option<Finding> {
        let class = view.class;
        if class.retry_rule <= class.idempotency.most_permissive_retry_rule() {
            return None;
        }
        let (code, allowed) = match class.idempotency {
            Idempotency::NonIdempotent => ("OC0101", "runs once at most"),
            _ => ("OC0102", "may be repeated only within its group and window"),
        };
        let message = format!(
            "class {:?} {allowed}, and repeat = {:?} would send it again elsewhere",
            class.name,
            class.retry_rule.name()
        );
        let effect = self.location_of(view.proxy, &view.key("effect"));
        let label = format!("its effect: {}", class.idempotency.name());
        let finding = self.finding(view.proxy, code, message, &view.key("repeat"));
        Some(finding.with_related(effect, label))
    }

    /// The rules for the window in which a key's duplicates are dropped.
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

    /// OC0105: a class with keys has no window.
    fn window_missing(&self, view: ClassView) -> Finding {
        let message = format!("class {:?} is by-key and has no window", view.class.name);
        self.finding(view.proxy, "OC0105", message, &view.key("effect"))
    }

    /// OC0103: the window is over within one attempt.
    fn window_within_attempt(&self, view: ClassView, window: Span) -> Finding {
        let class = view.class;
        let message = format!(
            "the window of class {:?}, {window}, is over within one attempt, {}",
            class.name, class.attempt
        );
        let attempt = self.location_of(view.proxy, &view.key("attempt"));
        let finding = self.finding(view.proxy, "OC0103", message, &view.key("window"));
        finding.with_related(attempt, "an attempt")
    }

    /// OC0104: the window is over before all attempts have been made.
    fn window_before_last_attempt(&self, view: ClassView, window: Span, attempts: u32) -> Option<Finding> {
        let class = view.class;
        if window.nanos() >= class.attempt.nanos().saturating_mul(attempts.into()) {
            return None;
        }
        let message = format!(
            "the window of class {:?}, {window}, is over before {attempts} attempts of {}",
            class.name, class.attempt
        );
        Some(self.finding(view.proxy, "OC0104", message, &view.key("window")))
    }

    /// OC0106: a window or a group where the idempotency has none.
    fn keys_without_meaning(&self, view: ClassView) -> Vec<Finding> {
        let class = view.class;
        if class.idempotency == Idempotency::Keyed {
            return Vec::new();
        }
        let mut findings = Vec::new();
        for (name, is_given) in [("window", class.window.is_some()), ("group", class.scope.is_some())] {
            // Where another layer has changed the idempotency, that change is what is wrong.
            if is_given && self.is_set_with_effect(view, name) {
                let message = format!(
                    "class {:?} has a {name}, and its effect is {}",
                    class.name,
                    class.idempotency.name()
                );
                findings.push(self.finding(view.proxy, "OC0106", message, &view.key(name)));
            }
        }
        findings
    }

    /// Whether a value of a class was set in the same table as its effect.
    fn is_set_with_effect(&self, view: ClassView, name: &str) -> bool {
        let table_of = |name: &str| match self.resolved[view.proxy].origins.get(&view.key(name)) {
            Some(Origin::File { source, key, .. }) => Some((*source, key.parent())),
            _ => None,
        };
        table_of(name) == table_of("effect")
    }

    /// Most attempts of any of a proxy's calls.
    fn most_attempts(&self, proxy: usize) -> u32 {
        let proxy = &self.resolved[proxy].proxy;
        let of_calls = proxy.outbound.iter().map(|call| call.attempts).max();
        of_calls.unwrap_or_else(|| proxy.settings.attempts.unwrap_or(1))
    }
}

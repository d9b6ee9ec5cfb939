//! Rules for durations: latency objectives, deadlines and the limits of the platform.

use super::{Checker, ClassView};
use crate::document::{Span, top};
use crate::report::Finding;
use crate::types::ProxyClass;

/// The longest Retry-After that clients honour.
const MAX_RETRY_AFTER: Span = Span::from_nanos(2_000_000_000);

/// The longest time that the platform allows until a draining endpoint receives no new requests.
const MAX_DRAIN_GRACE: Span = Span::from_nanos(500_000_000);

impl Checker<'_> {
    /// Checks the durations of one proxy.
    pub(super) fn check_deadlines(&mut self, proxy: usize) {
        for view in self.classes(proxy) {
            let findings = [
                self.objective_beyond_deadline(view).or_else(|| self.attempt_beyond_deadline(view)),
                self.time_of_zero(view),
            ];
            self.findings.extend(findings.into_iter().flatten());
        }
        let findings = [
            self.retry_after_beyond_limit(proxy),
            self.drain_grace_beyond_limit(proxy),
            self.connect_timeout_beyond_deadline(proxy),
            self.connect_timeout_of_zero(proxy),
        ];
        self.findings.extend(findings.into_iter().flatten());
    }

    /// OC0201: a latency objective is longer than the deadline.
    fn objective_beyond_deadline(&self, view: ClassView) -> Option<Finding> {
        let class = view.class;
        if class.latency_objective <= class.deadline {
            return None;
        }
        let message = format!(
            "class {:?}: the aim of {} is longer than the deadline of {}",
            class.name, class.latency_objective, class.deadline
        );
        Some(self.beyond_deadline(view, "OC0201", "aim", message))
    }

    /// OC0208: an attempt is longer than the deadline.
    fn attempt_beyond_deadline(&self, view: ClassView) -> Option<Finding> {
        let class = view.class;
        if class.attempt <= class.deadline {
            return None;
        }
        let message = format!(
            "class {:?}: an attempt of {} is longer than the deadline of {}",
            class.name, class.attempt, class.deadline
        );
        Some(self.beyond_deadline(view, "OC0208", "attempt", message))
    }

    fn beyond_deadline(&self, view: ClassView, code: &str, name: &str, message: String) -> Finding {
        let deadline = self.location_of(view.proxy, &view.key("deadline"));
        self.finding(view.proxy, code, message, &view.key(name)).with_related(deadline, "the deadline")
    }

    /// OC0005: a deadline or a latency objective is 0.
    fn time_of_zero(&self, view: ClassView) -> Option<Finding> {
        let class = view.class;
        let name = match (class.deadline.nanos(), class.latency_objective.nanos()) {
            (0, _) => "deadline",
            (_, 0) => "aim",
            _ => return None,
        };
        let message = format!("class {:?}: {name} is 0; it must be above 0", class.name);
        Some(self.finding(view.proxy, "OC0005", message, &view.key(name)))
    }

    /// OC0205: Retry-After is longer than clients honour.
    fn retry_after_beyond_limit(&self, proxy: usize) -> Option<Finding> {
        let time = self.resolved[proxy].proxy.settings.retry_after.filter(|time| *time > MAX_RETRY_AFTER)?;
        let message = format!("retry_after is {time}; clients honour at most {MAX_RETRY_AFTER}");
        Some(self.finding(proxy, "OC0205", message, &top("settings").name("retry_after")))
    }

    /// OC0206: the drain grace is longer than the platform allows.
    fn drain_grace_beyond_limit(&self, proxy: usize) -> Option<Finding> {
        let time = self.resolved[proxy].proxy.settings.drain_grace.filter(|time| *time > MAX_DRAIN_GRACE)?;
        let message = format!("drain_grace is {time}; the platform allows at most {MAX_DRAIN_GRACE}");
        Some(self.finding(proxy, "OC0206", message, &top("settings").name("drain_grace")))
    }

    /// OC0207: the connect timeout is not below the shortest deadline.
    fn connect_timeout_beyond_deadline(&self, proxy: usize) -> Option<Finding> {
        let connect_timeout = self.resolved[proxy].proxy.settings.connect_timeout?;
        let shortest = self.classes(proxy).min_by_key(|view| view.class.deadline)?;
        let ProxyClass { name, deadline, .. } = shortest.class;
        if connect_timeout < *deadline {
            return None;
        }
        let message = format!(
            "connect_timeout of {connect_timeout} is not shorter than the deadline of class {name:?}, \
            {deadline}"
        );
        let location = self.location_of(proxy, &shortest.key("deadline"));
        let finding = self.finding(proxy, "OC0207", message, &top("settings").name("connect_timeout"));
        Some(finding.with_related(location, "the deadline"))
    }

    /// OC0005: the connect timeout is 0.
    fn connect_timeout_of_zero(&self, proxy: usize) -> Option<Finding> {
        let connect_timeout = self.resolved[proxy].proxy.settings.connect_timeout?;
        if connect_timeout.nanos() > 0 {
            return None;
        }
        Some(self.finding(
            proxy,
            "OC0005",
            "connect_timeout is 0; it must be above 0",
            &top("settings").name("connect_timeout"),
        ))
    }
}

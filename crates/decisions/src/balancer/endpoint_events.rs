//! Handling of endpoint list updates, health checks and ejections.

use super::Balancer;
use crate::endpoint_list::ListPolling;
use crate::event::{Action, EndpointEntry, EndpointUpdate, Outcome, Timer};
use crate::health_check;
use crate::id::{EndpointId, Nanos};
use crate::settings::Discovery;

impl Balancer {
    pub(super) fn on_endpoint_update(&mut self, update: EndpointUpdate, actions: &mut Vec<Action>) {
        match update {
            EndpointUpdate::Failed => self.on_list_failed(actions),
            EndpointUpdate::Delta(entries) => self.apply_entries(entries, actions),
            EndpointUpdate::Snapshot(entries) => self.apply_complete_list(entries, actions),
            EndpointUpdate::Cached(entries) => {
                self.poll_after_cached_list(actions);
                self.apply_complete_list(entries, actions);
            }
        }
    }

    fn on_list_failed(&mut self, actions: &mut Vec<Action>) {
        let poll_interval = self.settings.rules.poll_interval;
        let delay = self.list_polling.record_failure(poll_interval, &mut self.rng);
        self.set_timer(delay, Timer::Discovery, actions);
    }

    /// A cached list may be outdated, so a fresh one is requested unless updates arrive automatically.
    fn poll_after_cached_list(&mut self, actions: &mut Vec<Action>) {
        if self.settings.discovery == Discovery::Subscribe {
            let poll_interval = self.settings.rules.poll_interval;
            let delay = ListPolling::initial_delay(poll_interval, &mut self.rng);
            self.set_timer(delay, Timer::Discovery, actions);
        }
    }

    fn apply_complete_list(&mut self, entries: Vec<EndpointEntry>, actions: &mut Vec<Action>) {
        self.endpoints.mark_all_removed();
        self.apply_entries(entries, actions);
    }

    fn apply_entries(&mut self, entries: Vec<EndpointEntry>, actions: &mut Vec<Action>) {
        self.list_polling.record_success();
        for entry in entries {
            self.apply_entry(entry, actions);
        }
        self.endpoints.reorder(self.settings.zone, self.settings.replica_index);
        self.drain_queue(actions);
    }

    fn apply_entry(&mut self, entry: EndpointEntry, actions: &mut Vec<Action>) {
        let slot = entry.id.0 as usize;
        // The slow start budget starts at a random fraction of one attempt below 0. Otherwise all replicas
        // would send their first attempt at the same time instead of at the budgeted rate.
        let slow_start_tokens = -self.rng.f64();
        let period = self.health_check_period();
        // Random, or all replicas would check the endpoint at the same time.
        let first_check_delay = self.rng.u64(0..=period);
        let becomes_ready = self.endpoints.upsert(entry, self.now, slow_start_tokens);
        if becomes_ready && self.settings.limits.health_checks_enabled {
            self.schedule_health_check(slot, first_check_delay, actions);
        }
    }

    fn health_check_period(&mut self) -> Nanos {
        let poll_interval = self.settings.rules.poll_interval;
        let sent_work = self.sent_work.decay(self.now, poll_interval as f64);
        let recent_attempts = sent_work / self.latencies.mean_over_classes().max(1.0);
        health_check::check_period(poll_interval, self.endpoints.len(), recent_attempts)
    }

    fn schedule_health_check(&mut self, slot: usize, delay: Nanos, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get_mut(slot) else { return };
        endpoint.health.next_check_at = self.now + delay;
        self.set_timer(delay, Timer::HealthCheck(EndpointId(slot as u32)), actions);
    }

    pub(super) fn on_health_check_due(&mut self, slot: usize, actions: &mut Vec<Action>) {
        let period = self.health_check_period();
        let jitter = self.rng.u64(0..=health_check::max_jitter(period));
        let Some(endpoint) = self.endpoints.get_mut(slot) else { return };
        if !endpoint.health.is_due(self.now) || !endpoint.is_ready() {
            return; // the check was rescheduled, or the endpoint no longer accepts requests
        }
        let is_available = endpoint.is_available();
        let interval = if is_available { period } else { health_check::urgent_check_period(period) };
        if endpoint.connections.end_period(endpoint.in_flight) {
            actions.push(Action::CloseIdleConnections(endpoint.entry.id));
        }
        actions.push(Action::StartHealthCheck(endpoint.entry.id));
        self.schedule_health_check(slot, interval + jitter, actions);
    }

    pub(super) fn on_health_check_completed(
        &mut self,
        id: EndpointId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let slot = id.0 as usize;
        let recheck_delay = health_check::recheck_delay(self.settings.rules.poll_interval);
        let Some(endpoint) = self.endpoints.get_mut(slot) else { return };
        endpoint.health.is_healthy = outcome == Outcome::Ok;
        if endpoint.health.is_healthy {
            self.drain_queue(actions);
        } else if endpoint.health.next_check_at > self.now + recheck_delay {
            self.schedule_health_check(slot, recheck_delay, actions);
        }
    }

    /// Ejects an endpoint whose attempts fail or hang, and starts its next health check at once if checks
    /// are enabled. Ejection is separate from health, which only the checks decide, because a server can
    /// hang or fail attempts while its checks pass.
    pub(super) fn eject(&mut self, slot: usize, actions: &mut Vec<Action>) {
        let mean_duration = self.latencies.mean_over_classes() as Nanos;
        let base_backoff = self.settings.limits.connect_timeout + mean_duration;
        let Some(endpoint) = self.endpoints.get_mut(slot) else { return };
        endpoint.outlier.eject(self.now, base_backoff);
        if self.settings.limits.health_checks_enabled {
            endpoint.health.next_check_at = self.now;
            self.on_health_check_due(slot, actions);
        }
    }
}

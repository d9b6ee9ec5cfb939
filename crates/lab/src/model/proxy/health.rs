//! The health checks of a proxy, and the samples of endpoint health for the report.

use super::{PendingHealthCheck, Proxy, SampledHealth};
use crate::model::context::Context;
use crate::model::message::Message;
use crate::model::network;
use crate::model::topology::Topology;
use crate::policy::EndpointHealth;
use crate::run_result::Held;
use olivecart_decisions::{EndpointId, Event, LoadReport, Nanos, Outcome};

/// The interval at which endpoint health is sampled.
const SAMPLE_INTERVAL: Nanos = 200_000_000;
/// The number of proxies per tier whose endpoint health is sampled.
const MAX_SAMPLED_PROXIES: u32 = 8;
/// The maximum number of servers of a tier whose endpoint health is sampled.
const MAX_SAMPLED_SERVERS: usize = 400;
/// The maximum number of ejections recorded per proxy.
const MAX_EJECTIONS: usize = 500;

impl Proxy {
    /// Sends a health check that the policy starts.
    pub(super) fn start_health_check(&mut self, context: &mut Context, server: u32) {
        let topology = context.topology;
        if server as usize >= topology.tiers[self.tier as usize].servers.len() {
            return;
        }
        let number = self.next_health_check;
        self.next_health_check += 1;
        self.health_checks.insert(number, PendingHealthCheck { server, sent_at: context.now });
        context.thread.counters.health_check_sent(context.now);
        let node = topology.server_node(self.tier, server);
        let arrives_at = context.now + network::draw_delay(topology, self.node, node, context.rng);
        let times_out_at = context.now + topology.scenario.limits.probe_timeout.nanos();
        context.outbox.schedule(times_out_at, Message::HealthCheckTimedOut(number));
        if network::reaches(topology, self.node, node, arrives_at) {
            context.outbox.send(node, arrives_at, Message::HealthCheck(self.node, number));
        }
    }

    /// Handles the end of a health check.
    pub fn health_check_completed(
        &mut self,
        context: &mut Context,
        number: u64,
        outcome: Outcome,
        load: Option<LoadReport>,
    ) {
        let Some(check) = self.health_checks.remove(&number) else { return };
        let completed = Event::HealthCheckCompleted {
            endpoint: EndpointId(check.server),
            outcome,
            duration: context.now - check.sent_at,
            load,
        };
        self.notify_policy(context, completed);
    }

    /// Whether the endpoint health of this proxy is sampled.
    pub(super) fn is_sampled(&self, topology: &Topology) -> bool {
        let servers = topology.tiers[self.tier as usize].servers.len();
        self.number < MAX_SAMPLED_PROXIES && servers <= MAX_SAMPLED_SERVERS
    }

    pub(super) fn schedule_health_sample(&self, context: &mut Context) {
        context.outbox.schedule(context.now + SAMPLE_INTERVAL, Message::SampleEndpointHealth);
    }

    /// Samples the health of the servers according to the policy.
    pub fn sample_endpoint_health(&mut self, context: &mut Context) {
        self.schedule_health_sample(context);
        let Some(policy) = &self.policy else { return };
        let servers = &context.topology.tiers[self.tier as usize].servers;
        let unsampled = SampledHealth { health: EndpointHealth::Healthy, since: context.now };
        self.sampled_health.resize(servers.len(), unsampled);
        for (slot, sampled) in self.sampled_health.iter_mut().enumerate() {
            let is_listed = !self.not_ready.contains_key(&(slot as u32));
            let seen = policy.endpoint_health(EndpointId(slot as u32)).filter(|_| is_listed);
            let health = seen.unwrap_or(EndpointHealth::Healthy);
            if health == sampled.health {
                continue;
            }
            if let Some(why) = reason(sampled.health)
                && self.ejections.len() < MAX_EJECTIONS
            {
                self.ejections.push(Held {
                    proxy: context.topology.proxy_name(self.machine),
                    server: servers[slot].name.clone(),
                    from_ms: sampled.since / 1_000_000,
                    to_ms: context.now / 1_000_000,
                    why: why.into(),
                });
            }
            *sampled = SampledHealth { health, since: context.now };
        }
    }

    /// Returns the endpoints that were unhealthy or ejected, with the periods.
    pub fn take_ejections(&mut self) -> Vec<Held> {
        std::mem::take(&mut self.ejections)
    }
}

/// The reason why an endpoint got no requests, as written in results.
fn reason(health: EndpointHealth) -> Option<&'static str> {
    match health {
        EndpointHealth::Healthy => None,
        EndpointHealth::Unhealthy => Some("down"),
        EndpointHealth::Ejected => Some("held"),
    }
}

//! When requests arrive, of which class and tenant.

use super::{Allowance, Clients, Request};
use crate::model::context::Context;
use crate::model::message::Message;
use crate::model::topology::{NO_TENANT, Topology};
use crate::scenario::Shape;
use olivecart_decisions::Nanos;
use rand::Rng;
use rand_distr::Exp1;
use std::f64::consts::TAU;

/// A factor on the mean rate of arrivals, and the greatest that it ever reaches.
#[derive(Clone, Copy)]
struct RateFactor {
    now: f64,
    greatest: f64,
}

impl Clients {
    /// The factor on the mean rate at a time.
    fn rate_factor(&self, topology: &Topology, at: Nanos) -> RateFactor {
        let shape = shape_factor(&topology.scenario.clients.shape, at);
        let flood = self.flood_factor(topology, at);
        RateFactor { now: shape.now * flood.now, greatest: shape.greatest * flood.greatest }
    }

    /// What floods make of the traffic at a time.
    fn flood_factor(&self, topology: &Topology, at: Nanos) -> RateFactor {
        let floods = &topology.timeline.floods;
        if floods.is_empty() {
            return RateFactor { now: 1.0, greatest: 1.0 };
        }
        let all_floods = |tenant: u16| -> f64 {
            let of_tenant = floods.iter().filter(|(_, flooding, _)| *flooding == tenant);
            of_tenant.map(|(_, _, factor)| factor.max(1.0)).product()
        };
        RateFactor {
            now: self.traffic_with(|tenant| topology.timeline.flood(tenant, at)),
            greatest: self.traffic_with(all_floods),
        }
    }

    /// The traffic of all tenants over their usual traffic, each tenant's multiplied by a factor.
    fn traffic_with(&self, factor: impl Fn(u16) -> f64) -> f64 {
        let usual: f64 = self.tenant_traffic.iter().sum();
        let tenants = (0..).zip(&self.tenant_traffic);
        tenants.map(|(tenant, traffic)| traffic * factor(tenant)).sum::<f64>() / usual
    }

    /// Arrivals of a Poisson process whose rate varies, by thinning (Lewis and Shedler 1979).
    pub(super) fn schedule_arrival(&self, context: &mut Context) {
        let mut at = context.now as f64;
        loop {
            let greatest = self.rate_factor(context.topology, at as Nanos).greatest;
            at += context.rng.sample::<f64, _>(Exp1) / (self.rate * greatest) * 1e9;
            if at >= context.topology.scenario.length.nanos() as f64 {
                return;
            }
            let factor = self.rate_factor(context.topology, at as Nanos).now;
            if context.rng.random::<f64>() * greatest < factor {
                let arrives_at = (at as Nanos).max(context.now + 1);
                return context.outbox.schedule(arrives_at, Message::ClientArrives);
            }
        }
    }

    /// A client arrives with a request.
    pub(super) fn client_arrives(&mut self, context: &mut Context) {
        let class = pick(&self.class_shares, context.rng.random()) as u16;
        let tenant = self.draw_tenant(context);
        let over_share = tenant != NO_TENANT && self.is_over_share(context, tenant);
        self.generation += 1;
        let request = Request {
            generation: self.generation,
            class,
            tenant,
            arrived_at: context.now,
            work: context.topology.classes[class as usize].work.draw(context.rng),
            over_share,
            attempt: 0,
            proxy: None,
            outcome: None,
        };
        let id = self.store(request);
        self.offered += 1;
        context.thread.open_requests += 1;
        self.send_attempt(context, id);
        self.schedule_arrival(context);
    }

    fn draw_tenant(&self, context: &mut Context) -> u16 {
        if self.tenant_traffic.is_empty() {
            return NO_TENANT;
        }
        let timeline = &context.topology.timeline;
        let now = context.now;
        let tenants = (0..).zip(&self.tenant_traffic);
        let traffic = tenants.map(|(tenant, traffic)| traffic * timeline.flood(tenant, now));
        pick(&cumulative(traffic), context.rng.random()) as u16
    }

    /// Whether a request is beyond its tenant's share of what the fleet can do, with a second's slack.
    fn is_over_share(&mut self, context: &Context, tenant: u16) -> bool {
        let topology = context.topology;
        let share = topology.scenario.tenant[tenant as usize].share;
        let quota = share * topology.capacity / f64::from(topology.clients);
        let Allowance { requests, updated_at } = &mut self.allowances[tenant as usize];
        let earned = quota * (context.now - *updated_at) as f64 / 1e9;
        *requests = (*requests + earned).min(quota.max(1.0));
        *updated_at = context.now;
        let is_over = *requests < 1.0;
        *requests -= if is_over { 0.0 } else { 1.0 };
        is_over
    }
}

/// What the scenario's shape makes of the traffic at a time.
fn shape_factor(shape: &Shape, at: Nanos) -> RateFactor {
    match shape {
        Shape::Steady => RateFactor { now: 1.0, greatest: 1.0 },
        Shape::Wave { swing, period } => {
            let phase = at as f64 / period.nanos().max(1) as f64 * TAU;
            RateFactor { now: 1.0 + swing * phase.sin(), greatest: 1.0 + swing }
        }
        Shape::Bursts { factor, every, length } => {
            // The mean over a period is 1.
            let share = length.nanos() as f64 / every.nanos().max(1) as f64;
            let base = 1.0 / (1.0 + (factor - 1.0) * share);
            let in_burst = at % every.nanos().max(1) < length.nanos();
            RateFactor { now: if in_burst { base * factor } else { base }, greatest: base * factor }
        }
    }
}

/// Cumulative shares, the last of which is 1.
pub(super) fn cumulative(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let mut cumulative = Vec::new();
    for share in shares {
        sum += share;
        cumulative.push(sum);
    }
    for share in &mut cumulative {
        *share /= sum;
    }
    cumulative
}

/// The first whose cumulative share is above a number between 0 and 1.
fn pick(cumulative: &[f64], at: f64) -> usize {
    cumulative.partition_point(|share| *share <= at).min(cumulative.len().saturating_sub(1))
}

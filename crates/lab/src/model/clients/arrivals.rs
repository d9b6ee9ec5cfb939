//! The arrival process of requests, and their classes and tenants.

use super::{Allowance, Clients, Request};
use crate::model::context::Context;
use crate::model::message::Message;
use crate::model::topology::{NO_TENANT, Topology};
use crate::scenario::Shape;
use olivecart_decisions::Nanos;
use rand::Rng;
use rand_distr::Exp1;
use std::f64::consts::TAU;

/// A factor on the mean arrival rate: its current value and its maximum.
#[derive(Clone, Copy)]
struct RateFactor {
    current: f64,
    max: f64,
}

impl Clients {
    /// The factor on the mean arrival rate at a time.
    fn rate_factor(&self, topology: &Topology, at: Nanos) -> RateFactor {
        let shape = shape_factor(&topology.scenario.clients.shape, at);
        let flood = self.flood_factor(topology, at);
        RateFactor { current: shape.current * flood.current, max: shape.max * flood.max }
    }

    /// The factor by which tenant floods change the traffic at a time.
    fn flood_factor(&self, topology: &Topology, at: Nanos) -> RateFactor {
        let floods = &topology.timeline.floods;
        if floods.is_empty() {
            return RateFactor { current: 1.0, max: 1.0 };
        }
        let all_floods = |tenant: u16| -> f64 {
            let of_tenant = floods.iter().filter(|(_, flooding, _)| *flooding == tenant);
            of_tenant.map(|(_, _, factor)| factor.max(1.0)).product()
        };
        RateFactor {
            current: self.relative_traffic(|tenant| topology.timeline.flood(tenant, at)),
            max: self.relative_traffic(all_floods),
        }
    }

    /// The traffic of all tenants relative to their usual traffic, if each tenant's is multiplied by its
    /// factor.
    fn relative_traffic(&self, factor: impl Fn(u16) -> f64) -> f64 {
        let usual: f64 = self.tenant_traffic.iter().sum();
        let tenants = (0..).zip(&self.tenant_traffic);
        tenants.map(|(tenant, traffic)| traffic * factor(tenant)).sum::<f64>() / usual
    }

    /// Schedules the next arrival of a Poisson process with a varying rate, by thinning (Lewis and Shedler
    /// 1979).
    pub(super) fn schedule_arrival(&self, context: &mut Context) {
        let mut at = context.now as f64;
        loop {
            let max = self.rate_factor(context.topology, at as Nanos).max;
            at += context.rng.sample::<f64, _>(Exp1) / (self.rate * max) * 1e9;
            if at >= context.topology.scenario.length.nanos() as f64 {
                return;
            }
            let factor = self.rate_factor(context.topology, at as Nanos).current;
            if context.rng.random::<f64>() * max < factor {
                let arrives_at = (at as Nanos).max(context.now + 1);
                return context.outbox.schedule(arrives_at, Message::ClientArrives);
            }
        }
    }

    /// Handles the arrival of a client's request.
    pub(super) fn client_arrives(&mut self, context: &mut Context) {
        let class = pick_index(&self.class_shares, context.rng.random()) as u16;
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
        pick_index(&cumulative(traffic), context.rng.random()) as u16
    }

    /// Whether a request exceeds its tenant's share of the capacity (a token bucket with a burst of one
    /// second).
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

/// The factor of the scenario's traffic shape at a time.
fn shape_factor(shape: &Shape, at: Nanos) -> RateFactor {
    match shape {
        Shape::Steady => RateFactor { current: 1.0, max: 1.0 },
        Shape::Wave { swing, period } => {
            let phase = at as f64 / period.nanos().max(1) as f64 * TAU;
            RateFactor { current: 1.0 + swing * phase.sin(), max: 1.0 + swing }
        }
        Shape::Bursts { factor, every, length } => {
            // The mean over a period is 1.
            let share = length.nanos() as f64 / every.nanos().max(1) as f64;
            let base = 1.0 / (1.0 + (factor - 1.0) * share);
            let in_burst = at % every.nanos().max(1) < length.nanos();
            RateFactor { current: if in_burst { base * factor } else { base }, max: base * factor }
        }
    }
}

/// Returns cumulative shares, normalized so that the last is 1.
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

/// Returns the index of the first cumulative share above `at`, which is between 0 and 1.
fn pick_index(cumulative: &[f64], at: f64) -> usize {
    cumulative.partition_point(|share| *share <= at).min(cumulative.len().saturating_sub(1))
}

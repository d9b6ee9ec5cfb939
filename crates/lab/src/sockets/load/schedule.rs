//! The schedule of a load's requests, drawn from the seed before the first one is sent.

use crate::model::{RequestOutcome, Topology};
use crate::scenario::{Effect, Group, Shape};
use crate::sockets::random::{RandomStream, exponential, stream, weighted};
use rand::Rng;
use xxhash_rust::xxh3::Xxh3;

/// The largest number of requests in a schedule. Schedules are kept in memory.
pub const MAX_SCHEDULED_REQUESTS: f64 = 5e6;

/// A schedule would exceed the limit on its number of requests.
#[derive(Debug, thiserror::Error)]
#[error("the schedule would have about {0:.0} requests; the limit is {MAX_SCHEDULED_REQUESTS:.0}")]
pub struct ScheduleTooLong(f64);

/// A scheduled request. Times are in nanoseconds since the begin of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// When the first attempt is due.
    pub due: u64,
    /// The index of its class in the scenario.
    pub class: usize,
    /// The index of its tenant in the scenario.
    pub tenant: Option<usize>,
    /// Whether the request exceeds its tenant's share.
    pub over_share: bool,
    /// Its work over all tiers, as time on a core of speed 1.
    pub work: u64,
    /// The zone of its client.
    pub zone: usize,
    /// Whether its client honours `Retry-After`.
    pub honours: bool,
}

/// The requests of a load.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The requests by due time.
    pub requests: Vec<Planned>,
    /// The hash of the requests.
    pub digest: u64,
}

impl Schedule {
    /// Draws the schedule of a scenario: arrivals of a Poisson process whose rate varies, by thinning (Lewis
    /// and Shedler 1979).
    ///
    /// # Errors
    /// The schedule would exceed [`MAX_SCHEDULED_REQUESTS`].
    pub fn draw(topology: &Topology) -> Result<Schedule, ScheduleTooLong> {
        let generator = RequestGenerator::new(topology);
        let (peak, length) = (generator.peak(), &topology.scenario.length);
        let expected = topology.rate * peak * length.seconds();
        if expected > MAX_SCHEDULED_REQUESTS {
            return Err(ScheduleTooLong(expected));
        }
        let (mut arrival_rng, mut request_rng) =
            (stream(topology.seed, "arrivals", 0), stream(topology.seed, "requests", 0));
        let (mut at, mut requests, mut hash) = (0.0, Vec::new(), Xxh3::new());
        let mut shares = Shares::new(topology);
        loop {
            at += exponential(1e9 / (topology.rate * peak), &mut arrival_rng) as f64;
            let now = at as u64;
            if now >= length.nanos() {
                return Ok(Schedule { requests, digest: hash.digest() });
            }
            if arrival_rng.random::<f64>() * peak < generator.rate_at(now) {
                let request = generator.request(now, &mut request_rng, &mut shares);
                hash.update(format!("{request:?}").as_bytes());
                requests.push(request);
            }
        }
    }
}

struct RequestGenerator<'a> {
    topology: &'a Topology,
    classes: Vec<f64>,
    /// The tenants' traffic without floods.
    tenants: Vec<f64>,
}

impl<'a> RequestGenerator<'a> {
    fn new(topology: &'a Topology) -> RequestGenerator<'a> {
        let scenario = &topology.scenario;
        RequestGenerator {
            topology,
            classes: scenario.class.iter().map(|c| c.share).collect(),
            tenants: scenario.tenant.iter().map(|t| t.traffic.unwrap_or(t.share)).collect(),
        }
    }

    /// Returns the rate at a time relative to the mean rate.
    fn rate_at(&self, at: u64) -> f64 {
        let shape = match &self.topology.scenario.clients.shape {
            Shape::Steady => 1.0,
            Shape::Wave { swing, period } => {
                let phase = at as f64 / period.nanos().max(1) as f64 * std::f64::consts::TAU;
                1.0 + swing * phase.sin()
            }
            Shape::Bursts { factor, every, length } => {
                let in_burst = at % every.nanos().max(1) < length.nanos();
                self.rate_outside_bursts() * if in_burst { *factor } else { 1.0 }
            }
        };
        shape * self.relative_traffic(&self.traffic(at))
    }

    /// Returns the relative rate outside of bursts that makes the overall mean 1.
    fn rate_outside_bursts(&self) -> f64 {
        match &self.topology.scenario.clients.shape {
            Shape::Bursts { factor, every, length } => {
                let share = length.nanos() as f64 / every.nanos().max(1) as f64;
                1.0 / (1.0 + (factor - 1.0) * share)
            }
            _ => 1.0,
        }
    }

    /// Returns an upper bound of the relative rate.
    fn peak(&self) -> f64 {
        let shape = match &self.topology.scenario.clients.shape {
            Shape::Steady => 1.0,
            Shape::Wave { swing, .. } => 1.0 + swing,
            Shape::Bursts { factor, .. } => self.rate_outside_bursts() * factor.max(1.0),
        };
        let floods = &self.topology.timeline.floods;
        let peak_flood =
            |tenant: u16| floods.iter().filter(|f| f.1 == tenant).map(|f| f.2.max(1.0)).product::<f64>();
        let peak_traffic: Vec<f64> =
            (0..).zip(&self.tenants).map(|(t, usual)| usual * peak_flood(t)).collect();
        shape * self.relative_traffic(&peak_traffic)
    }

    /// Returns the tenants' total traffic relative to their traffic without floods.
    fn relative_traffic(&self, traffic: &[f64]) -> f64 {
        let usual: f64 = self.tenants.iter().sum();
        if usual > 0.0 { traffic.iter().sum::<f64>() / usual } else { 1.0 }
    }

    fn traffic(&self, at: u64) -> Vec<f64> {
        let flood = |tenant| self.topology.timeline.flood(tenant, at);
        (0..).zip(&self.tenants).map(|(tenant, usual)| usual * flood(tenant)).collect()
    }

    fn request(&self, due: u64, rng: &mut RandomStream, shares: &mut Shares) -> Planned {
        let scenario = &self.topology.scenario;
        let class = weighted(&self.classes, rng).unwrap_or(0);
        let tenant = weighted(&self.traffic(due), rng);
        Planned {
            due,
            class,
            tenant,
            over_share: tenant.is_some_and(|tenant| shares.is_over(tenant, due)),
            work: self.topology.classes[class].work.draw(rng),
            zone: scenario.proxy_zone(rng.random_range(0..self.topology.clients.max(1)) as usize),
            honours: rng.random::<f64>() < scenario.clients.honours_retry_after,
        }
    }
}

/// A token bucket per tenant: its share of the fleet's capacity, with a burst of one second.
struct Shares {
    /// Requests per second by tenant.
    quotas: Vec<f64>,
    left: Vec<(f64, u64)>,
}

impl Shares {
    fn new(topology: &Topology) -> Shares {
        let quotas: Vec<f64> = topology.scenario.tenant.iter().map(|t| t.share * topology.capacity).collect();
        Shares { left: quotas.iter().map(|q| (q.max(1.0), 0)).collect(), quotas }
    }

    fn is_over(&mut self, tenant: usize, now: u64) -> bool {
        let quota = self.quotas[tenant];
        let (left, at) = &mut self.left[tenant];
        *left = (*left + quota * (now - *at) as f64 / 1e9).min(quota.max(1.0));
        *at = now;
        let over = *left < 1.0;
        *left -= if over { 0.0 } else { 1.0 };
        over
    }
}

/// Returns the delay before a client's next attempt, or `None` if it does not retry. The attempt `number`,
/// counted from 0, ended at `now` (nanoseconds since the begin).
pub fn retry_delay(
    topology: &Topology,
    of: &Planned,
    number: u32,
    ended: RequestOutcome,
    now: u64,
) -> Option<u64> {
    let (clients, class) = (&topology.scenario.clients, &topology.scenario.class[of.class]);
    let storm = topology.timeline.storm(now);
    let in_window = || now < of.due + class.window.map_or(0, |w| w.nanos());
    let is_safe = match (ended, class.effect, class.group) {
        (RequestOutcome::Served(_), ..) => false,
        (RequestOutcome::Refused(_) | RequestOutcome::Unreachable, ..) | (_, Effect::Repeatable, _) => true,
        (RequestOutcome::Failed, Effect::ByKey, Group::All) => in_window(),
        _ => false,
    };
    let wait = match (storm, ended) {
        (Some(_), _) => 0,
        (None, RequestOutcome::Refused(retry_after)) if of.honours && retry_after > 0 => {
            retry_after.min(topology.scenario.limits.max_retry_after.nanos())
        }
        _ => clients.backoff.nanos(),
    };
    let in_time = now + wait < of.due + class.deadline.nanos();
    (is_safe && number < storm.unwrap_or(clients.retries) && in_time).then_some(wait)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::model::PolicyChoice;
    use crate::scenario::Scenario;

    fn topology(clients: &str, rest: &str, seed: u64) -> Topology {
        let times = r#"aim = "1s", deadline = "2s", work = { dist = "fixed", mean = "1ms" }"#;
        let text = format!(
            r#"version = 1
            name = "test"
            length = "100s"
            class = [
                {{ name = "read", share = 3.0, effect = "repeatable", {times} }},
                {{ name = "once", effect = "once", {times} }},
                {{ name = "all", effect = "by_key", window = "1s", {times} }},
                {{ name = "cell", effect = "by_key", group = "cell", window = "1s", {times} }}]
            tenant = [{{ name = "a", share = 0.5 }}, {{ name = "b", share = 0.01, traffic = 0.5 }}]
            clients = {{ rate = 100.0, {clients} }}
            tier = [{{ name = "t", servers = 1, kind = [{{ name = "k", cores = 1 }}] }}]
            {rest}"#
        );
        let scenario = Scenario::parse("test", &text).unwrap().into_inner();
        Topology::new(scenario, seed, PolicyChoice::named("olivecart").unwrap())
    }

    fn between(schedule: &Schedule, from: u64, to: u64) -> f64 {
        let within = |r: &&Planned| (from * 1_000_000_000..to * 1_000_000_000).contains(&r.due);
        schedule.requests.iter().filter(within).count() as f64
    }

    #[test]
    fn schedule_has_the_rate_and_mix_of_its_scenario_and_is_determined_by_the_seed() {
        let schedule = Schedule::draw(&topology("", "", 1)).unwrap();
        let all = between(&schedule, 0, 100);
        assert!((9_600.0..10_400.0).contains(&all), "{all}");
        assert!(schedule.requests.is_sorted_by_key(|r| r.due));
        let share =
            |pred: fn(&Planned) -> bool| schedule.requests.iter().filter(|r| pred(r)).count() as f64 / all;
        assert!((share(|r| r.class == 0) - 0.5).abs() < 0.03);
        assert!((share(|r| r.tenant == Some(1)) - 0.5).abs() < 0.03);
        // The tenant sends 50 requests per second; its share is a hundredth of 1000.
        assert!((share(|r| r.over_share && r.tenant == Some(1)) - 0.4).abs() < 0.03);
        assert_eq!(share(|r| r.over_share && r.tenant == Some(0)), 0.0);
        assert_eq!(Schedule::draw(&topology("", "", 1)).unwrap().digest, schedule.digest);
        assert_ne!(Schedule::draw(&topology("", "", 2)).unwrap().digest, schedule.digest);
    }

    #[test]
    fn waves_bursts_and_floods_change_the_rate() {
        let wave = r#"shape = { kind = "wave", swing = 0.8, period = "100s" }"#;
        let wave = Schedule::draw(&topology(wave, "", 1)).unwrap();
        assert!((between(&wave, 0, 50) / between(&wave, 50, 100) - 1.51 / 0.49).abs() < 0.3);
        let bursts = r#"shape = { kind = "bursts", factor = 5.0, every = "50s", length = "10s" }"#;
        let bursts = Schedule::draw(&topology(bursts, "", 1)).unwrap();
        assert!((between(&bursts, 0, 10) / between(&bursts, 10, 20) - 5.0).abs() < 0.7);
        assert!((between(&bursts, 0, 100) / 10_000.0 - 1.0).abs() < 0.05);
        let flood = r#"[[fault]]
            kind = "tenant_flood"
            start = "20s"
            length = "20s"
            strength = 5.0
            tenant = "b""#;
        let flood = Schedule::draw(&topology("", flood, 1)).unwrap();
        assert!((between(&flood, 20, 40) / between(&flood, 0, 20) - 3.0).abs() < 0.3);
    }

    #[test]
    fn schedule_above_the_limit_is_rejected() {
        let mut long = topology("", "", 1);
        long.rate = 1e6;
        assert!(Schedule::draw(&long).is_err());
    }

    #[test]
    fn clients_retry_only_if_that_is_safe_and_within_the_deadline() {
        const S: u64 = 1_000_000_000;
        let plain = topology(r#"retries = 2, backoff = "100ms""#, "", 1);
        let storm = r#"fault = [{ kind = "retry_storm", start = "0s", length = "1s", strength = 5.0 }]"#;
        let storm = topology(r#"retries = 2, backoff = "100ms""#, storm, 1);
        let of = |class, honours| Planned {
            due: 0,
            class,
            tenant: None,
            over_share: false,
            work: 0,
            zone: 0,
            honours,
        };
        use RequestOutcome::*;
        for (class, honours, number, ended, now, wait) in [
            (0, false, 0, Failed, S, Some(S / 10)),
            (0, false, 1, Failed, S, Some(S / 10)),
            (0, false, 2, Failed, S, None),              // no retries left
            (0, false, 0, Failed, 2 * S - S / 10, None), // the deadline leaves no time
            (0, false, 0, Served(0), 0, None),
            (1, false, 0, Failed, 0, None), // the request may have been executed
            (1, false, 0, Unreachable, 0, Some(S / 10)),
            (1, false, 0, Refused(S), 0, Some(S / 10)),
            (1, true, 0, Refused(S), 0, Some(S)),
            (1, true, 0, Refused(0), 0, Some(S / 10)),
            (2, false, 0, Failed, S / 2, Some(S / 10)),
            (2, false, 0, Failed, S + 1, None), // the deduplication window has passed
            (3, false, 0, Failed, 0, None),     // the retry may reach another cell
        ] {
            assert_eq!(
                retry_delay(&plain, &of(class, honours), number, ended, now),
                wait,
                "{class} {ended:?}"
            );
        }
        assert_eq!(retry_delay(&storm, &of(0, true), 4, Refused(S), 0), Some(0));
        assert_eq!(retry_delay(&storm, &of(0, false), 4, Failed, S), None); // the retry storm has ended
    }
}

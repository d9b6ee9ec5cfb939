//! Who asks for what when: drawn from the seed before the first request is sent.

use crate::model::{RequestOutcome, Topology};
use crate::scenario::{Effect, Group, Shape};
use crate::sockets::chance::{Chance, exponential, stream, weighted};
use rand::Rng;
use xxhash_rust::xxh3::Xxh3;

/// Requests that a schedule may have.
pub const MOST: f64 = 5e6;

/// A schedule would be longer than a tool that keeps it in memory should have it.
#[derive(Debug, thiserror::Error)]
#[error("some {0:.0} requests are too many for one run: {MOST:.0} at most")]
pub struct TooMany(f64);

/// One request, over all its tries. Times are in nanoseconds since the begin.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// When its first try is due.
    pub due: u64,
    /// Its class, as an index into the scenario's.
    pub class: usize,
    /// Its tenant, likewise.
    pub tenant: Option<usize>,
    /// It is beyond its tenant's share.
    pub over_share: bool,
    /// Its work over all tiers, as time on a core of speed 1.
    pub work: u64,
    /// The zone of its client.
    pub zone: usize,
    /// Its client stays away for as long as a refusal says.
    pub honours: bool,
}

/// A schedule.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// In the order in which they are due.
    pub requests: Vec<Planned>,
    /// Hash of it.
    pub digest: u64,
}

impl Schedule {
    /// Draws the schedule of a scenario: arrivals of a Poisson process whose rate varies, by thinning (Lewis
    /// and Shedler 1979).
    ///
    /// # Errors
    /// It would be too long.
    pub fn draw(topology: &Topology) -> Result<Schedule, TooMany> {
        let drawer = Drawer::new(topology);
        let (peak, length) = (drawer.peak(), &topology.scenario.length);
        let expected = topology.rate * peak * length.seconds();
        if expected > MOST {
            return Err(TooMany(expected));
        }
        let (mut times, mut marks) =
            (stream(topology.seed, "arrivals", 0), stream(topology.seed, "requests", 0));
        let (mut at, mut requests, mut hash) = (0.0, Vec::new(), Xxh3::new());
        let mut shares = Shares::new(topology);
        loop {
            at += exponential(1e9 / (topology.rate * peak), &mut times) as f64;
            let now = at as u64;
            if now >= length.nanos() {
                return Ok(Schedule { requests, digest: hash.digest() });
            }
            if times.random::<f64>() * peak < drawer.rate_at(now) {
                let request = drawer.request(now, &mut marks, &mut shares);
                hash.update(format!("{request:?}").as_bytes());
                requests.push(request);
            }
        }
    }
}

struct Drawer<'a> {
    topology: &'a Topology,
    classes: Vec<f64>,
    /// Usual traffic.
    tenants: Vec<f64>,
}

impl<'a> Drawer<'a> {
    fn new(topology: &'a Topology) -> Drawer<'a> {
        let scenario = &topology.scenario;
        Drawer {
            topology,
            classes: scenario.class.iter().map(|c| c.share).collect(),
            tenants: scenario.tenant.iter().map(|t| t.traffic.unwrap_or(t.share)).collect(),
        }
    }

    /// The rate at a time over its mean.
    fn rate_at(&self, at: u64) -> f64 {
        let shape = match &self.topology.scenario.clients.shape {
            Shape::Steady => 1.0,
            Shape::Wave { swing, period } => {
                let phase = at as f64 / period.nanos().max(1) as f64 * std::f64::consts::TAU;
                1.0 + swing * phase.sin()
            }
            Shape::Bursts { factor, every, length } => {
                let in_burst = at % every.nanos().max(1) < length.nanos();
                self.quiet() * if in_burst { *factor } else { 1.0 }
            }
        };
        shape * self.flooded(&self.traffic(at))
    }

    /// The rate outside of bursts, so that the mean over both is 1.
    fn quiet(&self) -> f64 {
        match &self.topology.scenario.clients.shape {
            Shape::Bursts { factor, every, length } => {
                let share = length.nanos() as f64 / every.nanos().max(1) as f64;
                1.0 / (1.0 + (factor - 1.0) * share)
            }
            _ => 1.0,
        }
    }

    /// No less than the rate ever is.
    fn peak(&self) -> f64 {
        let shape = match &self.topology.scenario.clients.shape {
            Shape::Steady => 1.0,
            Shape::Wave { swing, .. } => 1.0 + swing,
            Shape::Bursts { factor, .. } => self.quiet() * factor.max(1.0),
        };
        let floods = &self.topology.timeline.floods;
        let most =
            |tenant: u16| floods.iter().filter(|f| f.1 == tenant).map(|f| f.2.max(1.0)).product::<f64>();
        let at_most: Vec<f64> = (0..).zip(&self.tenants).map(|(t, usual)| usual * most(t)).collect();
        shape * self.flooded(&at_most)
    }

    /// What tenants' traffic with floods comes to, over the usual.
    fn flooded(&self, traffic: &[f64]) -> f64 {
        let usual: f64 = self.tenants.iter().sum();
        if usual > 0.0 { traffic.iter().sum::<f64>() / usual } else { 1.0 }
    }

    fn traffic(&self, at: u64) -> Vec<f64> {
        let flood = |tenant| self.topology.timeline.flood(tenant, at);
        (0..).zip(&self.tenants).map(|(tenant, usual)| usual * flood(tenant)).collect()
    }

    fn request(&self, due: u64, chance: &mut Chance, shares: &mut Shares) -> Planned {
        let scenario = &self.topology.scenario;
        let class = weighted(&self.classes, chance).unwrap_or(0);
        let tenant = weighted(&self.traffic(due), chance);
        Planned {
            due,
            class,
            tenant,
            over_share: tenant.is_some_and(|tenant| shares.is_over(tenant, due)),
            work: self.topology.classes[class].work.draw(chance),
            zone: scenario.proxy_zone(chance.random_range(0..self.topology.clients.max(1)) as usize),
            honours: chance.random::<f64>() < scenario.clients.honours_retry_after,
        }
    }
}

/// What each tenant may still send within its share of what the fleet can do, with a second's slack.
struct Shares {
    /// A second.
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

/// After how long a client tries again, if it does: the try with this number, from 0, ended at `now`
/// (nanoseconds since the begin).
pub fn again_in(
    topology: &Topology,
    of: &Planned,
    number: u32,
    ended: RequestOutcome,
    now: u64,
) -> Option<u64> {
    let (clients, class) = (&topology.scenario.clients, &topology.scenario.class[of.class]);
    let storm = topology.timeline.storm(now);
    let in_window = || now < of.due + class.window.map_or(0, |w| w.nanos());
    let harmless = match (ended, class.effect, class.group) {
        (RequestOutcome::Served(_), ..) => false,
        (RequestOutcome::Refused(_) | RequestOutcome::Unreachable, ..) | (_, Effect::Repeatable, _) => true,
        (RequestOutcome::Failed, Effect::ByKey, Group::All) => in_window(),
        _ => false,
    };
    let wait = match (storm, ended) {
        (Some(_), _) => 0,
        (None, RequestOutcome::Refused(come_back)) if of.honours && come_back > 0 => {
            come_back.min(topology.scenario.limits.max_retry_after.nanos())
        }
        _ => clients.backoff.nanos(),
    };
    let in_time = now + wait < of.due + class.deadline.nanos();
    (harmless && number < storm.unwrap_or(clients.retries) && in_time).then_some(wait)
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
    fn a_schedule_has_the_rate_and_the_mix_of_its_scenario_and_follows_from_the_seed() {
        let schedule = Schedule::draw(&topology("", "", 1)).unwrap();
        let all = between(&schedule, 0, 100);
        assert!((9_600.0..10_400.0).contains(&all), "{all}");
        assert!(schedule.requests.is_sorted_by_key(|r| r.due));
        let share =
            |pred: fn(&Planned) -> bool| schedule.requests.iter().filter(|r| pred(r)).count() as f64 / all;
        assert!((share(|r| r.class == 0) - 0.5).abs() < 0.03);
        assert!((share(|r| r.tenant == Some(1)) - 0.5).abs() < 0.03);
        // Half of 100 a second, where a hundredth of 1000 is its share.
        assert!((share(|r| r.over_share && r.tenant == Some(1)) - 0.4).abs() < 0.03);
        assert_eq!(share(|r| r.over_share && r.tenant == Some(0)), 0.0);
        assert_eq!(Schedule::draw(&topology("", "", 1)).unwrap().digest, schedule.digest);
        assert_ne!(Schedule::draw(&topology("", "", 2)).unwrap().digest, schedule.digest);
    }

    #[test]
    fn waves_bursts_and_floods_vary_it() {
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
    fn a_schedule_that_is_too_long_is_an_error() {
        let mut long = topology("", "", 1);
        long.rate = 1e6;
        assert!(Schedule::draw(&long).is_err());
    }

    #[test]
    fn clients_try_again_where_that_is_harmless_and_there_is_time() {
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
            (0, false, 2, Failed, S, None),              // no more tries
            (0, false, 0, Failed, 2 * S - S / 10, None), // no more time
            (0, false, 0, Served(0), 0, None),
            (1, false, 0, Failed, 0, None), // it may have run
            (1, false, 0, Unreachable, 0, Some(S / 10)),
            (1, false, 0, Refused(S), 0, Some(S / 10)),
            (1, true, 0, Refused(S), 0, Some(S)),
            (1, true, 0, Refused(0), 0, Some(S / 10)),
            (2, false, 0, Failed, S / 2, Some(S / 10)),
            (2, false, 0, Failed, S + 1, None), // its key may be forgotten
            (3, false, 0, Failed, 0, None),     // it may go to another cell
        ] {
            assert_eq!(again_in(&plain, &of(class, honours), number, ended, now), wait, "{class} {ended:?}");
        }
        assert_eq!(again_in(&storm, &of(0, true), 4, Refused(S), 0), Some(0));
        assert_eq!(again_in(&storm, &of(0, false), 4, Failed, S), None); // it is over
    }
}

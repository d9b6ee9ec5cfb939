//! Slow start over all replicas: the work that they send together to an endpoint that has just started, in
//! virtual time. In any `overload_window`, the sum over replicas is at most N + 2 x root of N + 2, where N
//! is the work that the settings allow and the rest is for random variation.

mod common;
use common::*;
use olivecart_decisions::*;
use std::collections::{BTreeMap, VecDeque};

const ENDPOINTS: u32 = 10;
const SEEDS: u64 = 20;
const MEAN_DURATION_NS: f64 = 50e6;
/// Requests per second of all replicas together. A warm endpoint receives this divided by [`ENDPOINTS`].
const REQUESTS_PER_S: f64 = 200.0;
const WARM_UP_TIME: Nanos = 8 * S;
const START: Nanos = 1000 * S;
/// The work of a health check, in requests of mean work.
const HEALTH_CHECK_WORK: f64 = 0.05;

/// The load, and the conditions besides the restart of endpoints.
#[derive(Clone, Copy, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each is an independent condition of the test")]
struct Workload {
    replicas: u32,
    seed: u64,
    /// Every fifth replica has ten times the request rate of the others.
    unequal: bool,
    /// The number of endpoints that restart.
    restarts: u32,
    /// Replicas are replaced one after another by replicas without learned state.
    replicas_restart: bool,
    /// During slow start, seven in ten replicas are replaced at once.
    replicas_fail: bool,
    /// One request in ten is ten times as heavy as the others.
    heavy: bool,
    /// One request in ten is of a class ten times as heavy, without a work estimate.
    classes: bool,
    /// One response in twenty is an error, and the request is retried at another endpoint.
    errors: bool,
    /// The restarted endpoints fail their health checks for 3 s and then pass them at the same time.
    fails_checks: bool,
    /// Clients pause for 3 s and resume at the same time.
    pause: bool,
}

enum Occurrence {
    Arrive(usize),
    Ends { replica: usize, incarnation: u32, request: u64, attempt: u32, outcome: Outcome },
    Timer { replica: usize, incarnation: u32, timer: Timer },
    EndpointsStart,
    Checks { pass: bool },
    ReplicaRestarts(usize),
    ReplicasFail,
}

struct Replica {
    balancer: Balancer,
    incarnation: u32,
    requests_per_s: f64,
}

/// An attempt: its endpoint, start time and work; the work is negative once it has ended.
type Attempt = (EndpointId, Nanos, f64);

struct Fleet {
    workload: Workload,
    settings: Settings,
    rng: fastrand::Rng,
    now: Nanos,
    queue: BTreeMap<(Nanos, u64), Occurrence>,
    count: u64,
    replicas: Vec<Replica>,
    entries: Vec<EndpointEntry>,
    in_flight: BTreeMap<(usize, u32, u64, u32), Attempt>,
    work: BTreeMap<(usize, u32, u64), f64>,
    /// The time and the work of each arrival, by endpoint.
    arrivals: Vec<Vec<(Nanos, f64)>>,
}

fn rules(mut settings: Settings) -> Settings {
    (settings.rules.slow_start_window, settings.rules.poll_interval) = (10 * S, 4 * S);
    settings
}

impl Fleet {
    fn new(workload: Workload) -> Fleet {
        let mut settings = rules(settings(Idempotency::Idempotent));
        if workload.classes {
            settings.classes.push(Class {
                latency_objective: 2 * S,
                client_deadline: 6 * S,
                ..class(Idempotency::Idempotent)
            });
        }
        let weight =
            |replica_index: u32| if workload.unequal && replica_index.is_multiple_of(5) { 10.0 } else { 1.0 };
        let all: f64 = (0..workload.replicas).map(weight).sum();
        let mut fleet = Fleet {
            settings,
            rng: fastrand::Rng::with_seed(workload.seed),
            now: START,
            queue: BTreeMap::new(),
            count: 0,
            replicas: Vec::new(),
            entries: endpoint_entries(ENDPOINTS),
            in_flight: BTreeMap::new(),
            work: BTreeMap::new(),
            arrivals: vec![Vec::new(); ENDPOINTS as usize],
            workload,
        };
        for replica_index in 0..workload.replicas {
            let balancer = fleet.balancer(replica_index, 0);
            fleet.replicas.push(Replica {
                balancer,
                incarnation: 0,
                requests_per_s: REQUESTS_PER_S * weight(replica_index) / all,
            });
        }
        for replica in 0..fleet.replicas.len() {
            fleet.handle(replica, Event::Endpoints(EndpointUpdate::Cached(fleet.entries.clone())));
            fleet.next_arrival(replica);
        }
        let restart = START + WARM_UP_TIME;
        fleet.schedule(restart, Occurrence::EndpointsStart);
        if workload.replicas_restart {
            let every = fleet.settings.rules.slow_start_window / u64::from(workload.replicas);
            for replica in 0..workload.replicas {
                let at = restart + u64::from(replica) * every + fleet.rng.u64(0..every);
                fleet.schedule(at, Occurrence::ReplicaRestarts(replica as usize));
            }
        }
        if workload.replicas_fail {
            fleet.schedule(restart + S, Occurrence::ReplicasFail);
        }
        if workload.fails_checks {
            fleet.schedule(restart + S, Occurrence::Checks { pass: false });
            fleet.schedule(restart + 4 * S, Occurrence::Checks { pass: true });
        }
        fleet
    }

    fn schedule(&mut self, at: Nanos, occurrence: Occurrence) {
        self.count += 1;
        self.queue.insert((at, self.count), occurrence);
    }

    fn balancer(&self, replica_index: u32, incarnation: u32) -> Balancer {
        let settings =
            Settings { replica_index, replica_count: self.workload.replicas, ..self.settings.clone() };
        let seed = self.workload.seed * 100_003 + u64::from(replica_index) * 101 + u64::from(incarnation);
        Balancer::new(settings, seed, self.now)
    }

    fn next_arrival(&mut self, replica: usize) {
        let wait = (-(1.0 - self.rng.f64()).ln() / self.replicas[replica].requests_per_s * 1e9) as Nanos;
        let mut at = self.now + wait;
        let quiet = START + WARM_UP_TIME + S;
        if self.workload.pause && (quiet..quiet + 3 * S).contains(&at) {
            at += 3 * S;
        }
        self.schedule(at, Occurrence::Arrive(replica));
    }

    fn handle(&mut self, replica: usize, event: Event) {
        let mut actions = Vec::new();
        self.replicas[replica].balancer.handle(self.now, event, &mut actions);
        let incarnation = self.replicas[replica].incarnation;
        for action in actions {
            match action {
                Action::StartAttempt { request, endpoint, .. } => self.send(replica, request.0, endpoint),
                Action::CancelAttempt { request, attempt } => {
                    let (request, outcome) = (request.0, Outcome::Cancelled);
                    self.schedule(
                        self.now,
                        Occurrence::Ends { replica, incarnation, request, attempt, outcome },
                    );
                }
                Action::StartHealthCheck(endpoint) => {
                    self.arrivals[endpoint.0 as usize].push((self.now, HEALTH_CHECK_WORK));
                }
                Action::SetTimer { at, timer } => {
                    self.schedule(at, Occurrence::Timer { replica, incarnation, timer });
                }
                Action::Shed { request, .. } | Action::Fail(request) => {
                    self.work.remove(&(replica, incarnation, request.0));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, replica: usize, request: u64, endpoint: EndpointId) {
        let incarnation = self.replicas[replica].incarnation;
        let work = self.work[&(replica, incarnation, request)];
        let attempt = (0..=u32::MAX)
            .find(|n| !self.in_flight.contains_key(&(replica, incarnation, request, *n)))
            .expect("a free attempt number");
        self.in_flight.insert((replica, incarnation, request, attempt), (endpoint, self.now, work));
        self.arrivals[endpoint.0 as usize].push((self.now, work));
        let duration = (MEAN_DURATION_NS * work * (0.5 + self.rng.f64())) as Nanos;
        let error = self.workload.errors && self.rng.f64() < 0.05;
        let outcome = if error { Outcome::Error } else { Outcome::Ok };
        self.schedule(
            self.now + duration,
            Occurrence::Ends { replica, incarnation, request, attempt, outcome },
        );
    }

    fn restart(&mut self, replica: usize) {
        let incarnation = self.replicas[replica].incarnation + 1;
        self.replicas[replica].balancer = self.balancer(replica as u32, incarnation);
        self.replicas[replica].incarnation = incarnation;
        self.handle(replica, Event::Endpoints(EndpointUpdate::Cached(self.entries.clone())));
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each kind of occurrence")]
    #[expect(clippy::needless_pass_by_value, reason = "an occurrence is applied only once")]
    fn apply(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Arrive(replica) => {
                self.next_arrival(replica);
                self.count += 1;
                let request = self.count;
                // Work in units of the mean, which is 1 in each case. Half of it is proportional to the
                // estimate.
                let rare = self.rng.u32(0..10) == 0;
                let (class, cost, work) = match (self.workload.heavy, self.workload.classes) {
                    (true, _) => (0, Some(if rare { 100 * MS } else { 0 }), if rare { 5.5 } else { 0.5 }),
                    (_, true) => (u16::from(rare), None, if rare { 10.0 / 1.9 } else { 1.0 / 1.9 }),
                    _ => (0, None, 1.0),
                };
                self.work.insert((replica, self.replicas[replica].incarnation, request), work);
                let new_request =
                    Request { estimated_work: cost, ..Request::new(RequestId(request), ClassId(class), S) };
                self.handle(replica, Event::RequestArrived(new_request));
            }
            Occurrence::Ends { replica, incarnation, request, attempt, outcome }
                if incarnation == self.replicas[replica].incarnation =>
            {
                let Some((endpoint, since, work)) =
                    self.in_flight.get(&(replica, incarnation, request, attempt)).copied()
                else {
                    return;
                };
                if work < 0.0 {
                    return; // ended before
                }
                self.in_flight.insert((replica, incarnation, request, attempt), (endpoint, since, -1.0));
                let (duration, request_completed) = (self.now - since, outcome == Outcome::Ok);
                let (request, load) = (RequestId(request), None);
                let end =
                    AttemptEnd { request, attempt, endpoint, outcome, duration, request_completed, load };
                self.handle(replica, Event::AttemptEnded(end));
            }
            Occurrence::Timer { replica, incarnation, timer }
                if incarnation == self.replicas[replica].incarnation =>
            {
                self.handle(replica, Event::TimerFired(timer));
            }
            Occurrence::Ends { .. } | Occurrence::Timer { .. } => {} // of a replica that was replaced
            Occurrence::EndpointsStart => {
                for entry in &mut self.entries[..self.workload.restarts as usize] {
                    entry.started = Some(self.now);
                }
                let changed = self.entries[..self.workload.restarts as usize].to_vec();
                for replica in 0..self.replicas.len() {
                    self.handle(replica, Event::Endpoints(EndpointUpdate::Delta(changed.clone())));
                }
            }
            Occurrence::Checks { pass } => {
                let outcome = if pass { Outcome::Ok } else { Outcome::Timeout };
                for replica in 0..self.replicas.len() {
                    for endpoint in (0..self.workload.restarts).map(EndpointId) {
                        self.handle(
                            replica,
                            Event::HealthCheckCompleted { endpoint, outcome, duration: MS, load: None },
                        );
                    }
                }
            }
            Occurrence::ReplicaRestarts(replica) => self.restart(replica),
            Occurrence::ReplicasFail => {
                (0..self.replicas.len()).filter(|n| n % 10 < 7).for_each(|replica| self.restart(replica));
            }
        }
    }

    fn run(mut self) -> Vec<SlowStartLoad> {
        let end = START + WARM_UP_TIME + self.settings.rules.slow_start_window;
        while let Some(((at, _), occurrence)) = self.queue.pop_first().filter(|((at, _), _)| *at < end) {
            self.now = at;
            self.apply(occurrence);
        }
        (0..self.workload.restarts as usize)
            .map(|n| SlowStartLoad::of(&self.arrivals[n], &self.settings.rules))
            .collect()
    }
}

/// The work sent to one endpoint in slow start.
struct SlowStartLoad {
    /// The window with the highest ratio to the bound: the endpoint's age in seconds, the sum, and N.
    worst: (f64, f64, f64),
    /// The work received, as a share of the work that the settings allow.
    used: f64,
}

fn bound(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

impl SlowStartLoad {
    fn of(arrivals: &[(Nanos, f64)], rules: &Rules) -> SlowStartLoad {
        let began = START + WARM_UP_TIME;
        let allowed = |at: Nanos| {
            let age = (at - began) as f64 / rules.slow_start_window as f64;
            let share = rules.slow_start_initial_share + (1.0 - rules.slow_start_initial_share) * age;
            rules.overload_multiple * share * REQUESTS_PER_S / f64::from(ENDPOINTS)
                * rules.overload_window as f64
                / 1e9
        };
        let (mut window, mut sum, mut all) = (VecDeque::new(), 0.0, 0.0);
        let mut worst = (0.0, 0.0, allowed(began));
        for &(at, work) in arrivals.iter().filter(|(at, _)| *at >= began) {
            window.push_back((at, work));
            (sum, all) = (sum + work, all + work);
            while let Some((_, old)) =
                window.front().copied().filter(|(t, _)| t + rules.overload_window <= at)
            {
                window.pop_front();
                sum -= old;
            }
            let n = allowed(at);
            if sum / bound(n) > worst.1 / bound(worst.2) {
                worst = ((at - began) as f64 / 1e9, sum, n);
            }
        }
        let middle = allowed(began + rules.slow_start_window / 2);
        SlowStartLoad {
            worst,
            used: all / (middle * rules.slow_start_window as f64 / rules.overload_window as f64),
        }
    }
}

/// Runs a workload with all seeds and replica counts. Fails if the sum of a window exceeds the bound, or
/// if less than the share `min_share` of the allowed work was sent.
fn check_workload(min_share: f64, workload: Workload) {
    let mut broken = Vec::new();
    for replicas in [1, 2, 3, 7, 20, 30, 60] {
        let (mut worst, mut used, mut min_used) = ((0.0, 0.0, 1.0), 0.0, f64::MAX);
        for seed in 0..SEEDS {
            for load in Fleet::new(Workload { replicas, seed, ..workload }).run() {
                let (_, sum, n) = load.worst;
                if sum / bound(n) > worst.1 / bound(worst.2) {
                    worst = load.worst;
                }
                used += load.used / (SEEDS as f64 * f64::from(workload.restarts));
                min_used = load.used.min(min_used);
            }
        }
        let (at, sum, n) = worst;
        let line = format!(
            "{replicas:2} replicas: {sum:5.1} of {:5.1} (N {n:4.1}) after {at:.1} s; \
             {used:.2} of the allowed work sent, at least {min_used:.2}",
            bound(n)
        );
        println!("{line}");
        if sum > bound(n) || used < min_share {
            broken.push(line);
        }
    }
    assert!(broken.is_empty(), "\n{}", broken.join("\n"));
}

#[test]
fn slow_start_load_is_bounded_with_equal_replicas() {
    check_workload(0.25, Workload { restarts: 1, ..Workload::default() });
}

#[test]
fn slow_start_load_is_bounded_with_unequal_replicas() {
    check_workload(0.25, Workload { restarts: 1, unequal: true, ..Workload::default() });
}

#[test]
fn slow_start_load_is_bounded_for_several_endpoints() {
    check_workload(0.25, Workload { restarts: 4, ..Workload::default() });
}

#[test]
fn slow_start_load_is_bounded_while_replicas_restart() {
    check_workload(
        0.25,
        Workload { restarts: 1, replicas_restart: true, unequal: true, ..Workload::default() },
    );
    check_workload(0.25, Workload { restarts: 2, replicas_fail: true, ..Workload::default() });
}

#[test]
fn slow_start_load_is_bounded_with_heavy_requests_and_retries() {
    check_workload(0.25, Workload { restarts: 1, heavy: true, errors: true, ..Workload::default() });
}

#[test]
fn slow_start_load_is_bounded_with_classes_of_different_work() {
    check_workload(0.25, Workload { restarts: 1, classes: true, ..Workload::default() });
}

#[test]
fn slow_start_load_is_bounded_after_a_pause() {
    check_workload(0.1, Workload { restarts: 1, fails_checks: true, ..Workload::default() });
    check_workload(0.1, Workload { restarts: 1, pause: true, ..Workload::default() });
}

//! Slow start for the fleet: what all replicas together send to an endpoint that has just started, in virtual
//! time. The sum over replicas is what is bounded: in any `overload_window` it is at most N, what the
//! settings allow, and 2 x root of N + 2 for chance.

mod common;
use common::*;
use olivecart_decisions::*;
use std::collections::{BTreeMap, VecDeque};

const ENDPOINTS: u32 = 10;
const SEEDS: u64 = 20;
const USUAL: f64 = 50e6;
/// Requests a second of all replicas together, and with it of an endpoint while all are warm.
const PER_S: f64 = 200.0;
const WARM_UP: Nanos = 8 * S;
const START: Nanos = 1000 * S;
/// What a check costs an endpoint, in calls of mean work.
const CHECK: f64 = 0.05;

/// What happens besides the restart of endpoints.
#[derive(Clone, Copy, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each is one thing that may happen besides the restart")]
struct Workload {
    replicas: u32,
    seed: u64,
    /// Every fifth replica is ten times as busy as the others.
    uneven: bool,
    /// How many endpoints restart.
    restarts: u32,
    /// One replica after the other is replaced by one that knows the list only.
    replicas_restart: bool,
    /// During slow start seven in ten replicas are replaced at once.
    replicas_fail: bool,
    /// One request in ten is ten times as heavy as the others.
    heavy: bool,
    /// One request in ten is of a class ten times as heavy, and nothing hints at that.
    classes: bool,
    /// One answer in twenty is an error, and is tried again elsewhere.
    errors: bool,
    /// The endpoints that restarted fail their checks for a while, and then pass them at the same moment.
    away: bool,
    /// Clients pause for a while and come back together.
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
    per_s: f64,
}

/// An attempt: where, since when, of what work.
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
    /// Work that reached each endpoint, with its time.
    arrivals: Vec<Vec<(Nanos, f64)>>,
}

fn rules(mut s: Settings) -> Settings {
    (s.rules.slow_start_window, s.rules.poll_interval) = (10 * S, 4 * S);
    s
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
        let weight = |me: u32| if workload.uneven && me.is_multiple_of(5) { 10.0 } else { 1.0 };
        let all: f64 = (0..workload.replicas).map(weight).sum();
        let mut fleet = Fleet {
            settings,
            rng: fastrand::Rng::with_seed(workload.seed),
            now: START,
            queue: BTreeMap::new(),
            count: 0,
            replicas: Vec::new(),
            entries: list(ENDPOINTS),
            in_flight: BTreeMap::new(),
            work: BTreeMap::new(),
            arrivals: vec![Vec::new(); ENDPOINTS as usize],
            workload,
        };
        for me in 0..workload.replicas {
            let balancer = fleet.balancer(me, 0);
            fleet.replicas.push(Replica { balancer, incarnation: 0, per_s: PER_S * weight(me) / all });
        }
        for replica in 0..fleet.replicas.len() {
            fleet.tell(replica, Event::Endpoints(EndpointUpdate::Cached(fleet.entries.clone())));
            fleet.next_arrival(replica);
        }
        let restart = START + WARM_UP;
        fleet.at(restart, Occurrence::EndpointsStart);
        if workload.replicas_restart {
            let every = fleet.settings.rules.slow_start_window / u64::from(workload.replicas);
            for replica in 0..workload.replicas {
                let at = restart + u64::from(replica) * every + fleet.rng.u64(0..every);
                fleet.at(at, Occurrence::ReplicaRestarts(replica as usize));
            }
        }
        if workload.replicas_fail {
            fleet.at(restart + S, Occurrence::ReplicasFail);
        }
        if workload.away {
            fleet.at(restart + S, Occurrence::Checks { pass: false });
            fleet.at(restart + 4 * S, Occurrence::Checks { pass: true });
        }
        fleet
    }

    fn at(&mut self, at: Nanos, what: Occurrence) {
        self.count += 1;
        self.queue.insert((at, self.count), what);
    }

    fn balancer(&self, me: u32, incarnation: u32) -> Balancer {
        let settings =
            Settings { replica_index: me, replica_count: self.workload.replicas, ..self.settings.clone() };
        let seed = self.workload.seed * 100_003 + u64::from(me) * 101 + u64::from(incarnation);
        Balancer::new(settings, seed, self.now)
    }

    fn next_arrival(&mut self, replica: usize) {
        let wait = (-(1.0 - self.rng.f64()).ln() / self.replicas[replica].per_s * 1e9) as Nanos;
        let mut at = self.now + wait;
        let quiet = START + WARM_UP + S;
        if self.workload.pause && (quiet..quiet + 3 * S).contains(&at) {
            at += 3 * S;
        }
        self.at(at, Occurrence::Arrive(replica));
    }

    fn tell(&mut self, replica: usize, event: Event) {
        let mut actions = Vec::new();
        self.replicas[replica].balancer.handle(self.now, event, &mut actions);
        let incarnation = self.replicas[replica].incarnation;
        for action in actions {
            match action {
                Action::StartAttempt { request, endpoint, .. } => self.send(replica, request.0, endpoint),
                Action::CancelAttempt { request, attempt } => {
                    let (request, outcome) = (request.0, Outcome::Cancelled);
                    self.at(self.now, Occurrence::Ends { replica, incarnation, request, attempt, outcome });
                }
                Action::StartHealthCheck(endpoint) => {
                    self.arrivals[endpoint.0 as usize].push((self.now, CHECK));
                }
                Action::SetTimer { at, timer } => {
                    self.at(at, Occurrence::Timer { replica, incarnation, timer });
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
            .expect("a number");
        self.in_flight.insert((replica, incarnation, request, attempt), (endpoint, self.now, work));
        self.arrivals[endpoint.0 as usize].push((self.now, work));
        let duration = (USUAL * work * (0.5 + self.rng.f64())) as Nanos;
        let error = self.workload.errors && self.rng.f64() < 0.05;
        let outcome = if error { Outcome::Error } else { Outcome::Ok };
        self.at(self.now + duration, Occurrence::Ends { replica, incarnation, request, attempt, outcome });
    }

    fn restart(&mut self, replica: usize) {
        let incarnation = self.replicas[replica].incarnation + 1;
        self.replicas[replica].balancer = self.balancer(replica as u32, incarnation);
        self.replicas[replica].incarnation = incarnation;
        self.tell(replica, Event::Endpoints(EndpointUpdate::Cached(self.entries.clone())));
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each kind of occurrence")]
    #[expect(clippy::needless_pass_by_value, reason = "an occurrence is over once it is applied")]
    fn apply(&mut self, what: Occurrence) {
        match what {
            Occurrence::Arrive(replica) => {
                self.next_arrival(replica);
                self.count += 1;
                let request = self.count;
                // In units of the mean, which is 1 in each case. Half of a duration follows the hint.
                let rare = self.rng.u32(0..10) == 0;
                let (class, cost, work) = match (self.workload.heavy, self.workload.classes) {
                    (true, _) => (0, Some(if rare { 100 * MS } else { 0 }), if rare { 5.5 } else { 0.5 }),
                    (_, true) => (u16::from(rare), None, if rare { 10.0 / 1.9 } else { 1.0 / 1.9 }),
                    _ => (0, None, 1.0),
                };
                self.work.insert((replica, self.replicas[replica].incarnation, request), work);
                let r =
                    Request { estimated_work: cost, ..Request::new(RequestId(request), ClassId(class), S) };
                self.tell(replica, Event::RequestArrived(r));
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
                let (duration, over) = (self.now - since, outcome == Outcome::Ok);
                let (request, load) = (RequestId(request), None);
                let end = AttemptEnd {
                    request,
                    attempt,
                    endpoint,
                    outcome,
                    duration,
                    request_completed: over,
                    load,
                };
                self.tell(replica, Event::AttemptEnded(end));
            }
            Occurrence::Timer { replica, incarnation, timer }
                if incarnation == self.replicas[replica].incarnation =>
            {
                self.tell(replica, Event::TimerFired(timer));
            }
            Occurrence::Ends { .. } | Occurrence::Timer { .. } => {} // of a replica that is no more
            Occurrence::EndpointsStart => {
                for entry in &mut self.entries[..self.workload.restarts as usize] {
                    entry.started = Some(self.now);
                }
                let changed = self.entries[..self.workload.restarts as usize].to_vec();
                for replica in 0..self.replicas.len() {
                    self.tell(replica, Event::Endpoints(EndpointUpdate::Delta(changed.clone())));
                }
            }
            Occurrence::Checks { pass } => {
                let outcome = if pass { Outcome::Ok } else { Outcome::Timeout };
                for replica in 0..self.replicas.len() {
                    for endpoint in (0..self.workload.restarts).map(EndpointId) {
                        self.tell(
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

    fn play(mut self) -> Vec<SlowStartLoad> {
        let end = START + WARM_UP + self.settings.rules.slow_start_window;
        while let Some(((at, _), what)) = self.queue.pop_first().filter(|((at, _), _)| *at < end) {
            self.now = at;
            self.apply(what);
        }
        (0..self.workload.restarts as usize)
            .map(|n| SlowStartLoad::of(&self.arrivals[n], &self.settings.rules))
            .collect()
    }
}

/// What one endpoint in slow start was sent.
struct SlowStartLoad {
    /// The window that came nearest to the bound, or passed it farthest: its age, sum, N.
    worst: (f64, f64, f64),
    /// All that it got, over all that the settings allow.
    used: f64,
}

fn bound(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

impl SlowStartLoad {
    fn of(arrivals: &[(Nanos, f64)], rules: &Rules) -> SlowStartLoad {
        let began = START + WARM_UP;
        let allowed = |at: Nanos| {
            let age = (at - began) as f64 / rules.slow_start_window as f64;
            let share = rules.slow_start_initial_share + (1.0 - rules.slow_start_initial_share) * age;
            rules.overload_multiple * share * PER_S / f64::from(ENDPOINTS) * rules.overload_window as f64
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

/// Plays a workload on all seeds and numbers of replicas.
fn check(least: f64, workload: Workload) {
    let mut broken = Vec::new();
    for replicas in [1, 2, 3, 7, 20, 30, 60] {
        let (mut far, mut used, mut few) = ((0.0, 0.0, 1.0), 0.0, f64::MAX);
        for seed in 0..SEEDS {
            for ramp in Fleet::new(Workload { replicas, seed, ..workload }).play() {
                let (_, sum, n) = ramp.worst;
                if sum / bound(n) > far.1 / bound(far.2) {
                    far = ramp.worst;
                }
                used += ramp.used / (SEEDS as f64 * f64::from(workload.restarts));
                few = ramp.used.min(few);
            }
        }
        let (at, sum, n) = far;
        let line = format!(
            "{replicas:2} replicas: {sum:5.1} of {:5.1} (N {n:4.1}) after {at:.1} s; \
             in all {used:.2} of what is allowed, at least {few:.2}",
            bound(n)
        );
        println!("{line}");
        if sum > bound(n) || used < least {
            broken.push(line);
        }
    }
    assert!(broken.is_empty(), "\n{}", broken.join("\n"));
}

#[test]
fn slow_start_holds_with_even_replicas() {
    check(0.25, Workload { restarts: 1, ..Workload::default() });
}

#[test]
fn slow_start_holds_with_uneven_replicas() {
    check(0.25, Workload { restarts: 1, uneven: true, ..Workload::default() });
}

#[test]
fn slow_start_holds_for_several_endpoints() {
    check(0.25, Workload { restarts: 4, ..Workload::default() });
}

#[test]
fn slow_start_holds_while_replicas_restart() {
    check(0.25, Workload { restarts: 1, replicas_restart: true, uneven: true, ..Workload::default() });
    check(0.25, Workload { restarts: 2, replicas_fail: true, ..Workload::default() });
}

#[test]
fn slow_start_holds_with_heavy_requests_and_retries() {
    check(0.25, Workload { restarts: 1, heavy: true, errors: true, ..Workload::default() });
}

#[test]
fn slow_start_holds_with_classes_of_different_work() {
    check(0.25, Workload { restarts: 1, classes: true, ..Workload::default() });
}

#[test]
fn slow_start_holds_after_a_pause() {
    check(0.1, Workload { restarts: 1, away: true, ..Workload::default() });
    check(0.1, Workload { restarts: 1, pause: true, ..Workload::default() });
}

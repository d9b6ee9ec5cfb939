//! Rule 4 for the fleet: what all copies together send to a cold endpoint, in virtual time. The sum over
//! copies is what is bounded: in any window of `fall` it is at most N, what the settings allow, and
//! 2 x root of N + 2 for chance.

mod common;
use common::*;
use olivecart_decisions::*;
use std::collections::{BTreeMap, VecDeque};

const ENDPOINTS: u32 = 10;
const SEEDS: u64 = 20;
const USUAL: f64 = 50e6;
/// Requests a second of all copies together, and with it of an endpoint while all are warm.
const PER_S: f64 = 200.0;
const WARM_UP: Nanos = 8 * S;
const START: Nanos = 1000 * S;
/// What a check costs an endpoint, in calls of mean work.
const CHECK: f64 = 0.05;

/// What happens besides the restart of endpoints.
#[derive(Clone, Copy, Default)]
struct Day {
    copies: u32,
    seed: u64,
    /// Every fifth copy is ten times as busy as the others.
    uneven: bool,
    /// How many endpoints restart cold.
    restarts: u32,
    /// One copy after the other is replaced by one that knows the list only.
    copies_restart: bool,
    /// In the cold time seven in ten copies are replaced at once.
    copies_fall: bool,
    /// One request in ten is ten times as heavy as the others.
    heavy: bool,
    /// One request in ten is of a class ten times as heavy, and nothing hints at that.
    classes: bool,
    /// One answer in twenty is an error, and is tried again elsewhere.
    errors: bool,
    /// The cold endpoints fail their checks for a while, and then pass them at the same moment.
    away: bool,
    /// Clients pause for a while and come back together.
    pause: bool,
}

enum Happens {
    Arrive(usize),
    Ends { copy: usize, life: u32, request: u64, attempt: u32, outcome: Outcome },
    Timer { copy: usize, life: u32, timer: Timer },
    EndpointsStart,
    Checks { pass: bool },
    CopyRestarts(usize),
    CopiesFall,
}

struct Copy {
    balancer: Balancer,
    life: u32,
    per_s: f64,
}

/// An attempt: where, since when, of what work.
type Attempt = (EndpointId, Nanos, f64);

struct Fleet {
    day: Day,
    settings: Settings,
    rng: fastrand::Rng,
    now: Nanos,
    queue: BTreeMap<(Nanos, u64), Happens>,
    count: u64,
    copies: Vec<Copy>,
    entries: Vec<EndpointEntry>,
    out: BTreeMap<(usize, u32, u64, u32), Attempt>,
    work: BTreeMap<(usize, u32, u64), f64>,
    /// Work that reached each endpoint, with its moment.
    came: Vec<Vec<(Nanos, f64)>>,
}

fn rules(mut s: Settings) -> Settings {
    (s.rules.slow_start_window, s.rules.poll_interval) = (10 * S, 4 * S);
    s
}

impl Fleet {
    fn new(day: Day) -> Fleet {
        let mut settings = rules(settings(Idempotency::Idempotent));
        if day.classes {
            settings.classes.push(Class {
                latency_objective: 2 * S,
                client_deadline: 6 * S,
                ..class(Idempotency::Idempotent)
            });
        }
        let weight = |me: u32| if day.uneven && me.is_multiple_of(5) { 10.0 } else { 1.0 };
        let all: f64 = (0..day.copies).map(weight).sum();
        let mut fleet = Fleet {
            settings,
            rng: fastrand::Rng::with_seed(day.seed),
            now: START,
            queue: BTreeMap::new(),
            count: 0,
            copies: Vec::new(),
            entries: list(ENDPOINTS),
            out: BTreeMap::new(),
            work: BTreeMap::new(),
            came: vec![Vec::new(); ENDPOINTS as usize],
            day,
        };
        for me in 0..day.copies {
            let balancer = fleet.balancer(me, 0);
            fleet.copies.push(Copy { balancer, life: 0, per_s: PER_S * weight(me) / all });
        }
        for copy in 0..fleet.copies.len() {
            fleet.tell(copy, Event::Endpoints(EndpointUpdate::Cached(fleet.entries.clone())));
            fleet.next_arrival(copy);
        }
        let cold = START + WARM_UP;
        fleet.at(cold, Happens::EndpointsStart);
        if day.copies_restart {
            let every = fleet.settings.rules.slow_start_window / u64::from(day.copies);
            for copy in 0..day.copies {
                let at = cold + u64::from(copy) * every + fleet.rng.u64(0..every);
                fleet.at(at, Happens::CopyRestarts(copy as usize));
            }
        }
        if day.copies_fall {
            fleet.at(cold + S, Happens::CopiesFall);
        }
        if day.away {
            fleet.at(cold + S, Happens::Checks { pass: false });
            fleet.at(cold + 4 * S, Happens::Checks { pass: true });
        }
        fleet
    }

    fn at(&mut self, at: Nanos, what: Happens) {
        self.count += 1;
        self.queue.insert((at, self.count), what);
    }

    fn balancer(&self, me: u32, life: u32) -> Balancer {
        let settings =
            Settings { replica_index: me, replica_count: self.day.copies, ..self.settings.clone() };
        let seed = self.day.seed * 100_003 + u64::from(me) * 101 + u64::from(life);
        Balancer::new(settings, seed, self.now)
    }

    fn next_arrival(&mut self, copy: usize) {
        let wait = (-(1.0 - self.rng.f64()).ln() / self.copies[copy].per_s * 1e9) as Nanos;
        let mut at = self.now + wait;
        let quiet = START + WARM_UP + S;
        if self.day.pause && (quiet..quiet + 3 * S).contains(&at) {
            at += 3 * S;
        }
        self.at(at, Happens::Arrive(copy));
    }

    fn tell(&mut self, copy: usize, event: Event) {
        let mut actions = Vec::new();
        self.copies[copy].balancer.handle(self.now, event, &mut actions);
        let life = self.copies[copy].life;
        for action in actions {
            match action {
                Action::StartAttempt { request, endpoint, .. } => self.send(copy, request.0, endpoint),
                Action::CancelAttempt { request, attempt } => {
                    let (request, outcome) = (request.0, Outcome::Cancelled);
                    self.at(self.now, Happens::Ends { copy, life, request, attempt, outcome });
                }
                Action::StartHealthCheck(endpoint) => self.came[endpoint.0 as usize].push((self.now, CHECK)),
                Action::SetTimer { at, timer } => self.at(at, Happens::Timer { copy, life, timer }),
                Action::Shed { request, .. } | Action::Fail(request) => {
                    self.work.remove(&(copy, life, request.0));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, copy: usize, request: u64, endpoint: EndpointId) {
        let life = self.copies[copy].life;
        let work = self.work[&(copy, life, request)];
        let attempt = (0..).find(|n| !self.out.contains_key(&(copy, life, request, *n))).expect("a number");
        self.out.insert((copy, life, request, attempt), (endpoint, self.now, work));
        self.came[endpoint.0 as usize].push((self.now, work));
        let took = (USUAL * work * (0.5 + self.rng.f64())) as Nanos;
        let error = self.day.errors && self.rng.f64() < 0.05;
        let outcome = if error { Outcome::Error } else { Outcome::Ok };
        self.at(self.now + took, Happens::Ends { copy, life, request, attempt, outcome });
    }

    fn restart(&mut self, copy: usize) {
        let life = self.copies[copy].life + 1;
        self.copies[copy].balancer = self.balancer(copy as u32, life);
        self.copies[copy].life = life;
        self.tell(copy, Event::Endpoints(EndpointUpdate::Cached(self.entries.clone())));
    }

    fn happen(&mut self, what: Happens) {
        match what {
            Happens::Arrive(copy) => {
                self.next_arrival(copy);
                self.count += 1;
                let request = self.count;
                // In units of the mean, which is 1 in each case. Half of a duration follows the hint.
                let rare = self.rng.u32(0..10) == 0;
                let (class, cost, work) = match (self.day.heavy, self.day.classes) {
                    (true, _) => (0, Some(if rare { 100 * MS } else { 0 }), if rare { 5.5 } else { 0.5 }),
                    (_, true) => (u16::from(rare), None, if rare { 10.0 / 1.9 } else { 1.0 / 1.9 }),
                    _ => (0, None, 1.0),
                };
                self.work.insert((copy, self.copies[copy].life, request), work);
                let r =
                    Request { estimated_work: cost, ..Request::new(RequestId(request), ClassId(class), S) };
                self.tell(copy, Event::RequestArrived(r));
            }
            Happens::Ends { copy, life, request, attempt, outcome } if life == self.copies[copy].life => {
                let Some((endpoint, since, work)) = self.out.get(&(copy, life, request, attempt)).copied()
                else {
                    return;
                };
                if work < 0.0 {
                    return; // ended before
                }
                self.out.insert((copy, life, request, attempt), (endpoint, since, -1.0));
                let (took, over) = (self.now - since, outcome == Outcome::Ok);
                let (request, load) = (RequestId(request), None);
                let end = AttemptEnd {
                    request,
                    attempt,
                    endpoint,
                    outcome,
                    duration: took,
                    request_completed: over,
                    load,
                };
                self.tell(copy, Event::AttemptEnded(end));
            }
            Happens::Timer { copy, life, timer } if life == self.copies[copy].life => {
                self.tell(copy, Event::TimerFired(timer));
            }
            Happens::Ends { .. } | Happens::Timer { .. } => {} // of a copy that is no more
            Happens::EndpointsStart => {
                for entry in &mut self.entries[..self.day.restarts as usize] {
                    entry.started = Some(self.now);
                }
                let changed = self.entries[..self.day.restarts as usize].to_vec();
                for copy in 0..self.copies.len() {
                    self.tell(copy, Event::Endpoints(EndpointUpdate::Delta(changed.clone())));
                }
            }
            Happens::Checks { pass } => {
                let outcome = if pass { Outcome::Ok } else { Outcome::Timeout };
                for copy in 0..self.copies.len() {
                    for endpoint in (0..self.day.restarts).map(EndpointId) {
                        self.tell(
                            copy,
                            Event::HealthCheckCompleted { endpoint, outcome, duration: MS, load: None },
                        );
                    }
                }
            }
            Happens::CopyRestarts(copy) => self.restart(copy),
            Happens::CopiesFall => {
                (0..self.copies.len()).filter(|n| n % 10 < 7).for_each(|copy| self.restart(copy));
            }
        }
    }

    fn play(mut self) -> Vec<Ramp> {
        let end = START + WARM_UP + self.settings.rules.slow_start_window;
        while let Some(((at, _), what)) = self.queue.pop_first().filter(|((at, _), _)| *at < end) {
            self.now = at;
            self.happen(what);
        }
        (0..self.day.restarts as usize).map(|n| Ramp::of(&self.came[n], &self.settings.rules)).collect()
    }
}

/// What one cold endpoint was sent.
struct Ramp {
    /// The window that came nearest to the bound, or passed it farthest: its age, sum, N.
    worst: (f64, f64, f64),
    /// All that it got, over all that the settings allow.
    used: f64,
}

fn bound(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

impl Ramp {
    fn of(came: &[(Nanos, f64)], rules: &Rules) -> Ramp {
        let began = START + WARM_UP;
        let allowed = |at: Nanos| {
            let age = (at - began) as f64 / rules.slow_start_window as f64;
            let share = rules.slow_start_initial_share + (1.0 - rules.slow_start_initial_share) * age;
            rules.overload_multiple * share * PER_S / f64::from(ENDPOINTS) * rules.overload_window as f64
                / 1e9
        };
        let (mut window, mut sum, mut all) = (VecDeque::new(), 0.0, 0.0);
        let mut worst = (0.0, 0.0, allowed(began));
        for &(at, work) in came.iter().filter(|(at, _)| *at >= began) {
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
        Ramp { worst, used: all / (middle * rules.slow_start_window as f64 / rules.overload_window as f64) }
    }
}

/// Plays a day on all seeds and numbers of copies.
fn check(least: f64, day: Day) {
    let mut broken = Vec::new();
    for copies in [1, 2, 3, 7, 20, 30, 60] {
        let (mut far, mut used, mut few) = ((0.0, 0.0, 1.0), 0.0, f64::MAX);
        for seed in 0..SEEDS {
            for ramp in Fleet::new(Day { copies, seed, ..day }).play() {
                let (_, sum, n) = ramp.worst;
                if sum / bound(n) > far.1 / bound(far.2) {
                    far = ramp.worst;
                }
                used += ramp.used / (SEEDS as f64 * f64::from(day.restarts));
                few = ramp.used.min(few);
            }
        }
        let (at, sum, n) = far;
        let line = format!(
            "{copies:2} copies: {sum:5.1} of {:5.1} (N {n:4.1}) after {at:.1} s; \
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
fn even() {
    check(0.25, Day { restarts: 1, ..Day::default() });
}

#[test]
fn uneven() {
    check(0.25, Day { restarts: 1, uneven: true, ..Day::default() });
}

#[test]
fn several_endpoints() {
    check(0.25, Day { restarts: 4, ..Day::default() });
}

#[test]
fn copies_that_restart() {
    check(0.25, Day { restarts: 1, copies_restart: true, uneven: true, ..Day::default() });
    check(0.25, Day { restarts: 2, copies_fall: true, ..Day::default() });
}

#[test]
fn heavy_requests_and_repeats() {
    check(0.25, Day { restarts: 1, heavy: true, errors: true, ..Day::default() });
}

#[test]
fn classes_of_different_work() {
    check(0.25, Day { restarts: 1, classes: true, ..Day::default() });
}

#[test]
fn after_a_pause() {
    check(0.1, Day { restarts: 1, away: true, ..Day::default() });
    check(0.1, Day { restarts: 1, pause: true, ..Day::default() });
}

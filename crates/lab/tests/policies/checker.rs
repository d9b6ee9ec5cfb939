//! One policy with a virtual clock, and the account of whether it keeps the rules. It models no servers: what
//! becomes of an attempt is drawn, or told by the test.

use olivecart_decisions::*;
use olivecart_lab::policy::{self, Policy, PolicyContext, TrueState, TrueStateView};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;
/// A final answer may come this long after the deadline.
const ANSWER_GRACE: Nanos = 20 * MS;
/// Work of a request, where the test gives none; a warm server does one second of it in a second.
pub const WORK: Nanos = 10 * MS;

/// A rule, or what else the site does not allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Answer,
    Effect,
    Drain,
    Cold,
    Limits,
}

/// A rule that was broken, and how.
pub type Breach = (Rule, String);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    End(RequestId, usize),
    Checked(EndpointId),
    Timer(Timer),
    Deadline(RequestId),
}

struct Attempt {
    endpoint: EndpointId,
    sent: Nanos,
    planned: Outcome,
    done: Option<Outcome>,
}

struct Account {
    class: usize,
    deadline: Nanos,
    ended: bool,
    attempts: Vec<Attempt>,
}

/// Servers as the oracle sees them: by id; all others serve, idle and warm.
#[derive(Default)]
pub struct Seen(pub BTreeMap<EndpointId, TrueState>);

impl TrueStateView for Seen {
    fn true_state(&self, endpoint: EndpointId) -> TrueState {
        *self.0.get(&endpoint).unwrap_or(&TrueState {
            is_serving: true,
            queue_delay: 0,
            capacity: 1.0,
            core_speed: 1.0,
        })
    }
}

/// What becomes of an attempt: how long it takes and how it ends. What takes longer than the client waits is
/// a time-out.
pub type Fate = fn(&mut Pcg64Mcg) -> (Nanos, Outcome);

/// Never an answer.
pub const SILENCE: Fate = |_| (Nanos::MAX, Outcome::Timeout);
/// Mostly served; now and then each kind of failure.
pub const MIXED: Fate = |chance| {
    use Outcome::*;
    let took = chance.random_range(5 * MS..15 * MS);
    match chance.random_range(0..100) {
        0..2 => (took, Error),
        2..4 => (took, Reset),
        4 => (MS, ConnectFailed),
        5 => (MS, Overloaded),
        6 => (Nanos::MAX, Timeout),
        _ => (took, Ok),
    }
};

pub struct Checker {
    policy: Box<dyn Policy>,
    pub settings: Settings,
    pub now: Nanos,
    pub entries: Vec<EndpointEntry>,
    /// Since when an endpoint takes no requests.
    withdrawn: BTreeMap<EndpointId, Nanos>,
    accounts: BTreeMap<RequestId, Account>,
    due: BTreeSet<(Nanos, Due)>,
    /// What was sent to an endpoint in the last window of the cold rule.
    to_cold: BTreeMap<EndpointId, VecDeque<Nanos>>,
    /// When a cold endpoint will have done what it was sent.
    free_at: BTreeMap<EndpointId, Nanos>,
    pub fate: Fate,
    chance: Pcg64Mcg,
    next: u64,
    pub actions: Vec<Action>,
    pub breaches: Vec<Breach>,
}

/// A class for each effect: repeatable, by key in a cell, by key in a zone, once.
pub fn settings() -> Settings {
    let keyed = |group| Idempotency::Keyed { scope: group, window: 300 * MS };
    let effects = [
        Idempotency::Idempotent,
        keyed(DeduplicationScope::Cell),
        keyed(DeduplicationScope::Zone),
        Idempotency::NonIdempotent,
    ];
    let class = |effect| Class {
        latency_objective: 200 * MS,
        client_deadline: 1000 * MS,
        idempotency: effect,
        ..Class::default()
    };
    let mut settings = Settings { classes: effects.into_iter().map(class).collect(), ..Settings::default() };
    settings.limits.max_retry_after = 2 * S;
    settings.limits.cancellation_enabled = true;
    settings
}

/// `n` warm endpoints, two to a cell, spread over two zones cell by cell.
pub fn list(n: u32) -> Vec<EndpointEntry> {
    let entry = |i: u32| EndpointEntry {
        cell: CellId(u64::from(i / 2)),
        zone: ZoneId((i / 2 % 2) as u16),
        ..EndpointEntry::ready(EndpointId(i), &format!("e{i}"))
    };
    (0..n).map(entry).collect()
}

impl Checker {
    /// A policy that was just told of its endpoints.
    pub fn new(name: &str, settings: Settings, entries: Vec<EndpointEntry>, seed: u64) -> Checker {
        Checker::with_true_state(name, settings, entries, seed, Seen::default())
    }

    pub fn with_true_state(
        name: &str,
        settings: Settings,
        entries: Vec<EndpointEntry>,
        seed: u64,
        seen: Seen,
    ) -> Checker {
        let now = 1000 * S;
        let make = policy::named(name).expect("known");
        let context = PolicyContext { settings: settings.clone(), seed, now, true_state: Rc::new(seen) };
        let mut checker = Checker {
            policy: make(context),
            settings,
            now,
            entries: entries.clone(),
            withdrawn: BTreeMap::new(),
            accounts: BTreeMap::new(),
            due: BTreeSet::new(),
            to_cold: BTreeMap::new(),
            free_at: BTreeMap::new(),
            fate: SILENCE,
            chance: Pcg64Mcg::seed_from_u64(seed ^ 0xface),
            next: 0,
            actions: Vec::new(),
            breaches: Vec::new(),
        };
        checker.tell(Event::Endpoints(EndpointUpdate::Cached(entries)));
        checker
    }

    fn breach(&mut self, rule: Rule, what: &str) {
        self.breaches.push((rule, format!("{what} at {} ms", self.now / MS)));
    }

    pub fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in &actions {
            self.act(action);
        }
        self.actions.extend(actions);
    }

    fn act(&mut self, action: &Action) {
        match action {
            Action::StartAttempt { request, endpoint, timeout: cap, .. } => {
                self.send(*request, *endpoint, *cap)
            }
            Action::Shed { request, .. } | Action::Fail(request) => {
                let Some(account) = self.accounts.get_mut(request) else {
                    return self.breach(Rule::Limits, "answered a request that it was not given");
                };
                let twice = std::mem::replace(&mut account.ended, true);
                let ran = account.attempts.iter().any(|a| !a.done.is_some_and(Outcome::was_never_executed));
                let effect = self.settings.classes[account.class].idempotency;
                let harmless = match effect {
                    Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => {
                        true
                    }
                    _ => !ran,
                };
                if twice {
                    self.breach(Rule::Answer, "answered twice");
                } else if !harmless && matches!(action, Action::Shed { .. }) {
                    self.breach(Rule::Effect, "refused what may have run");
                }
            }
            Action::CancelAttempt { request, attempt } => {
                let made = self.accounts.get(request).map_or(0, |a| a.attempts.len());
                if *attempt as usize >= made {
                    self.breach(Rule::Limits, "called off an attempt that was never made");
                }
            }
            Action::SetTimer { at, .. } if *at <= self.now => {
                self.breach(Rule::Limits, "set a timer into the past");
            }
            Action::SetTimer { at, timer } => {
                self.due.insert((*at, Due::Timer(*timer)));
            }
            Action::StartHealthCheck(endpoint) => {
                self.due.insert((self.now + MS, Due::Checked(*endpoint)));
            }
            Action::CloseIdleConnections(_) | Action::WatchEndpoints(_) => {}
            other => self.breach(Rule::Limits, &format!("unexpected {other:?}")),
        }
    }

    fn send(&mut self, id: RequestId, endpoint: EndpointId, cap: Nanos) {
        let now = self.now;
        let grace = self.settings.rules.drain_grace;
        if self.withdrawn.get(&endpoint).is_some_and(|since| now > since + grace) {
            self.breach(Rule::Drain, "sent to an endpoint that takes no requests");
        }
        self.count_cold(endpoint);
        let Some(account) = self.accounts.get(&id) else {
            return self.breach(Rule::Limits, "sent a request that it was not given");
        };
        let entry = |id: EndpointId| &self.entries[id.0 as usize];
        let effect = self.settings.classes[account.class].idempotency;
        let harmful = |earlier: &&Attempt| match effect {
            Idempotency::Idempotent => false,
            Idempotency::NonIdempotent => true,
            Idempotency::Keyed { scope: group, window } => {
                !group.is_shared_by(entry(earlier.endpoint), entry(endpoint)) || now - earlier.sent >= window
            }
        };
        let ran = |a: &&Attempt| !a.done.is_some_and(Outcome::was_never_executed);
        let second = account.attempts.iter().filter(ran).any(|a| harmful(&a));
        let out = account.attempts.iter().any(|a| a.done.is_none());
        let (ended, deadline) = (account.ended, account.deadline);
        let many = account.attempts.len() >= self.settings.limits.max_attempts as usize;
        let (took, outcome) = (self.fate)(&mut self.chance);
        let took = self.queued(endpoint, took);
        let left = deadline.saturating_sub(now).min(if cap == 0 { Nanos::MAX } else { cap });
        let (took, planned) = match took > left {
            _ if ended => (0, Outcome::NotSent),
            true => (left, Outcome::Timeout),
            false => (took, outcome),
        };
        if ended {
            self.breach(Rule::Answer, "sent a request that has ended");
        } else if second {
            self.breach(Rule::Effect, "sent again what may have run");
        } else if out && !self.settings.limits.hedging_enabled {
            self.breach(Rule::Effect, "two attempts out at once");
        } else if many {
            self.breach(Rule::Limits, "too many attempts");
        }
        let account = self.accounts.get_mut(&id).expect("found above");
        self.due.insert((now + took, Due::End(id, account.attempts.len())));
        account.attempts.push(Attempt { endpoint, sent: now, planned, done: None });
    }

    /// How long an attempt takes at an endpoint: a cold one does its work piece by piece, as slowly as its age
    /// makes it. Danger: one that is said to be cold and answers as if it were warm tells its callers so.
    fn queued(&mut self, endpoint: EndpointId, took: Nanos) -> Nanos {
        let Some(capacity) = self.cold_capacity(endpoint) else { return took };
        let free_at = self.free_at.entry(endpoint).or_default();
        *free_at = (*free_at).max(self.now) + (WORK as f64 / capacity) as Nanos;
        took.max(*free_at - self.now)
    }

    /// The share of its capacity that a cold endpoint has; none for a warm one.
    fn cold_capacity(&self, endpoint: EndpointId) -> Option<f64> {
        let (now, rules) = (self.now, &self.settings.rules);
        let started = self.entries.get(endpoint.0 as usize).and_then(|e| e.started)?;
        let age = (now - started) as f64 / rules.slow_start_window as f64;
        (age < 1.0).then_some(rules.slow_start_initial_share + (1.0 - rules.slow_start_initial_share) * age)
    }

    /// The cold rule on the sender's side: work sent in a window against what a server that warms up evenly
    /// does in it, with three requests of slack for chance.
    fn count_cold(&mut self, endpoint: EndpointId) {
        let (now, rules) = (self.now, self.settings.rules.clone());
        let Some(capacity) = self.cold_capacity(endpoint) else { return };
        let window = self.to_cold.entry(endpoint).or_default();
        window.push_back(now);
        while window.front().is_some_and(|sent| sent + rules.overload_window < now) {
            window.pop_front();
        }
        let most = rules.overload_multiple * capacity * rules.overload_window as f64 + 3.0 * WORK as f64;
        if window.len() as f64 * WORK as f64 > most {
            self.breach(Rule::Cold, "pushed a cold server over");
        }
    }

    /// A request of a class arrives.
    pub fn arrive(&mut self, class: u16, left: Nanos) -> RequestId {
        self.arrive_with(class, left, None)
    }

    pub fn arrive_with(&mut self, class: u16, left: Nanos, key: Option<u64>) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        let deadline = self.now + left;
        let account = Account { class: class as usize, deadline, ended: false, attempts: Vec::new() };
        self.accounts.insert(id, account);
        self.due.insert((deadline + ANSWER_GRACE + 1, Due::Deadline(id)));
        let request = Request {
            idempotency_key: key,
            estimated_work: Some(WORK),
            ..Request::new(id, ClassId(class), left)
        };
        self.tell(Event::RequestArrived(request));
        id
    }

    /// Ends the attempts that are out and not yet ended: the `pick`th of them, in order of their requests.
    pub fn end_some(&mut self, pick: usize, outcome: Outcome) {
        let out = self.accounts.iter().flat_map(|(id, a)| {
            a.attempts.iter().enumerate().filter(|(_, t)| t.done.is_none()).map(|(n, _)| (*id, n))
        });
        let out: Vec<_> = out.collect();
        if let Some((id, n)) = out.get(pick % out.len().max(1)) {
            self.end(*id, *n, outcome);
        }
    }

    pub fn end(&mut self, request: RequestId, n: usize, outcome: Outcome) {
        let account = self.accounts.get_mut(&request).expect("known");
        let attempt = &mut account.attempts[n];
        attempt.done = Some(outcome);
        account.ended |= outcome == Outcome::Ok;
        let (endpoint, took, over) = (attempt.endpoint, self.now - attempt.sent, account.ended);
        let attempt = n as u32;
        self.tell(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            endpoint,
            outcome,
            duration: took,
            request_completed: over,
            load: None,
        }));
    }

    /// The client of one of the requests that have not ended leaves.
    pub fn abort_some(&mut self, pick: usize) {
        let open: Vec<_> = self.accounts.iter().filter(|(_, a)| !a.ended).map(|(id, _)| *id).collect();
        if let Some(id) = open.get(pick % open.len().max(1)) {
            self.accounts.get_mut(id).expect("known").ended = true;
            self.tell(Event::RequestAborted(*id));
        }
    }

    /// An endpoint changes; all are told at once.
    pub fn list_state(&mut self, endpoint: u32, state: EndpointState, restarted: bool) {
        let entry = &mut self.entries[endpoint as usize];
        entry.state = state;
        if restarted {
            entry.started = Some(self.now);
            self.to_cold.remove(&entry.id);
            self.free_at.remove(&entry.id);
        }
        match state {
            EndpointState::Ready => self.withdrawn.remove(&entry.id),
            _ => Some(*self.withdrawn.entry(entry.id).or_insert(self.now)),
        };
        let entry = entry.clone();
        self.tell(Event::Endpoints(EndpointUpdate::Delta(vec![entry])));
    }

    /// Lets time pass, with all that falls due at its moment.
    pub fn advance(&mut self, until: Nanos) {
        while let Some((at, due)) = self.due.first().copied().filter(|(at, _)| *at <= until) {
            self.due.pop_first();
            self.now = self.now.max(at);
            match due {
                Due::End(id, n) => {
                    let attempt = &self.accounts[&id].attempts[n];
                    if attempt.done.is_none() {
                        self.end(id, n, attempt.planned);
                    }
                }
                Due::Checked(endpoint) => {
                    let outcome = match self.withdrawn.contains_key(&endpoint) {
                        true => Outcome::ConnectFailed,
                        false => Outcome::Ok,
                    };
                    self.tell(Event::HealthCheckCompleted { endpoint, outcome, duration: MS, load: None });
                }
                Due::Timer(timer) => self.tell(Event::TimerFired(timer)),
                Due::Deadline(id) => {
                    if !self.accounts[&id].ended {
                        self.breach(Rule::Answer, "no answer by the deadline");
                    }
                }
            }
        }
        self.now = until;
    }

    /// Where the attempts of a request went.
    pub fn went(&self, request: RequestId) -> Vec<EndpointId> {
        self.accounts[&request].attempts.iter().map(|a| a.endpoint).collect()
    }

    /// Attempts that are out, by endpoint.
    pub fn out(&self) -> Vec<u32> {
        let mut out = vec![0; self.entries.len()];
        let all = self.accounts.values().flat_map(|a| &a.attempts);
        all.filter(|a| a.done.is_none()).for_each(|a| out[a.endpoint.0 as usize] += 1);
        out
    }

    /// Attempts sent so far, by endpoint.
    pub fn sent(&self) -> Vec<u32> {
        let mut sent = vec![0; self.entries.len()];
        let all = self.accounts.values().flat_map(|a| &a.attempts);
        all.for_each(|a| sent[a.endpoint.0 as usize] += 1);
        sent
    }
}

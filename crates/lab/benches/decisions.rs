//! What the decisions cost, and two textbook policies for scale: a request with its outcome, and one changed
//! entry of the list, at 10 to 10,000 endpoints.
//!
//! A quarter as many requests are open as there are endpoints, each endpoint serves some 50 a second of
//! virtual time, all are warm and in good standing. Timers are not played: probes and overdue attempts cost
//! extra.

use criterion::{BenchmarkId, Criterion};
use olivecart_decisions::*;
use olivecart_lab::policy::{self, Policy, PolicyContext, TrueState, TrueStateView};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

const S: Nanos = 1_000_000_000;
const SIZES: [u32; 4] = [10, 100, 1_000, 10_000];
const POLICIES: [&str; 3] = ["olivecart", "random", "power_of_two"];

struct Blind;

impl TrueStateView for Blind {
    fn true_state(&self, _endpoint: EndpointId) -> TrueState {
        TrueState::default()
    }
}

/// A proxy under steady load.
struct Bench {
    policy: Box<dyn Policy>,
    entries: Vec<EndpointEntry>,
    now: Nanos,
    step: Nanos,
    next: u64,
    open: VecDeque<(RequestId, EndpointId, Nanos)>,
    refused: u64,
    out: Vec<Action>,
}

impl Bench {
    fn new(name: &str, n: u32) -> Bench {
        let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
        let context = PolicyContext { settings, seed: 1, now: 1000 * S, true_state: Rc::new(Blind) };
        let policy = policy::named(name).expect("an ordinary name")(context);
        let entries: Vec<_> =
            (0..n).map(|i| EndpointEntry::ready(EndpointId(i), &format!("endpoint-{i}"))).collect();
        let mut bench = Bench {
            policy,
            entries: entries.clone(),
            now: 1000 * S,
            step: S / 50 / u64::from(n),
            next: 0,
            open: VecDeque::new(),
            refused: 0,
            out: Vec::new(),
        };
        bench.tell(Event::Endpoints(EndpointUpdate::Cached(entries)));
        (0..(n / 4).max(1)).for_each(|_| bench.arrive());
        (0..(10 * n).min(2_000)).for_each(|_| bench.request());
        bench
    }

    fn tell(&mut self, event: Event) {
        self.out.clear();
        self.policy.handle(self.now, event, &mut self.out);
    }

    fn arrive(&mut self) {
        self.now += self.step;
        let id = RequestId(self.next);
        self.next += 1;
        self.tell(Event::RequestArrived(Request::new(id, ClassId(0), S)));
        match self.out.first() {
            Some(Action::StartAttempt { endpoint, .. }) => self.open.push_back((id, *endpoint, self.now)),
            _ => self.refused += 1,
        }
    }

    /// One arrives, and the oldest is answered.
    fn request(&mut self) {
        self.arrive();
        let Some((request, endpoint, sent)) = self.open.pop_front() else { return };
        let (took, outcome) = (self.now - sent, Outcome::Ok);
        let end = AttemptEnd {
            request,
            attempt: 0,
            endpoint,
            outcome,
            duration: took,
            request_completed: true,
            load: None,
        };
        self.tell(Event::AttemptEnded(end));
    }

    /// One endpoint after another drains and comes back.
    fn change(&mut self) {
        let at = (self.next / 2) as usize % self.entries.len();
        let state = if self.next.is_multiple_of(2) { EndpointState::Draining } else { EndpointState::Ready };
        self.next += 1;
        let entry = EndpointEntry { state, ..self.entries[at].clone() };
        self.tell(Event::Endpoints(EndpointUpdate::Delta(vec![entry])));
    }
}

fn measure(c: &mut Criterion, what: &str, step: fn(&mut Bench)) {
    let mut group = c.benchmark_group(what);
    group.sample_size(20).warm_up_time(Duration::from_millis(500)).measurement_time(Duration::from_secs(2));
    for name in POLICIES {
        for n in SIZES {
            let mut bench = Bench::new(name, n);
            group.bench_function(BenchmarkId::new(name, n), |b| b.iter(|| step(&mut bench)));
            // Danger: a refusal is cheap, and a bench of refusals looks like a fast policy.
            assert!(bench.refused * 100 <= bench.next, "{name} refused {} requests", bench.refused);
        }
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    measure(&mut criterion, "request_with_outcome", Bench::request);
    measure(&mut criterion, "list_change", Bench::change);
    criterion.final_summary();
}

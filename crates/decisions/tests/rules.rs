//! The four rules and their edges, and the mechanism on the ordinary path, on hand-made events.

mod common;
use common::*;
use olivecart_decisions::*;

// ---- the mechanism ----

#[test]
fn requests_return_to_the_preferred_endpoint_after_a_passing_check() {
    let mut b = Bench::new(settings(Idempotency::Idempotent), list(6));
    let favourite = b.serve(10 * MS);
    assert_eq!(b.serve(10 * MS), favourite);
    b.check(favourite, Outcome::Timeout);
    let second = b.serve(10 * MS);
    assert_ne!(second, favourite, "a server that failed its check keeps its place empty");
    b.check(favourite, Outcome::Ok);
    assert_eq!(b.serve(10 * MS), favourite, "it regains its place at its next passing check");
}

#[test]
fn endpoint_over_the_load_allowance_is_skipped() {
    let mut b = Bench::new(settings(Idempotency::NonIdempotent), list(4));
    let targets: Vec<_> = (0..4).map(|_| sent(&b.request(S).1).expect("sent")).collect();
    let mut distinct = targets.clone();
    distinct.sort();
    distinct.dedup();
    assert_eq!(distinct.len(), 4, "four calls at once over four idle endpoints: {targets:?}");
}

#[test]
fn replicas_prefer_different_endpoints() {
    let mut firsts: Vec<_> = (0..8)
        .map(|me| {
            let mut s = settings(Idempotency::NonIdempotent);
            (s.replica_index, s.replica_count) = (me, 8);
            Bench::new(s, list(8)).serve(MS)
        })
        .collect();
    firsts.sort();
    firsts.dedup();
    assert!(firsts.len() >= 6, "eight instances over eight endpoints have {} favourites", firsts.len());
}

#[test]
fn every_endpoint_is_checked_within_a_few_periods_at_spread_times() {
    let s = settings(Idempotency::NonIdempotent);
    let longest = 4 * s.rules.poll_interval;
    let mut b = Balancer::new(s, 1, 0);
    let mut out = Vec::new();
    b.handle(0, Event::Endpoints(EndpointUpdate::Cached(list(20))), &mut out);
    let due: Vec<_> = timers(&out);
    assert_eq!(due.len(), 20);
    assert!(due.iter().all(|(at, _)| *at <= longest));
    let first = due.iter().map(|(at, _)| *at).min();
    assert!(due.iter().filter(|(at, _)| Some(*at) == first).count() < 3, "checks start together");
    for (at, timer) in due {
        let mut out = Vec::new();
        b.handle(at, Event::TimerFired(timer), &mut out);
        let checks = out.iter().filter(|a| matches!(a, Action::StartHealthCheck(_))).count();
        assert_eq!((checks, timers(&out).len()), (1, 1), "one check and the next one's timer");
    }
}

// ---- rule 1: one final answer, in time ----

#[test]
fn request_without_endpoint_is_shed_before_its_deadline() {
    let mut b = Bench::new(settings(Idempotency::NonIdempotent), Vec::new());
    let (id, mut actions) = b.request(900 * MS);
    let deadline = b.now + 900 * MS;
    while !shed(&actions) {
        let (at, timer) = timers(&actions).into_iter().next().expect("held with a timer");
        assert_eq!(timer, Timer::Request(id));
        assert!(at < deadline);
        b.now = at;
        actions = b.tell(Event::TimerFired(timer));
    }
}

#[test]
fn queued_request_is_sent_when_an_endpoint_appears() {
    let mut b = Bench::new(settings(Idempotency::NonIdempotent), Vec::new());
    let (id, _) = b.request(S);
    let actions = b.list(EndpointUpdate::Snapshot(list(1)));
    assert!(matches!(actions.iter().find(|a| matches!(a, Action::StartAttempt { .. })),
        Some(Action::StartAttempt { request, .. }) if *request == id));
}

#[test]
fn timeout_at_the_deadline_completes_the_request_once() {
    let mut b = Bench::new(settings(Idempotency::NonIdempotent), list(3));
    let (id, actions) = b.request(S);
    let at = sent(&actions).expect("sent");
    b.now += S;
    assert!(failed(&b.end(id, 0, at, Outcome::Timeout, S)));
    assert!(
        b.end(id, 0, at, Outcome::Timeout, S)
            .iter()
            .all(|a| !matches!(a, Action::Fail(_) | Action::StartAttempt { .. }))
    );
    assert!(sent(&b.tell(Event::TimerFired(Timer::Request(id)))).is_none());
}

#[test]
fn aborted_request_gets_no_response_and_its_attempt_is_cancelled() {
    let mut b = Bench::new(settings(Idempotency::Idempotent), list(3));
    let (id, actions) = b.request(S);
    let at = sent(&actions).expect("sent");
    assert_eq!(b.tell(Event::RequestAborted(id)), vec![Action::CancelAttempt { request: id, attempt: 0 }]);
    let after = b.end(id, 0, at, Outcome::Cancelled, MS);
    assert!(sent(&after).is_none() && !shed(&after) && !failed(&after));
}

#[test]
fn request_past_its_deadline_is_shed_at_once() {
    let mut b = Bench::new(settings(Idempotency::NonIdempotent), list(3));
    assert!(shed(&b.request(0).1));
}

// ---- rule 2: no effect twice ----

#[test]
fn non_idempotent_request_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let mut b = Bench::new(settings(Idempotency::NonIdempotent), list(4));
        let (id, actions) = b.request(S);
        let after = b.end(id, 0, sent(&actions).expect("sent"), outcome, MS);
        assert!(failed(&after) && sent(&after).is_none() && !shed(&after), "{outcome:?}");
    }
}

#[test]
fn request_that_never_ran_is_retried_elsewhere() {
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed] {
        let mut b = Bench::new(settings(Idempotency::NonIdempotent), list(4));
        let (id, actions) = b.request(S);
        let first = sent(&actions).expect("sent");
        let second = sent(&b.end(id, 0, first, outcome, MS)).expect("sent on");
        assert_ne!(first, second);
    }
}

#[test]
fn keyed_retry_stays_in_its_cell_and_window() {
    for n in 0..4 {
        let mut s = settings(cell(400 * MS));
        s.replica_index = n;
        s.replica_count = 4;
        let mut b = Bench::new(s, list(8));
        let (id, actions) = b.request(S);
        let first = sent(&actions).expect("sent");
        let second = sent(&b.end(id, 0, first, Outcome::Error, MS)).expect("sent on inside the cell");
        assert_eq!(second.0 / 2, first.0 / 2);
        assert_ne!(second, first);

        let (id, actions) = b.request(S);
        let at = sent(&actions).expect("sent");
        b.now += 390 * MS;
        let late = b.end(id, 0, at, Outcome::Reset, 390 * MS);
        assert!(failed(&late) && sent(&late).is_none(), "outside the window, and never as a refusal");
    }
}

#[test]
fn overdue_request_is_hedged_only_if_a_repeat_is_harmless() {
    for (effect, hedged) in
        [(Idempotency::Idempotent, true), (cell(S), true), (Idempotency::NonIdempotent, false)]
    {
        let mut b = Bench::new(settings(effect), list(8));
        (0..20).for_each(|_| _ = b.serve(10 * MS));
        let (id, actions) = b.request(S);
        let (at, timer) = *timers(&actions).iter().find(|(_, t)| *t == Timer::Request(id)).expect("a timer");
        b.now = at;
        assert_eq!(sent(&b.tell(Event::TimerFired(timer))).is_some(), hedged, "{effect:?}");
    }
}

#[test]
fn without_hedging_one_attempt_is_in_flight_at_a_time() {
    let mut s = settings(Idempotency::Idempotent);
    s.limits.hedging_enabled = false;
    let mut b = Bench::new(s.clone(), list(1));
    (0..20).for_each(|_| _ = b.serve(10 * MS));
    let (slow, _) = b.request(S);
    b.now += 10 * MS;
    b.serve(5 * MS);
    b.now += 300 * MS;
    assert_eq!(b.tell(Event::TimerFired(Timer::Request(slow))), [], "it answered since, so it is waited for");

    let mut b = Bench::new(s, list(8));
    (0..20).for_each(|_| _ = b.serve(10 * MS));
    let (hung, actions) = b.request(S);
    let at = sent(&actions).expect("sent");
    b.now += 300 * MS;
    let overdue = b.tell(Event::TimerFired(Timer::Request(hung)));
    assert!(sent(&overdue).is_none());
    assert!(overdue.contains(&Action::CancelAttempt { request: hung, attempt: 0 }), "called off first");
    let again = sent(&b.end(hung, 0, at, Outcome::Cancelled, 300 * MS)).expect("then tried elsewhere");
    assert_ne!(again, at);
}

#[test]
fn attempts_stop_at_the_limit() {
    let mut b = Bench::new(settings(Idempotency::NonIdempotent), list(8));
    let (id, mut actions) = b.request(S);
    let mut attempts = 0;
    while let Some(at) = sent(&actions) {
        actions = b.end(id, attempts, at, Outcome::Overloaded, MS);
        attempts += 1;
    }
    assert_eq!(attempts, 3);
    assert!(shed(&actions));
}

// ---- rule 3: drains ----

#[test]
fn draining_or_removed_endpoint_gets_no_attempt() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let entries = list(2);
        let mut b = Bench::new(settings(Idempotency::NonIdempotent), entries.clone());
        let (id, actions) = b.request(S);
        let first = sent(&actions).expect("sent");
        let other = entries.iter().find(|e| e.id != first).expect("two");
        b.state(other, state);
        assert!(sent(&b.end(id, 0, first, Outcome::Overloaded, MS)).is_none());
        assert!((0..5).all(|_| sent(&b.request(S).1).is_none_or(|at| at == first)));
    }
}

#[test]
fn endpoint_missing_from_a_snapshot_is_removed_and_may_return() {
    let entries = list(2);
    let mut b = Bench::new(settings(Idempotency::NonIdempotent), entries.clone());
    b.list(EndpointUpdate::Snapshot(entries[..1].to_vec()));
    assert!((0..3).all(|_| sent(&b.request(S).1) == Some(entries[0].id)));
    let back = b.list(EndpointUpdate::Snapshot(entries.clone()));
    assert!(timers(&back).iter().any(|(_, t)| *t == Timer::HealthCheck(entries[1].id)), "checked again");
    assert_eq!(sent(&b.request(S).1), Some(entries[1].id));
}

#[test]
fn subscription_is_requested_and_renewed_within_the_poll_interval() {
    let mut s = settings(Idempotency::NonIdempotent);
    s.discovery = Discovery::Subscribe;
    let must = s.rules.poll_interval;
    let mut b = Balancer::new(s, 3, 0);
    let mut out = Vec::new();
    b.handle(0, Event::Endpoints(EndpointUpdate::Cached(list(2))), &mut out);
    let asks = |out: &[Action]| timers(out).into_iter().find(|(_, t)| *t == Timer::Discovery);
    let (mut at, timer) = asks(&out).expect("asks");
    assert!(at < must);
    for _ in 0..6 {
        out.clear();
        b.handle(at, Event::TimerFired(timer), &mut out);
        assert_eq!(out, [Action::WatchEndpoints(true)]);
        out.clear();
        b.handle(at, Event::Endpoints(EndpointUpdate::Failed), &mut out);
        let next = asks(&out).expect("asks again").0;
        assert!(next > at && next < at + 4 * must, "apart, but inside four times the interval");
        at = next;
    }
}

// ---- rule 4: cold endpoints ----

/// A call that is answered at once, but by one endpoint never: its clients go away. So what that one is sent
/// is its budget alone, without what it would earn by answers.
fn call_to(b: &mut Bench, silent: Option<EndpointId>) -> EndpointId {
    let (id, actions) = b.request(S);
    let at = sent(&actions).expect("sent");
    b.now += MS;
    if silent == Some(at) {
        b.tell(Event::RequestAborted(id));
        b.end(id, 0, at, Outcome::Cancelled, MS);
    } else {
        b.end(id, 0, at, Outcome::Ok, MS);
    }
    at
}

/// Calls that all instances of a tier send to one cold endpoint in some seconds, at the worst: it is every
/// instance's favourite.
fn sent_to_cold(instances: u32, per_s: u64, age: Nanos, seconds: u64) -> u64 {
    let mut total = 0;
    for me in 0..instances {
        let mut s = settings(Idempotency::NonIdempotent);
        (s.replica_index, s.replica_count) = (me, instances);
        let mut b = Bench::seeded(u64::from(me), s, list(10));
        let call = |b: &mut Bench, silent| {
            b.now += S / per_s - MS;
            call_to(b, silent)
        };
        let favourite = (0..20 * per_s).map(|_| call(&mut b, None)).last().expect("served");
        let started = Some(b.now - age);
        b.list(EndpointUpdate::Delta(vec![EndpointEntry {
            started,
            ..list(10)[favourite.0 as usize].clone()
        }]));
        total += (0..seconds * per_s).filter(|_| call(&mut b, Some(favourite)) == favourite).count() as u64;
    }
    total
}

#[test]
fn all_replicas_together_keep_a_slow_start_endpoint_within_its_budget() {
    // Ten endpoints carry an ordinary load; the cold one can do a tenth of its capacity, which is at least
    // that load. Budget for a window of a second: 2 x 0.1 x the load of one endpoint.
    for (instances, per_s) in [(1, 200), (10, 20), (40, 5)] {
        let ordinary = f64::from(instances) * per_s as f64 / 10.0;
        let got = sent_to_cold(instances, per_s, 0, 1) as f64;
        assert!(
            got <= 2.0 * 0.15 * ordinary + 2.0,
            "{instances} instances sent {got} of {ordinary} a second"
        );
        let later = sent_to_cold(instances, per_s, 25 * S, 4) as f64 / 4.0;
        assert!(later > got && later <= 2.0 * ordinary, "more as it warms: {later} after {got}");
    }
}

#[test]
fn replica_without_a_known_rate_sends_a_slow_start_endpoint_next_to_nothing() {
    let mut entries = list(4);
    entries[0].started = Some(1000 * S);
    let mut b = Bench::new(settings(Idempotency::NonIdempotent), entries.clone());
    let to_cold = (0..20).filter(|_| sent(&b.request(S).1) == Some(entries[0].id)).count();
    assert!(to_cold <= 1, "{to_cold} calls");
}

#[test]
fn slow_start_endpoint_smaller_than_the_mean_gets_less() {
    let got = |size: f64| {
        let mut b = Bench::new(settings(Idempotency::NonIdempotent), list(10));
        let call = |b: &mut Bench, silent| {
            b.now += 4 * MS;
            call_to(b, silent)
        };
        let favourite = (0..4000).map(|_| call(&mut b, None)).last().expect("served");
        let entry = EndpointEntry {
            started: Some(b.now),
            relative_capacity: size,
            ..list(10)[favourite.0 as usize].clone()
        };
        b.list(EndpointUpdate::Delta(vec![entry]));
        (0..1000).filter(|_| call(&mut b, Some(favourite)) == favourite).count()
    };
    let (small, ordinary, large) = (got(0.25), got(1.0), got(4.0));
    assert!(small * 2 < ordinary && large <= ordinary, "{small}, {ordinary}, {large}");
}

//! Tests of endpoint selection and health checks, and of the rules for final responses, repeated
//! execution, draining and slow start with their edge cases, on hand-written events.

mod common;
use common::*;
use olivecart_decisions::*;

// ---- endpoint selection and health checks ----

#[test]
fn requests_return_to_the_preferred_endpoint_after_a_passing_check() {
    let mut balancer = TestBalancer::new(settings(Idempotency::Idempotent), endpoint_entries(6));
    let preferred = balancer.serve(10 * MS);
    assert_eq!(balancer.serve(10 * MS), preferred);
    balancer.complete_health_check(preferred, Outcome::Timeout);
    let second = balancer.serve(10 * MS);
    assert_ne!(second, preferred, "unhealthy endpoint selected");
    balancer.complete_health_check(preferred, Outcome::Ok);
    assert_eq!(balancer.serve(10 * MS), preferred, "not preferred again after a passing check");
}

#[test]
fn endpoint_over_the_load_allowance_is_skipped() {
    let mut balancer = TestBalancer::new(settings(Idempotency::NonIdempotent), endpoint_entries(4));
    let targets: Vec<_> =
        (0..4).map(|_| selected_endpoint(&balancer.request(S).1).expect("an attempt")).collect();
    let mut distinct = targets.clone();
    distinct.sort();
    distinct.dedup();
    assert_eq!(distinct.len(), 4, "four concurrent requests to four idle endpoints: {targets:?}");
}

#[test]
fn replicas_prefer_different_endpoints() {
    let mut firsts: Vec<_> = (0..8)
        .map(|replica_index| {
            let mut settings = settings(Idempotency::NonIdempotent);
            (settings.replica_index, settings.replica_count) = (replica_index, 8);
            TestBalancer::new(settings, endpoint_entries(8)).serve(MS)
        })
        .collect();
    firsts.sort();
    firsts.dedup();
    assert!(firsts.len() >= 6, "eight replicas prefer only {} of eight endpoints", firsts.len());
}

#[test]
fn every_endpoint_is_checked_within_a_few_periods_at_spread_times() {
    let settings = settings(Idempotency::NonIdempotent);
    let longest = 4 * settings.rules.poll_interval;
    let mut balancer = Balancer::new(settings, 1, 0);
    let mut actions = Vec::new();
    balancer.handle(0, Event::Endpoints(EndpointUpdate::Cached(endpoint_entries(20))), &mut actions);
    let due: Vec<_> = timers(&actions);
    assert_eq!(due.len(), 20);
    assert!(due.iter().all(|(at, _)| *at <= longest));
    let first = due.iter().map(|(at, _)| *at).min();
    assert!(due.iter().filter(|(at, _)| Some(*at) == first).count() < 3, "checks start at the same time");
    for (at, timer) in due {
        let mut actions = Vec::new();
        balancer.handle(at, Event::TimerFired(timer), &mut actions);
        let checks = actions.iter().filter(|a| matches!(a, Action::StartHealthCheck(_))).count();
        assert_eq!((checks, timers(&actions).len()), (1, 1), "not one check and one timer");
    }
}

// ---- rule 1: one final response, in time ----

#[test]
fn request_without_endpoint_is_shed_before_its_deadline() {
    let mut balancer = TestBalancer::new(settings(Idempotency::NonIdempotent), Vec::new());
    let (id, mut actions) = balancer.request(900 * MS);
    let deadline = balancer.now + 900 * MS;
    while !is_shed(&actions) {
        let (at, timer) = timers(&actions).into_iter().next().expect("queued with a timer");
        assert_eq!(timer, Timer::Request(id));
        assert!(at < deadline);
        balancer.now = at;
        actions = balancer.handle(Event::TimerFired(timer));
    }
}

#[test]
fn queued_request_is_sent_when_an_endpoint_appears() {
    let mut balancer = TestBalancer::new(settings(Idempotency::NonIdempotent), Vec::new());
    let (id, _) = balancer.request(S);
    let actions = balancer.update_endpoints(EndpointUpdate::Snapshot(endpoint_entries(1)));
    assert!(matches!(actions.iter().find(|a| matches!(a, Action::StartAttempt { .. })),
        Some(Action::StartAttempt { request, .. }) if *request == id));
}

#[test]
fn timeout_at_the_deadline_completes_the_request_once() {
    let mut balancer = TestBalancer::new(settings(Idempotency::NonIdempotent), endpoint_entries(3));
    let (id, actions) = balancer.request(S);
    let at = selected_endpoint(&actions).expect("an attempt");
    balancer.now += S;
    assert!(has_failed(&balancer.end_attempt(id, 0, at, Outcome::Timeout, S)));
    assert!(
        balancer
            .end_attempt(id, 0, at, Outcome::Timeout, S)
            .iter()
            .all(|a| !matches!(a, Action::Fail(_) | Action::StartAttempt { .. }))
    );
    assert!(selected_endpoint(&balancer.handle(Event::TimerFired(Timer::Request(id)))).is_none());
}

#[test]
fn aborted_request_gets_no_response_and_its_attempt_is_cancelled() {
    let mut balancer = TestBalancer::new(settings(Idempotency::Idempotent), endpoint_entries(3));
    let (id, actions) = balancer.request(S);
    let at = selected_endpoint(&actions).expect("an attempt");
    assert_eq!(
        balancer.handle(Event::RequestAborted(id)),
        vec![Action::CancelAttempt { request: id, attempt: 0 }]
    );
    let after = balancer.end_attempt(id, 0, at, Outcome::Cancelled, MS);
    assert!(selected_endpoint(&after).is_none() && !is_shed(&after) && !has_failed(&after));
}

#[test]
fn request_past_its_deadline_is_shed_at_once() {
    let mut balancer = TestBalancer::new(settings(Idempotency::NonIdempotent), endpoint_entries(3));
    assert!(is_shed(&balancer.request(0).1));
}

// ---- rule 2: no request takes effect twice ----

#[test]
fn non_idempotent_request_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let mut balancer = TestBalancer::new(settings(Idempotency::NonIdempotent), endpoint_entries(4));
        let (id, actions) = balancer.request(S);
        let after =
            balancer.end_attempt(id, 0, selected_endpoint(&actions).expect("an attempt"), outcome, MS);
        assert!(has_failed(&after) && selected_endpoint(&after).is_none() && !is_shed(&after), "{outcome:?}");
    }
}

#[test]
fn request_that_never_ran_is_retried_elsewhere() {
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed] {
        let mut balancer = TestBalancer::new(settings(Idempotency::NonIdempotent), endpoint_entries(4));
        let (id, actions) = balancer.request(S);
        let first = selected_endpoint(&actions).expect("an attempt");
        let second = selected_endpoint(&balancer.end_attempt(id, 0, first, outcome, MS)).expect("retried");
        assert_ne!(first, second);
    }
}

#[test]
fn keyed_retry_stays_in_its_cell_and_window() {
    for n in 0..4 {
        let mut settings = settings(cell(400 * MS));
        settings.replica_index = n;
        settings.replica_count = 4;
        let mut balancer = TestBalancer::new(settings, endpoint_entries(8));
        let (id, actions) = balancer.request(S);
        let first = selected_endpoint(&actions).expect("an attempt");
        let second = selected_endpoint(&balancer.end_attempt(id, 0, first, Outcome::Error, MS))
            .expect("retried in the cell");
        assert_eq!(second.0 / 2, first.0 / 2);
        assert_ne!(second, first);

        let (id, actions) = balancer.request(S);
        let at = selected_endpoint(&actions).expect("an attempt");
        balancer.now += 390 * MS;
        let late = balancer.end_attempt(id, 0, at, Outcome::Reset, 390 * MS);
        assert!(
            has_failed(&late) && selected_endpoint(&late).is_none(),
            "failed, not retried or shed, after the window"
        );
    }
}

#[test]
fn overdue_request_is_hedged_only_if_repeated_execution_is_harmless() {
    for (idempotency, hedged) in
        [(Idempotency::Idempotent, true), (cell(S), true), (Idempotency::NonIdempotent, false)]
    {
        let mut balancer = TestBalancer::new(settings(idempotency), endpoint_entries(8));
        (0..20).for_each(|_| _ = balancer.serve(10 * MS));
        let (id, actions) = balancer.request(S);
        let (at, timer) = *timers(&actions).iter().find(|(_, t)| *t == Timer::Request(id)).expect("a timer");
        balancer.now = at;
        assert_eq!(
            selected_endpoint(&balancer.handle(Event::TimerFired(timer))).is_some(),
            hedged,
            "{idempotency:?}"
        );
    }
}

#[test]
fn without_hedging_one_attempt_is_in_flight_at_a_time() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.limits.hedging_enabled = false;
    let mut balancer = TestBalancer::new(settings.clone(), endpoint_entries(1));
    (0..20).for_each(|_| _ = balancer.serve(10 * MS));
    let (slow, _) = balancer.request(S);
    balancer.now += 10 * MS;
    balancer.serve(5 * MS);
    balancer.now += 300 * MS;
    assert_eq!(balancer.handle(Event::TimerFired(Timer::Request(slow))), [], "endpoint responded since");

    let mut balancer = TestBalancer::new(settings, endpoint_entries(8));
    (0..20).for_each(|_| _ = balancer.serve(10 * MS));
    let (hanging, actions) = balancer.request(S);
    let at = selected_endpoint(&actions).expect("an attempt");
    balancer.now += 300 * MS;
    let overdue = balancer.handle(Event::TimerFired(Timer::Request(hanging)));
    assert!(selected_endpoint(&overdue).is_none());
    assert!(overdue.contains(&Action::CancelAttempt { request: hanging, attempt: 0 }), "not cancelled");
    let retried = selected_endpoint(&balancer.end_attempt(hanging, 0, at, Outcome::Cancelled, 300 * MS))
        .expect("retried");
    assert_ne!(retried, at);
}

#[test]
fn attempts_stop_at_the_limit() {
    let mut balancer = TestBalancer::new(settings(Idempotency::NonIdempotent), endpoint_entries(8));
    let (id, mut actions) = balancer.request(S);
    let mut attempts = 0;
    while let Some(at) = selected_endpoint(&actions) {
        actions = balancer.end_attempt(id, attempts, at, Outcome::Overloaded, MS);
        attempts += 1;
    }
    assert_eq!(attempts, 3);
    assert!(is_shed(&actions));
}

// ---- rule 3: no attempts to draining or removed endpoints, and a current endpoint list ----

#[test]
fn draining_or_removed_endpoint_gets_no_attempt() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let entries = endpoint_entries(2);
        let mut balancer = TestBalancer::new(settings(Idempotency::NonIdempotent), entries.clone());
        let (id, actions) = balancer.request(S);
        let first = selected_endpoint(&actions).expect("an attempt");
        let other = entries.iter().find(|e| e.id != first).expect("a second endpoint");
        balancer.set_state(other, state);
        assert!(selected_endpoint(&balancer.end_attempt(id, 0, first, Outcome::Overloaded, MS)).is_none());
        assert!((0..5).all(|_| selected_endpoint(&balancer.request(S).1).is_none_or(|at| at == first)));
    }
}

#[test]
fn endpoint_missing_from_a_snapshot_is_removed_and_may_return() {
    let entries = endpoint_entries(2);
    let mut balancer = TestBalancer::new(settings(Idempotency::NonIdempotent), entries.clone());
    balancer.update_endpoints(EndpointUpdate::Snapshot(entries[..1].to_vec()));
    assert!((0..3).all(|_| selected_endpoint(&balancer.request(S).1) == Some(entries[0].id)));
    let actions = balancer.update_endpoints(EndpointUpdate::Snapshot(entries.clone()));
    assert!(timers(&actions).iter().any(|(_, t)| *t == Timer::HealthCheck(entries[1].id)), "no health check");
    assert_eq!(selected_endpoint(&balancer.request(S).1), Some(entries[1].id));
}

#[test]
fn subscription_is_requested_and_renewed_within_the_poll_interval() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.discovery = Discovery::Subscribe;
    let poll_interval = settings.rules.poll_interval;
    let mut balancer = Balancer::new(settings, 3, 0);
    let mut actions = Vec::new();
    balancer.handle(0, Event::Endpoints(EndpointUpdate::Cached(endpoint_entries(2))), &mut actions);
    let discovery_timer =
        |actions: &[Action]| timers(actions).into_iter().find(|(_, t)| *t == Timer::Discovery);
    let (mut at, timer) = discovery_timer(&actions).expect("a discovery timer");
    assert!(at < poll_interval);
    for _ in 0..6 {
        actions.clear();
        balancer.handle(at, Event::TimerFired(timer), &mut actions);
        assert_eq!(actions, [Action::WatchEndpoints(true)]);
        actions.clear();
        balancer.handle(at, Event::Endpoints(EndpointUpdate::Failed), &mut actions);
        let next = discovery_timer(&actions).expect("a discovery timer after a failure").0;
        assert!(next > at && next < at + 4 * poll_interval, "not within four poll intervals");
        at = next;
    }
}

// ---- rule 4: slow start ----

/// Sends a request and returns its endpoint. It is answered after 1 ms, except by the endpoint `silent`,
/// where the client aborts it. So that endpoint receives its slow start budget only, without refills for
/// responses.
fn request_except(balancer: &mut TestBalancer, silent: Option<EndpointId>) -> EndpointId {
    let (id, actions) = balancer.request(S);
    let at = selected_endpoint(&actions).expect("an attempt");
    balancer.now += MS;
    if silent == Some(at) {
        balancer.handle(Event::RequestAborted(id));
        balancer.end_attempt(id, 0, at, Outcome::Cancelled, MS);
    } else {
        balancer.end_attempt(id, 0, at, Outcome::Ok, MS);
    }
    at
}

/// Returns how many requests all replicas of a tier send to one endpoint in slow start within `seconds`,
/// in the worst case that all replicas prefer it.
fn sent_to_cold(replicas: u32, per_s: u64, age: Nanos, seconds: u64) -> u64 {
    let mut total = 0;
    for replica_index in 0..replicas {
        let mut settings = settings(Idempotency::NonIdempotent);
        (settings.replica_index, settings.replica_count) = (replica_index, replicas);
        let mut balancer = TestBalancer::seeded(u64::from(replica_index), settings, endpoint_entries(10));
        let send_request = |balancer: &mut TestBalancer, silent| {
            balancer.now += S / per_s - MS;
            request_except(balancer, silent)
        };
        let preferred =
            (0..20 * per_s).map(|_| send_request(&mut balancer, None)).last().expect("an endpoint");
        let started = Some(balancer.now - age);
        balancer.update_endpoints(EndpointUpdate::Delta(vec![EndpointEntry {
            started,
            ..endpoint_entries(10)[preferred.0 as usize].clone()
        }]));
        total += (0..seconds * per_s)
            .filter(|_| send_request(&mut balancer, Some(preferred)) == preferred)
            .count() as u64;
    }
    total
}

#[test]
fn all_replicas_together_keep_a_slow_start_endpoint_within_its_budget() {
    // Ten endpoints share the load. The cold one has a tenth of its capacity, which is at least the load
    // of one endpoint. The budget for a window of 1 s is 2 x 0.1 x the load of one endpoint.
    for (replicas, per_s) in [(1, 200), (10, 20), (40, 5)] {
        let ordinary = f64::from(replicas) * per_s as f64 / 10.0;
        let got = sent_to_cold(replicas, per_s, 0, 1) as f64;
        assert!(
            got <= 2.0 * 0.15 * ordinary + 2.0,
            "{replicas} replicas sent {got} of {ordinary} per second"
        );
        let later = sent_to_cold(replicas, per_s, 25 * S, 4) as f64 / 4.0;
        assert!(later > got && later <= 2.0 * ordinary, "{later} per second after 25 s, {got} at the start");
    }
}

#[test]
fn replica_without_a_known_rate_sends_a_slow_start_endpoint_next_to_nothing() {
    let mut entries = endpoint_entries(4);
    entries[0].started = Some(1000 * S);
    let mut balancer = TestBalancer::new(settings(Idempotency::NonIdempotent), entries.clone());
    let to_cold =
        (0..20).filter(|_| selected_endpoint(&balancer.request(S).1) == Some(entries[0].id)).count();
    assert!(to_cold <= 1, "{to_cold} requests");
}

#[test]
fn slow_start_endpoint_smaller_than_the_mean_gets_less() {
    let got = |size: f64| {
        let mut balancer = TestBalancer::new(settings(Idempotency::NonIdempotent), endpoint_entries(10));
        let send_request = |balancer: &mut TestBalancer, silent| {
            balancer.now += 4 * MS;
            request_except(balancer, silent)
        };
        let preferred = (0..4000).map(|_| send_request(&mut balancer, None)).last().expect("an endpoint");
        let entry = EndpointEntry {
            started: Some(balancer.now),
            relative_capacity: size,
            ..endpoint_entries(10)[preferred.0 as usize].clone()
        };
        balancer.update_endpoints(EndpointUpdate::Delta(vec![entry]));
        (0..1000).filter(|_| send_request(&mut balancer, Some(preferred)) == preferred).count()
    };
    let (small, ordinary, large) = (got(0.25), got(1.0), got(4.0));
    assert!(small * 2 < ordinary && large <= ordinary, "{small}, {ordinary}, {large}");
}

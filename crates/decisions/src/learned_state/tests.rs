//! Tests of restoring learned state in a new process.

use crate::*;

const S: Nanos = 1_000_000_000;

/// Handles 20 requests per second, each answered at once. Returns how many were sent to `endpoint`.
fn serve(balancer: &mut Balancer, from: u64, seconds: u64, endpoint: EndpointId) -> usize {
    let mut sent_to_endpoint = 0;
    for n in 0..seconds * 20 {
        let (now, mut out) = ((1000 + from) * S + n * S / 20, Vec::new());
        let request = RequestId(from * 1000 + n);
        balancer.handle(now, Event::RequestArrived(Request::new(request, ClassId(0), S)), &mut out);
        let selected = out.iter().find_map(|action| match action {
            Action::StartAttempt { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        let Some(at) = selected else { continue };
        sent_to_endpoint += usize::from(at == endpoint);
        let (outcome, duration, load) = (Outcome::Ok, S / 100, None);
        let end = AttemptEnd {
            request,
            attempt: 0,
            endpoint: at,
            outcome,
            duration,
            request_completed: true,
            load,
        };
        balancer.handle(now, Event::AttemptEnded(end), &mut Vec::new());
    }
    sent_to_endpoint
}

#[test]
fn restored_replica_avoids_unhealthy_endpoint_and_uses_the_learned_rate_for_slow_start() {
    let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
    let start = |now| {
        let entry =
            |n, name: &str, started| EndpointEntry { started, ..EndpointEntry::ready(EndpointId(n), name) };
        // As during a release: the cold endpoint has restarted before each replica starts.
        let list = vec![entry(0, "warm", None), entry(1, "cold", Some(now - S))];
        let mut balancer = Balancer::new(settings.clone(), 1, now);
        balancer.handle(now, Event::Endpoints(EndpointUpdate::Snapshot(list)), &mut Vec::new());
        balancer
    };
    let fails_health_check = |balancer: &mut Balancer| {
        let (endpoint, outcome) = (EndpointId(0), Outcome::ConnectFailed);
        let checked = Event::HealthCheckCompleted { endpoint, outcome, duration: 1, load: None };
        balancer.handle(1010 * S, checked, &mut Vec::new());
    };
    let mut old = start(1000 * S);
    serve(&mut old, 0, 10, EndpointId(1));
    fails_health_check(&mut old);
    let (mut restored, mut fresh) = (start(1010 * S), start(1010 * S));
    restored.restore(&old.learned_state());
    assert_eq!(restored.endpoint_status(EndpointId(0)), EndpointStatus::Unhealthy);
    assert_eq!(restored.learned_state().classes, old.learned_state().classes);
    fails_health_check(&mut fresh);
    let cold = EndpointId(1);
    let [restored, fresh] = [&mut restored, &mut fresh].map(|balancer| serve(balancer, 10, 3, cold));
    assert!(restored > 20 && fresh < 5, "{restored} of 60 with restored state, {fresh} without");
}

#[test]
fn restarted_endpoint_does_not_inherit_learned_state() {
    let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
    let mut old = Balancer::new(settings.clone(), 1, 1000 * S);
    let list = |started| vec![EndpointEntry { started, ..EndpointEntry::ready(EndpointId(0), "a") }];
    old.handle(1000 * S, Event::Endpoints(EndpointUpdate::Snapshot(list(None))), &mut Vec::new());
    let (endpoint, outcome) = (EndpointId(0), Outcome::ConnectFailed);
    old.handle(
        1001 * S,
        Event::HealthCheckCompleted { endpoint, outcome, duration: 1, load: None },
        &mut Vec::new(),
    );
    for (started, status) in
        [(None, EndpointStatus::Unhealthy), (Some(1001 * S), EndpointStatus::SlowStart { started: 1001 * S })]
    {
        let mut new = Balancer::new(settings.clone(), 1, 1002 * S);
        new.handle(1002 * S, Event::Endpoints(EndpointUpdate::Snapshot(list(started))), &mut Vec::new());
        new.restore(&old.learned_state());
        assert_eq!(new.endpoint_status(EndpointId(0)), status);
    }
}

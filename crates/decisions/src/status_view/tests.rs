//! Tests of each status after the events that lead to it.

use crate::*;

const S: Nanos = 1_000_000_000;

fn attempt_ended(request: u64, endpoint: EndpointId, outcome: Outcome) -> Event {
    let request = RequestId(request);
    Event::AttemptEnded(AttemptEnd {
        request,
        attempt: 0,
        endpoint,
        outcome,
        duration: 1,
        request_completed: false,
        load: None,
    })
}

#[test]
fn each_status_is_reported() {
    let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
    let mut balancer = Balancer::new(settings, 1, 1000 * S);
    let handle = |balancer: &mut Balancer, event| balancer.handle(1000 * S, event, &mut Vec::new());
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut list: Vec<_> =
        names.iter().zip(0..).map(|(name, n)| EndpointEntry::ready(EndpointId(n), name)).collect();
    list[4].started = Some(990 * S);
    list[5].started = Some(900 * S); // 100 s ago, after the slow start window of 30 s
    handle(&mut balancer, Event::Endpoints(EndpointUpdate::Cached(list.clone())));
    list[0].state = EndpointState::Draining;
    handle(&mut balancer, Event::Endpoints(EndpointUpdate::Delta(list[..1].to_vec())));
    let (endpoint, outcome) = (EndpointId(1), Outcome::ConnectFailed);
    handle(&mut balancer, Event::HealthCheckCompleted { endpoint, outcome, duration: 1, load: None });
    handle(&mut balancer, attempt_ended(1, EndpointId(2), Outcome::Overloaded));
    handle(&mut balancer, attempt_ended(2, EndpointId(3), Outcome::Error));
    handle(&mut balancer, attempt_ended(3, EndpointId(3), Outcome::Error));

    assert_eq!(balancer.endpoint_status(EndpointId(0)), EndpointStatus::DrainingOrRemoved);
    assert_eq!(balancer.endpoint_status(EndpointId(1)), EndpointStatus::Unhealthy);
    let rejected = balancer.endpoint_status(EndpointId(2));
    assert!(matches!(rejected, EndpointStatus::Overloaded { until } if until > 1000 * S));
    assert_eq!(balancer.endpoint_status(EndpointId(3)), EndpointStatus::Ejected { since: 1000 * S });
    assert_eq!(balancer.endpoint_status(EndpointId(4)), EndpointStatus::SlowStart { started: 990 * S });
    assert_eq!(balancer.endpoint_status(EndpointId(5)), EndpointStatus::Healthy);
    assert_eq!(balancer.endpoint_status(EndpointId(6)), EndpointStatus::Unknown);
}

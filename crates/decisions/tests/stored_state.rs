//! Compatibility of the stored learned state. A process of another build reads it at a hot restart, so its
//! names and their order never change.

use olivecart_decisions::*;

const S: Nanos = 1_000_000_000;

/// The state as written by the first build that stored it.
const STORED: &str = concat!(
    r#"{"norms":[[25000000.5,0.25,40.0,3000.0],[7.0,1.0,0.0,0.0]],"retry_budget":3.5,"#,
    r#""sent_work":[1.5,1000000000001],"served":[2.5,1000000000002],"arrived":[3.5,1000000000003],"#,
    r#""tenants":[[4.5,1000000000004]],"recent":0.125,"endpoints":{"#,
    r#""a":{"started":null,"up":true,"slow":1.25,"answered":1000000000005,"blame":0.5,"#,
    r#""held":1000000000006,"trial_at":1000000000007,"back_off":3,"full_until":1000000000008,"#,
    r#""rate":[5.5,1000000000009],"budget":-0.75,"topped":1000000000010},"#,
    r#""b":{"started":999000000000,"up":false,"slow":1.0,"answered":0,"blame":0.0,"#,
    r#""held":null,"trial_at":0,"back_off":0,"full_until":0,"#,
    r#""rate":[0.0,0],"budget":0.5,"topped":1}}}"#,
);

#[test]
fn stored_state_is_read_and_written_as_by_the_first_build() {
    let settings = Settings {
        classes: vec![Class::default(), Class::default()],
        tenants: vec![Tenant { quota_per_s: 1.0, share: 1.0 }],
        ..Settings::default()
    };
    let mut balancer = Balancer::new(settings, 1, 1000 * S);
    let second = EndpointEntry { started: Some(999 * S), ..EndpointEntry::ready(EndpointId(1), "b") };
    let list = vec![EndpointEntry::ready(EndpointId(0), "a"), second];
    balancer.handle(1000 * S, Event::Endpoints(EndpointUpdate::Snapshot(list)), &mut Vec::new());

    let stored: LearnedState = serde_json::from_str(STORED).expect("valid stored state");
    balancer.restore(&stored);

    assert_eq!(balancer.learned_state(), stored);
    assert_eq!(serde_json::to_string(&balancer.learned_state()).expect("serializable"), STORED);
    let ejected = EndpointStatus::Ejected { since: 1_000_000_000_006 };
    assert_eq!(balancer.endpoint_status(EndpointId(0)), ejected);
    assert_eq!(balancer.endpoint_status(EndpointId(1)), EndpointStatus::Unhealthy);
}

use super::*;

fn endpoint(text: &str) -> Upserted {
    // Name, priority and weight. `!` after the name marks a new endpoint, `?` a draining one.
    let [name, priority, weight] = text.split(' ').collect::<Vec<_>>()[..] else { panic!("{text}") };
    let has_mark = |mark| name.contains(mark);
    let arrival = if has_mark('!') { Arrival::New } else { Arrival::Changed };
    let mut endpoint = Endpoint::ready(name.trim_matches(['!', '?']), ([127, 0, 0, 1], 1).into());
    endpoint.priority = priority.parse().expect("a number");
    endpoint.weight = weight.parse().expect("a number");
    if has_mark('?') {
        endpoint.state = olivecart_membership::State::Draining;
    }
    Upserted { endpoint: Arc::new(endpoint), arrival }
}

fn describe(changes: &EndpointChanges) -> String {
    let describe = |n: &NumberedEndpoint| {
        let letter = match n.state {
            EndpointState::Ready => 'R',
            EndpointState::Draining => 'D',
            EndpointState::Removed => 'G',
        };
        format!("{letter}{}{}", n.number, n.endpoint.name)
    };
    let stopping = changes.stopping.iter().map(describe).collect::<Vec<_>>().join(" ");
    format!("{stopping} | {}", changes.ready.iter().map(describe).collect::<Vec<_>>().join(" "))
}

#[test]
fn only_the_first_priority_with_ready_endpoints_serves() {
    let mut members = Members::default();
    for (removed, upserted, expected) in [
        ("", "a! 0 1;b! 0 1;c! 1 1", "D2c | R0a R1b"),
        ("a", "b? 0 1", "G0a D1b | R2c"), // no priority 0 is left: c becomes ready, though unchanged
        ("", "b 0 0", "D1b | "),          // weight 0: no requests
        ("", "b 0 2", "D2c | R1b"),
        ("", "a 0 1", " | R0a"),  // returns with its earlier number
        ("a", "", "G0a | "),      // removed
        ("", "a! 0 1", " | R3a"), // a new endpoint of the same name gets a new number
        ("", "a! 0 1", "G3a | R4a"),
        ("nobody", "", " | "),
        ("a b c", "", "G4a G1b G2c | "),
    ] {
        let removed: Vec<EndpointName> = removed.split_whitespace().map(EndpointName::from).collect();
        let upserted = upserted.split_terminator(';').map(endpoint).collect();
        assert_eq!(describe(&members.apply(&removed, upserted)), expected, "after {removed:?}");
    }
    assert_eq!((members.listed_count, members.ready_by_priority.len()), (0, 0));
}

#[test]
fn retired_numbers_lead_to_renumbering() {
    let mut members = Members::default();
    members.apply(&[], vec![endpoint("stays! 0 1")]);
    let mut rounds = 0;
    while !members.needs_renumbering() {
        let name = format!("n{rounds}");
        members.apply(&[], vec![endpoint(&format!("{name}! 0 1"))]);
        members.apply(&[name.as_str().into()], Vec::new());
        rounds += 1;
        assert!(rounds <= MIN_RETIRED_NUMBERS + 10, "never renumbered");
    }
    assert_eq!(describe(&members.renumber()), " | R0stays");
    assert!(!members.needs_renumbering() && members.numbers.len() == 1);
}

use super::*;

fn endpoint(text: &str) -> Upserted {
    // name, priority, weight; a name with `!` has left for long, one with `?` drains
    let [name, priority, weight] = text.split(' ').collect::<Vec<_>>()[..] else { panic!("{text}") };
    let is = |mark| name.contains(mark);
    let arrival = if is('!') { Arrival::New } else { Arrival::Changed };
    let mut endpoint = Endpoint::ready(name.trim_matches(['!', '?']), ([127, 0, 0, 1], 1).into());
    endpoint.priority = priority.parse().expect("a number");
    endpoint.weight = weight.parse().expect("a number");
    if is('?') {
        endpoint.state = olivecart_membership::State::Draining;
    }
    Upserted { endpoint: Arc::new(endpoint), arrival }
}

fn told(changes: &EndpointChanges) -> String {
    let told = |n: &Numbered| {
        let letter = match n.state {
            EndpointState::Ready => 'R',
            EndpointState::Draining => 'D',
            EndpointState::Removed => 'G',
        };
        format!("{letter}{}{}", n.number, n.endpoint.name)
    };
    let stops = changes.stops.iter().map(told).collect::<Vec<_>>().join(" ");
    format!("{stops} | {}", changes.takes.iter().map(told).collect::<Vec<_>>().join(" "))
}

#[test]
fn what_stops_comes_first_and_only_the_first_priority_that_can_serve_serves() {
    let mut members = Members::default();
    for (removed, upserted, expected) in [
        ("", "a! 0 1;b! 0 1;c! 1 1", "D2c | R0a R1b"),
        ("a", "b? 0 1", "G0a D1b | R2c"), // nobody of 0 is left, and c is told of though it did not change
        ("", "b 0 0", "D1b | "),          // of weight 0: it gets nothing
        ("", "b 0 2", "D2c | R1b"),
        ("", "a 0 1", " | R0a"),  // it returns with the number it had
        ("a", "", "G0a | "),      // and leaves for long:
        ("", "a! 0 1", " | R3a"), // whoever comes under its name is another
        ("", "a! 0 1", "G3a | R4a"),
        ("nobody", "", " | "),
        ("a b c", "", "G4a G1b G2c | "),
    ] {
        let removed: Vec<EndpointName> = removed.split_whitespace().map(EndpointName::from).collect();
        let upserted = upserted.split_terminator(';').map(endpoint).collect();
        assert_eq!(told(&members.apply(&removed, upserted)), expected, "after {removed:?}");
    }
    assert_eq!((members.live, members.ready_by_priority.len()), (0, 0));
}

#[test]
fn numbers_that_are_spent_are_not_kept_for_good() {
    let mut members = Members::default();
    members.apply(&[], vec![endpoint("stays! 0 1")]);
    let mut rounds = 0;
    while !members.is_spent() {
        let name = format!("n{rounds}");
        members.apply(&[], vec![endpoint(&format!("{name}! 0 1"))]);
        members.apply(&[name.as_str().into()], Vec::new());
        rounds += 1;
        assert!(rounds <= MINIMUM_SPENT_NUMBERS + 10, "never spent");
    }
    assert_eq!(told(&members.renew()), " | R0stays");
    assert!(!members.is_spent() && members.numbers.len() == 1);
}

//! Who plays: every server of a scenario with its place, its machine and its speed.

use super::chance::stream;
use crate::scenario::{Scenario, Weights};
use rand::Rng;

/// One server.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its tier, as an index into the scenario's.
    pub tier: usize,
    /// Its place in the tier.
    pub index: usize,
    /// Its name; a replacement has another.
    pub id: String,
    /// Its zone, as an index into the scenario's.
    pub zone: usize,
    /// Its kind, as an index into its tier's.
    pub kind: usize,
    /// Its cell; unique in its tier.
    pub cell: u64,
    /// Speed of a core.
    pub speed: f64,
    /// What the list tells of its size.
    pub weight: f64,
}

/// All servers by tier. Speeds follow from the seed.
pub fn cast(scenario: &Scenario, seed: u64) -> Vec<Vec<Member>> {
    (0..scenario.tier.len()).map(|tier| cast_tier(scenario, tier, seed)).collect()
}

fn cast_tier(scenario: &Scenario, number: usize, seed: u64) -> Vec<Member> {
    let tier = &scenario.tier[number];
    let member = |(index, seat): (usize, crate::scenario::Seat)| {
        let kind = &tier.kind[seat.kind];
        let [least, most] = kind.speed;
        let speed = least + (most - least) * stream(seed, &tier.name, index as u64).random::<f64>();
        Member {
            tier: number,
            index,
            id: format!("{}-{index}", tier.name),
            zone: seat.zone,
            kind: seat.kind,
            cell: seat.cell as u64,
            speed,
            weight: match tier.weights {
                Weights::None => 1.0,
                Weights::Nominal => f64::from(kind.cores) * kind.mean_speed(),
                Weights::True => f64::from(kind.cores) * speed,
            },
        }
    };
    scenario.layout(number).into_iter().enumerate().map(member).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn speeds_and_weights_are_those_of_the_kinds() {
        let text = r#"version=1
            name="x"
            length="1s"
            class=[{name="v",aim="1s",deadline="2s",effect="repeatable",work={dist="fixed",mean="1ms"}}]
            clients={rate=1.0}
            [[tier]]
            name="t"
            servers=10
            weights="nominal"
            kind=[{name="big",cores=4,speed=[1.0,2.0]},{name="small",cores=1}]"#;
        let scenario = Scenario::parse("x", text).unwrap();
        let members = cast(&scenario, 3);
        assert!(members[0].iter().all(|m| m.weight == if m.kind == 0 { 6.0 } else { 1.0 }));
        assert!(members[0].iter().filter(|m| m.kind == 0).all(|m| (1.0..2.0).contains(&m.speed)));
        assert_ne!(members[0][0].speed, members[0][2].speed);
        assert_eq!(members, cast(&scenario, 3));
    }
}

//! Which proxy a client uses: one of its zone that the front takes to be there.

use std::net::SocketAddr;

/// Where requests can go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its address.
    pub addr: SocketAddr,
    /// Its zone; none: it is there for all.
    pub zone: Option<usize>,
}

/// What is known of the targets. Times are in nanoseconds since the begin.
pub struct Front {
    targets: Vec<Target>,
    /// By target: since when it has not been found to be there.
    missing: Vec<Option<u64>>,
    /// It notices after this that a target is not there.
    notices: u64,
}

impl Front {
    /// All are there.
    pub fn new(targets: Vec<Target>, notices: u64) -> Front {
        Front { missing: vec![None; targets.len()], targets, notices }
    }

    /// A target was looked at.
    pub fn looked(&mut self, target: usize, there: bool, now: u64) {
        let missing = &mut self.missing[target];
        *missing = if there { None } else { Some(missing.unwrap_or(now)) };
    }

    /// Whether a target gets requests.
    pub fn uses(&self, target: usize, now: u64) -> bool {
        self.missing[target].is_none_or(|since| now < since + self.notices)
    }

    /// The target for a client in a zone; others' where its zone has none left, and none where nobody has.
    /// `lot` lies between 0 and 1.
    pub fn pick(&self, zone: usize, lot: f64, now: u64) -> Option<usize> {
        let used: Vec<usize> = (0..self.targets.len()).filter(|t| self.uses(*t, now)).collect();
        let is_near = |t: &usize| self.targets[*t].zone.is_none_or(|z| z == zone);
        let near: Vec<usize> = used.iter().copied().filter(is_near).collect();
        let from = if near.is_empty() { used } else { near };
        from.get((lot * from.len() as f64) as usize).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn clients_use_their_zone_and_others_when_all_of_it_is_known_to_be_gone() {
        let target = |zone| Target { addr: SocketAddr::from(([127, 0, 0, 1], 1)), zone: Some(zone) };
        let mut front = Front::new(vec![target(0), target(0), target(1)], 100);
        assert_eq!(
            [0.0, 0.49, 0.5, 0.99].map(|lot| front.pick(0, lot, 0)),
            [Some(0), Some(0), Some(1), Some(1)]
        );
        front.looked(0, false, 50);
        front.looked(0, false, 120);
        assert_eq!(front.pick(0, 0.0, 149), Some(0)); // not noticed yet
        assert_eq!(front.pick(0, 0.0, 150), Some(1));
        front.looked(1, false, 0);
        assert_eq!(front.pick(0, 0.0, 150), Some(2));
        front.looked(2, false, 0);
        assert_eq!(front.pick(0, 0.0, 150), None);
        front.looked(0, true, 160);
        assert_eq!(front.pick(1, 0.0, 160), Some(0));
    }
}

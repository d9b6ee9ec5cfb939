//! Selects a client's proxy among those of its zone that are considered up.

use std::net::SocketAddr;

/// A proxy or server to which requests can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its address.
    pub addr: SocketAddr,
    /// Its zone, or `None` if it serves all zones.
    pub zone: Option<usize>,
}

/// The targets and their health as seen by clients. Times are in nanoseconds since the begin of the load.
pub struct TargetSelector {
    targets: Vec<Target>,
    /// By target: since when its checks fail.
    failing_since: Vec<Option<u64>>,
    /// A target is removed after its checks have failed for this long.
    detection_time: u64,
}

impl TargetSelector {
    /// Creates a selector that considers all targets up.
    pub fn new(targets: Vec<Target>, detection_time: u64) -> TargetSelector {
        TargetSelector { failing_since: vec![None; targets.len()], targets, detection_time }
    }

    /// Records the result of a check of a target.
    pub fn record_check(&mut self, target: usize, up: bool, now: u64) {
        let failing_since = &mut self.failing_since[target];
        *failing_since = if up { None } else { Some(failing_since.unwrap_or(now)) };
    }

    /// Returns whether a target gets requests.
    pub fn is_up(&self, target: usize, now: u64) -> bool {
        self.failing_since[target].is_none_or(|since| now < since + self.detection_time)
    }

    /// Picks a target for a client in a zone. Uses other zones if its own has no target that is up, and
    /// returns
    /// `None` if no zone has one. `lot` is a random number in [0, 1).
    pub fn pick(&self, zone: usize, lot: f64, now: u64) -> Option<usize> {
        let up_targets: Vec<usize> = (0..self.targets.len()).filter(|t| self.is_up(*t, now)).collect();
        let is_near = |t: &usize| self.targets[*t].zone.is_none_or(|z| z == zone);
        let near: Vec<usize> = up_targets.iter().copied().filter(is_near).collect();
        let from = if near.is_empty() { up_targets } else { near };
        from.get((lot * from.len() as f64) as usize).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn clients_use_other_zones_when_all_targets_of_their_zone_are_down() {
        let target = |zone| Target { addr: SocketAddr::from(([127, 0, 0, 1], 1)), zone: Some(zone) };
        let mut selector = TargetSelector::new(vec![target(0), target(0), target(1)], 100);
        assert_eq!(
            [0.0, 0.49, 0.5, 0.99].map(|lot| selector.pick(0, lot, 0)),
            [Some(0), Some(0), Some(1), Some(1)]
        );
        selector.record_check(0, false, 50);
        selector.record_check(0, false, 120);
        assert_eq!(selector.pick(0, 0.0, 149), Some(0)); // the failure is not noticed yet
        assert_eq!(selector.pick(0, 0.0, 150), Some(1));
        selector.record_check(1, false, 0);
        assert_eq!(selector.pick(0, 0.0, 150), Some(2));
        selector.record_check(2, false, 0);
        assert_eq!(selector.pick(0, 0.0, 150), None);
        selector.record_check(0, true, 160);
        assert_eq!(selector.pick(1, 0.0, 160), Some(0));
    }
}

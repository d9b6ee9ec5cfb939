//! How fast a server's cores are at a time: cold, crowded, or slowed by a fault; and whether it stands still.

use crate::scenario::{Cold, Crowd, Pause};
use crate::sockets::chance::{Chance, exponential};

/// The pace of one server.
pub struct Pace {
    speed: f64,
    cores: f64,
    cold: Option<Cold>,
    /// When it started cold; none: long ago.
    started: Option<u64>,
    crowd: Option<Crowd>,
    crowded: bool,
    /// Since when it has had too many requests, or few enough.
    over: Option<u64>,
    rests: Option<u64>,
    slower: f64,
    pause: Option<Pause>,
    next_pause: u64,
    still_until: u64,
}

impl Pace {
    /// A warm server.
    pub fn new(
        speed: f64,
        cores: u32,
        cold: Option<Cold>,
        crowd: Option<Crowd>,
        pause: Option<Pause>,
    ) -> Pace {
        Pace {
            speed,
            cores: f64::from(cores),
            cold,
            started: None,
            crowd,
            crowded: false,
            over: None,
            rests: Some(0),
            slower: 1.0,
            pause,
            next_pause: u64::MAX,
            still_until: 0,
        }
    }

    /// It starts, cold or as if it had run for long.
    pub fn starts(&mut self, now: u64, cold: bool, chance: &mut Chance) {
        self.started = cold.then_some(now);
        (self.crowded, self.over, self.rests, self.still_until) = (false, None, Some(now), 0);
        self.next_pause = self.pause.map_or(u64::MAX, |p| now + exponential(p.every.nanos() as f64, chance));
    }

    /// From now on it has this many requests.
    pub fn has(&mut self, now: u64, requests: usize) {
        let Some(crowd) = self.crowd else { return };
        self.turn(now);
        let requests = requests as f64;
        let since = |held: Option<u64>, holds: bool| holds.then_some(held.unwrap_or(now));
        self.over = since(self.over, requests > crowd.per_core * self.cores);
        self.rests = since(self.rests, requests < self.cores);
    }

    /// Becomes crowded, or is so no longer. Between two changes of the number at most one can happen.
    fn turn(&mut self, now: u64) {
        let Some(crowd) = self.crowd else { return };
        let lasted = |since: Option<u64>, time: u64| since.is_some_and(|s| now.saturating_sub(s) >= time);
        if self.crowded {
            self.crowded = !lasted(self.rests, crowd.rest.nanos());
        } else {
            self.crowded = lasted(self.over, crowd.after.nanos());
        }
    }

    /// A fault makes it slower by a factor; 1: no more.
    pub fn slow(&mut self, factor: f64) {
        self.slower = factor.max(1.0);
    }

    /// Speed of a core.
    pub fn speed(&mut self, now: u64) -> f64 {
        self.turn(now);
        let crowding = self.crowd.filter(|_| self.crowded).map_or(1.0, |c| c.slower);
        self.speed * self.warmth(now) / crowding / self.slower
    }

    /// Share of its speed that a cold start leaves it.
    fn warmth(&self, now: u64) -> f64 {
        let (Some(cold), Some(started)) = (self.cold, self.started) else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / (cold.warm_in.nanos() as f64).max(1.0);
        cold.from + (1.0 - cold.from) * age.min(1.0)
    }

    /// Whether it is warming up.
    pub fn is_cold(&self, now: u64) -> bool {
        self.warmth(now) < 1.0
    }

    /// Whether it stands still.
    pub fn still(&self, now: u64) -> bool {
        now < self.still_until
    }

    /// When it next stands still, or goes on.
    pub fn due(&self, now: u64) -> Option<u64> {
        let due = if self.still(now) { self.still_until } else { self.next_pause };
        (due < u64::MAX).then_some(due)
    }

    /// Stands still if that is due; for how long.
    pub fn pauses(&mut self, now: u64, chance: &mut Chance) -> Option<u64> {
        let pause = self.pause.filter(|_| self.next_pause <= now)?;
        let length = pause.length.nanos();
        self.still_until = now + length;
        self.next_pause = self.still_until + exponential(pause.every.nanos() as f64, chance);
        Some(length)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Span;
    use crate::sockets::chance::stream;

    fn span(ns: u64) -> Span {
        Span::from_nanos(ns)
    }

    #[test]
    fn a_cold_server_speeds_up_evenly() {
        let cold = Cold { from: 0.2, warm_in: span(100) };
        let mut pace = Pace::new(2.0, 1, Some(cold), None, None);
        assert_eq!((pace.speed(0), pace.is_cold(0)), (2.0, false));
        pace.starts(50, true, &mut stream(1, "t", 0));
        for (now, speed) in [(50, 0.4), (100, 1.2), (150, 2.0), (900, 2.0)] {
            assert!((pace.speed(now) - speed).abs() < 1e-9, "at {now}: {}", pace.speed(now));
        }
        pace.slow(4.0);
        assert!((pace.speed(900) - 0.5).abs() < 1e-9);
        pace.slow(1.0);
        assert!((pace.speed(900) - 2.0).abs() < 1e-9);
    }

    #[test]
    fn crowding_sets_in_after_a_while_and_goes_only_after_rest() {
        let crowd = Crowd { per_core: 2.0, after: span(10), slower: 4.0, rest: span(100) };
        let mut pace = Pace::new(1.0, 2, None, Some(crowd), None);
        pace.has(0, 5);
        assert_eq!((pace.speed(9), pace.speed(10)), (1.0, 0.25));
        pace.has(20, 3); // neither crowded nor at rest
        assert_eq!(pace.speed(500), 0.25);
        pace.has(500, 1);
        assert_eq!(pace.speed(599), 0.25);
        pace.has(599, 2);
        pace.has(600, 1);
        assert_eq!((pace.speed(699), pace.speed(700)), (0.25, 1.0));
        pace.has(700, 5);
        pace.has(709, 4);
        assert_eq!(pace.speed(800), 1.0);
    }

    #[test]
    fn pauses_come_and_end() {
        let pause = Pause { every: span(1000), length: span(50) };
        let chance = &mut stream(1, "t", 0);
        let mut pace = Pace::new(1.0, 1, None, None, Some(pause));
        pace.starts(0, false, chance);
        let due = pace.due(0).unwrap();
        assert_eq!(pace.pauses(due - 1, chance), None);
        assert_eq!(pace.pauses(due, chance), Some(50));
        assert_eq!((pace.still(due + 49), pace.due(due + 1)), (true, Some(due + 50)));
        assert!(!pace.still(due + 50) && pace.due(due + 50).unwrap() >= due + 50);
    }
}

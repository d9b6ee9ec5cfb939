//! The speed of a server's cores over time: cold start, crowding, slowdown by a fault, and pauses.

use crate::scenario::{Cold, Crowd, Pause};
use crate::sockets::random::{RandomStream, exponential};

/// The speed of one server's cores.
pub struct Pace {
    speed: f64,
    cores: f64,
    cold: Option<Cold>,
    /// When the server started cold, or `None` if it has always been warm.
    started: Option<u64>,
    crowd: Option<Crowd>,
    crowded: bool,
    /// Since when the number of requests is above the crowding threshold.
    over_since: Option<u64>,
    /// Since when the number of requests is below the number of cores.
    rest_since: Option<u64>,
    slowdown: f64,
    pause: Option<Pause>,
    next_pause: u64,
    paused_until: u64,
}

impl Pace {
    /// Creates the pace of a warm server.
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
            over_since: None,
            rest_since: Some(0),
            slowdown: 1.0,
            pause,
            next_pause: u64::MAX,
            paused_until: 0,
        }
    }

    /// Resets the state at a start of the process, cold or warm.
    pub fn start(&mut self, now: u64, cold: bool, rng: &mut RandomStream) {
        self.started = cold.then_some(now);
        (self.crowded, self.over_since, self.rest_since, self.paused_until) = (false, None, Some(now), 0);
        self.next_pause = self.pause.map_or(u64::MAX, |p| now + exponential(p.every.nanos() as f64, rng));
    }

    /// Records the number of requests present from now on.
    pub fn set_requests(&mut self, now: u64, requests: usize) {
        let Some(crowd) = self.crowd else { return };
        self.update_crowding(now);
        let requests = requests as f64;
        let since = |previous: Option<u64>, holds: bool| holds.then_some(previous.unwrap_or(now));
        self.over_since = since(self.over_since, requests > crowd.per_core * self.cores);
        self.rest_since = since(self.rest_since, requests < self.cores);
    }

    /// Updates whether the server is crowded. This changes at most once between two changes of the number of
    /// requests.
    fn update_crowding(&mut self, now: u64) {
        let Some(crowd) = self.crowd else { return };
        let lasted = |since: Option<u64>, time: u64| since.is_some_and(|s| now.saturating_sub(s) >= time);
        if self.crowded {
            self.crowded = !lasted(self.rest_since, crowd.rest.nanos());
        } else {
            self.crowded = lasted(self.over_since, crowd.after.nanos());
        }
    }

    /// Sets the factor by which a fault slows the server down; 1 ends the fault.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(1.0);
    }

    /// Returns the current speed of one core.
    pub fn speed(&mut self, now: u64) -> f64 {
        self.update_crowding(now);
        let crowding = self.crowd.filter(|_| self.crowded).map_or(1.0, |c| c.slower);
        self.speed * self.cold_start_share(now) / crowding / self.slowdown
    }

    /// Returns the share of the full speed that is available during a cold start.
    fn cold_start_share(&self, now: u64) -> f64 {
        let (Some(cold), Some(started)) = (self.cold, self.started) else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / (cold.warm_in.nanos() as f64).max(1.0);
        cold.from + (1.0 - cold.from) * age.min(1.0)
    }

    /// Returns whether the server is still warming up.
    pub fn is_cold(&self, now: u64) -> bool {
        self.cold_start_share(now) < 1.0
    }

    /// Returns whether the server is paused.
    pub fn is_paused(&self, now: u64) -> bool {
        now < self.paused_until
    }

    /// Returns when the next pause begins, or when the current pause ends.
    pub fn due(&self, now: u64) -> Option<u64> {
        let due = if self.is_paused(now) { self.paused_until } else { self.next_pause };
        (due < u64::MAX).then_some(due)
    }

    /// Begins a pause if one is due, and returns its length in nanoseconds.
    pub fn begin_pause(&mut self, now: u64, rng: &mut RandomStream) -> Option<u64> {
        let pause = self.pause.filter(|_| self.next_pause <= now)?;
        let length = pause.length.nanos();
        self.paused_until = now + length;
        self.next_pause = self.paused_until + exponential(pause.every.nanos() as f64, rng);
        Some(length)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Span;
    use crate::sockets::random::stream;

    fn span(ns: u64) -> Span {
        Span::from_nanos(ns)
    }

    #[test]
    fn cold_server_speeds_up_linearly() {
        let cold = Cold { from: 0.2, warm_in: span(100) };
        let mut pace = Pace::new(2.0, 1, Some(cold), None, None);
        assert_eq!((pace.speed(0), pace.is_cold(0)), (2.0, false));
        pace.start(50, true, &mut stream(1, "t", 0));
        for (now, speed) in [(50, 0.4), (100, 1.2), (150, 2.0), (900, 2.0)] {
            assert!((pace.speed(now) - speed).abs() < 1e-9, "at {now}: {}", pace.speed(now));
        }
        pace.set_slowdown(4.0);
        assert!((pace.speed(900) - 0.5).abs() < 1e-9);
        pace.set_slowdown(1.0);
        assert!((pace.speed(900) - 2.0).abs() < 1e-9);
    }

    #[test]
    fn crowding_begins_after_a_delay_and_ends_only_after_a_rest() {
        let crowd = Crowd { per_core: 2.0, after: span(10), slower: 4.0, rest: span(100) };
        let mut pace = Pace::new(1.0, 2, None, Some(crowd), None);
        pace.set_requests(0, 5);
        assert_eq!((pace.speed(9), pace.speed(10)), (1.0, 0.25));
        pace.set_requests(20, 3); // below the crowding threshold, but above the rest threshold
        assert_eq!(pace.speed(500), 0.25);
        pace.set_requests(500, 1);
        assert_eq!(pace.speed(599), 0.25);
        pace.set_requests(599, 2);
        pace.set_requests(600, 1);
        assert_eq!((pace.speed(699), pace.speed(700)), (0.25, 1.0));
        pace.set_requests(700, 5);
        pace.set_requests(709, 4);
        assert_eq!(pace.speed(800), 1.0);
    }

    #[test]
    fn pauses_begin_and_end_when_due() {
        let pause = Pause { every: span(1000), length: span(50) };
        let rng = &mut stream(1, "t", 0);
        let mut pace = Pace::new(1.0, 1, None, None, Some(pause));
        pace.start(0, false, rng);
        let due = pace.due(0).unwrap();
        assert_eq!(pace.begin_pause(due - 1, rng), None);
        assert_eq!(pace.begin_pause(due, rng), Some(50));
        assert_eq!((pace.is_paused(due + 49), pace.due(due + 1)), (true, Some(due + 50)));
        assert!(!pace.is_paused(due + 50) && pace.due(due + 50).unwrap() >= due + 50);
    }
}

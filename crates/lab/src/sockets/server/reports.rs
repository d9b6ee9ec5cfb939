//! Load reports: made every period from what was true then, and told late and with noise.

use crate::scenario::Report;
use crate::sockets::chance::Chance;
use rand::Rng;
use rand_distr::StandardNormal;
use std::collections::VecDeque;
use std::fmt;

/// Reports kept for telling them late.
const KEPT: usize = 4096;

/// What a report says.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Requests in work.
    pub inflight: f64,
    /// Requests that wait for a slot.
    pub queue: f64,
    /// Share of the cores in use over the last period.
    pub util: f64,
    /// Requests served a second over the last period.
    pub qps: f64,
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Figures { inflight, queue, util, qps } = self;
        write!(f, "inflight={inflight:.1},queue={queue:.1},util={util:.3},qps={qps:.1}")
    }
}

/// The names in the settings for the figures, in their order.
pub const NAMES: [&str; 4] = ["active", "waiting", "cpu", "rps"];

/// What holds until the next change.
#[derive(Clone, Copy, Default)]
pub struct Now {
    /// Requests in work.
    pub active: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Cores in use, as a share of all.
    pub busy: f64,
}

/// The reports of one server.
pub struct Reports {
    spec: Report,
    made: VecDeque<(u64, Figures)>,
    next: u64,
    last: u64,
    busy: f64,
    served: u32,
}

impl Reports {
    /// Reports from this time on.
    pub fn new(spec: Report, now: u64) -> Reports {
        let next = now + spec.period.nanos().max(1);
        Reports { spec, made: VecDeque::new(), next, last: now, busy: 0.0, served: 0 }
    }

    /// A request was served.
    pub fn served(&mut self) {
        self.served += 1;
    }

    /// Makes the reports that are due by now, from what has held since the last call.
    pub fn advance(&mut self, now: u64, state: Now) {
        let period = self.spec.period.nanos().max(1);
        // Those that nobody will be told any more are not made. Danger: a short period and a long rest.
        let skipped = (now.saturating_sub(self.next) / period).saturating_sub(KEPT as u64);
        if skipped > 0 {
            self.next += skipped * period;
            (self.last, self.busy, self.served) = (self.next - period, 0.0, 0);
        }
        while self.next <= now {
            self.busy += (self.next - self.last) as f64 * state.busy;
            let seconds = period as f64 / 1e9;
            let figures = Figures {
                inflight: state.active as f64,
                queue: state.waiting as f64,
                util: self.busy / period as f64,
                qps: f64::from(self.served) / seconds,
            };
            self.made.push_back((self.next, figures));
            if self.made.len() > KEPT {
                self.made.pop_front();
            }
            (self.last, self.busy, self.served) = (self.next, 0.0, 0);
            self.next += period;
        }
        self.busy += now.saturating_sub(self.last) as f64 * state.busy;
        self.last = self.last.max(now);
    }

    /// The newest that can be told by now, with noise.
    pub fn told(&self, now: u64, later: u64, chance: &mut Chance) -> Option<Figures> {
        let until = now.checked_sub(self.spec.delay.nanos() + later)?;
        let known = self.made.partition_point(|(made, _)| *made <= until);
        let (_, figures) = self.made.get(known.checked_sub(1)?)?;
        let mut noisy =
            |v: f64| (v * (1.0 + self.spec.noise * chance.sample::<f64, _>(StandardNormal))).max(0.0);
        Some(Figures {
            inflight: noisy(figures.inflight),
            queue: noisy(figures.queue),
            util: noisy(figures.util),
            qps: noisy(figures.qps),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Span;
    use crate::sockets::chance::stream;

    #[test]
    fn a_report_says_what_held_in_its_period_and_is_told_late() {
        let ms = |n: u64| Span::from_nanos(n * 1_000_000);
        let spec = Report { period: ms(100), delay: ms(50), noise: 0.0 };
        let mut reports = Reports::new(spec, 0);
        let chance = &mut stream(1, "t", 0);
        reports.advance(25_000_000, Now::default());
        reports.served();
        reports.advance(200_000_000, Now { active: 3, waiting: 1, busy: 0.5 });
        assert_eq!(reports.told(149_999_999, 0, chance), None);
        let first = reports.told(150_000_000, 0, chance).unwrap();
        assert_eq!(first, Figures { inflight: 3.0, queue: 1.0, util: 0.375, qps: 10.0 });
        assert_eq!(first.to_string(), "inflight=3.0,queue=1.0,util=0.375,qps=10.0");
        assert_eq!(reports.told(250_000_000, 0, chance).unwrap().util, 0.5);
        assert_eq!(reports.told(250_000_000, 100_000_000, chance), Some(first));
    }

    #[test]
    fn a_long_rest_makes_no_more_reports_than_are_kept() {
        let spec = Report { period: Span::from_nanos(1000), delay: Span::default(), noise: 0.0 };
        let mut reports = Reports::new(spec, 0);
        reports.advance(3_600_000_000_000, Now { active: 0, waiting: 0, busy: 1.0 });
        assert_eq!(reports.made.len(), KEPT);
        assert!(reports.made.iter().all(|(_, f)| (f.util - 1.0).abs() < 1e-9));
    }
}

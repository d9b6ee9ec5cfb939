//! Load reports: generated every period from the load in that period, published with a delay and noise.

use crate::scenario::Report;
use crate::sockets::random::RandomStream;
use rand::Rng;
use rand_distr::StandardNormal;
use std::collections::VecDeque;
use std::fmt;

/// The largest number of reports kept for delayed publication.
const MAX_KEPT_REPORTS: usize = 4096;

/// The content of a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Requests that have a slot.
    pub inflight: f64,
    /// Requests that wait for a slot.
    pub queue: f64,
    /// The mean share of busy cores in the last period.
    pub util: f64,
    /// Requests served per second in the last period.
    pub qps: f64,
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Figures { inflight, queue, util, qps } = self;
        write!(f, "inflight={inflight:.1},queue={queue:.1},util={util:.3},qps={qps:.1}")
    }
}

/// The names of the figures in the settings, in the order of [`Figures`].
pub const NAMES: [&str; 4] = ["active", "waiting", "cpu", "rps"];

/// The load until the next change.
#[derive(Clone, Copy, Default)]
pub struct LoadState {
    /// Requests that have a slot.
    pub active: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// The share of cores that are busy.
    pub busy: f64,
}

/// The reports of one server.
pub struct Reports {
    spec: Report,
    generated: VecDeque<(u64, Figures)>,
    next: u64,
    last: u64,
    busy: f64,
    served: u32,
}

impl Reports {
    /// Creates a generator whose first period begins at `now`.
    pub fn new(spec: Report, now: u64) -> Reports {
        let next = now + spec.period.nanos().max(1);
        Reports { spec, generated: VecDeque::new(), next, last: now, busy: 0.0, served: 0 }
    }

    /// Counts a served request.
    pub fn served(&mut self) {
        self.served += 1;
    }

    /// Generates the reports that are due by now. `state` is the load since the last call.
    pub fn advance(&mut self, now: u64, state: LoadState) {
        let period = self.spec.period.nanos().max(1);
        // Reports that would be discarded unpublished are skipped. Otherwise, a short period after a long
        // idle time would generate an unbounded number of them.
        let skipped = (now.saturating_sub(self.next) / period).saturating_sub(MAX_KEPT_REPORTS as u64);
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
            self.generated.push_back((self.next, figures));
            if self.generated.len() > MAX_KEPT_REPORTS {
                self.generated.pop_front();
            }
            (self.last, self.busy, self.served) = (self.next, 0.0, 0);
            self.next += period;
        }
        self.busy += now.saturating_sub(self.last) as f64 * state.busy;
        self.last = self.last.max(now);
    }

    /// Returns the newest report published by now, with noise. `extra_delay` is added to the configured
    /// delay.
    pub fn published(&self, now: u64, extra_delay: u64, rng: &mut RandomStream) -> Option<Figures> {
        let until = now.checked_sub(self.spec.delay.nanos() + extra_delay)?;
        let published = self.generated.partition_point(|(generated, _)| *generated <= until);
        let (_, figures) = self.generated.get(published.checked_sub(1)?)?;
        let mut noisy =
            |v: f64| (v * (1.0 + self.spec.noise * rng.sample::<f64, _>(StandardNormal))).max(0.0);
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
    use crate::sockets::random::stream;

    #[test]
    fn report_covers_its_period_and_is_published_with_delay() {
        let ms = |n: u64| Span::from_nanos(n * 1_000_000);
        let spec = Report { period: ms(100), delay: ms(50), noise: 0.0 };
        let mut reports = Reports::new(spec, 0);
        let rng = &mut stream(1, "t", 0);
        reports.advance(25_000_000, LoadState::default());
        reports.served();
        reports.advance(200_000_000, LoadState { active: 3, waiting: 1, busy: 0.5 });
        assert_eq!(reports.published(149_999_999, 0, rng), None);
        let first = reports.published(150_000_000, 0, rng).unwrap();
        assert_eq!(first, Figures { inflight: 3.0, queue: 1.0, util: 0.375, qps: 10.0 });
        assert_eq!(first.to_string(), "inflight=3.0,queue=1.0,util=0.375,qps=10.0");
        assert_eq!(reports.published(250_000_000, 0, rng).unwrap().util, 0.5);
        assert_eq!(reports.published(250_000_000, 100_000_000, rng), Some(first));
    }

    #[test]
    fn long_idle_time_generates_at_most_the_kept_number_of_reports() {
        let spec = Report { period: Span::from_nanos(1000), delay: Span::default(), noise: 0.0 };
        let mut reports = Reports::new(spec, 0);
        reports.advance(3_600_000_000_000, LoadState { active: 0, waiting: 0, busy: 1.0 });
        assert_eq!(reports.generated.len(), MAX_KEPT_REPORTS);
        assert!(reports.generated.iter().all(|(_, f)| (f.util - 1.0).abs() < 1e-9));
    }
}

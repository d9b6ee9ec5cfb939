//! The time-based counters of a server, and its load reports.

use super::{Server, State, TimedReport};
use crate::model::topology::Topology;
use olivecart_decisions::{LoadReport, Nanos};
use rand::Rng;
use rand_distr::StandardNormal;
use rand_pcg::Pcg64Mcg;

/// Load reports are dropped this many periods after their delay has passed.
const KEPT_PERIODS: u64 = 10;

impl Server {
    /// Updates the counters to the current time, and creates the load report that is due.
    pub(super) fn update_counters(&mut self, topology: &Topology, now: Nanos) {
        let elapsed = now - self.counted_until;
        self.counted_until = now;
        if self.state != State::Down {
            self.counters.uptime += elapsed;
            self.counters.connection_us += u64::from(self.connections) * (elapsed / 1000);
        }
        let Some(report) = self.kind(topology).report else { return };
        let period = report.period.nanos().max(1);
        let last = self.reports.back().map_or(0, |report| report.made_at);
        if now / period > last / period {
            self.make_report(topology, now, last);
            let kept_for = report.delay.nanos() + self.report_delay + KEPT_PERIODS * period;
            let oldest = now.saturating_sub(kept_for);
            while self.reports.len() > 2 && self.reports[1].made_at < oldest {
                self.reports.pop_front();
            }
        }
    }

    fn make_report(&mut self, topology: &Topology, now: Nanos, last: Nanos) {
        let span = (now - last).max(1) as f64;
        let cores = f64::from(self.kind(topology).cores);
        let busy = (self.counters.busy - self.busy_at_report.min(self.counters.busy)) as f64;
        let load = LoadReport {
            active: Some(f64::from(self.slots_used)),
            waiting: Some(self.waiting.len() as f64),
            cpu: Some((busy / span / cores).min(1.0)),
            rate: Some(self.served_since_report as f64 * 1e9 / span),
            ..LoadReport::default()
        };
        self.busy_at_report = self.counters.busy;
        self.served_since_report = 0;
        self.reports.push_back(TimedReport { made_at: now, load });
    }

    /// The newest load report whose delay has passed.
    pub(super) fn visible_report(&self, topology: &Topology, now: Nanos) -> Option<LoadReport> {
        let delay = self.kind(topology).report.map_or(0, |report| report.delay.nanos());
        let newest = now.saturating_sub(delay + self.report_delay);
        self.reports.iter().rev().find(|report| report.made_at <= newest).map(|report| report.load)
    }
}

/// Returns a load report with each value multiplied by a random factor.
pub fn with_noise(load: Option<LoadReport>, noise: f64, rng: &mut Pcg64Mcg) -> Option<LoadReport> {
    if noise <= 0.0 {
        return load;
    }
    let mut distort = |figure: Option<f64>| {
        figure.map(|figure| (figure * (1.0 + noise * rng.sample::<f64, _>(StandardNormal))).max(0.0))
    };
    load.map(|load| LoadReport {
        active: distort(load.active),
        waiting: distort(load.waiting),
        cpu: distort(load.cpu),
        rate: distort(load.rate),
        ..load
    })
}

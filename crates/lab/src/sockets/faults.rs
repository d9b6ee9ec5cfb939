//! What goes wrong when: a scenario's faults laid out in time, each for the servers that it touches.
//!
//! `tenant_flood` and `retry_storm` are the clients' and are found in `load`.

use super::cast::Member;
use super::chance::stream;
use crate::run::result::Window;
use crate::scenario::{Fault, FaultKind, Scenario};
use rand::seq::SliceRandom;

/// Why a fault cannot be played.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum FaultError {
    /// No server, proxy or zone is of the kind that it names.
    #[error("fault[{0}] ({1:?}): touches nobody")]
    Nobody(usize, FaultKind),
    /// A key that its kind needs is missing or makes no sense.
    #[error("fault[{0}] ({1:?}): {2}")]
    Key(usize, FaultKind, &'static str),
}

/// A condition of a server that begins and ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// It is dead; afterwards it comes back cold.
    Crash,
    /// It fails this share of requests at once.
    FastErrors(f64),
    /// It is this many times slower.
    Slow(f64),
    /// It passes probes, takes requests and answers none.
    Hang,
    /// Its load reports are this much older, in nanoseconds.
    LateReports(u64),
    /// Connections break after the request was written, with this probability.
    Resets(f64),
}

/// One change of the world.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A server's trouble begins or ends.
    Trouble {
        /// Tier and place of the server.
        at: (usize, usize),
        /// What.
        trouble: Trouble,
        /// It begins.
        on: bool,
    },
    /// A server is to drain.
    Drain(usize, usize),
    /// A server that drained is replaced by a cold one with another name.
    Replace(usize, usize),
    /// Discovery goes down, or comes back.
    DiscoveryDown(bool),
    /// Discovery stops hearing, or hears again.
    Stale(bool),
    /// A zone vanishes, or comes back.
    ZoneLost(usize, bool),
    /// A zone is cut off from the others, or no longer.
    ZoneApart(usize, bool),
    /// First-tier proxies die, or new ones take their places.
    ProxiesDown(Vec<usize>, bool),
}

/// A change and its time since the start, in nanoseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: u64,
    /// What.
    pub change: Change,
}

/// Everything that goes wrong, in order of time.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// The steps.
    pub steps: Vec<Step>,
    /// For the report.
    pub windows: Vec<Window>,
}

/// Lays a scenario's faults out in time. Which servers a part stands for follows from the seed.
pub fn timeline(scenario: &Scenario, cast: &[Vec<Member>], seed: u64) -> Result<Timeline, FaultError> {
    let mut timeline = Timeline::default();
    for (number, fault) in scenario.fault.iter().enumerate() {
        let planned = Planner { scenario, cast, seed, number, fault }.plan()?;
        let (from, to) = (fault.start.nanos(), fault.start.nanos() + fault.length.nanos());
        timeline.steps.extend(planned.steps);
        timeline.windows.push(Window {
            kind: name(fault.kind),
            from_ms: from / 1_000_000,
            to_ms: to / 1_000_000,
            touched: planned.touched,
        });
    }
    timeline.steps.sort_by_key(|step| step.at); // stable: what is written first comes first
    Ok(timeline)
}

/// A fault's name as scenarios write it.
fn name(kind: FaultKind) -> String {
    serde_json::to_value(kind).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
}

struct Planned {
    steps: Vec<Step>,
    touched: String,
}

struct Planner<'a> {
    scenario: &'a Scenario,
    cast: &'a [Vec<Member>],
    seed: u64,
    number: usize,
    fault: &'a Fault,
}

impl Planner<'_> {
    fn plan(&self) -> Result<Planned, FaultError> {
        use FaultKind as K;
        match self.fault.kind {
            K::Crash => self.troubles(Trouble::Crash),
            K::Hang => self.troubles(Trouble::Hang),
            K::FastErrors => self.troubles(Trouble::FastErrors(self.strength(0.0, 1.0)?)),
            K::Resets => self.troubles(Trouble::Resets(self.strength(0.0, 1.0)?)),
            K::Slow => self.troubles(Trouble::Slow(self.strength(1.0, f64::MAX)?)),
            K::LateReports => {
                let late = self.strength(0.0, 86_400.0)? * 1e9;
                self.troubles(Trouble::LateReports(late as u64))
            }
            K::RollingDeploy => self.deploy(),
            K::DiscoveryOutage => Ok(self.window("discovery", Change::DiscoveryDown)),
            K::StaleList => Ok(self.window("discovery", Change::Stale)),
            K::ZoneLoss => self.zone().map(|zone| self.window_of_zone(zone, Change::ZoneLost)),
            K::Partition => self.zone().map(|zone| self.window_of_zone(zone, Change::ZoneApart)),
            K::ProxyRestart => self.proxies(),
            K::TenantFlood | K::RetryStorm => Ok(Planned { steps: vec![], touched: "clients".into() }),
        }
    }

    fn start(&self) -> u64 {
        self.fault.start.nanos()
    }

    fn end(&self) -> u64 {
        self.start() + self.fault.length.nanos()
    }

    fn nobody(&self) -> FaultError {
        FaultError::Nobody(self.number, self.fault.kind)
    }

    fn key(&self, what: &'static str) -> FaultError {
        FaultError::Key(self.number, self.fault.kind, what)
    }

    fn strength(&self, least: f64, most: f64) -> Result<f64, FaultError> {
        let strength = self.fault.strength.ok_or(self.key("strength: missing"))?;
        let fits = strength >= least && strength <= most;
        fits.then_some(strength).ok_or(self.key("strength: out of range"))
    }

    fn zone(&self) -> Result<usize, FaultError> {
        let name = self.fault.zone.as_ref().ok_or(self.key("zone: missing"))?;
        self.scenario.zone_index(name).ok_or(self.nobody())
    }

    /// As many as its part stands for of those that it can touch, in their order.
    fn part(&self, mut of: Vec<usize>) -> Result<Vec<usize>, FaultError> {
        let many = self.fault.count(of.len());
        of.shuffle(&mut stream(self.seed, "fault", self.number as u64));
        of.truncate(many);
        of.sort_unstable();
        if of.is_empty() { Err(self.nobody()) } else { Ok(of) }
    }

    /// The tier, and the servers of it that it touches.
    fn servers(&self) -> Result<(usize, Vec<usize>), FaultError> {
        let tier = self.scenario.fault_tier(self.fault).ok_or(self.nobody())?;
        Ok((tier, self.part(self.scenario.within_reach(self.fault))?))
    }

    fn names(&self, tier: usize, which: &[usize]) -> String {
        which.iter().map(|i| self.cast[tier][*i].id.as_str()).collect::<Vec<_>>().join(", ")
    }

    fn troubles(&self, trouble: Trouble) -> Result<Planned, FaultError> {
        let (tier, which) = self.servers()?;
        let step = |index: &usize, on| {
            let at = if on { self.start() } else { self.end() };
            Step { at, change: Change::Trouble { at: (tier, *index), trouble, on } }
        };
        let steps = which.iter().flat_map(|i| [step(i, true), step(i, false)]).collect();
        Ok(Planned { steps, touched: self.names(tier, &which) })
    }

    /// Batch after batch drains and, half of a batch's time later, is replaced.
    fn deploy(&self) -> Result<Planned, FaultError> {
        let share = self.strength(f64::MIN_POSITIVE, 1.0)?;
        let (tier, which) = self.servers()?;
        let batch = ((self.cast[tier].len() as f64 * share).round() as usize).max(1);
        let batches = which.len().div_ceil(batch) as u64;
        let time_of_one = self.fault.length.nanos() / batches;
        let mut steps = Vec::new();
        for (number, batch) in (0..).zip(which.chunks(batch)) {
            let begins = self.start() + number * time_of_one;
            let step = |at, change| Step { at, change };
            steps.extend(batch.iter().map(|i| step(begins, Change::Drain(tier, *i))));
            steps.extend(batch.iter().map(|i| step(begins + time_of_one / 2, Change::Replace(tier, *i))));
        }
        Ok(Planned { steps, touched: self.names(tier, &which) })
    }

    fn window(&self, touched: &str, change: impl Fn(bool) -> Change) -> Planned {
        let (begin, end) = (change(true), change(false));
        let steps = vec![Step { at: self.start(), change: begin }, Step { at: self.end(), change: end }];
        Planned { steps, touched: touched.to_owned() }
    }

    fn window_of_zone(&self, zone: usize, change: impl Fn(usize, bool) -> Change) -> Planned {
        self.window(&format!("zone {}", self.scenario.zones[zone]), |on| change(zone, on))
    }

    fn proxies(&self) -> Result<Planned, FaultError> {
        let which = self.part(self.scenario.within_reach(self.fault))?;
        let touched = format!("{} first-tier proxies", which.len());
        Ok(self.window(&touched, |on| Change::ProxiesDown(which.clone(), on)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sockets::cast::cast;

    fn planned(faults: &str) -> Result<Timeline, FaultError> {
        let text = format!(
            r#"version=1
            name="x"
            length="1s"
            zones=["a","b"]
            class=[{{name="v",aim="1s",deadline="2s",effect="repeatable",work={{dist="fixed",mean="1ms"}}}}]
            clients={{rate=1.0}}
            tier=[{{name="t",servers=10,proxies=4,kind=[{{name="k",cores=1}}]}},
                  {{name="u",servers=4,kind=[{{name="k",cores=1}}]}}]
            fault=[{faults}]"#
        );
        let scenario: Scenario = toml::from_str(&text).unwrap();
        let cast = cast(&scenario, 1);
        timeline(&scenario, &cast, 1)
    }

    #[test]
    fn a_fault_touches_its_part_of_its_zone_and_ends() {
        let plan = planned(r#"{kind="crash",start="2s",length="3s",part=0.4,zone="b"}"#).unwrap();
        assert_eq!(
            plan.steps.iter().map(|s| s.at).collect::<Vec<_>>(),
            [2_000_000_000, 2_000_000_000, 5_000_000_000, 5_000_000_000]
        );
        let odd = |s: &Step| matches!(s.change, Change::Trouble { at: (0, i), .. } if i % 2 == 1);
        assert!(plan.steps.iter().all(odd), "{plan:?}");
        assert_eq!((plan.windows[0].kind.as_str(), plan.windows[0].to_ms), ("crash", 5000));
    }

    #[test]
    fn a_deploy_goes_batch_after_batch_and_replaces_what_it_drained() {
        let plan =
            planned(r#"{kind="rolling_deploy",start="1s",length="4s",strength=0.5,tier="u"}"#).unwrap();
        let at = |wanted: u64| plan.steps.iter().filter(move |s| s.at == wanted * 1_000_000_000);
        assert!(at(1).all(|s| matches!(s.change, Change::Drain(1, _))) && at(1).count() == 2);
        assert!(at(2).all(|s| matches!(s.change, Change::Replace(1, 0 | 1))) && at(2).count() == 2);
        assert!(at(3).all(|s| matches!(s.change, Change::Drain(1, 2 | 3))) && at(3).count() == 2);
        assert_eq!((at(4).count(), plan.steps.len()), (2, 8));
    }

    #[test]
    fn a_fault_that_touches_nobody_or_lacks_a_figure_is_an_error() {
        let nobody = planned(r#"{kind="crash",start="0s",machine="huge"}"#).unwrap_err();
        assert_eq!(nobody, FaultError::Nobody(0, FaultKind::Crash));
        assert_eq!(nobody.to_string(), "fault[0] (Crash): touches nobody");
        assert!(matches!(
            planned(r#"{kind="stale_list",start="0s"},{kind="zone_loss",start="0s",zone="c"}"#),
            Err(FaultError::Nobody(1, _))
        ));
        for wrong in [r#"kind="slow""#, r#"kind="slow",strength=0.5"#, r#"kind="partition""#] {
            let fault = format!(r#"{{start="0s",{wrong}}}"#);
            assert!(matches!(planned(&fault), Err(FaultError::Key(0, ..))), "{wrong}");
        }
    }
}

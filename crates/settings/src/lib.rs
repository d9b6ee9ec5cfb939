//! The settings object of an instance, read once for the simulator's adapter and for the proxy.
//!
//! `grades` is needed, and in it what tells a class from another; every other key has the default of
//! [`Settings`]. Unknown keys are skipped. What is wrong is named by its key.

use olivecart_decisions::*;
use rustc_hash::FxHashMap;
use serde::Deserialize;
use std::rc::Rc;
use std::time::Duration;

/// Why a settings object cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It is not of the expected form: where, and what was found.
    #[error("settings: {0}: {1}")]
    Form(String, serde_json::Error),
    /// The value of a key makes no sense.
    #[error("settings: {0}: {1}")]
    Value(String, String),
    /// The values contradict each other.
    #[error("{0}")]
    Unusable(InvalidSettings),
}

/// A name table that numbers what it has not met.
#[derive(Default)]
pub struct Names(FxHashMap<Rc<str>, u32>, Vec<Rc<str>>);

impl Names {
    /// The number of a name, new if need be.
    pub fn id(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.0.get(name) {
            return id;
        }
        let (name, id): (Rc<str>, u32) = (name.into(), self.1.len() as u32);
        self.0.insert(name.clone(), id);
        self.1.push(name);
        id
    }

    /// The number of a name that is known.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.0.get(name).copied()
    }

    /// All names, in the order of their numbers.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.1.iter().map(|name| &**name)
    }

    /// The name behind a number.
    pub fn name(&self, id: u32) -> Option<&Rc<str>> {
        self.1.get(id as usize)
    }
}

/// One endpoint in the words of a list, before its names are numbered.
pub struct Listed<'a> {
    /// Its name, the same for everybody.
    pub name: &'a str,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// The zone's name.
    pub zone: &'a str,
    /// The machine kind's name.
    pub kind: &'a str,
    /// Its cell.
    pub cell: u64,
    /// Its size relative to others.
    pub size: f64,
    /// When it last started, on the module's clock; none if long ago.
    pub started: Option<Nanos>,
}

/// What an instance is told at its start: the module's settings, the figures that only its embedding
/// needs, and the names that the module knows by number.
pub struct Site {
    /// For [`Balancer::new`].
    pub settings: Settings,
    /// A connection idle for this long is closed by the other side.
    pub idle_close: Duration,
    /// Open requests at a time, at most.
    pub most_held: usize,
    /// A final answer may come this long after the deadline and still count.
    pub answer_grace: Duration,
    /// Endpoints, in the order they were heard of.
    pub endpoints: Names,
    /// Zones.
    pub zones: Names,
    /// Machine kinds.
    pub kinds: Names,
    /// Classes, in the order of the settings.
    pub classes: Names,
    /// Tenants, in the order of the settings.
    pub tenants: Names,
    report: Vec<String>,
}

impl Site {
    /// Reads a settings object.
    pub fn read(json: &str) -> Result<Site, SettingsError> {
        let mut reader = serde_json::Deserializer::from_str(json);
        let options: Options = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| SettingsError::Form(e.path().to_string(), e.into_inner()))?;
        let mut names: [Names; 3] = Default::default();
        options.dcs.iter().for_each(|n| _ = names[0].id(n));
        options.grades.iter().for_each(|g| _ = names[1].id(&g.name));
        options.accounts.iter().for_each(|a| _ = names[2].id(&a.name));
        let [mut zones, classes, tenants] = names;
        let settings = settings(&options, &mut zones)?;
        for (key, bad) in [
            ("allowed.connect-timeout-ns", settings.limits.connect_timeout == 0),
            ("allowed.most-held", options.allowed.most_held == Some(0)),
            ("rules.must-ask-in-ns", settings.rules.poll_interval == 0),
        ] {
            if bad {
                return Err(SettingsError::Value(key.into(), "must not be 0".into()));
            }
        }
        settings.validate().map_err(SettingsError::Unusable)?;
        let allowed = &options.allowed;
        Ok(Site {
            settings,
            idle_close: Duration::from_nanos(allowed.idle_close_ns.unwrap_or(30_000_000_000)),
            most_held: allowed.most_held.unwrap_or(usize::MAX),
            answer_grace: Duration::from_nanos(options.rules.grace_to_answer_ns.unwrap_or(0)),
            endpoints: Names::default(),
            zones,
            kinds: Names::default(),
            classes,
            tenants,
            report: options.report.names,
        })
    }

    /// One line of a list in the module's numbers.
    pub fn entry(&mut self, listed: &Listed) -> EndpointEntry {
        let id = self.endpoints.id(listed.name);
        EndpointEntry {
            id: EndpointId(id),
            name: self.endpoints.1[id as usize].clone(),
            state: listed.state,
            zone: ZoneId(self.zones.id(listed.zone) as u16),
            kind: KindId(self.kinds.id(listed.kind) as u16),
            cell: CellId(listed.cell),
            size: listed.size,
            started: listed.started,
        }
    }

    /// A load report given as a row in the order of the settings.
    pub fn load_row(&self, row: Vec<Option<f64>>) -> LoadReport {
        let mut load = LoadReport::default();
        for (name, value) in self.report.iter().zip(row) {
            if let Some(field) = field(&mut load, name) {
                *field = value;
            }
        }
        load
    }
}

/// The field of a load report by its name in the settings, or as a backend may call it.
pub fn field<'a>(load: &'a mut LoadReport, name: &str) -> Option<&'a mut Option<f64>> {
    Some(match name {
        "active" | "inflight" => &mut load.active,
        "waiting" | "queue" => &mut load.waiting,
        "cpu" | "util" => &mut load.cpu,
        "avg_ms" | "latency_ms" => &mut load.service_ms,
        "rps" | "qps" => &mut load.rate,
        "err_rps" | "eps" => &mut load.error_rate,
        _ => return None,
    })
}

/// The keys as they are spelled.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Options {
    #[serde(default)]
    accounts: Vec<AccountSettings>,
    #[serde(default)]
    allowed: Allowed,
    #[serde(default)]
    dcs: Vec<String>,
    #[serde(default)]
    extra: Extra,
    grades: Vec<Grade>,
    granularity_ns: Option<u64>,
    group_size: Option<u32>,
    #[serde(default)]
    me: u32,
    over_share_worth: Option<f64>,
    #[serde(default)]
    penalties: Penalties,
    registry_mode: Option<String>,
    #[serde(default)]
    report: Report,
    #[serde(default)]
    rules: RuleSettings,
    #[serde(default)]
    tier: u32,
    worth_by: Option<String>,
    zone: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct AccountSettings {
    name: String,
    quota_per_s: f64,
    share: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Allowed {
    idle_close_ns: Option<u64>,
    most_held: Option<usize>,
    connect_timeout_ns: Option<u64>,
    max_attempts: Option<u32>,
    max_retry_after_ns: u64,
    may_cancel: bool,
    probes: bool,
    retry_after: bool,
    second_copies: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Extra {
    passes_deadline: Option<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Grade {
    name: String,
    aim_ns: u64,
    give_up_ns: u64,
    effect: String,
    group: Option<String>,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    stream: bool,
    window_ns: Option<u64>,
    #[serde(default = "one")]
    worth: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Penalties {
    cross_zone: f64,
    late_fail: f64,
    probe: f64,
    waste: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Report {
    names: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct RuleSettings {
    grace_to_answer_ns: Option<u64>,
    cold_ns: Option<u64>,
    cold_share: Option<f64>,
    drain_grace_ns: Option<u64>,
    fall_multiple: Option<f64>,
    fall_ns: Option<u64>,
    must_ask_in_ns: Option<u64>,
}
fn settings(o: &Options, zones: &mut Names) -> Result<Settings, SettingsError> {
    let mut s = Settings::default();
    for (at, g) in o.grades.iter().enumerate() {
        let bad = |key: &str, what: String| Err(SettingsError::Value(format!("grades[{at}].{key}"), what));
        let effect = match (g.effect.as_str(), g.group.as_deref().unwrap_or("all")) {
            ("repeatable", _) => Idempotency::Idempotent,
            ("once", _) => Idempotency::NonIdempotent,
            ("by_key", group) => {
                let group = match group {
                    "all" => DeduplicationScope::All,
                    "zone" => DeduplicationScope::Zone,
                    "cell" => DeduplicationScope::Cell,
                    other => return bad("group", format!("unknown group {other:?}")),
                };
                let Some(window) = g.window_ns else {
                    return bad("window-ns", "missing, and the class is by_key".into());
                };
                Idempotency::Keyed { scope: group, window }
            }
            (other, _) => return bad("effect", format!("unknown effect {other:?}")),
        };
        let (aim, give_up, worth, late_worth) = (g.aim_ns, g.give_up_ns, g.worth, g.late_worth);
        s.classes.push(Class {
            latency_objective: aim,
            client_deadline: give_up,
            idempotency: effect,
            priority_weight: worth,
            late_weight_ratio: late_worth,
            streaming: g.stream,
        });
    }
    s.tenants = o.accounts.iter().map(|a| Tenant { quota_per_s: a.quota_per_s, share: a.share }).collect();
    s.replica_index = o.me;
    s.replica_count = o.group_size.unwrap_or(o.me + 1);
    s.tier = o.tier;
    s.zone = ZoneId(o.zone.as_deref().map_or(0, |z| zones.id(z)) as u16);
    s.clock_granularity = o.granularity_ns.unwrap_or(s.clock_granularity);
    s.over_quota_weight_ratio = o.over_share_worth.unwrap_or(s.over_quota_weight_ratio);
    s.weight_by_work = o.worth_by.as_deref() == Some("work");
    s.propagates_deadline = o.extra.passes_deadline.unwrap_or(s.propagates_deadline);
    s.discovery = match o.registry_mode.as_deref() {
        None | Some("automatic") => Discovery::Automatic,
        Some("subscribe") => Discovery::Subscribe,
        Some(other) => {
            let what = format!("unknown mode {other:?}");
            return Err(SettingsError::Value("registry-mode".into(), what));
        }
    };
    let (l, a) = (&mut s.limits, &o.allowed);
    l.max_attempts = a.max_attempts.unwrap_or(l.max_attempts);
    (l.hedging_enabled, l.cancellation_enabled, l.health_checks_enabled) =
        (a.second_copies, a.may_cancel, a.probes);
    l.max_retry_after = if a.retry_after { a.max_retry_after_ns } else { 0 };
    l.connect_timeout = a.connect_timeout_ns.unwrap_or(l.connect_timeout);
    let (r, w) = (&mut s.rules, &o.rules);
    r.slow_start_initial_share = w.cold_share.unwrap_or(r.slow_start_initial_share);
    r.slow_start_window = w.cold_ns.unwrap_or(r.slow_start_window);
    r.overload_multiple = w.fall_multiple.unwrap_or(r.overload_multiple);
    r.overload_window = w.fall_ns.unwrap_or(r.overload_window);
    r.drain_grace = w.drain_grace_ns.unwrap_or(r.drain_grace);
    r.poll_interval = w.must_ask_in_ns.unwrap_or(r.poll_interval);
    let p = &o.penalties;
    s.cost_weights = CostWeights {
        cross_zone: p.cross_zone,
        wasted_work: p.waste,
        health_check: p.probe,
        late_failure: p.late_fail,
    };
    Ok(s)
}

fn one() -> f64 {
    1.0
}

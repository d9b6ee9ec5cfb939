//! The table of instances, and the names of the wire against the numbers of the module.

use crate::wire::{Account, Batch, Element, Options, Order, Recipient, WireEvent};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use topazdeal::*;

/// Why a batch could not be played: the instance concerned and a plain message.
pub type Fault = (u64, String);

/// A name table that numbers what it has not met.
#[derive(Default)]
struct Names(FxHashMap<Rc<str>, u32>, Vec<Rc<str>>);

impl Names {
    fn id(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.0.get(name) {
            return id;
        }
        let (name, id): (Rc<str>, u32) = (name.into(), self.1.len() as u32);
        self.0.insert(name.clone(), id);
        self.1.push(name);
        id
    }

    fn get(&self, name: &str) -> Option<u32> {
        self.0.get(name).copied()
    }
}

/// A request until it has ended and its last attempt is accounted for.
struct Open {
    txn: Rc<str>,
    ended: bool,
    out: u32,
}

struct Instance {
    balancer: Balancer,
    endpoints: Names,
    zones: Names,
    kinds: Names,
    classes: Names,
    tenants: Names,
    report: Vec<String>,
    ids: FxHashMap<Rc<str>, u64>,
    open: FxHashMap<u64, Open>,
    next_request: u64,
}

impl Instance {
    fn new(options: &Options, seed: u64, now: Nanos) -> Result<Instance, String> {
        let mut names: [Names; 3] = Default::default();
        options.dcs.iter().for_each(|n| _ = names[0].id(n));
        options.grades.iter().for_each(|g| _ = names[1].id(&g.name));
        options.accounts.iter().for_each(|a| _ = names[2].id(&a.name));
        let [mut zones, classes, tenants] = names;
        let settings = settings(options, &mut zones)?;
        settings.validate()?;
        Ok(Instance {
            balancer: Balancer::new(settings, seed, now),
            endpoints: Names::default(),
            zones,
            kinds: Names::default(),
            classes,
            tenants,
            report: options.report.names.clone(),
            ids: FxHashMap::default(),
            open: FxHashMap::default(),
            next_request: 0,
        })
    }

    fn entries(&mut self, elements: &[Element]) -> Result<Vec<Entry>, String> {
        let mut entries = Vec::with_capacity(elements.len());
        for e in elements {
            let state = match e.stage_state {
                0 => State::Gone,
                1 => State::Ready,
                2 => State::Draining,
                other => return Err(format!("unknown stage-state {other}")),
            };
            let id = self.endpoints.id(&e.endpoint);
            entries.push(Entry {
                id: EndpointId(id),
                name: self.endpoints.1[id as usize].clone(),
                state,
                zone: ZoneId(self.zones.id(&e.dc) as u16),
                kind: KindId(self.kinds.id(&e.family_type) as u16),
                cell: CellId(e.unit_group),
                size: e.power_hint,
                started: (e.started_at_ns > 0).then_some(e.started_at_ns),
            });
        }
        Ok(entries)
    }

    /// Marks a request as ended and drops it once nothing of it is out.
    fn settle(&mut self, id: u64) {
        if let Some(open) = self.open.get(&id)
            && open.ended
            && open.out == 0
        {
            let txn = open.txn.clone();
            self.open.remove(&id);
            self.ids.remove(&txn);
        }
    }

    fn end(&mut self, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id.0) {
            open.ended = true;
        }
        self.settle(id.0);
    }

    fn load(&self, row: Option<Vec<Option<f64>>>) -> Option<Load> {
        let row = row?;
        let mut load = Load::default();
        for (name, value) in self.report.iter().zip(row) {
            let field = match name.as_str() {
                "active" => &mut load.active,
                "waiting" => &mut load.waiting,
                "cpu" => &mut load.cpu,
                "avg_ms" => &mut load.service_ms,
                "rps" => &mut load.rate,
                "err_rps" => &mut load.error_rate,
                _ => continue,
            };
            *field = value;
        }
        Some(load)
    }
}

fn settings(o: &Options, zones: &mut Names) -> Result<Settings, String> {
    let mut s = Settings::default();
    for g in &o.grades {
        let effect = match (g.effect.as_str(), g.group.as_deref().unwrap_or("all")) {
            ("repeatable", _) => Effect::Repeatable,
            ("once", _) => Effect::Once,
            ("by_key", group) => {
                let group = match group {
                    "all" => Group::All,
                    "zone" => Group::Zone,
                    "cell" => Group::Cell,
                    other => return Err(format!("class {}: unknown group {other:?}", g.name)),
                };
                Effect::ByKey { group, window: g.window_ns.unwrap_or(0) }
            }
            (other, _) => return Err(format!("class {}: unknown effect {other:?}", g.name)),
        };
        let (aim, give_up, worth, late_worth) = (g.aim_ns, g.give_up_ns, g.worth, g.late_worth);
        s.classes.push(Class { aim, give_up, effect, worth, late_worth, stream: g.stream });
    }
    s.tenants = o.accounts.iter().map(|a| Tenant { quota_per_s: a.quota_per_s, share: a.share }).collect();
    s.me = o.me;
    s.group_size = o.group_size.unwrap_or(o.me + 1);
    s.tier = o.tier;
    s.zone = ZoneId(o.zone.as_deref().map_or(0, |z| zones.id(z)) as u16);
    s.tick = o.granularity_ns.unwrap_or(s.tick);
    s.over_share_worth = o.over_share_worth.unwrap_or(s.over_share_worth);
    s.worth_by_work = o.worth_by.as_deref() == Some("work");
    s.passes_deadline = o.extra.passes_deadline.unwrap_or(s.passes_deadline);
    s.discovery = match o.registry_mode.as_deref() {
        None | Some("automatic") => Discovery::Automatic,
        Some("subscribe") => Discovery::Subscribe,
        Some(other) => return Err(format!("unknown registry-mode {other:?}")),
    };
    let (l, a) = (&mut s.limits, &o.allowed);
    l.max_attempts = a.max_attempts.unwrap_or(l.max_attempts);
    (l.second_copies, l.cancel, l.probes) = (a.second_copies, a.may_cancel, a.probes);
    l.max_retry_after = if a.retry_after { a.max_retry_after_ns } else { 0 };
    l.connect_timeout = a.connect_timeout_ns.unwrap_or(l.connect_timeout);
    let (r, w) = (&mut s.rules, &o.rules);
    r.cold_share = w.cold_share.unwrap_or(r.cold_share);
    r.cold = w.cold_ns.unwrap_or(r.cold);
    r.fall_multiple = w.fall_multiple.unwrap_or(r.fall_multiple);
    r.fall = w.fall_ns.unwrap_or(r.fall);
    r.drain_grace = w.drain_grace_ns.unwrap_or(r.drain_grace);
    r.must_ask_in = w.must_ask_in_ns.unwrap_or(r.must_ask_in);
    let p = &o.penalties;
    s.prices = Prices { cross_zone: p.cross_zone, waste: p.waste, probe: p.probe, late_fail: p.late_fail };
    Ok(s)
}

fn outcome(word: &str) -> Result<Outcome, String> {
    Ok(match word {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        "full" => Outcome::Full,
        "timeout" => Outcome::Timeout,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "moot" => Outcome::Moot,
        other => return Err(format!("unknown result {other:?}")),
    })
}

/// All instances of this process. They share nothing but the catalogs of the wire.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    actions: Vec<Action>,
}

/// A catalog outlives its batch, so its elements are kept with names of their own.
pub type Catalogs = BTreeMap<u64, Vec<Element<'static>>>;

fn owned(e: Element) -> Element<'static> {
    Element {
        power_hint: e.power_hint,
        stage_state: e.stage_state,
        dc: e.dc.into_owned().into(),
        endpoint: e.endpoint.into_owned().into(),
        family_type: e.family_type.into_owned().into(),
        started_at_ns: e.started_at_ns,
        unit_group: e.unit_group,
    }
}

impl Host {
    /// Plays one batch and writes what the instances decide to `orders`.
    pub fn play(
        &mut self,
        batch: Batch,
        catalogs: &mut Catalogs,
        orders: &mut Vec<Order>,
    ) -> Result<(), Fault> {
        let now = batch.at_time_ns;
        for event in batch.events {
            match event {
                WireEvent::Catalog(c) => {
                    catalogs.insert(c.set_id, c.elements.into_iter().map(owned).collect());
                }
                WireEvent::Configure(c) => {
                    let options = serde_json::from_str(c.options.get())
                        .map_err(|e| (c.i, format!("options of instance {}: {e}", c.i)))?;
                    let new = || Instance::new(&options, c.seed, now);
                    let instance = guarded(new).and_then(|r| r).map_err(|e| (c.i, e))?;
                    self.instances.insert(c.i, instance);
                }
                WireEvent::Detach { i } => {
                    self.instances.remove(&i);
                }
                WireEvent::Membership(m) => {
                    let catalog = catalogs.get(&m.set_id);
                    self.tell(m.i, now, orders, |inst| {
                        let entries = match (m.form, catalog) {
                            (3, _) => return Ok(Some(Event::List(ListChange::Failed))),
                            (_, Some(elements)) => inst.entries(elements)?,
                            (_, None) => return Err(format!("unknown catalog {}", m.set_id)),
                        };
                        Ok(Some(Event::List(match m.form {
                            0 => ListChange::Delta(entries),
                            1 => ListChange::Full(entries),
                            2 => ListChange::Cached(entries),
                            other => return Err(format!("unknown form {other}")),
                        })))
                    })?;
                }
                WireEvent::Incoming(r) => self.tell(r.i, now, orders, |inst| {
                    let Some(class) = inst.classes.get(&r.qos) else {
                        return Err(format!("unknown class {:?}", r.qos));
                    };
                    let tenant = match &r.account {
                        Some(Account::Name(name)) => inst.tenants.get(name).map(|t| TenantId(t as u16)),
                        _ => None,
                    };
                    let (id, txn): (u64, Rc<str>) = (inst.next_request, r.txn.into());
                    inst.next_request += 1;
                    inst.ids.insert(txn.clone(), id);
                    inst.open.insert(id, Open { txn, ended: false, out: 0 });
                    Ok(Some(Event::Request(Request {
                        id: RequestId(id),
                        class: ClassId(class as u16),
                        tenant,
                        key: r.entity,
                        left: r.left_ns.max(0) as u64,
                        cost: r.cost_ns,
                        write: r.is_write,
                        retry: r.retry,
                    })))
                })?,
                WireEvent::Ring { i, cookie } => {
                    self.tell(i, now, orders, |_| Ok(Some(Event::Timer(timer(cookie)))))?;
                }
                WireEvent::PeerData(p) => self.tell(p.i, now, orders, |_| {
                    let bytes = BASE64.decode(p.raw.as_bytes()).map_err(|e| format!("peer bytes: {e}"))?;
                    Ok(Some(Event::Peer { from: p.author, bytes }))
                })?,
                WireEvent::Response(r) => self.tell(r.i, now, orders, |inst| {
                    let outcome = outcome(&r.result)?;
                    let Some(&id) = inst.ids.get(&*r.txn) else { return Ok(None) };
                    if let Some(open) = inst.open.get_mut(&id) {
                        open.out = open.out.saturating_sub(1);
                        open.ended |= r.over;
                    }
                    inst.settle(id);
                    Ok(Some(Event::Outcome(AttemptEnd {
                        request: RequestId(id),
                        attempt: r.leg,
                        endpoint: EndpointId(inst.endpoints.id(&r.endpoint)),
                        outcome,
                        took: r.duration_ns,
                        over: r.over,
                        load: inst.load(r.telemetry),
                    })))
                })?,
                WireEvent::Aborted(a) => self.tell(a.i, now, orders, |inst| {
                    let Some(&id) = inst.ids.get(&*a.txn) else { return Ok(None) };
                    inst.end(RequestId(id));
                    Ok(Some(Event::Aborted(RequestId(id))))
                })?,
                WireEvent::Health(h) => self.tell(h.i, now, orders, |inst| {
                    Ok(Some(Event::Checked {
                        endpoint: EndpointId(inst.endpoints.id(&h.endpoint)),
                        outcome: outcome(&h.result)?,
                        took: h.duration_ns,
                        load: inst.load(h.telemetry),
                    }))
                })?,
                WireEvent::Begun(b) => self.tell(b.i, now, orders, |inst| {
                    let Some(&id) = inst.ids.get(&*b.txn) else { return Ok(None) };
                    Ok(Some(Event::Begun { request: RequestId(id), attempt: b.leg }))
                })?,
            }
        }
        Ok(())
    }

    /// Puts one event to one instance and words its actions. Events for an instance that is not running
    /// are left over from before it was killed and mean nothing.
    fn tell(
        &mut self,
        i: u64,
        now: Nanos,
        orders: &mut Vec<Order>,
        event: impl FnOnce(&mut Instance) -> Result<Option<Event>, String>,
    ) -> Result<(), Fault> {
        let Some(inst) = self.instances.get_mut(&i) else { return Ok(()) };
        let actions = &mut self.actions;
        let done = event(inst).and_then(|event| match event {
            Some(event) => guarded(|| inst.balancer.handle(now, event, actions)),
            None => Ok(()),
        });
        done.map_err(|what| (i, what))?;
        for action in self.actions.drain(..) {
            orders.push(word(inst, i, action).map_err(|what| (i, what))?);
        }
        Ok(())
    }
}

/// Runs code of the module; a panic becomes a message.
fn guarded<T>(f: impl FnOnce() -> T) -> Result<T, String> {
    catch_unwind(AssertUnwindSafe(f)).map_err(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
        format!("the decision module panicked: {}", text.unwrap_or_default())
    })
}

/// A timer's purpose as a number, and back.
fn cookie(timer: Timer) -> u64 {
    match timer {
        Timer::Check(EndpointId(id)) => u64::from(id) << 2,
        Timer::Request(RequestId(id)) => id << 2 | 1,
        Timer::Discovery => 2,
    }
}

fn timer(cookie: u64) -> Timer {
    match cookie & 3 {
        0 => Timer::Check(EndpointId((cookie >> 2) as u32)),
        1 => Timer::Request(RequestId(cookie >> 2)),
        _ => Timer::Discovery,
    }
}

/// One action in the words of the wire.
fn word(inst: &mut Instance, i: u64, action: Action) -> Result<Order, String> {
    let txn = |inst: &Instance, id: RequestId| {
        let open = inst.open.get(&id.0).ok_or("an action for a request that is gone")?;
        Ok::<_, String>(open.txn.clone())
    };
    let name = |inst: &Instance, id: EndpointId| {
        let name = inst.endpoints.1.get(id.0 as usize).ok_or("an action for an unknown endpoint")?;
        Ok::<_, String>(name.clone())
    };
    Ok(match action {
        Action::Send { request, endpoint, cap } => {
            if let Some(open) = inst.open.get_mut(&request.0) {
                open.out += 1;
            }
            Order::HandOff { i, txn: txn(inst, request)?, cap_ns: cap, endpoint: name(inst, endpoint)? }
        }
        Action::Cancel { request, attempt } => {
            Order::DropAttempt { i, txn: txn(inst, request)?, leg: attempt }
        }
        Action::Shed { request, come_back } => {
            let txn = txn(inst, request)?;
            inst.end(request);
            Order::Shed { i, txn, come_back_ns: come_back }
        }
        Action::Fail(request) => {
            let txn = txn(inst, request)?;
            inst.end(request);
            Order::EndFailed { i, txn }
        }
        Action::Check(endpoint) => Order::Sample { i, endpoint: name(inst, endpoint)? },
        Action::SetTimer { at, timer } => Order::SetTimer { i, alarm_time_ns: at, cookie: cookie(timer) },
        Action::Watch(enable) => Order::Watch { i, enable },
        Action::Refresh => Order::Refresh { i },
        Action::Close(endpoint) => Order::Disconnect { i, endpoint: name(inst, endpoint)? },
        Action::Publish { to, bytes } => {
            let recipient = to.map_or(Recipient::All("all"), Recipient::One);
            Order::Publish { i, recipient, raw: BASE64.encode(bytes) }
        }
        Action::Remark(what) => Order::Remark { i, what },
    })
}

//! The table of instances, and the names of the wire against the numbers of the module.

use crate::wire::{Account, Batch, Element, Order, Recipient, WireEvent};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use olivecart_decisions::*;
use olivecart_settings::{Listed, Site};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

/// Why a batch could not be played: the instance concerned and a plain message.
pub type Fault = (u64, String);

/// A request until it has ended and its last attempt is accounted for.
struct Open {
    txn: Rc<str>,
    ended: bool,
    out: u32,
}

struct Instance {
    balancer: Balancer,
    site: Site,
    ids: FxHashMap<Rc<str>, u64>,
    open: FxHashMap<u64, Open>,
    next_request: u64,
}

impl Instance {
    fn new(options: &str, seed: u64, now: Nanos) -> Result<Instance, String> {
        let site = Site::read(options).map_err(|e| e.to_string())?;
        Ok(Instance {
            balancer: Balancer::new(site.settings.clone(), seed, now),
            site,
            ids: FxHashMap::default(),
            open: FxHashMap::default(),
            next_request: 0,
        })
    }

    fn entries(&mut self, elements: &[Element]) -> Result<Vec<EndpointEntry>, String> {
        let mut entries = Vec::with_capacity(elements.len());
        for e in elements {
            let state = match e.stage_state {
                0 => EndpointState::Removed,
                1 => EndpointState::Ready,
                2 => EndpointState::Draining,
                other => return Err(format!("unknown stage-state {other}")),
            };
            entries.push(self.site.entry(&Listed {
                name: &e.endpoint,
                state,
                zone: &e.dc,
                kind: &e.family_type,
                cell: e.unit_group,
                size: e.power_hint,
                started: (e.started_at_ns > 0).then_some(e.started_at_ns),
            }));
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
}

fn outcome(word: &str) -> Result<Outcome, String> {
    Ok(match word {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        "full" => Outcome::Overloaded,
        "timeout" => Outcome::Timeout,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "moot" => Outcome::NotSent,
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
                    let new = || Instance::new(c.options.get(), c.seed, now);
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
                            (3, _) => return Ok(Some(Event::Endpoints(EndpointUpdate::Failed))),
                            (_, Some(elements)) => inst.entries(elements)?,
                            (_, None) => return Err(format!("unknown catalog {}", m.set_id)),
                        };
                        Ok(Some(Event::Endpoints(match m.form {
                            0 => EndpointUpdate::Delta(entries),
                            1 => EndpointUpdate::Snapshot(entries),
                            2 => EndpointUpdate::Cached(entries),
                            other => return Err(format!("unknown form {other}")),
                        })))
                    })?;
                }
                WireEvent::Incoming(r) => self.tell(r.i, now, orders, |inst| {
                    let Some(class) = inst.site.classes.get(&r.qos) else {
                        return Err(format!("unknown class {:?}", r.qos));
                    };
                    let tenant = match &r.account {
                        Some(Account::Name(name)) => inst.site.tenants.get(name).map(|t| TenantId(t as u16)),
                        _ => None,
                    };
                    let (id, txn): (u64, Rc<str>) = (inst.next_request, r.txn.into());
                    inst.next_request += 1;
                    inst.ids.insert(txn.clone(), id);
                    inst.open.insert(id, Open { txn, ended: false, out: 0 });
                    Ok(Some(Event::RequestArrived(Request {
                        id: RequestId(id),
                        class: ClassId(class as u16),
                        tenant,
                        key: r.entity,
                        time_left: r.left_ns.max(0) as u64,
                        estimated_work: r.cost_ns,
                        is_write: r.is_write,
                        is_retry: r.retry,
                    })))
                })?,
                WireEvent::Ring { i, cookie } => {
                    self.tell(i, now, orders, |_| Ok(Some(Event::TimerFired(timer(cookie)))))?;
                }
                WireEvent::PeerData(p) => self.tell(p.i, now, orders, |_| {
                    let bytes = BASE64.decode(p.raw.as_bytes()).map_err(|e| format!("peer bytes: {e}"))?;
                    Ok(Some(Event::PeerMessage { from: p.author, bytes }))
                })?,
                WireEvent::Response(r) => self.tell(r.i, now, orders, |inst| {
                    let outcome = outcome(&r.result)?;
                    let Some(&id) = inst.ids.get(&*r.txn) else { return Ok(None) };
                    if let Some(open) = inst.open.get_mut(&id) {
                        open.out = open.out.saturating_sub(1);
                        open.ended |= r.over;
                    }
                    inst.settle(id);
                    Ok(Some(Event::AttemptEnded(AttemptEnd {
                        request: RequestId(id),
                        attempt: r.leg,
                        endpoint: EndpointId(inst.site.endpoints.id(&r.endpoint)),
                        outcome,
                        duration: r.duration_ns,
                        request_completed: r.over,
                        load: r.telemetry.map(|row| inst.site.load_row(row)),
                    })))
                })?,
                WireEvent::Aborted(a) => self.tell(a.i, now, orders, |inst| {
                    let Some(&id) = inst.ids.get(&*a.txn) else { return Ok(None) };
                    inst.end(RequestId(id));
                    Ok(Some(Event::RequestAborted(RequestId(id))))
                })?,
                WireEvent::Health(h) => self.tell(h.i, now, orders, |inst| {
                    Ok(Some(Event::HealthCheckCompleted {
                        endpoint: EndpointId(inst.site.endpoints.id(&h.endpoint)),
                        outcome: outcome(&h.result)?,
                        duration: h.duration_ns,
                        load: h.telemetry.map(|row| inst.site.load_row(row)),
                    }))
                })?,
                WireEvent::Begun(b) => self.tell(b.i, now, orders, |inst| {
                    let Some(&id) = inst.ids.get(&*b.txn) else { return Ok(None) };
                    Ok(Some(Event::ResponseStarted { request: RequestId(id), attempt: b.leg }))
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
        Timer::HealthCheck(EndpointId(id)) => u64::from(id) << 2,
        Timer::Request(RequestId(id)) => id << 2 | 1,
        Timer::Discovery => 2,
    }
}

fn timer(cookie: u64) -> Timer {
    match cookie & 3 {
        0 => Timer::HealthCheck(EndpointId((cookie >> 2) as u32)),
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
        let name = inst.site.endpoints.name(id.0).ok_or("an action for an unknown endpoint")?;
        Ok::<_, String>(name.clone())
    };
    Ok(match action {
        Action::StartAttempt { request, endpoint, timeout: cap, .. } => {
            if let Some(open) = inst.open.get_mut(&request.0) {
                open.out += 1;
            }
            Order::HandOff { i, txn: txn(inst, request)?, cap_ns: cap, endpoint: name(inst, endpoint)? }
        }
        Action::CancelAttempt { request, attempt } => {
            Order::DropAttempt { i, txn: txn(inst, request)?, leg: attempt }
        }
        Action::Shed { request, retry_after: come_back } => {
            let txn = txn(inst, request)?;
            inst.end(request);
            Order::Shed { i, txn, come_back_ns: come_back }
        }
        Action::Fail(request) => {
            let txn = txn(inst, request)?;
            inst.end(request);
            Order::EndFailed { i, txn }
        }
        Action::StartHealthCheck(endpoint) => Order::Sample { i, endpoint: name(inst, endpoint)? },
        Action::SetTimer { at, timer } => Order::SetTimer { i, alarm_time_ns: at, cookie: cookie(timer) },
        Action::WatchEndpoints(enable) => Order::Watch { i, enable },
        Action::RefreshEndpoints => Order::Refresh { i },
        Action::CloseIdleConnections(endpoint) => Order::Disconnect { i, endpoint: name(inst, endpoint)? },
        Action::Publish { to, bytes } => {
            let recipient = to.map_or(Recipient::All("all"), Recipient::One);
            Order::Publish { i, recipient, raw: BASE64.encode(bytes) }
        }
        Action::Log(what) => Order::Remark { i, what },
    })
}

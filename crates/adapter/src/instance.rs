//! One instance of the decision module. Translates between the names on the wire and the ids that the module
//! uses.

use crate::error::InstanceError;
use crate::wire::{
    Aborted, Account, Element, Health, Incoming, Membership, Order, PeerData, Recipient, Response,
    ResponseStarted,
};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use olivecart_decisions::{
    Action, AttemptEnd, Balancer, ClassId, EndpointEntry, EndpointId, EndpointState, EndpointUpdate, Event,
    Nanos, Outcome, Request, RequestId, TenantId, Timer,
};
use olivecart_settings::{ListedEndpoint, Site};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

/// The endpoint lists that batches have sent, by number.
pub type Catalogs = BTreeMap<u64, Vec<Element<'static>>>;

/// The `form` of a membership event that reports a discovery failure.
const FORM_DISCOVERY_FAILED: u8 = 3;

/// A request that has not ended yet, or that still has attempts in flight.
struct OpenRequest {
    /// The name of the request on the wire.
    name: Rc<str>,
    has_ended: bool,
    attempts_in_flight: u32,
}

/// One instance of the decision module.
pub struct Instance {
    balancer: Balancer,
    site: Site,
    /// The ids of open requests, by their names on the wire.
    request_ids: FxHashMap<Rc<str>, u64>,
    open_requests: FxHashMap<u64, OpenRequest>,
    next_request_id: u64,
}

impl Instance {
    /// Creates an instance from the JSON text of a settings object.
    pub fn new(settings: &str, seed: u64, now: Nanos) -> Result<Instance, InstanceError> {
        let site = Site::read(settings)?;
        Ok(Instance {
            balancer: Balancer::new(site.settings.clone(), seed, now),
            site,
            request_ids: FxHashMap::default(),
            open_requests: FxHashMap::default(),
            next_request_id: 0,
        })
    }

    /// Passes an event to the balancer and adds the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now: Nanos,
        event: Event,
        actions: &mut Vec<Action>,
    ) -> Result<(), InstanceError> {
        catch_panic(|| self.balancer.handle(now, event, actions))
    }

    /// Translates a notification of an endpoint list, which is one of `catalogs`.
    pub fn translate_membership(
        &mut self,
        event: &Membership,
        catalogs: &Catalogs,
    ) -> Result<Option<Event>, InstanceError> {
        if event.form == FORM_DISCOVERY_FAILED {
            return Ok(Some(Event::Endpoints(EndpointUpdate::Failed)));
        }
        let elements = catalogs.get(&event.set_id).ok_or(InstanceError::UnknownCatalog(event.set_id))?;
        let entries =
            elements.iter().map(|element| self.intern_element(element)).collect::<Result<_, _>>()?;
        let update = match event.form {
            0 => EndpointUpdate::Delta(entries),
            1 => EndpointUpdate::Snapshot(entries),
            2 => EndpointUpdate::Cached(entries),
            other => return Err(InstanceError::UnknownForm(other)),
        };
        Ok(Some(Event::Endpoints(update)))
    }

    fn intern_element(&mut self, element: &Element) -> Result<EndpointEntry, InstanceError> {
        let state = match element.state {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            other => return Err(InstanceError::UnknownEndpointState(other)),
        };
        Ok(self.site.intern_endpoint(&ListedEndpoint {
            name: &element.name,
            state,
            zone: &element.zone,
            kind: &element.kind,
            cell: element.cell,
            size: element.size,
            started: (element.started_at_ns > 0).then_some(element.started_at_ns),
        }))
    }

    /// Translates the arrival of a request, and gives the request an id.
    pub fn translate_incoming(&mut self, event: Incoming) -> Result<Option<Event>, InstanceError> {
        let class = self.site.classes.get(&event.class);
        let class = class.ok_or_else(|| InstanceError::UnknownClass(event.class.into_owned()))?;
        let tenant = match &event.tenant {
            Some(Account::Name(name)) => self.site.tenants.get(name).map(|tenant| TenantId(tenant as u16)),
            Some(Account::None(_)) | None => None,
        };
        let id = self.open_request(event.request.into());
        Ok(Some(Event::RequestArrived(Request {
            id,
            class: ClassId(class as u16),
            tenant,
            idempotency_key: event.key,
            time_left: event.time_left_ns.max(0) as u64,
            estimated_work: event.estimated_work_ns,
            is_write: event.is_write,
            is_retry: event.is_retry,
        })))
    }

    /// Translates the firing of a timer.
    pub fn translate_timer(cookie: u64) -> Event {
        Event::TimerFired(decode_timer(cookie))
    }

    /// Translates a message from another replica.
    pub fn translate_peer_data(event: &PeerData) -> Result<Event, InstanceError> {
        let bytes = BASE64.decode(event.bytes.as_bytes())?;
        Ok(Event::PeerMessage { from: event.from, bytes })
    }

    /// Translates the end of an attempt. Returns `None` if its request is no longer open.
    pub fn translate_response(&mut self, event: Response) -> Result<Option<Event>, InstanceError> {
        let outcome = parse_outcome(&event.outcome)?;
        let Some(request) = self.request_id(&event.request) else { return Ok(None) };
        self.close_attempt(request, event.is_final);
        Ok(Some(Event::AttemptEnded(AttemptEnd {
            request,
            attempt: event.attempt,
            endpoint: self.endpoint_id(&event.endpoint),
            outcome,
            duration: event.duration_ns,
            request_completed: event.is_final,
            load: event.load.map(|row| self.site.load_report_from_row(row)),
        })))
    }

    /// Translates the abort of a request. Returns `None` if the request is no longer open.
    pub fn translate_aborted(&mut self, event: &Aborted) -> Option<Event> {
        let request = self.request_id(&event.request)?;
        self.end_request(request);
        Some(Event::RequestAborted(request))
    }

    /// Translates the end of a health check.
    pub fn translate_health(&mut self, event: Health) -> Result<Option<Event>, InstanceError> {
        Ok(Some(Event::HealthCheckCompleted {
            endpoint: self.endpoint_id(&event.endpoint),
            outcome: parse_outcome(&event.outcome)?,
            duration: event.duration_ns,
            load: event.load.map(|row| self.site.load_report_from_row(row)),
        }))
    }

    /// Translates the start of a response. Returns `None` if its request is no longer open.
    pub fn translate_response_started(&mut self, event: &ResponseStarted) -> Option<Event> {
        let request = self.request_id(&event.request)?;
        Some(Event::ResponseStarted { request, attempt: event.attempt })
    }

    /// Translates an action of the balancer to an order on the wire. `i` is the number of the instance there.
    pub fn translate_action(&mut self, i: u64, action: Action) -> Result<Order, InstanceError> {
        Ok(match action {
            Action::StartAttempt { request, endpoint, timeout, .. } => {
                self.open_attempt(request);
                let txn = self.request_name(request)?;
                Order::HandOff { i, txn, cap_ns: timeout, endpoint: self.endpoint_name(endpoint)? }
            }
            Action::CancelAttempt { request, attempt } => {
                Order::DropAttempt { i, txn: self.request_name(request)?, leg: attempt }
            }
            Action::Shed { request, retry_after } => {
                let txn = self.request_name(request)?;
                self.end_request(request);
                Order::Shed { i, txn, come_back_ns: retry_after }
            }
            Action::Fail(request) => {
                let txn = self.request_name(request)?;
                self.end_request(request);
                Order::EndFailed { i, txn }
            }
            Action::StartHealthCheck(endpoint) => {
                Order::Sample { i, endpoint: self.endpoint_name(endpoint)? }
            }
            Action::SetTimer { at, timer } => {
                Order::SetTimer { i, alarm_time_ns: at, cookie: encode_timer(timer) }
            }
            Action::WatchEndpoints(enable) => Order::Watch { i, enable },
            Action::RefreshEndpoints => Order::Refresh { i },
            Action::CloseIdleConnections(endpoint) => {
                Order::Disconnect { i, endpoint: self.endpoint_name(endpoint)? }
            }
            Action::Publish { to, bytes } => {
                let recipient = to.map_or(Recipient::All("all"), Recipient::One);
                Order::Publish { i, recipient, raw: BASE64.encode(bytes) }
            }
            Action::Log(what) => Order::Remark { i, what },
        })
    }

    /// Registers a new request and returns its id.
    fn open_request(&mut self, name: Rc<str>) -> RequestId {
        let id = self.next_request_id;
        self.next_request_id += 1;
        self.request_ids.insert(name.clone(), id);
        self.open_requests.insert(id, OpenRequest { name, has_ended: false, attempts_in_flight: 0 });
        RequestId(id)
    }

    fn open_attempt(&mut self, id: RequestId) {
        if let Some(request) = self.open_requests.get_mut(&id.0) {
            request.attempts_in_flight += 1;
        }
    }

    fn close_attempt(&mut self, id: RequestId, is_final: bool) {
        if let Some(request) = self.open_requests.get_mut(&id.0) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.has_ended |= is_final;
        }
        self.remove_if_settled(id);
    }

    fn end_request(&mut self, id: RequestId) {
        if let Some(request) = self.open_requests.get_mut(&id.0) {
            request.has_ended = true;
        }
        self.remove_if_settled(id);
    }

    /// Removes a request that has ended and has no attempts in flight.
    fn remove_if_settled(&mut self, id: RequestId) {
        let is_settled = |request: &OpenRequest| request.has_ended && request.attempts_in_flight == 0;
        if self.open_requests.get(&id.0).is_some_and(is_settled)
            && let Some(request) = self.open_requests.remove(&id.0)
        {
            self.request_ids.remove(&request.name);
        }
    }

    fn request_id(&self, name: &str) -> Option<RequestId> {
        self.request_ids.get(name).copied().map(RequestId)
    }

    fn request_name(&self, id: RequestId) -> Result<Rc<str>, InstanceError> {
        let request = self.open_requests.get(&id.0).ok_or(InstanceError::UnknownRequest)?;
        Ok(request.name.clone())
    }

    fn endpoint_id(&mut self, name: &str) -> EndpointId {
        EndpointId(self.site.endpoints.intern(name))
    }

    fn endpoint_name(&self, id: EndpointId) -> Result<Rc<str>, InstanceError> {
        self.site.endpoints.name(id.0).cloned().ok_or(InstanceError::UnknownEndpoint)
    }
}

fn parse_outcome(word: &str) -> Result<Outcome, InstanceError> {
    match word {
        "ok" => Ok(Outcome::Ok),
        "error" => Ok(Outcome::Error),
        "full" => Ok(Outcome::Overloaded),
        "timeout" => Ok(Outcome::Timeout),
        "connect_failed" => Ok(Outcome::ConnectFailed),
        "reset" => Ok(Outcome::Reset),
        "cancelled" => Ok(Outcome::Cancelled),
        "moot" => Ok(Outcome::NotSent),
        other => Err(InstanceError::UnknownOutcome(other.to_owned())),
    }
}

/// Encodes a timer as a cookie: its kind in the lowest two bits, and the id that it belongs to in the bits
/// above.
fn encode_timer(timer: Timer) -> u64 {
    match timer {
        Timer::HealthCheck(EndpointId(id)) => u64::from(id) << 2,
        Timer::Request(RequestId(id)) => id << 2 | 1,
        Timer::Discovery => 2,
    }
}

fn decode_timer(cookie: u64) -> Timer {
    match cookie & 3 {
        0 => Timer::HealthCheck(EndpointId((cookie >> 2) as u32)),
        1 => Timer::Request(RequestId(cookie >> 2)),
        _ => Timer::Discovery,
    }
}

/// Runs code of the decision module and turns a panic into an error.
pub fn catch_panic<T>(run: impl FnOnce() -> T) -> Result<T, InstanceError> {
    catch_unwind(AssertUnwindSafe(run)).map_err(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        InstanceError::Panicked(text.unwrap_or_default())
    })
}

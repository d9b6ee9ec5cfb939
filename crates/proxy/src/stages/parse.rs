//! Parses a client's request: reads the fields that the balancer needs, and the body (whole, or the start of
//! a long one).

use super::checked_payload::CheckedPayload;
use crate::arrivals::Arrivals;
use crate::bodies::{
    BufferedBody, MAX_BUFFERED_BYTES, RequestBody, RequestClock, SENT_BODY_BUFFERS_BYTES,
    STREAMED_BODY_MEMORY,
};
use crate::call::{Body, Call, ClientCheck};
use crate::clients::Client;
use crate::framing::BodyFraming;
use crate::memory::{
    BufferUse, IN_TRANSIT_BYTES, MemoryAccountant, OPEN_REQUEST_BYTES, Owner, PIECE_BYTES,
    PendingReservation, Priority, ReadAllowance, Reservation,
};
use crate::platform::client::{self, Reject};
use crate::received_request::ReceivedRequest;
use crate::shutdown_deadline::ShutdownDeadline;
use futures_util::StreamExt;
use olivecart_decisions::{ClassId, Idempotency, TenantId};
use olivecart_settings::Site;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{Sleep, sleep};

/// The bytes of a long body that are buffered before an endpoint is chosen, if its length is unknown or not
/// greater. From then on, a client that sends slowly occupies one of the endpoint's few connections.
const READ_AHEAD_BYTES: usize = 256 * 1024;
/// The memory of a body of unknown length that is buffered up to [`READ_AHEAD_BYTES`]. Its buffer doubles when it
/// is full, and is copied then.
const GROWING_BODY_MEMORY: usize = 3 * READ_AHEAD_BYTES + IN_TRANSIT_BYTES;
/// The longest wait of a body for memory. Until it has some, nothing more is read from its client.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(1500);

/// What the requests of a listener share while they are parsed.
pub struct ParseContext<'a> {
    /// The settings, with the names that requests may use.
    pub site: &'a RefCell<Site>,
    /// The memory of the process.
    pub memory: &'a Rc<MemoryAccountant>,
    /// When requests must be answered, once a shutdown has begun.
    pub shutdown: &'a ShutdownDeadline,
}

/// Parses a request. The time that the client waits for a response runs from the request's last byte at this machine.
pub async fn parse(
    context: &ParseContext<'_>,
    mut request: ReceivedRequest,
    framing: BodyFraming,
    client: &Rc<Client>,
) -> Result<Call, Reject> {
    let fields = client::fields(request.head(), framing)?;
    let (class, time_left, weight, is_repeatable) = {
        let site = context.site.borrow();
        let class = site.classes.get(&fields.class).ok_or_else(client::unknown_class)?;
        let settings = &site.settings.classes[class as usize];
        let class_deadline = || Duration::from_nanos(settings.client_deadline);
        let time_left = fields.time_left.unwrap_or_else(class_deadline);
        let is_repeatable = settings.idempotency == Idempotency::Idempotent;
        (ClassId(class as u16), time_left, settings.priority_weight, is_repeatable)
    };
    let reader = BodyReader {
        context,
        client,
        length: framing.length(),
        client_timeout: time_left,
        weight,
        buffered: BufferedBody::default(),
        memory: BodyMemory::Unreserved,
    };
    let payload = CheckedPayload::new(request.take_payload(), client.clone());
    let (body, open_request) = match reader.read(payload).await? {
        ReadBody { body, open_request: Some(reserved) } => (body, reserved),
        ReadBody { body, open_request: None } => {
            (body, reserve_open_request(context, client, time_left, weight).await?)
        }
    };
    let deadline = deadline_of(&body, client, time_left);
    let tenant = fields.tenant.and_then(|t| context.site.borrow().tenants.get(&t));
    let tenant = tenant.map(|t| TenantId(t as u16));
    let authority = request.head().uri.authority().cloned(); // None for most requests
    let payload = Rc::new(client::payload(request.take_head(), body));
    let (id, retry, client) = (fields.id, fields.retry, {
        let client = client.clone();
        ClientCheck::new(move || client.has_left())
    });
    Ok(Call { id, class, tenant, retry, deadline, authority, payload, open_request, client, is_repeatable })
}

/// Returns when the client stops waiting. The time runs from the last byte at this machine, which may have waited
/// there for memory. A streamed body whose last byte has not arrived ends now, as far as is known.
fn deadline_of(body: &Body, client: &Client, time_left: Duration) -> Instant {
    let deadline = match body {
        Body::Buffered { .. } => client.incoming().arrivals().request_ended_at().map(|at| at + time_left),
        Body::Streamed(upload) => upload.clock().deadline(),
    };
    deadline.unwrap_or_else(|| Instant::now() + time_left)
}

/// Reserves what a request needs until its response has begun. A response that is not short is never refused for
/// memory.
async fn reserve_open_request(
    context: &ParseContext<'_>,
    client: &Rc<Client>,
    client_timeout: Duration,
    weight: f64,
) -> Result<Reservation, Reject> {
    if let Some(reservation) = context.memory.try_reserve(Owner::OpenRequests, OPEN_REQUEST_BYTES) {
        return Ok(reservation);
    }
    let priority = Priority { weight, remaining_bytes: OPEN_REQUEST_BYTES as u64 };
    let reserving = context.memory.reserve(Owner::OpenRequests, OPEN_REQUEST_BYTES, priority);
    let timeout = memory_timeout(client.incoming().arrivals(), client_timeout);
    let mut waiting = BodyMemory::Waiting(reserving, Box::pin(sleep(timeout)));
    wait_for_memory(&mut waiting, client, context.shutdown).await
}

/// The memory of a body while it is read.
enum BodyMemory {
    /// What the connection may hold without a reservation has sufficed so far.
    Unreserved,
    /// The body waits for memory. The timeout is that of the whole wait.
    Waiting(PendingReservation, std::pin::Pin<Box<Sleep>>),
    Reserved(Reservation),
}

/// A body, and the reservation of its open request if the body's memory includes that.
struct ReadBody {
    body: Body,
    open_request: Option<Reservation>,
}

/// Reads one body.
struct BodyReader<'a> {
    context: &'a ParseContext<'a>,
    client: &'a Rc<Client>,
    /// The length of the body, if the head gives it.
    length: Option<u64>,
    client_timeout: Duration,
    /// The weight of the request among those that wait for memory.
    weight: f64,
    buffered: BufferedBody,
    memory: BodyMemory,
}

impl BodyReader<'_> {
    /// Reads the body, or the start of a long one.
    async fn read(mut self, mut payload: CheckedPayload) -> Result<ReadBody, Reject> {
        let allowance = self.client.allowance().clone();
        loop {
            let chunk = tokio::select! {
                biased;
                chunk = payload.next() => chunk,
                memory = wait_for_memory(&mut self.memory, self.client, self.context.shutdown) => {
                    self.memory = BodyMemory::Reserved(memory?);
                    continue;
                }
                () = allowance.wait_until_exhausted(), if !self.is_waiting() => {
                    self.allow_next_read(&allowance);
                    continue;
                }
            };
            let Some(chunk) = chunk else { return Ok(self.finish()) };
            self.buffered.push(chunk?);
            if let Some(reservation) = self.take_streamed_reservation() {
                return Ok(self.stream_rest(payload, allowance, reservation));
            }
        }
    }

    fn is_waiting(&self) -> bool {
        matches!(self.memory, BodyMemory::Waiting(..))
    }

    /// Lets the connection read the next piece if there is memory for it, and otherwise starts to wait for some.
    fn allow_next_read(&mut self, allowance: &ReadAllowance) {
        match &self.memory {
            BodyMemory::Unreserved => {
                let priority = Priority {
                    weight: self.weight,
                    remaining_bytes: self.length.map_or(u64::MAX, |length| self.remaining(length)),
                };
                let reserving =
                    self.context.memory.reserve(Owner::RequestBodies, self.required_memory(), priority);
                let timeout = memory_timeout(self.client.incoming().arrivals(), self.client_timeout);
                self.memory = BodyMemory::Waiting(reserving, Box::pin(sleep(timeout)));
            }
            BodyMemory::Waiting(..) => {}
            BodyMemory::Reserved(_) => {
                self.client.on_reserved_buffers_used(BufferUse::Reserved);
                self.buffered.expect_bytes(self.expected_bytes());
                let piece = self
                    .length
                    .map_or(PIECE_BYTES, |length| PIECE_BYTES.min(self.remaining(length) as usize).max(1));
                allowance.renew(piece);
            }
        }
    }

    fn remaining(&self, length: u64) -> u64 {
        length.saturating_sub(self.buffered.len() as u64)
    }

    /// Whether the length is known and the body is buffered whole.
    fn is_buffered_whole(&self) -> bool {
        self.length.is_some_and(|length| length <= READ_AHEAD_BYTES as u64)
    }

    /// The bytes that are buffered before the body is streamed, as far as that is known.
    fn expected_bytes(&self) -> usize {
        match self.length {
            Some(length) if self.is_buffered_whole() => length as usize,
            _ => MAX_BUFFERED_BYTES + PIECE_BYTES,
        }
    }

    /// The memory for the body until its end, or until it is streamed. Whoever holds memory never waits for
    /// more.
    fn required_memory(&self) -> usize {
        match self.length {
            Some(length) if self.is_buffered_whole() => {
                length as usize + IN_TRANSIT_BYTES + OPEN_REQUEST_BYTES
            }
            _ => STREAMED_BODY_MEMORY + OPEN_REQUEST_BYTES,
        }
    }

    /// Returns the reservation if the rest of the body is to be streamed. A body of unknown length is buffered
    /// further if there is memory for that.
    fn take_streamed_reservation(&mut self) -> Option<Reservation> {
        let received_bytes = self.buffered.len();
        if received_bytes <= MAX_BUFFERED_BYTES {
            return None;
        }
        let BodyMemory::Reserved(reservation) = &mut self.memory else { return None };
        let is_streamed = match self.length {
            Some(length) => length > READ_AHEAD_BYTES as u64,
            None => {
                received_bytes > READ_AHEAD_BYTES
                    || !reservation.try_grow_to(GROWING_BODY_MEMORY + OPEN_REQUEST_BYTES)
            }
        };
        if !is_streamed {
            return None;
        }
        match std::mem::replace(&mut self.memory, BodyMemory::Unreserved) {
            BodyMemory::Reserved(reservation) => Some(reservation),
            BodyMemory::Unreserved | BodyMemory::Waiting(..) => None,
        }
    }

    /// Returns a body that was read to its end.
    fn finish(self) -> ReadBody {
        let bytes = self.buffered.bytes();
        let (reservation, open_request) = match self.memory {
            BodyMemory::Reserved(mut reservation) => {
                let open_request = reservation.split_off(OPEN_REQUEST_BYTES);
                reservation.shrink_to(bytes.len() + SENT_BODY_BUFFERS_BYTES);
                (Some(reservation), Some(open_request))
            }
            BodyMemory::Unreserved | BodyMemory::Waiting(..) => (None, None),
        };
        ReadBody { body: Body::Buffered { bytes, _reservation: reservation }, open_request }
    }

    /// Returns a body whose rest is read while it is sent.
    fn stream_rest(
        self,
        payload: CheckedPayload,
        allowance: Rc<ReadAllowance>,
        mut reservation: Reservation,
    ) -> ReadBody {
        let start = self.buffered.bytes();
        let open_request = Some(reservation.split_off(OPEN_REQUEST_BYTES));
        reservation.shrink_to(start.len() + IN_TRANSIT_BYTES);
        let clock =
            RequestClock::new(self.client.incoming().arrivals().clone(), self.length, self.client_timeout);
        let body = RequestBody::new(self.length, start.into(), payload, clock, allowance, reservation);
        ReadBody { body: Body::Streamed(Rc::new(body)), open_request }
    }
}

/// How long a body may wait for memory. The last byte may have arrived already, and its client waits from then on.
fn memory_timeout(arrivals: &Arrivals, client_timeout: Duration) -> Duration {
    let arrived_at = arrivals.request_ended_at().unwrap_or_else(|| arrivals.last_at());
    MEMORY_TIMEOUT.min(client_timeout.saturating_sub(arrived_at.elapsed()))
}

/// Waits for the reservation of a body that waits for memory. A client whose last byte is in the system's buffers
/// already has sent its whole request, so that it must have a response before the end of a shutdown.
async fn wait_for_memory(
    memory: &mut BodyMemory,
    client: &Client,
    shutdown: &ShutdownDeadline,
) -> Result<Reservation, Reject> {
    let BodyMemory::Waiting(reserving, timeout) = memory else { return std::future::pending().await };
    tokio::select! {
        biased;
        reservation = reserving => Ok(reservation),
        () = timeout => Err(Reject::NoRoom),
        () = shutdown.reached() => Err(Reject::NoRoom),
        () = client.wait_for_peer_close() => Err(Reject::Broken),
    }
}

#[cfg(test)]
mod tests;

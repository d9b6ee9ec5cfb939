//! Parses a client's request: reads the fields that the balancer needs, and the body (whole, or the start of
//! a long one).

use crate::bodies::{
    BodyMemoryLimit, BodyMemoryReservation, BufferedBody, MAX_BUFFERED_BYTES, MAX_IN_TRANSIT_BYTES,
    RequestBody,
};
use crate::call::{Body, Call};
use crate::platform::client::{self, Reject};
use crate::shutdown_deadline::ShutdownDeadline;
use actix_http::Request;
use futures_util::StreamExt;
use olivecart_decisions::{ClassId, TenantId};
use olivecart_settings::Site;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The bytes of a long body that are buffered before an endpoint is chosen. From then on, a client that sends
/// slowly occupies one of the endpoint's few connections.
const READ_AHEAD_BYTES: usize = 256 * 1024;
/// How long a long body waits for memory. Until it has some, nothing more is read from its client.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Parses a request. The time that the client waits for a response runs from the request's last byte.
pub async fn parse(
    mut request: Request,
    site: &RefCell<Site>,
    body_memory: &Rc<BodyMemoryLimit>,
    shutdown: &ShutdownDeadline,
) -> Result<Call, Reject> {
    let fields = client::fields(request.head())?;
    let (class, time_left) = {
        let site = site.borrow();
        let class = site.classes.get(&fields.class).ok_or_else(client::unknown_class)?;
        let class_deadline = || Duration::from_nanos(site.settings.classes[class as usize].client_deadline);
        (ClassId(class as u16), fields.time_left.unwrap_or_else(class_deadline))
    };
    let body = read_body(&mut request, fields.length, time_left, body_memory, shutdown).await?;
    let deadline = Instant::now() + time_left;
    let tenant = fields.tenant.and_then(|t| site.borrow().tenants.get(&t)).map(|t| TenantId(t as u16));
    let payload = Rc::new(client::payload(request.head(), body));
    let authority = request.head().uri.authority().cloned(); // None for most requests
    Ok(Call { id: fields.id, class, tenant, retry: fields.retry, deadline, authority, payload })
}

async fn read_body(
    request: &mut Request,
    length: Option<u64>,
    client_timeout: Duration,
    body_memory: &Rc<BodyMemoryLimit>,
    shutdown: &ShutdownDeadline,
) -> Result<Body, Reject> {
    let mut stream = request.take_payload();
    let (mut buffered, mut reservation): (BufferedBody, Option<BodyMemoryReservation>) = Default::default();
    while let Some(chunk) = stream.next().await {
        buffered.push(chunk.map_err(|_| Reject::Broken)?);
        let received_bytes = buffered.len();
        if received_bytes > MAX_BUFFERED_BYTES && reservation.is_none() {
            reservation = Some(reserve_memory(body_memory, shutdown).await?);
        }
        // A body that is known to exceed the read-ahead is streamed at once.
        let is_long = received_bytes > READ_AHEAD_BYTES
            || length.is_some_and(|length| length > READ_AHEAD_BYTES as u64);
        if let Some(reservation) = reservation.take_if(|_| is_long) {
            let buffered = vec![buffered.bytes()];
            return Ok(Body::Streamed(Rc::new(RequestBody::new(
                length,
                buffered,
                stream,
                client_timeout,
                reservation,
            ))));
        }
    }
    Ok(Body::Buffered { bytes: buffered.bytes(), _reservation: reservation })
}

/// Reserves the memory of a long body. A client whose last byte is in the system's buffers already has sent its
/// whole request, so that it must have a response before the end of a shutdown.
async fn reserve_memory(
    body_memory: &Rc<BodyMemoryLimit>,
    shutdown: &ShutdownDeadline,
) -> Result<BodyMemoryReservation, Reject> {
    tokio::select! {
        biased;
        reservation = body_memory.reserve(READ_AHEAD_BYTES + MAX_IN_TRANSIT_BYTES) => Ok(reservation),
        () = sleep(MEMORY_TIMEOUT) => Err(Reject::NoRoom),
        () = shutdown.reached() => Err(Reject::NoRoom),
    }
}

#[cfg(test)]
mod tests;

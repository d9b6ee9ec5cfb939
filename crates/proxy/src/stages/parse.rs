//! Takes a request in: reads its body to the end, or the beginning of a long one, and the few fields that the decisions
//! need.

use crate::bodies::{BodyMemoryLimit, BodyMemoryReservation, BufferedBody, ON_THE_WAY, RequestBody, SHORT};
use crate::call::{Body, Call};
use crate::platform::client::{self, Reject};
use actix_http::Request;
use futures_util::StreamExt;
use olivecart_decisions::{ClassId, TenantId};
use olivecart_settings::Site;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// So much of a long body is read before a backend is chosen. Danger: a client that sends slowly holds one of a backend's
/// few connections from then on.
const AHEAD: usize = 256 * 1024;
/// A long body waits so long for memory. Until then its client is not read from, and waits too.
const ROOM: Duration = Duration::from_millis(1500);

/// The request as a call, or why it is not one. Its time runs from its last byte.
pub async fn parse(
    mut request: Request,
    site: &RefCell<Site>,
    budget: &Rc<BodyMemoryLimit>,
) -> Result<Call, Reject> {
    let fields = client::fields(request.head())?;
    let (class, left) = {
        let site = site.borrow();
        let class = site.classes.get(&fields.class).ok_or_else(client::unknown_class)?;
        let whole = || Duration::from_nanos(site.settings.classes[class as usize].client_deadline);
        (ClassId(class as u16), fields.left.unwrap_or_else(whole))
    };
    let body = body(&mut request, fields.length, left, budget).await?;
    let deadline = Instant::now() + left;
    let tenant = fields.tenant.and_then(|t| site.borrow().tenants.get(&t)).map(|t| TenantId(t as u16));
    let payload = Rc::new(client::payload(request.head(), body));
    let authority = request.head().uri.authority().cloned(); // few have one: nothing is copied for the others
    Ok(Call { id: fields.id, class, tenant, retry: fields.retry, deadline, authority, payload })
}

async fn body(
    request: &mut Request,
    length: Option<u64>,
    patience: Duration,
    budget: &Rc<BodyMemoryLimit>,
) -> Result<Body, Reject> {
    let mut stream = request.take_payload();
    let (mut gathered, mut share): (BufferedBody, Option<BodyMemoryReservation>) = Default::default();
    while let Some(part) = stream.next().await {
        gathered.push(part.map_err(|_| Reject::Broken)?);
        let came = gathered.len();
        if came > SHORT && share.is_none() {
            let room = timeout(ROOM, budget.wait(AHEAD + ON_THE_WAY)).await;
            share = Some(room.map_err(|_| Reject::NoRoom)?);
        }
        // One that will not fit goes on at once.
        let long = came > AHEAD || length.is_some_and(|length| length > AHEAD as u64);
        if let Some(share) = share.take_if(|_| long) {
            let held = vec![gathered.bytes()];
            return Ok(Body::Streamed(Rc::new(RequestBody::new(length, held, stream, patience, share))));
        }
    }
    Ok(Body::Whole { bytes: gathered.bytes(), _share: share })
}

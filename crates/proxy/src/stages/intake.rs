//! Takes a request in: reads its body to the end and the few fields that the decisions need.

use crate::call::Call;
use crate::platform::{
    BODY_LIMIT,
    client::{self, Reject},
};
use actix_http::Request;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use olivecart_decisions::{ClassId, TenantId};
use olivecart_settings::Site;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The request as a call, or why it is not one. Its time runs from its last byte.
pub async fn take(mut request: Request, site: &RefCell<Site>) -> Result<Call, Reject> {
    let fields = client::fields(request.head())?;
    let body = body(&mut request).await?;
    let arrived = Instant::now();
    let site = site.borrow();
    let class = site.classes.get(&fields.class).ok_or_else(client::unknown_class)?;
    let whole = || Duration::from_nanos(site.settings.classes[class as usize].give_up);
    let left = fields.left.unwrap_or_else(whole);
    let tenant = fields.tenant.and_then(|t| site.tenants.get(&t)).map(|t| TenantId(t as u16));
    let payload = Rc::new(client::payload(request.head(), body));
    let (class, deadline) = (ClassId(class as u16), arrived + left);
    let authority = request.head().uri.authority().cloned(); // few have one: nothing is copied for the others
    Ok(Call { id: fields.id, class, tenant, retry: fields.retry, deadline, authority, payload })
}

async fn body(request: &mut Request) -> Result<Bytes, Reject> {
    let mut stream = request.take_payload();
    let mut whole = BytesMut::new();
    let mut first = Bytes::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(|_| Reject::Broken)?;
        if whole.len() + first.len() + chunk.len() > BODY_LIMIT {
            return Err(Reject::TooLarge);
        }
        // A body in one piece, as most are, is kept as the very bytes that came.
        match (first.is_empty(), whole.is_empty()) {
            (true, true) => first = chunk,
            (_, true) => {
                whole.extend_from_slice(&std::mem::take(&mut first));
                whole.extend_from_slice(&chunk);
            }
            _ => whole.extend_from_slice(&chunk),
        }
    }
    Ok(if whole.is_empty() { first } else { whole.freeze() })
}

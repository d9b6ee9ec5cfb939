//! The body of a client's request, as the HTTP library decodes it and as long as it fits the framing that was decided.

use crate::bodies::RequestBodyError;
use crate::clients::Client;
use actix_http::Payload;
use bytes::Bytes;
use futures_util::Stream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The body of one request.
pub struct CheckedPayload {
    payload: Payload,
    client: Rc<Client>,
}

impl CheckedPayload {
    /// Creates the body of the current request of a connection.
    pub fn new(payload: Payload, client: Rc<Client>) -> CheckedPayload {
        CheckedPayload { payload, client }
    }
}

impl Stream for CheckedPayload {
    type Item = Result<Bytes, RequestBodyError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        // The library may take what is rejected here for the end of the body.
        if let Poll::Ready(error) = self.client.incoming().poll_framing_error(cx) {
            return Poll::Ready(Some(Err(error.into())));
        }
        Pin::new(&mut self.payload).poll_next(cx).map_err(RequestBodyError::from)
    }
}

use super::*;
use crate::arrivals::Arrivals;
use crate::bodies::STREAMED_BODY_MEMORY;
use crate::memory::{MemoryAccountant, Owner};
use futures_util::{FutureExt, stream};
use std::future::poll_fn;

/// A body whose start is a piece of `a` and a `b`.
fn upload(
    memory: &Rc<MemoryAccountant>,
    allowance: &Rc<ReadAllowance>,
    rest: impl Stream<Item = Result<Bytes, RequestBodyError>> + 'static,
) -> Rc<RequestBody> {
    let reservation = memory.try_reserve(Owner::RequestBodies, STREAMED_BODY_MEMORY);
    let start = [vec![b'a'; PIECE_BYTES], vec![b'b']].concat();
    Rc::new(RequestBody::new(
        None,
        Bytes::from(start).into(),
        rest,
        RequestClock::new(Rc::new(Arrivals::new(Instant::now())), None, Duration::from_secs(1)),
        allowance.clone(),
        reservation.expect("within the limit"),
    ))
}

fn chunks(
    chunks: &'static [&'static str],
) -> impl Stream<Item = Result<Bytes, RequestBodyError>> + Unpin + 'static {
    stream::iter(chunks.iter().map(|chunk| Ok(Bytes::from_static(chunk.as_bytes()))))
}

fn next(body: &mut RequestBodyStream) -> String {
    match poll_fn(|cx| Pin::new(&mut *body).poll_next(cx)).now_or_never().expect("ready") {
        Some(Ok(chunk)) if chunk.len() == PIECE_BYTES => "a".into(),
        Some(Ok(chunk)) => String::from_utf8_lossy(&chunk).into_owned(),
        Some(Err(e)) => e.to_string(),
        None => "end".into(),
    }
}

#[test]
fn buffered_prefix_is_sent_again_until_more_is_read() {
    let memory = Rc::new(MemoryAccountant::default());
    let upload = upload(&memory, &Rc::default(), chunks(&["c", "d"]));
    let (mut first, mut second) = (upload.stream(|| ()), upload.stream(|| ()));
    assert_eq!([next(&mut first), next(&mut first)], ["a", "b"]);
    assert!(!upload.is_released() && upload.wait_until_released().now_or_never().is_none());
    assert_eq!([0; 5].map(|_| next(&mut second)), ["a", "b", "c", "d", "end"]);
    assert!(upload.is_released() && upload.wait_for_end().now_or_never().is_some());
    for late in [&mut first, &mut upload.stream(|| ())] {
        assert_eq!(next(late), "request body is no longer buffered");
    }
}

/// Guards against requests that hold memory for a body that they no longer have, while others wait for it.
#[test]
fn memory_is_released_as_the_body_is_sent_and_the_next_piece_is_read_when_all_is_passed_on() {
    let (memory, allowance) = (Rc::new(MemoryAccountant::default()), Rc::new(ReadAllowance::default()));
    let reserved = || memory.usage().of(Owner::RequestBodies);
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    let upload = upload(&memory, &allowance, stream::poll_fn(move |cx| receiver.poll_recv(cx)));
    let mut sent = upload.stream(|| ());
    assert_eq!([next(&mut sent), next(&mut sent)], ["a", "b"]);
    assert_eq!(reserved(), STREAMED_BODY_MEMORY);
    let polled = poll_fn(|cx| Pin::new(&mut sent).poll_next(cx)).now_or_never();
    assert!(polled.is_none() && allowance.poll_remaining(&Context::from_waker(std::task::Waker::noop())) > 0);
    sender.send(Ok(Bytes::from_static(b"c"))).expect("it reads");
    assert_eq!((next(&mut sent), reserved()), ("c".into(), IN_TRANSIT_BYTES));
    drop(sender);
    assert_eq!((next(&mut sent), reserved()), ("end".into(), SENT_BODY_BUFFERS_BYTES));
    drop((sent, upload));
    assert_eq!(reserved(), 0);
}

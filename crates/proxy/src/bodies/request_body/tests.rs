use super::*;
use crate::bodies::BodyMemoryLimit;
use futures_util::{FutureExt, stream};
use std::future::poll_fn;

fn upload(chunks: &'static [&'static str]) -> Rc<RequestBody> {
    let reservation = Rc::new(BodyMemoryLimit::new(1)).try_reserve(1).expect("within the limit");
    let source = stream::iter(chunks.iter().map(|chunk| Ok(Bytes::from_static(chunk.as_bytes()))));
    Rc::new(RequestBody::new(
        None,
        vec![Bytes::from_static(b"a"), Bytes::from_static(b"b")],
        source,
        Duration::from_secs(1),
        reservation,
    ))
}

fn next(body: &mut RequestBodyStream) -> String {
    match poll_fn(|cx| Pin::new(&mut *body).poll_next(cx)).now_or_never().expect("ready") {
        Some(Ok(chunk)) => String::from_utf8_lossy(&chunk).into_owned(),
        Some(Err(e)) => e.to_string(),
        None => "end".into(),
    }
}

#[test]
fn buffered_prefix_is_sent_again_until_more_is_read() {
    let upload = upload(&["c", "d"]);
    let (mut first, mut second) = (upload.stream(|| ()), upload.stream(|| ()));
    assert_eq!([next(&mut first), next(&mut first)], ["a", "b"]);
    assert!(!upload.is_released() && upload.wait_until_released().now_or_never().is_none());
    assert_eq!([0; 5].map(|_| next(&mut second)), ["a", "b", "c", "d", "end"]);
    assert!(upload.is_released() && upload.wait_for_end().now_or_never().is_some());
    for late in [&mut first, &mut upload.stream(|| ())] {
        assert_eq!(next(late), "request body is no longer buffered");
    }
}

use super::*;
use crate::bodies::BodyMemoryLimit;
use futures_util::{FutureExt, stream};
use std::future::poll_fn;

fn upload(parts: &'static [&'static str]) -> Rc<RequestBody> {
    let share = Rc::new(BodyMemoryLimit::new(1)).take(1).expect("room");
    let rest = stream::iter(parts.iter().map(|part| Ok(Bytes::from_static(part.as_bytes()))));
    Rc::new(RequestBody::new(
        None,
        vec![Bytes::from_static(b"a"), Bytes::from_static(b"b")],
        rest,
        Duration::from_secs(1),
        share,
    ))
}

fn next(body: &mut RequestBodyStream) -> String {
    match poll_fn(|cx| Pin::new(&mut *body).poll_next(cx)).now_or_never().expect("there") {
        Some(Ok(part)) => String::from_utf8_lossy(&part).into_owned(),
        Some(Err(e)) => e.to_string(),
        None => "end".into(),
    }
}

#[test]
fn buffered_prefix_is_sent_again_until_more_is_read() {
    let upload = upload(&["c", "d"]);
    let (mut first, mut second) = (upload.body(|| ()), upload.body(|| ()));
    assert_eq!([next(&mut first), next(&mut first)], ["a", "b"]);
    assert!(!upload.is_released() && upload.released().now_or_never().is_none());
    assert_eq!([0; 5].map(|_| next(&mut second)), ["a", "b", "c", "d", "end"]);
    assert!(upload.is_released() && upload.ends().now_or_never().is_some());
    for late in [&mut first, &mut upload.body(|| ())] {
        assert_eq!(next(late), "the client's body is not held any more");
    }
}

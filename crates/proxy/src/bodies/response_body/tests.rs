use super::*;
use crate::bodies::BodyMemoryLimit;
use futures_util::FutureExt;
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;

fn next(body: &mut ResponseBody) -> Option<Option<Result<Bytes, IncompleteResponse>>> {
    poll_fn(|cx| Pin::new(&mut *body).poll_next(cx)).now_or_never()
}

#[test]
fn sender_waits_for_reader_and_end_is_notified_and_releases_memory() {
    let limit = Rc::new(BodyMemoryLimit::new(10));
    for complete in [true, false] {
        let (sender, mut body) = body_channel(Some(9), limit.try_reserve(10).expect("within the limit"));
        let notified = Rc::new(Cell::new(None));
        let notify = notified.clone();
        body.when_ended(move |complete| notify.set(Some(complete)));
        let send = || sender.send(Bytes::from_static(b"x")).now_or_never().is_some();
        assert_eq!((0..9).filter(|_| send()).count(), MAX_QUEUED_CHUNKS);
        (0..MAX_QUEUED_CHUNKS).for_each(|_| assert!(matches!(next(&mut body), Some(Some(Ok(_))))));
        assert!(!complete || sender.finish().now_or_never().expect("the queue has room"));
        drop(sender);
        assert!(matches!(
            (complete, next(&mut body)),
            (true, Some(None)) | (false, Some(Some(Err(IncompleteResponse))))
        ));
        assert_eq!(notified.get(), Some(complete));
        assert!(limit.try_reserve(1).is_none(), "reserved until the body is dropped");
    }
}

use super::*;
use crate::memory::{MemoryAccountant, Owner};
use futures_util::FutureExt;
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;

fn next(body: &mut ResponseBody) -> Option<Option<Result<Bytes, IncompleteResponse>>> {
    poll_fn(|cx| Pin::new(&mut *body).poll_next(cx)).now_or_never()
}

#[test]
fn sender_waits_for_reader_and_end_is_notified_and_releases_memory() {
    let memory = Rc::new(MemoryAccountant::new(0)); // only the first reservation is granted
    for complete in [true, false] {
        let reservation = memory.try_reserve(Owner::ResponseBodies, 10);
        assert!(reservation.is_some(), "released with the body before");
        let (sender, mut body) = body_channel(Some(9), Pieces::default(), reservation);
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
        assert!(memory.try_reserve(Owner::ResponseBodies, 1).is_none(), "reserved until the body is dropped");
    }
}

#[test]
fn start_is_passed_on_first_and_a_body_without_memory_waits_for_each_chunk_to_be_read() {
    let (sender, mut body) = body_channel(None, Bytes::from_static(b"start").into(), None);
    let send = || sender.send(Bytes::from_static(b"x")).now_or_never().is_some();
    assert_eq!((0..9).filter(|_| send()).count(), MAX_QUEUED_CHUNKS_UNRESERVED);
    let read: Vec<Bytes> =
        (0..2).map(|_| next(&mut body).expect("ready").expect("more").expect("no error")).collect();
    assert_eq!(read, ["start", "x"]);
    assert!(next(&mut body).is_none() && send());
}

use super::*;
use crate::bodies::BodyMemoryLimit;
use futures_util::FutureExt;
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;

fn next(download: &mut ResponseBody) -> Option<Option<Result<Bytes, Broken>>> {
    poll_fn(|cx| Pin::new(&mut *download).poll_next(cx)).now_or_never()
}

#[test]
fn sender_waits_for_reader_and_end_is_notified_and_releases_memory() {
    let budget = Rc::new(BodyMemoryLimit::new(10));
    for whole in [true, false] {
        let (feed, mut download) = feed(Some(9), budget.take(10).expect("room"));
        let told = Rc::new(Cell::new(None));
        let tell = told.clone();
        download.when_ended(move |whole| tell.set(Some(whole)));
        let put = || feed.put(Bytes::from_static(b"x")).now_or_never().is_some();
        assert_eq!((0..9).filter(|_| put()).count(), PARTS);
        (0..PARTS).for_each(|_| assert!(matches!(next(&mut download), Some(Some(Ok(_))))));
        assert!(!whole || feed.end().now_or_never().expect("room"));
        drop(feed);
        assert!(matches!(
            (whole, next(&mut download)),
            (true, Some(None)) | (false, Some(Some(Err(Broken))))
        ));
        assert_eq!(told.get(), Some(whole));
        assert!(budget.take(1).is_none(), "held until nobody reads any more");
    }
}

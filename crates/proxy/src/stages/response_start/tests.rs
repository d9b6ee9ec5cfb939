use super::*;
use futures_util::{FutureExt, stream};

/// A body in chunks of 1 kB.
fn body(kilobytes: usize) -> impl Stream<Item = Result<Bytes, PayloadError>> + Unpin {
    stream::iter((0..kilobytes).map(|_| Ok(Bytes::from(vec![b'x'; 1024]))))
}

fn without_memory() -> (Rc<MemoryAccountant>, Option<Reservation>) {
    let memory = Rc::new(MemoryAccountant::new(0));
    let all = memory.try_reserve(Owner::ResponseBodies, 1); // the first one is always granted
    (memory, all)
}

#[test]
fn short_response_needs_no_reservation_and_longer_one_has_one_for_its_length() {
    actix_rt::System::new().block_on(async {
        let memory = Rc::new(MemoryAccountant::default());
        for (kilobytes, reserved) in [(0, None), (3, None), (40, Some(40 * 1024 + PIECE_BYTES))] {
            let reader = StartReader::new(&memory, Some(kilobytes as u64 * 1024), true, StallPolicy::GiveUp);
            let start = reader.read(&mut body(kilobytes)).await.expect("no error");
            assert_eq!((start.bytes.len(), start.has_more), (kilobytes * 1024, false));
            assert_eq!(start.reservation.as_ref().map(Reservation::bytes), reserved);
        }
        let start = StartReader::new(&memory, None, true, StallPolicy::GiveUp)
            .read(&mut body(100))
            .await
            .expect("no error");
        assert_eq!((start.received_bytes, start.has_more), (65 * 1024, true));
    });
}

/// Guards against responses that are held back until their deadline because no memory is free.
#[test]
fn response_without_memory_is_forwarded_after_the_buffering_time() {
    actix_rt::System::new().block_on(async {
        let (memory, _all) = without_memory();
        for length in [Some(40 * 1024), Some(1 << 20), None] {
            let began = Instant::now();
            let start = StartReader::new(&memory, length, true, StallPolicy::GiveUp)
                .read(&mut body(40))
                .await
                .expect("no error");
            assert!(began.elapsed() >= MAX_BUFFERING_TIME);
            assert!(start.has_more && start.reservation.is_none());
            assert!(start.bytes.len() <= UNRESERVED_BYTES, "{} bytes", start.bytes.len());
        }
    });
}

#[test]
fn body_that_is_not_forwarded_needs_no_memory() {
    let (memory, _all) = without_memory();
    for (kilobytes, has_more) in [(64, false), (100, true)] {
        let start = StartReader::new(&memory, None, false, StallPolicy::GiveUp)
            .read(&mut body(kilobytes))
            .now_or_never();
        let start = start.expect("ready").expect("no error");
        assert_eq!((start.bytes.len(), start.has_more), (0, has_more));
    }
}

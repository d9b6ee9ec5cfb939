use super::*;
use futures_util::FutureExt;

const TIMEOUT: Duration = Duration::from_millis(200);
const MARGIN: Duration = Duration::from_millis(6);
const HEAD_BYTES: u64 = 70;

struct Harness {
    arrivals: Rc<Arrivals>,
    clock: RequestClock,
    start: Instant,
}

/// Reads bytes, of which some may not have been noticed before.
fn read(arrivals: &Arrivals, bytes: u64, now: Instant) {
    arrivals.on_at_least_unread(bytes, now);
    arrivals.on_read(bytes);
}

/// A request whose head was read.
fn harness(length: Option<u64>) -> Harness {
    let start = Instant::now();
    let arrivals = Rc::new(Arrivals::new(start));
    read(&arrivals, HEAD_BYTES, start);
    arrivals.set_request_end(length.map(|length| HEAD_BYTES + length));
    Harness { clock: RequestClock::new(arrivals.clone(), length, TIMEOUT), arrivals, start }
}

/// Guards against review case 10: the time of a body that lay in the system's buffer began when it was read, or never.
#[test]
fn time_runs_from_the_arrival_of_the_last_byte_also_while_it_is_unread() {
    let Harness { arrivals, clock, start } = harness(Some(1_000));
    read(&arrivals, 600, start);
    arrivals.on_unread(399, start);
    assert_eq!(clock.deadline(), None, "a byte has not arrived");
    let arrived_at = start + Duration::from_millis(1);
    arrivals.on_unread(400, arrived_at);
    assert_eq!(clock.deadline(), Some(arrived_at + TIMEOUT));
    read(&arrivals, 400, start + Duration::from_millis(70));
    assert_eq!(clock.deadline(), Some(arrived_at + TIMEOUT), "it was read late");
    arrivals.on_unread(400, start + Duration::from_millis(90));
    assert_eq!(clock.deadline(), Some(arrived_at + TIMEOUT), "these bytes are behind the body");
    arrivals.set_request_end(None);
    assert_eq!(clock.deadline(), Some(arrived_at + TIMEOUT), "the next request has begun");
}

#[test]
fn time_of_unread_chunks_runs_from_the_last_arrival_and_never_while_more_is_awaited() {
    let Harness { arrivals, clock, start } = harness(None);
    read(&arrivals, 600, start);
    assert_eq!(clock.deadline(), None, "all that arrived was read, and it was not the end");
    let arrived_at = start + Duration::from_millis(50);
    arrivals.on_unread(400, arrived_at);
    assert_eq!(clock.deadline(), Some(arrived_at + TIMEOUT));
    arrivals.on_unread(500, arrived_at + TIMEOUT / 2);
    assert_eq!(clock.deadline(), Some(arrived_at + TIMEOUT / 2 + TIMEOUT), "more arrived");
    read(&arrivals, 500, arrived_at + TIMEOUT);
    assert_eq!(clock.deadline(), None, "the end was not among it");
    read(&arrivals, 5, arrived_at + 2 * TIMEOUT);
    arrivals.set_request_end(Some(HEAD_BYTES + 1_105));
    assert_eq!(clock.deadline(), Some(arrived_at + 3 * TIMEOUT), "now it was");
}

#[test]
fn wait_ends_before_the_deadline_and_not_at_all_without_a_last_byte() {
    actix_rt::System::new().block_on(async {
        let Harness { arrivals, clock, start } = harness(Some(1_000));
        read(&arrivals, 999, start);
        let mut waiting = Box::pin(clock.wait_until_over(MARGIN));
        tokio::select! {
            () = &mut waiting => panic!("a byte is missing"),
            () = sleep(2 * TIMEOUT) => {}
        }
        assert!((&mut waiting).now_or_never().is_none());
        let arrived_at = Instant::now();
        arrivals.on_unread(1, arrived_at);
        waiting.await;
        assert!(arrived_at.elapsed() >= TIMEOUT - MARGIN, "{:?}", arrived_at.elapsed());
    });
}

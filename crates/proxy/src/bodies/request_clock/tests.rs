use super::*;
use futures_util::FutureExt;

const TIMEOUT: Duration = Duration::from_millis(200);
const MARGIN: Duration = Duration::from_millis(6);

struct Harness {
    arrivals: Rc<Arrivals>,
    clock: RequestClock,
    start: Instant,
}

fn harness(length: Option<u64>) -> Harness {
    let start = Instant::now();
    let arrivals = Rc::new(Arrivals::new(start));
    Harness { clock: RequestClock::new(arrivals.clone(), length, TIMEOUT), arrivals, start }
}

/// Guards against review case 10: the time of a body that lay in the system's buffer began when it was read, or never.
#[test]
fn time_runs_from_the_arrival_of_the_last_byte_also_while_it_is_unread() {
    let Harness { arrivals, clock, start } = harness(Some(1_000));
    arrivals.on_read(600, start);
    assert_eq!(clock.deadline(), None, "400 bytes have not arrived");
    let arrived_at = start + Duration::from_millis(1);
    arrivals.on_unread(400, arrived_at);
    assert_eq!(clock.deadline(), Some(arrived_at + TIMEOUT));
    arrivals.on_read(400, start + Duration::from_millis(70));
    clock.complete();
    assert_eq!(clock.deadline(), Some(arrived_at + TIMEOUT), "it was read late");
    arrivals.on_read(400, start + Duration::from_millis(90));
    assert_eq!(clock.deadline(), Some(arrived_at + TIMEOUT), "these bytes are behind the body");
}

#[test]
fn time_of_unread_chunks_runs_from_the_last_arrival_and_never_while_more_is_awaited() {
    let Harness { arrivals, clock, start } = harness(None);
    arrivals.on_read(600, start);
    clock.set_awaits_client(true);
    assert_eq!(clock.deadline(), None, "all that arrived was passed on, and it was not the end");
    let arrived_at = start + Duration::from_millis(50);
    arrivals.on_unread(400, arrived_at);
    assert_eq!(clock.deadline(), Some(arrived_at + TIMEOUT));
    arrivals.on_unread(500, arrived_at + TIMEOUT / 2);
    assert_eq!(clock.deadline(), Some(arrived_at + TIMEOUT / 2 + TIMEOUT), "more arrived");
}

#[test]
fn wait_ends_before_the_deadline_and_not_at_all_without_a_last_byte() {
    actix_rt::System::new().block_on(async {
        let Harness { arrivals, clock, start } = harness(Some(1_000));
        arrivals.on_read(999, start);
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

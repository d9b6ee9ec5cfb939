use super::*;
use crate::clients::Clients;
use futures_util::FutureExt;

/// Guards against a request that waits for memory when its process is killed at the end of a shutdown.
#[test]
fn wait_for_memory_ends_with_a_shutdown() {
    actix_rt::System::new().block_on(async {
        let (memory, shutdown) = (Rc::new(MemoryAccountant::new(0)), ShutdownDeadline::default());
        let client = Rc::new(Clients::new(memory.clone())).register();
        let occupied = memory.try_reserve(Owner::RequestBodies, 1);
        let wait = || {
            let priority = Priority { weight: 1.0, remaining_bytes: 1 };
            let reserving = memory.reserve(Owner::RequestBodies, 1, priority);
            BodyMemory::Waiting(reserving, Box::pin(sleep(MEMORY_TIMEOUT)))
        };
        let mut reserving = wait();
        let mut waiting = Box::pin(wait_for_memory(&mut reserving, &client, &shutdown));
        assert!((&mut waiting).now_or_never().is_none());
        let began = Instant::now();
        shutdown.set(began);
        assert!(matches!(waiting.await, Err(Reject::NoRoom)));
        assert!(began.elapsed() < MEMORY_TIMEOUT);
        drop((occupied, reserving));
        assert!(
            wait_for_memory(&mut wait(), &client, &shutdown).await.is_ok(),
            "memory that is free is used"
        );
    });
}

/// Guards against a request whose last byte waits unread for memory, and that is answered as much later as it waited.
#[test]
fn time_of_a_request_runs_from_the_arrival_of_its_last_byte() {
    let client = Rc::new(Clients::new(Rc::default())).register();
    let (arrived_at, time_left) = (Instant::now(), Duration::from_secs(1));
    let arrivals = client.incoming().arrivals();
    arrivals.on_unread(92_000, arrived_at);
    arrivals.on_read(2_000);
    arrivals.set_request_end(Some(92_000));
    arrivals.on_at_least_unread(90_000, arrived_at + MEMORY_TIMEOUT);
    arrivals.on_read(90_000); // once there was memory
    let body = Body::Buffered { bytes: bytes::Bytes::new(), _reservation: None };
    assert_eq!(deadline_of(&body, &client, time_left), arrived_at + time_left);
}

/// Guards against bytes behind a request that put off the end of its wait for memory.
#[test]
fn wait_for_memory_runs_from_the_last_byte_of_the_request() {
    let (timeout, long_ago) = (Duration::from_secs(1), Instant::now() - Duration::from_secs(2));
    let arrivals = Arrivals::new(long_ago);
    arrivals.on_unread(2_000, long_ago);
    assert_eq!(memory_timeout(&arrivals, timeout), Duration::ZERO, "read ahead long ago");
    arrivals.set_request_end(Some(2_000));
    arrivals.on_unread(2_001, Instant::now());
    assert_eq!(memory_timeout(&arrivals, timeout), Duration::ZERO, "a byte came behind it");
}

use super::*;
use futures_util::FutureExt;

/// Guards against a request that waits for memory when its process is killed at the end of a shutdown.
#[test]
fn wait_for_memory_ends_with_a_shutdown() {
    actix_rt::System::new().block_on(async {
        let (memory, shutdown) = (Rc::new(BodyMemoryLimit::new(1)), ShutdownDeadline::default());
        let occupied = memory.try_reserve(1);
        let mut waiting = Box::pin(reserve_memory(&memory, &shutdown));
        assert!((&mut waiting).now_or_never().is_none());
        let began = Instant::now();
        shutdown.set(began);
        assert!(matches!(waiting.await, Err(Reject::NoRoom)));
        assert!(began.elapsed() < MEMORY_TIMEOUT);
        drop(occupied);
        assert!(reserve_memory(&memory, &shutdown).await.is_ok(), "memory that is free is used");
    });
}

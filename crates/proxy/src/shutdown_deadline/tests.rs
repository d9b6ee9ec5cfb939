use super::*;
use futures_util::FutureExt;
use std::time::Duration;

#[test]
fn deadline_that_is_set_later_ends_a_wait_and_limits_later_deadlines_only() {
    actix_rt::System::new().block_on(async {
        let (shutdown, now) = (ShutdownDeadline::default(), Instant::now());
        let (sooner, later) = (now + Duration::from_secs(1), now + Duration::from_secs(3));
        assert!(!shutdown.is_set());
        assert_eq!(shutdown.limit(later), later);
        let mut reached = Box::pin(shutdown.reached());
        assert!((&mut reached).now_or_never().is_none());
        shutdown.set(now);
        reached.await;
        shutdown.set(now + Duration::from_secs(2));
        assert!(shutdown.is_set());
        assert_eq!(shutdown.limit(sooner), sooner);
        assert_eq!(shutdown.limit(later), now + Duration::from_secs(2));
        assert!(shutdown.reached().now_or_never().is_none());
    });
}

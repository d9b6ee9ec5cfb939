use super::*;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

/// A listener whose accepts fail with these errors in order and then succeed.
struct FailingListener(RefCell<VecDeque<Errno>>);

impl Accept for FailingListener {
    type Connection = ();

    async fn accept_one(&self) -> io::Result<()> {
        self.0.borrow_mut().pop_front().map_or(Ok(()), |errno| Err(errno.into()))
    }
}

fn failing_acceptor(errno: Errno, times: usize) -> Acceptor<FailingListener> {
    let listener = FailingListener(RefCell::new(std::iter::repeat_n(errno, times).collect()));
    Acceptor::new(listener, "test", Logger::root(slog::Discard, slog::o!()))
}

const CONNECTION_LOST_ERRNOS: [Errno; 13] = [
    Errno::INTR,
    Errno::CONNABORTED,
    Errno::CONNRESET,
    Errno::PROTO,
    Errno::NOPROTOOPT,
    Errno::OPNOTSUPP,
    Errno::PERM,
    Errno::NETDOWN,
    Errno::NETUNREACH,
    Errno::HOSTDOWN,
    Errno::HOSTUNREACH,
    Errno::NONET,
    Errno::TIMEDOUT,
];
const OUT_OF_RESOURCES_ERRNOS: [Errno; 4] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];

#[test]
fn lost_connection_is_followed_by_an_immediate_accept() {
    for errno in CONNECTION_LOST_ERRNOS {
        let mut backoff = AcceptBackoff::default();
        let now = Instant::now();
        for _ in 0..100 {
            let retry = backoff.on_failure(&errno.into(), now);
            assert_eq!(
                (retry.failure, retry.delay),
                (AcceptFailure::ConnectionLost, Duration::ZERO),
                "{errno}"
            );
        }
    }
}

#[test]
fn backoff_grows_up_to_the_maximum_and_is_reset_by_an_accepted_connection() {
    for errno in OUT_OF_RESOURCES_ERRNOS.into_iter().chain([Errno::BADF]) {
        let mut backoff = AcceptBackoff::default();
        let mut waits = || -> Vec<u128> {
            let wait = |_| backoff.on_failure(&errno.into(), Instant::now()).delay.as_millis();
            let waits = (0..8).map(wait).collect();
            backoff.on_success();
            waits
        };
        assert_eq!(waits(), [2, 4, 8, 16, 32, 64, 64, 64], "{errno}");
        assert_eq!(waits(), [2, 4, 8, 16, 32, 64, 64, 64], "{errno}, after an accepted connection");
        let failure = AcceptFailure::of(&errno.into());
        assert_eq!(failure == AcceptFailure::OutOfResources, errno != Errno::BADF, "{errno}");
    }
    assert_eq!(AcceptFailure::of(&io::Error::other("no errno")), AcceptFailure::Unknown);
}

#[test]
fn failures_are_logged_once_per_interval_with_the_count_of_unlogged_ones() {
    let mut backoff = AcceptBackoff::default();
    let start = Instant::now();
    let mut logged = |after| backoff.on_failure(&Errno::MFILE.into(), start + after).suppressed_count;
    assert_eq!(logged(Duration::ZERO), Some(0));
    for ms in 1..100 {
        assert_eq!(logged(Duration::from_millis(ms)), None);
    }
    assert_eq!(logged(LOG_INTERVAL), Some(99));
    assert_eq!(logged(LOG_INTERVAL), None);
}

#[test]
fn acceptor_retries_until_it_accepts_and_frees_resources_only_when_they_ran_out() {
    actix_rt::System::new().block_on(async {
        for (errno, times) in CONNECTION_LOST_ERRNOS
            .map(|errno| (errno, 100))
            .into_iter()
            .chain(OUT_OF_RESOURCES_ERRNOS.map(|errno| (errno, 3)))
        {
            let calls = Cell::new(0);
            let mut acceptor = failing_acceptor(errno, times);
            acceptor.accept(|| calls.set(calls.get() + 1)).await;
            assert!(acceptor.listener.0.borrow().is_empty());
            assert_eq!(
                calls.get(),
                if OUT_OF_RESOURCES_ERRNOS.contains(&errno) { times } else { 0 },
                "{errno}"
            );
        }
    });
}

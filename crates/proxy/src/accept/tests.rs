use super::*;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

/// A listener whose accepts fail in this order, and then bring a connection.
struct FailingListener(RefCell<VecDeque<Errno>>);

impl Accept for FailingListener {
    type Connection = ();

    async fn accept_one(&self) -> io::Result<()> {
        self.0.borrow_mut().pop_front().map_or(Ok(()), |errno| Err(errno.into()))
    }
}

fn row(errno: Errno, times: usize) -> Acceptor<FailingListener> {
    let listener = FailingListener(RefCell::new(std::iter::repeat_n(errno, times).collect()));
    Acceptor::new(listener, "test", Logger::root(slog::Discard, slog::o!()))
}

const LOST: [Errno; 13] = [
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
const OUT: [Errno; 4] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];

#[test]
fn a_connection_that_is_lost_wants_the_next_accept_at_once_however_many_there_are() {
    for errno in LOST {
        let mut backoff = AcceptBackoff::default();
        let now = Instant::now();
        for _ in 0..100 {
            let after = backoff.failed(&errno.into(), now);
            assert_eq!(
                (after.failure, after.wait),
                (AcceptFailure::ConnectionLost, Duration::ZERO),
                "{errno}"
            );
        }
    }
}

#[test]
fn resources_that_run_out_are_waited_for_ever_longer_within_a_bound_until_one_is_accepted() {
    for errno in OUT.into_iter().chain([Errno::BADF]) {
        let mut backoff = AcceptBackoff::default();
        let mut waits = || -> Vec<u128> {
            let wait = |_| backoff.failed(&errno.into(), Instant::now()).wait.as_millis();
            let waits = (0..8).map(wait).collect();
            backoff.accepted();
            waits
        };
        assert_eq!(waits(), [2, 4, 8, 16, 32, 64, 64, 64], "{errno}");
        assert_eq!(waits(), [2, 4, 8, 16, 32, 64, 64, 64], "{errno}, after one was accepted");
        let failure = AcceptFailure::of(&errno.into());
        assert_eq!(failure == AcceptFailure::OutOfResources, errno != Errno::BADF, "{errno}");
    }
    assert_eq!(AcceptFailure::of(&io::Error::other("no errno")), AcceptFailure::Unknown);
}

#[test]
fn failures_are_logged_once_in_a_while_with_the_count_of_the_others() {
    let mut backoff = AcceptBackoff::default();
    let start = Instant::now();
    let mut logged = |after| backoff.failed(&Errno::MFILE.into(), start + after).log;
    assert_eq!(logged(Duration::ZERO), Some(0));
    for ms in 1..100 {
        assert_eq!(logged(Duration::from_millis(ms)), None);
    }
    assert_eq!(logged(LOG_INTERVAL), Some(99));
    assert_eq!(logged(LOG_INTERVAL), None);
}

#[test]
fn a_listener_accepts_after_any_row_of_failures_and_gives_up_others_only_where_resources_ran_out() {
    actix_rt::System::new().block_on(async {
        for (errno, times) in LOST.map(|errno| (errno, 100)).into_iter().chain(OUT.map(|errno| (errno, 3))) {
            let given_up = Cell::new(0);
            let mut acceptor = row(errno, times);
            acceptor.accept(|| given_up.set(given_up.get() + 1)).await;
            assert!(acceptor.listener.0.borrow().is_empty());
            assert_eq!(given_up.get(), if OUT.contains(&errno) { times } else { 0 }, "{errno}");
        }
    });
}

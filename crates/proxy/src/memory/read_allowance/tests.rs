use super::*;
use futures_util::FutureExt;
use std::task::Waker;

#[test]
fn consumer_learns_that_the_reader_waits_and_renews_only_what_is_used_up() {
    let allowance = ReadAllowance::new(10);
    let remaining = || allowance.poll_remaining(&Context::from_waker(Waker::noop()));
    allowance.consume(4);
    assert_eq!(remaining(), 6);
    allowance.renew(100);
    assert_eq!(remaining(), 6, "not used up");
    assert!(allowance.wait_until_exhausted().now_or_never().is_none());
    allowance.consume(7);
    assert!(!allowance.exhausted.get(), "the reader does not wait yet");
    assert_eq!(remaining(), 0);
    assert!(allowance.exhausted.get() && allowance.wait_until_exhausted().now_or_never().is_some());
    allowance.renew(5);
    assert_eq!(remaining(), 5);
    assert!(allowance.wait_until_exhausted().now_or_never().is_none());
}

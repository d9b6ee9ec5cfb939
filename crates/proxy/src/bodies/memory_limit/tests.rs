use super::*;
use futures_util::FutureExt;

#[test]
fn reservation_over_the_limit_waits_until_memory_is_released() {
    let limit = Rc::new(BodyMemoryLimit::new(10));
    let first = limit.try_reserve(6).expect("within the limit");
    assert!(limit.try_reserve(5).is_none());
    let mut waiting = Box::pin(limit.reserve(5));
    assert!((&mut waiting).now_or_never().is_none());
    drop(first);
    let second = (&mut waiting).now_or_never().expect("memory was released");
    assert!(limit.try_reserve(6).is_none());
    limit.set_limit(11);
    let third = limit.try_reserve(6).expect("within the higher limit");
    drop((second, third));
    assert!(limit.try_reserve(100).is_some(), "the only reservation may exceed the limit");
    assert_eq!(limit.peak(), 100);
}

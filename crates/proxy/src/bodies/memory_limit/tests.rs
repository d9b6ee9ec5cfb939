use super::*;
use futures_util::FutureExt;

#[test]
fn reservation_over_the_limit_waits_until_memory_is_released() {
    let budget = Rc::new(BodyMemoryLimit::new(10));
    let first = budget.take(6).expect("room");
    assert!(budget.take(5).is_none());
    let mut waits = Box::pin(budget.wait(5));
    assert!((&mut waits).now_or_never().is_none());
    drop(first);
    let second = (&mut waits).now_or_never().expect("given back");
    assert!(budget.take(6).is_none());
    budget.adopt(11);
    let third = budget.take(6).expect("a higher limit");
    drop((second, third));
    assert!(budget.take(100).is_some(), "one alone passes, however long");
    assert_eq!(budget.peak(), 100);
}

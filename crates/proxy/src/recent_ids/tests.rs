use super::*;
use std::rc::Rc;

#[test]
fn ids_are_remembered_for_their_time_and_up_to_a_number_and_published_once() {
    let (ids, published, start) = (RecentIds::default(), Rc::new(RefCell::new(Vec::new())), Instant::now());
    let listener = published.clone();
    ids.set_listener(move |event| listener.borrow_mut().push(event));
    let id = |number: usize| HeaderValue::from_str(&format!("r{number}")).expect("a value");
    let digest = |number| IdDigest::of(&id(number));
    (0..2).for_each(|_| ids.on_attempt(&id(0), start));
    ids.apply(IdEvent::Executing(digest(1)), start);
    ids.on_attempt(&id(2), start);
    (0..2).for_each(|_| ids.on_never_executed(&id(2), start));
    let expected =
        [IdEvent::Executing(digest(0)), IdEvent::Executing(digest(2)), IdEvent::NeverExecuted(digest(2))];
    assert_eq!(*published.borrow(), expected, "once, and not what the other process has published");
    let last = start + REMEMBERED_TIME - Duration::from_millis(1);
    assert_eq!([0, 1, 2].map(|number| ids.contains(&id(number), last)), [true, true, false]);
    assert!(!ids.contains(&id(0), start + REMEMBERED_TIME) && ids.all().is_empty());
    (0..=MAX_IDS).for_each(|number| ids.on_attempt(&id(number), last));
    assert!(!ids.contains(&id(0), last) && ids.contains(&id(1), last) && ids.all().len() == MAX_IDS);
}

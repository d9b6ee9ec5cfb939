use super::*;
use std::rc::Rc;

#[test]
fn ids_are_remembered_for_their_time_and_up_to_a_number_and_told_once() {
    let (ids, told, start) = (RecentIds::default(), Rc::new(RefCell::new(Vec::new())), Instant::now());
    let listener = told.clone();
    ids.set_listener(move |digest| listener.borrow_mut().push(digest));
    let id = |number: usize| HeaderValue::from_str(&format!("r{number}")).expect("a value");
    ids.on_attempt(&id(0), start);
    ids.on_attempt(&id(0), start);
    assert!(!ids.remember(IdDigest::of(&id(0)), start) && ids.remember(IdDigest::of(&id(1)), start));
    assert_eq!(*told.borrow(), [IdDigest::of(&id(0))], "once, and not what the other process told");
    let last = start + REMEMBERED_TIME - Duration::from_millis(1);
    assert!(ids.contains(&id(0), last) && ids.contains(&id(1), last) && !ids.contains(&id(2), last));
    assert!(!ids.contains(&id(0), start + REMEMBERED_TIME) && ids.all().is_empty());
    (0..=MAX_IDS).for_each(|number| ids.on_attempt(&id(number), last));
    assert!(!ids.contains(&id(0), last) && ids.contains(&id(1), last));
    assert_eq!(ids.all().len(), MAX_IDS);
}

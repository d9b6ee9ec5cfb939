use super::super::fake_file_system::{FILE, FakeFileSystem};
use super::super::{Kind, Parsed};
use super::*;
use crate::event::Event;

const REST: Duration = Duration::from_secs(10);

/// A file that is watched and at rest, and was read once.
fn hands_at_rest() -> (Hands<FakeFileSystem>, Watch) {
    let watch = Watch { source: "files".into(), path: FILE.into(), kind: Kind::File, poll: REST };
    let (eyes, _) = Eyes::new(&watch, Arc::new(Notify::new()));
    let parse: Parser = |_| Ok(Parsed::default());
    let mut hands = Hands { system: FakeFileSystem::new(), judge: Judge::default(), eyes, parse };
    hands.system.write(FILE, "a");
    hands.system.pass(REST);
    let (event, _) = hands.look(&watch, Trigger::Poll);
    assert!(matches!(event, Some(Event::News { .. })));
    (hands, watch)
}

/// The same length and the same times as the file has already: the wall clock is set back to the moment of the
/// first write, and forth again before the next look.
fn write_unseen_by_clocks(system: &FakeFileSystem) {
    system.step_wall_clock(-(REST.as_secs() as i64));
    system.write(FILE, "b");
    system.step_wall_clock(REST.as_secs() as i64);
}

#[test]
fn event_reads_what_the_times_say_is_unchanged() {
    let (mut hands, watch) = hands_at_rest();
    write_unseen_by_clocks(&hands.system);
    let (event, _) = hands.look(&watch, Trigger::FileSystemEvent);
    assert!(matches!(event, Some(Event::News { .. })), "{event:?}");
}

#[test]
fn event_without_a_change_tells_nothing() {
    let (mut hands, watch) = hands_at_rest();
    let (event, notices) = hands.look(&watch, Trigger::FileSystemEvent);
    assert_eq!((event, notices), (None, Vec::new()));
    assert_eq!(hands.system.reads.get(), 2);
}

#[test]
fn poll_does_not_read_a_file_at_rest_and_a_request_of_the_catalog_does() {
    let (mut hands, watch) = hands_at_rest();
    assert_eq!(hands.look(&watch, Trigger::Poll), (None, Vec::new()));
    assert_eq!(hands.system.reads.get(), 1);
    let (event, _) = hands.look(&watch, Trigger::CatalogRequest);
    assert!(matches!(event, Some(Event::News { .. })), "{event:?}");
}

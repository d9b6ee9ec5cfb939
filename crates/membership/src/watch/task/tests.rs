use super::super::fake_file_system::{FILE, FakeFileSystem};
use super::super::{Kind, Parsed};
use super::*;
use crate::event::Event;

/// Longer than the timestamp resolution of any file system.
const SETTLED_AGE: Duration = Duration::from_secs(10);

/// Creates an observer that has read a file whose timestamps are older than their resolution.
fn observer_after_first_reading() -> (Observer<FakeFileSystem>, Watch) {
    let watch = Watch { source: "files".into(), path: FILE.into(), kind: Kind::File, poll: SETTLED_AGE };
    let (file_watcher, _) = FileWatcher::new(&watch, Arc::new(Notify::new()));
    let parse: Parser = |_| Ok(Parsed::default());
    let mut observer =
        Observer { system: FakeFileSystem::new(), validator: FileValidator::default(), file_watcher, parse };
    observer.system.write(FILE, "a");
    observer.system.advance(SETTLED_AGE);
    let event = observer.observe(&watch, Trigger::Poll).event;
    assert!(matches!(event, Some(Event::Update { .. })));
    (observer, watch)
}

/// Writes content with the same length and timestamps as before: the wall clock is set back to the time of
/// the first write, and forward again before the next observation.
fn write_with_same_timestamps(system: &FakeFileSystem) {
    system.step_wall_clock(-(SETTLED_AGE.as_secs() as i64));
    system.write(FILE, "b");
    system.step_wall_clock(SETTLED_AGE.as_secs() as i64);
}

#[test]
fn event_reads_file_whose_times_are_unchanged() {
    let (mut observer, watch) = observer_after_first_reading();
    write_with_same_timestamps(&observer.system);
    let event = observer.observe(&watch, Trigger::FileSystemEvent).event;
    assert!(matches!(event, Some(Event::Update { .. })), "{event:?}");
}

#[test]
fn event_without_change_reports_nothing() {
    let (mut observer, watch) = observer_after_first_reading();
    let evaluation = observer.observe(&watch, Trigger::FileSystemEvent);
    assert_eq!(evaluation, Evaluation::default());
    assert_eq!(observer.system.reads.get(), 2);
}

#[test]
fn poll_skips_unchanged_file_and_refetch_request_reads_it() {
    let (mut observer, watch) = observer_after_first_reading();
    assert_eq!(observer.observe(&watch, Trigger::Poll), Evaluation::default());
    assert_eq!(observer.system.reads.get(), 1);
    let event = observer.observe(&watch, Trigger::RefetchRequest).event;
    assert!(matches!(event, Some(Event::Update { .. })), "{event:?}");
}

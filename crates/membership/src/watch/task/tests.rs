use super::super::fake_file_system::{FILE, FakeFileSystem};
use super::super::{Kind, Parsed};
use super::*;
use crate::event::Event;

const REST: Duration = Duration::from_secs(10);

/// A file that is watched and at rest, and was read once.
fn observer_of_file_at_rest() -> (Observer<FakeFileSystem>, Watch) {
    let watch = Watch { source: "files".into(), path: FILE.into(), kind: Kind::File, poll: REST };
    let (file_watcher, _) = FileWatcher::new(&watch, Arc::new(Notify::new()));
    let parse: Parser = |_| Ok(Parsed::default());
    let mut observer =
        Observer { system: FakeFileSystem::new(), validator: FileValidator::default(), file_watcher, parse };
    observer.system.write(FILE, "a");
    observer.system.pass(REST);
    let event = observer.observe(&watch, Trigger::Poll).event;
    assert!(matches!(event, Some(Event::Update { .. })));
    (observer, watch)
}

/// The same length and the same times as the file has already: the wall clock is set back to the moment of the
/// first write, and forth again before the next look.
fn write_unseen_by_clocks(system: &FakeFileSystem) {
    system.step_wall_clock(-(REST.as_secs() as i64));
    system.write(FILE, "b");
    system.step_wall_clock(REST.as_secs() as i64);
}

#[test]
fn event_reads_file_whose_times_are_unchanged() {
    let (mut observer, watch) = observer_of_file_at_rest();
    write_unseen_by_clocks(&observer.system);
    let event = observer.observe(&watch, Trigger::FileSystemEvent).event;
    assert!(matches!(event, Some(Event::Update { .. })), "{event:?}");
}

#[test]
fn event_without_change_reports_nothing() {
    let (mut observer, watch) = observer_of_file_at_rest();
    let evaluation = observer.observe(&watch, Trigger::FileSystemEvent);
    assert_eq!(evaluation, Evaluation::default());
    assert_eq!(observer.system.reads.get(), 2);
}

#[test]
fn poll_skips_file_at_rest_and_refetch_request_reads_it() {
    let (mut observer, watch) = observer_of_file_at_rest();
    assert_eq!(observer.observe(&watch, Trigger::Poll), Evaluation::default());
    assert_eq!(observer.system.reads.get(), 1);
    let event = observer.observe(&watch, Trigger::RefetchRequest).event;
    assert!(matches!(event, Some(Event::Update { .. })), "{event:?}");
}

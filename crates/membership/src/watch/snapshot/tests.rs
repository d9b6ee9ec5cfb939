use super::super::fake_file_system::{DIRECTORY, FILE, FakeFileSystem};
use super::*;

/// Long enough for a file to have rested, by any file system's clock.
const REST: Duration = Duration::from_secs(10);
const HOUR_S: i64 = 3600;

fn observe_file(system: &FakeFileSystem, known: Option<&Fingerprint>) -> Observation {
    observe(system, Path::new(FILE), Kind::File, known)
}

fn content(look: Observation) -> String {
    match look {
        Observation::Read(snapshot) => snapshot.texts.into_iter().map(|(_, text)| text).collect(),
        other => panic!("not read: {other:?}"),
    }
}

/// A file that was written, has rested for so long, and was read.
fn fingerprint_after(system: &FakeFileSystem, rest: Duration) -> Fingerprint {
    system.write(FILE, "a");
    system.pass(rest);
    fingerprint_after_reading(system)
}

fn fingerprint_after_reading(system: &FakeFileSystem) -> Fingerprint {
    match observe_file(system, None) {
        Observation::Read(snapshot) => snapshot.fingerprint,
        other => panic!("not read: {other:?}"),
    }
}

#[test]
fn file_at_rest_is_not_read_again() {
    let system = FakeFileSystem::new();
    let known = fingerprint_after(&system, REST);
    system.pass(REST);
    assert!(matches!(observe_file(&system, Some(&known)), Observation::Unchanged));
    assert_eq!(system.reads.get(), 1);
}

#[test]
fn write_with_the_known_times_is_read_after_wall_clock_was_set_back() {
    // Back to the very moment of the first write, so that the second one gets the same times.
    let system = FakeFileSystem::new();
    let known = fingerprint_after(&system, REST);
    system.step_wall_clock(-(REST.as_secs() as i64));
    system.write(FILE, "b");
    system.pass(REST);
    assert_eq!(content(observe_file(&system, Some(&known))), "b");
}

#[test]
fn write_with_the_known_times_is_read_after_wall_clock_was_an_hour_ahead() {
    // The file looks an hour old when it is read, and was written in the same moment.
    let system = FakeFileSystem::new();
    system.write(FILE, "a");
    system.step_wall_clock(HOUR_S);
    let known = fingerprint_after_reading(&system);
    system.step_wall_clock(-HOUR_S);
    system.write(FILE, "b");
    system.pass(REST);
    assert_eq!(content(observe_file(&system, Some(&known))), "b");
}

#[test]
fn write_is_read_after_wall_clock_was_set_forward() {
    let system = FakeFileSystem::new();
    let known = fingerprint_after(&system, REST);
    system.step_wall_clock(HOUR_S);
    assert!(
        matches!(observe_file(&system, Some(&known)), Observation::Unchanged),
        "it is at rest all the same"
    );
    system.write(FILE, "b");
    assert_eq!(content(observe_file(&system, Some(&known))), "b");
}

#[test]
fn file_from_the_future_is_read_each_time() {
    let system = FakeFileSystem::new();
    system.step_wall_clock(HOUR_S);
    system.write(FILE, "a");
    system.step_wall_clock(-HOUR_S);
    let known = fingerprint_after_reading(&system);
    system.pass(REST);
    assert_eq!(content(observe_file(&system, Some(&known))), "a");
}

#[test]
fn hundred_interruptions_of_each_call_lose_no_file() {
    let system = FakeFileSystem::new();
    system.write(FILE, "a");
    system.interruptions.set(100);
    assert_eq!(content(observe_file(&system, None)), "a");
    assert_eq!(content(observe(&system, Path::new(DIRECTORY), Kind::Directory, None)), "a");
}

#[test]
fn interrupted_and_short_reads_give_the_whole_text() {
    let system = FakeFileSystem::new();
    let text = "version = 1\n".repeat(100);
    system.write(FILE, &text);
    system.has_short_reads.set(true);
    assert_eq!(content(observe_file(&system, None)), text);
}

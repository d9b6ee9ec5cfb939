use super::super::fake_file_system::{DIRECTORY, FILE, FakeFileSystem};
use super::*;

/// Longer than the timestamp resolution of any file system.
const SETTLED_AGE: Duration = Duration::from_secs(10);
const HOUR_S: i64 = 3600;

fn observe_file(system: &FakeFileSystem, known: Option<&Fingerprint>) -> Observation {
    observe(system, Path::new(FILE), Kind::File, known)
}

fn content(observation: Observation) -> String {
    match observation {
        Observation::Read(snapshot) => snapshot.texts.into_iter().map(|(_, text)| text).collect(),
        other => panic!("not read: {other:?}"),
    }
}

/// Writes a file, waits and returns the fingerprint of a reading.
fn fingerprint_after(system: &FakeFileSystem, age: Duration) -> Fingerprint {
    system.write(FILE, "a");
    system.advance(age);
    fingerprint_after_reading(system)
}

fn fingerprint_after_reading(system: &FakeFileSystem) -> Fingerprint {
    match observe_file(system, None) {
        Observation::Read(snapshot) => snapshot.fingerprint,
        other => panic!("not read: {other:?}"),
    }
}

#[test]
fn unchanged_file_with_old_timestamps_is_not_read_again() {
    let system = FakeFileSystem::new();
    let known = fingerprint_after(&system, SETTLED_AGE);
    system.advance(SETTLED_AGE);
    assert!(matches!(observe_file(&system, Some(&known)), Observation::Unchanged));
    assert_eq!(system.reads.get(), 1);
}

#[test]
fn write_with_the_known_times_is_read_after_wall_clock_was_set_back() {
    // The clock is set back to the time of the first write, so that the second write gets the same
    // timestamps.
    let system = FakeFileSystem::new();
    let known = fingerprint_after(&system, SETTLED_AGE);
    system.step_wall_clock(-(SETTLED_AGE.as_secs() as i64));
    system.write(FILE, "b");
    system.advance(SETTLED_AGE);
    assert_eq!(content(observe_file(&system, Some(&known))), "b");
}

#[test]
fn write_with_the_known_times_is_read_after_wall_clock_was_an_hour_ahead() {
    // The file was written immediately before the reading but appears to be an hour old.
    let system = FakeFileSystem::new();
    system.write(FILE, "a");
    system.step_wall_clock(HOUR_S);
    let known = fingerprint_after_reading(&system);
    system.step_wall_clock(-HOUR_S);
    system.write(FILE, "b");
    system.advance(SETTLED_AGE);
    assert_eq!(content(observe_file(&system, Some(&known))), "b");
}

#[test]
fn write_is_read_after_wall_clock_was_set_forward() {
    let system = FakeFileSystem::new();
    let known = fingerprint_after(&system, SETTLED_AGE);
    system.step_wall_clock(HOUR_S);
    assert!(
        matches!(observe_file(&system, Some(&known)), Observation::Unchanged),
        "the step of the clock does not cause a reading"
    );
    system.write(FILE, "b");
    assert_eq!(content(observe_file(&system, Some(&known))), "b");
}

#[test]
fn file_with_timestamps_in_the_future_is_read_each_time() {
    let system = FakeFileSystem::new();
    system.step_wall_clock(HOUR_S);
    system.write(FILE, "a");
    system.step_wall_clock(-HOUR_S);
    let known = fingerprint_after_reading(&system);
    system.advance(SETTLED_AGE);
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

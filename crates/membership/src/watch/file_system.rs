//! The system calls for watching files, as a trait with two implementations: the operating system, and a fake
//! for tests.
//!
//! `snapshot` and `file_watcher` use it; it keeps no state.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Read};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The metadata of a file or directory.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FileStatus {
    pub device: u64,
    pub inode: u64,
    pub size: u64,
    /// The last change of the content, in nanoseconds of Unix time by the file system's clock.
    pub modified_ns: i128,
    /// The last change of the content or the metadata, in nanoseconds of Unix time by the file system's
    /// clock.
    pub changed_ns: i128,
    pub is_file: bool,
    pub is_directory: bool,
}

/// A reading of both clocks. The wall clock may be stepped forward or back; the monotonic clock is not
/// affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClockReading {
    /// Nanoseconds of Unix time.
    pub wall_ns: i128,
    pub monotonic: Instant,
}

impl ClockReading {
    /// Returns by how much the wall clock was stepped between two readings, in nanoseconds; negative if it
    /// was set back.
    pub fn step_ns_until(self, later: ClockReading) -> i128 {
        let passed = later.monotonic.saturating_duration_since(self.monotonic);
        later.wall_ns - self.wall_ns - passed.as_nanos() as i128
    }
}

/// The system calls. Each may fail with any error that the system documents, including `Interrupted`.
pub(super) trait FileSystem {
    /// Returns the status of a file or directory; follows links.
    fn status(&self, path: &Path) -> io::Result<FileStatus>;
    /// Returns the paths of all entries of a directory, in any order.
    fn entries(&self, path: &Path) -> io::Result<Vec<PathBuf>>;
    /// Opens a file for reading.
    fn open(&self, path: &Path) -> io::Result<Box<dyn Read>>;
    /// Reads both clocks, the wall clock first: a pause between the two readings then makes the last change
    /// of a file look more recent, never older.
    fn clocks(&self) -> ClockReading;
}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalFileSystem;

impl FileSystem for LocalFileSystem {
    fn status(&self, path: &Path) -> io::Result<FileStatus> {
        let metadata = fs::metadata(path)?;
        let unix_ns = |seconds: i64, nanos: i64| i128::from(seconds) * 1_000_000_000 + i128::from(nanos);
        Ok(FileStatus {
            device: metadata.dev(),
            inode: metadata.ino(),
            size: metadata.size(),
            modified_ns: unix_ns(metadata.mtime(), metadata.mtime_nsec()),
            changed_ns: unix_ns(metadata.ctime(), metadata.ctime_nsec()),
            is_file: metadata.is_file(),
            is_directory: metadata.is_dir(),
        })
    }

    fn entries(&self, path: &Path) -> io::Result<Vec<PathBuf>> {
        fs::read_dir(path)?.map(|entry| entry.map(|entry| entry.path())).collect()
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn Read>> {
        Ok(Box::new(File::open(path)?))
    }

    fn clocks(&self) -> ClockReading {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_ns = since_epoch.map_or(0, |since| since.as_nanos() as i128);
        ClockReading { wall_ns, monotonic: Instant::now() }
    }
}

/// Repeats a call until it is not interrupted by a signal, without a limit on the number of attempts.
pub(super) fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

//! The system calls that watching files needs, as a seam: the operating system behind it, or a test's failing one.
//!
//! The snapshot of a file and the watch on its directory call it; it decides nothing and remembers nothing.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Read};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// What the file system says of a file without its content.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FileStatus {
    pub device: u64,
    pub inode: u64,
    pub size: u64,
    /// The last change of the content, in nanoseconds of Unix time by the file system's clock.
    pub modified_ns: i128,
    /// The last change of the content or of what is said about it, the same way.
    pub changed_ns: i128,
    pub is_file: bool,
    pub is_directory: bool,
}

/// Both clocks at one moment. The wall clock may be stepped, forward or back; the monotonic one runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClockReading {
    /// Nanoseconds of Unix time.
    pub wall_ns: i128,
    pub monotonic: Instant,
}

impl ClockReading {
    /// By how much the wall clock has run ahead of the monotonic one since, in nanoseconds; below 0 if it was set
    /// back.
    pub fn step_ns_until(self, later: ClockReading) -> i128 {
        let passed = later.monotonic.saturating_duration_since(self.monotonic);
        later.wall_ns - self.wall_ns - passed.as_nanos() as i128
    }
}

/// The system calls. Each may fail in the ways that the system documents, with `Interrupted` too.
pub(super) trait FileSystem {
    /// The status of a file or directory, of what a link points at.
    fn status(&self, path: &Path) -> io::Result<FileStatus>;
    /// The paths of all that is in a directory, in any order.
    fn entries(&self, path: &Path) -> io::Result<Vec<PathBuf>>;
    /// A file's content from its start.
    fn open(&self, path: &Path) -> io::Result<Box<dyn Read>>;
    /// Both clocks. Danger: the wall clock comes first, so that a pause between the two makes a state look less
    /// rested and never more.
    fn clocks(&self) -> ClockReading;
}

/// The file system of the machine.
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

/// Repeats a call for as long as a signal interrupts it, however often that is: nothing has failed.
pub(super) fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

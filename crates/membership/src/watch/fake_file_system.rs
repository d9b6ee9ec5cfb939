//! A file system in memory for tests: one directory of files whose times come from a wall clock that is stepped
//! at will, and calls that are interrupted or fail on demand.

use super::file_system::{ClockReading, FileStatus, FileSystem};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, Cursor, ErrorKind, Read};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

pub(super) const DIRECTORY: &str = "/fleet.d";
pub(super) const FILE: &str = "/fleet.d/fleet.toml";

const NANOS_PER_SECOND: i128 = 1_000_000_000;
/// Some day in 2026, in nanoseconds of Unix time.
const WALL_START_NS: i128 = 1_790_000_000 * NANOS_PER_SECOND;

pub(super) struct FakeFileSystem {
    files: RefCell<BTreeMap<PathBuf, (String, FileStatus)>>,
    start: Instant,
    passed: Cell<Duration>,
    stepped_ns: Cell<i128>,
    /// So many calls in a row are interrupted before the next one succeeds.
    pub interruptions: Cell<u32>,
    interrupted_in_a_row: Cell<u32>,
    /// Reads give one byte each, each of them interrupted once before.
    pub has_short_reads: Cell<bool>,
    pub reads: Cell<u32>,
}

impl FakeFileSystem {
    pub fn new() -> FakeFileSystem {
        FakeFileSystem {
            files: RefCell::default(),
            start: Instant::now(),
            passed: Cell::default(),
            stepped_ns: Cell::default(),
            interruptions: Cell::default(),
            interrupted_in_a_row: Cell::default(),
            has_short_reads: Cell::default(),
            reads: Cell::default(),
        }
    }

    /// Both clocks run on.
    pub fn pass(&self, time: Duration) {
        self.passed.set(self.passed.get() + time);
    }

    /// Somebody sets the wall clock, by seconds forward (back, where negative).
    pub fn step_wall_clock(&self, seconds: i64) {
        self.stepped_ns.set(self.stepped_ns.get() + i128::from(seconds) * NANOS_PER_SECOND);
    }

    /// Writes in place: the same inode, and the times of the wall clock as it is.
    pub fn write(&self, path: &str, text: &str) {
        let now = self.clocks().wall_ns;
        let status = FileStatus {
            device: 1,
            inode: 2,
            size: text.len() as u64,
            modified_ns: now,
            changed_ns: now,
            is_file: true,
            is_directory: false,
        };
        self.files.borrow_mut().insert(path.into(), (text.to_owned(), status));
    }

    fn interrupt(&self) -> io::Result<()> {
        if self.interrupted_in_a_row.get() < self.interruptions.get() {
            self.interrupted_in_a_row.set(self.interrupted_in_a_row.get() + 1);
            return Err(ErrorKind::Interrupted.into());
        }
        self.interrupted_in_a_row.set(0);
        Ok(())
    }
}

impl FileSystem for FakeFileSystem {
    fn status(&self, path: &Path) -> io::Result<FileStatus> {
        self.interrupt()?;
        if path == Path::new(DIRECTORY) {
            return Ok(FileStatus {
                device: 1,
                inode: 1,
                size: 0,
                modified_ns: 0,
                changed_ns: 0,
                is_file: false,
                is_directory: true,
            });
        }
        let files = self.files.borrow();
        files.get(path).map(|(_, status)| status.clone()).ok_or(ErrorKind::NotFound.into())
    }

    fn entries(&self, path: &Path) -> io::Result<Vec<PathBuf>> {
        self.interrupt()?;
        Ok(self.files.borrow().keys().filter(|file| file.parent() == Some(path)).cloned().collect())
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn Read>> {
        self.interrupt()?;
        self.reads.set(self.reads.get() + 1);
        let files = self.files.borrow();
        let (text, _) = files.get(path).ok_or(ErrorKind::NotFound)?;
        let content = Cursor::new(text.clone().into_bytes());
        if self.has_short_reads.get() {
            return Ok(Box::new(ShortReads { content, is_interrupted: false }));
        }
        Ok(Box::new(content))
    }

    fn clocks(&self) -> ClockReading {
        let passed = self.passed.get();
        let wall_ns = WALL_START_NS + passed.as_nanos() as i128 + self.stepped_ns.get();
        ClockReading { wall_ns, monotonic: self.start + passed }
    }
}

struct ShortReads {
    content: Cursor<Vec<u8>>,
    is_interrupted: bool,
}

impl Read for ShortReads {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.is_interrupted = !self.is_interrupted;
        if self.is_interrupted {
            return Err(ErrorKind::Interrupted.into());
        }
        let length = buffer.len().min(1);
        self.content.read(&mut buffer[..length])
    }
}

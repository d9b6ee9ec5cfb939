//! An in-memory file system for tests, with one directory of files. Tests control the clocks that set the
//! times of files, and can have calls interrupted.

use super::file_system::{ClockReading, FileStatus, FileSystem};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, Cursor, ErrorKind, Read};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

pub(super) const DIRECTORY: &str = "/fleet.d";
pub(super) const FILE: &str = "/fleet.d/fleet.toml";

const NANOS_PER_SECOND: i128 = 1_000_000_000;
/// The initial wall clock time, a day in 2026, in nanoseconds of Unix time.
const WALL_START_NS: i128 = 1_790_000_000 * NANOS_PER_SECOND;

pub(super) struct FakeFileSystem {
    files: RefCell<BTreeMap<PathBuf, (String, FileStatus)>>,
    start: Instant,
    elapsed: Cell<Duration>,
    wall_clock_step_ns: Cell<i128>,
    /// The number of consecutive calls that are interrupted before one succeeds.
    pub interruptions: Cell<u32>,
    consecutive_interruptions: Cell<u32>,
    /// Each read returns one byte and is interrupted once before.
    pub has_short_reads: Cell<bool>,
    pub reads: Cell<u32>,
}

impl FakeFileSystem {
    pub fn new() -> FakeFileSystem {
        FakeFileSystem {
            files: RefCell::default(),
            start: Instant::now(),
            elapsed: Cell::default(),
            wall_clock_step_ns: Cell::default(),
            interruptions: Cell::default(),
            consecutive_interruptions: Cell::default(),
            has_short_reads: Cell::default(),
            reads: Cell::default(),
        }
    }

    /// Advances both clocks.
    pub fn advance(&self, time: Duration) {
        self.elapsed.set(self.elapsed.get() + time);
    }

    /// Steps the wall clock forward by seconds, or back if the number is negative.
    pub fn step_wall_clock(&self, seconds: i64) {
        self.wall_clock_step_ns.set(self.wall_clock_step_ns.get() + i128::from(seconds) * NANOS_PER_SECOND);
    }

    /// Writes a file in place: the inode stays the same, and the times are set by the wall clock.
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
        if self.consecutive_interruptions.get() < self.interruptions.get() {
            self.consecutive_interruptions.set(self.consecutive_interruptions.get() + 1);
            return Err(ErrorKind::Interrupted.into());
        }
        self.consecutive_interruptions.set(0);
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
        let elapsed = self.elapsed.get();
        let wall_ns = WALL_START_NS + elapsed.as_nanos() as i128 + self.wall_clock_step_ns.get();
        ClockReading { wall_ns, monotonic: self.start + elapsed }
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

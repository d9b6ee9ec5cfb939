use super::super::file_system::{ClockReading, FileStatus, LocalFileSystem};
use super::*;
use std::cell::Cell;
use std::io::{self, ErrorKind, Read};

/// The local file system, but each status call is interrupted a hundred times before it succeeds.
#[derive(Default)]
struct InterruptedFileSystem {
    consecutive_interruptions: Cell<u32>,
}

impl FileSystem for InterruptedFileSystem {
    fn status(&self, path: &Path) -> io::Result<FileStatus> {
        if self.consecutive_interruptions.get() < 100 {
            self.consecutive_interruptions.set(self.consecutive_interruptions.get() + 1);
            return Err(ErrorKind::Interrupted.into());
        }
        self.consecutive_interruptions.set(0);
        LocalFileSystem.status(path)
    }

    fn entries(&self, path: &Path) -> io::Result<Vec<PathBuf>> {
        LocalFileSystem.entries(path)
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn Read>> {
        LocalFileSystem.open(path)
    }

    fn clocks(&self) -> ClockReading {
        LocalFileSystem.clocks()
    }
}

#[test]
fn interrupted_status_calls_do_not_end_the_watch() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().to_owned();
    let watch = Watch { source: "files".into(), path, kind: Kind::Directory, poll: std::time::Duration::MAX };
    let (mut file_watcher, notice) = FileWatcher::new(&watch, Arc::new(Notify::new()));
    assert_eq!(notice, None);
    file_watcher.follow_directory(&LocalFileSystem);
    let watched = file_watcher.watched;
    assert!(watched.is_some());
    file_watcher.follow_directory(&InterruptedFileSystem::default());
    assert_eq!(file_watcher.watched, watched);
}

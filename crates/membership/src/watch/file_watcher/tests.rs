use super::super::file_system::{ClockReading, FileStatus, LocalFileSystem};
use super::*;
use std::cell::Cell;
use std::io::{self, ErrorKind, Read};

/// The machine's file system, whose status calls are interrupted a hundred times each.
#[derive(Default)]
struct Interrupted {
    in_a_row: Cell<u32>,
}

impl FileSystem for Interrupted {
    fn status(&self, path: &Path) -> io::Result<FileStatus> {
        if self.in_a_row.get() < 100 {
            self.in_a_row.set(self.in_a_row.get() + 1);
            return Err(ErrorKind::Interrupted.into());
        }
        self.in_a_row.set(0);
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
    file_watcher.follow_directory(&Interrupted::default());
    assert_eq!(file_watcher.watched, watched);
}

//! Tests that a file is replaced completely or not at all, whichever system call fails.

use olivecart_config::atomic_file::{Disk, FileSystem, replace, replace_on};
use std::cell::{Cell, RefCell};
use std::fs::{File, Metadata};
use std::io;
use std::os::unix::fs::{MetadataExt, PermissionsExt, symlink};
use std::path::{Path, PathBuf};

/// The `errno` values of the injected errors.
const EINTR: i32 = 4;
const EIO: i32 = 5;
const EINVAL: i32 = 22;
const ENOSPC: i32 = 28;

/// A system call, at which an error can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Create,
    /// The write after the given number of writes.
    Write(usize),
    Sync,
    Rename,
    SyncFolder,
}

/// A file system on which one call fails, which writes a few bytes at a time and which records the calls.
struct FailingDisk {
    failing_call: Call,
    error: i32,
    /// The number of failures left to inject.
    failures_left: Cell<usize>,
    /// The maximum number of bytes per write.
    max_write_length: usize,
    writes: Cell<usize>,
    calls: RefCell<Vec<Call>>,
}

impl FailingDisk {
    fn new(failing_call: Call, error: i32, times: usize) -> FailingDisk {
        FailingDisk {
            failing_call,
            error,
            failures_left: Cell::new(times),
            max_write_length: 3,
            writes: Cell::new(0),
            calls: RefCell::default(),
        }
    }

    fn called(&self, call: Call) -> io::Result<()> {
        self.calls.borrow_mut().push(call);
        if call == self.failing_call && self.failures_left.get() > 0 {
            self.failures_left.set(self.failures_left.get() - 1);
            return Err(io::Error::from_raw_os_error(self.error));
        }
        Ok(())
    }
}

impl FileSystem for FailingDisk {
    type File = File;

    fn create(&self, path: &Path, like: Option<&Metadata>) -> io::Result<File> {
        self.called(Call::Create)?;
        Disk.create(path, like)
    }

    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<usize> {
        self.called(Call::Write(self.writes.get()))?;
        self.writes.set(self.writes.get() + 1);
        Disk.write(file, &bytes[..bytes.len().min(self.max_write_length)])
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        self.called(Call::Sync)?;
        Disk.sync(file)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.called(Call::Rename)?;
        Disk.rename(from, to)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.called(Call::SyncFolder)?;
        Disk.sync_folder(folder)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        Disk.remove(path)
    }
}

/// Returns the sorted names in a folder.
fn names_in(folder: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("read").file_name());
    let mut names: Vec<String> = entries.map(|name| name.to_string_lossy().into_owned()).collect();
    names.sort();
    names
}

fn folder_with_old_file() -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("web.toml");
    std::fs::write(&path, "old contents").expect("written");
    (folder, path)
}

#[test]
fn failed_call_keeps_old_contents_leaves_no_temporary_file_and_returns_path() {
    for failing_call in [Call::Create, Call::Write(0), Call::Write(2), Call::Sync, Call::Rename] {
        for error in [ENOSPC, EIO] {
            let (folder, path) = folder_with_old_file();
            let disk = FailingDisk::new(failing_call, error, 1);
            let failed = replace_on(&disk, &path, b"new contents").expect_err("an injected failure");
            assert_eq!(failed.error.raw_os_error(), Some(error), "{failing_call:?}");
            assert!(failed.to_string().starts_with(&path.display().to_string()), "{failed}");
            assert_eq!(std::fs::read_to_string(&path).expect("there"), "old contents", "{failing_call:?}");
            assert_eq!(names_in(folder.path()), ["web.toml"], "{failing_call:?}");
        }
    }
}

#[test]
fn failed_call_creates_no_file() {
    for failing_call in [Call::Create, Call::Write(0), Call::Write(2), Call::Sync, Call::Rename] {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("web.toml");
        let disk = FailingDisk::new(failing_call, ENOSPC, 1);
        replace_on(&disk, &path, b"new contents").expect_err("an injected failure");
        assert_eq!(names_in(folder.path()), Vec::<String>::new(), "{failing_call:?}");
    }
}

#[test]
fn short_writes_and_interrupted_calls_are_repeated() {
    for failing_call in
        [Call::Create, Call::Write(0), Call::Write(2), Call::Sync, Call::Rename, Call::SyncFolder]
    {
        let (folder, path) = folder_with_old_file();
        let disk = FailingDisk::new(failing_call, EINTR, 100);
        replace_on(&disk, &path, b"new contents").expect("written");
        assert_eq!(std::fs::read_to_string(&path).expect("there"), "new contents", "{failing_call:?}");
        assert_eq!(names_in(folder.path()), ["web.toml"], "{failing_call:?}");
        assert_eq!((disk.failures_left.get(), disk.writes.get()), (0, 4), "{failing_call:?}");
    }
}

#[test]
fn write_of_zero_bytes_is_an_error() {
    let (folder, path) = folder_with_old_file();
    let disk = FailingDisk { max_write_length: 0, ..FailingDisk::new(Call::Rename, EIO, 0) };
    let failed = replace_on(&disk, &path, b"new contents").expect_err("a write of zero bytes");
    assert_eq!(failed.error.kind(), io::ErrorKind::WriteZero);
    assert_eq!(std::fs::read_to_string(&path).expect("there"), "old contents");
    assert_eq!(names_in(folder.path()), ["web.toml"]);
}

#[test]
fn contents_are_synced_before_the_rename_and_the_folder_after_it() {
    let (_folder, path) = folder_with_old_file();
    let disk = FailingDisk::new(Call::Rename, EIO, 0);
    replace_on(&disk, &path, b"new").expect("written");
    let expected = [Call::Create, Call::Write(0), Call::Sync, Call::Rename, Call::SyncFolder];
    assert_eq!(*disk.calls.borrow(), expected);
}

#[test]
fn failed_folder_sync_is_an_error_unless_the_file_system_does_not_support_it() {
    let (folder, path) = folder_with_old_file();
    let failed = replace_on(&FailingDisk::new(Call::SyncFolder, EIO, 1), &path, b"new")
        .expect_err("an injected failure");
    assert!(failed.to_string().starts_with(&path.display().to_string()), "{failed}");
    assert_eq!(
        std::fs::read_to_string(&path).expect("there"),
        "new",
        "the contents are complete nevertheless"
    );
    assert_eq!(names_in(folder.path()), ["web.toml"]);
    replace_on(&FailingDisk::new(Call::SyncFolder, EINVAL, 1), &path, b"newer").expect("written");
    assert_eq!(std::fs::read_to_string(&path).expect("there"), "newer");
}

#[test]
fn temporary_file_of_a_killed_process_is_replaced() {
    let (folder, path) = folder_with_old_file();
    let temporary_file = folder.path().join(format!(".web.toml.{}.new", std::process::id()));
    std::fs::write(&temporary_file, "half of").expect("written");
    replace(&path, b"new contents").expect("written");
    assert_eq!(std::fs::read_to_string(&path).expect("there"), "new contents");
    assert_eq!(names_in(folder.path()), ["web.toml"]);
}

#[test]
fn permissions_of_existing_file_are_kept() {
    let (_folder, path) = folder_with_old_file();
    for mode in [0o600, 0o664] {
        std::fs::set_permissions(&path, PermissionsExt::from_mode(mode)).expect("set");
        replace(&path, format!("{mode}").as_bytes()).expect("written");
        assert_eq!(std::fs::metadata(&path).expect("there").mode() & 0o7777, mode);
    }
}

#[test]
fn symbolic_link_is_kept_and_its_target_is_replaced() {
    let (folder, path) = folder_with_old_file();
    std::fs::create_dir(folder.path().join("links")).expect("created");
    let link = folder.path().join("links/web.toml");
    symlink("../web.toml", &link).expect("linked");
    replace(&link, b"new contents").expect("written");
    assert_eq!(std::fs::read_link(&link).expect("a link"), Path::new("../web.toml"));
    assert_eq!(std::fs::read_to_string(&path).expect("there"), "new contents");
    assert_eq!((names_in(folder.path()).len(), names_in(&folder.path().join("links")).len()), (2, 1));
    // Replacing through a link to a missing file creates the file.
    std::fs::remove_file(&path).expect("removed");
    replace(&link, b"newer").expect("written");
    assert_eq!(std::fs::read_to_string(&path).expect("there"), "newer");
    // A loop of links is an error with the path.
    let looping = folder.path().join("loop.toml");
    symlink("loop.toml", &looping).expect("linked");
    let failed = replace(&looping, b"new").expect_err("a loop of links");
    assert!(failed.to_string().starts_with(&looping.display().to_string()), "{failed}");
}

#[test]
fn special_file_is_written_directly() {
    replace(Path::new("/dev/null"), b"nothing").expect("written");
    assert!(!std::fs::metadata("/dev/null").expect("there").is_file());
    let failed = replace(Path::new("/dev/full"), b"nothing").expect_err("a full device");
    assert_eq!((failed.error.raw_os_error(), failed.path.as_path()), (Some(ENOSPC), Path::new("/dev/full")));
}

//! A file is replaced whole or not at all, whatever system call fails on the way.

use olivecart_config::atomic_file::{Disk, FileSystem, replace, replace_on};
use std::cell::{Cell, RefCell};
use std::fs::{File, Metadata};
use std::io;
use std::os::unix::fs::{MetadataExt, PermissionsExt, symlink};
use std::path::{Path, PathBuf};

/// The system's numbers of the errors that are raised here.
const EINTR: i32 = 4;
const EIO: i32 = 5;
const EINVAL: i32 = 22;
const ENOSPC: i32 = 28;

/// Where a system call is made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Create,
    /// The write after so many.
    Write(usize),
    Sync,
    Rename,
    SyncFolder,
}

/// A disk on which one call fails, which writes a few bytes at a time and which notes the calls in their
/// order.
struct FailingDisk {
    fails: Call,
    error: i32,
    /// How many times it fails.
    left: Cell<usize>,
    /// Bytes that a write takes at most.
    most: usize,
    writes: Cell<usize>,
    calls: RefCell<Vec<Call>>,
}

impl FailingDisk {
    fn new(fails: Call, error: i32, times: usize) -> FailingDisk {
        FailingDisk {
            fails,
            error,
            left: Cell::new(times),
            most: 3,
            writes: Cell::new(0),
            calls: RefCell::default(),
        }
    }

    fn called(&self, call: Call) -> io::Result<()> {
        self.calls.borrow_mut().push(call);
        if call == self.fails && self.left.get() > 0 {
            self.left.set(self.left.get() - 1);
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
        Disk.write(file, &bytes[..bytes.len().min(self.most)])
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

/// The names in a folder.
fn names(folder: &Path) -> Vec<String> {
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
fn failed_call_leaves_old_file_and_no_remnant_and_names_the_file() {
    for fails in [Call::Create, Call::Write(0), Call::Write(2), Call::Sync, Call::Rename] {
        for error in [ENOSPC, EIO] {
            let (folder, path) = folder_with_old_file();
            let disk = FailingDisk::new(fails, error, 1);
            let failed = replace_on(&disk, &path, b"new contents").expect_err("it fails");
            assert_eq!(failed.error.raw_os_error(), Some(error), "{fails:?}");
            assert!(failed.to_string().starts_with(&path.display().to_string()), "{failed}");
            assert_eq!(std::fs::read_to_string(&path).expect("there"), "old contents", "{fails:?}");
            assert_eq!(names(folder.path()), ["web.toml"], "{fails:?}");
        }
    }
}

#[test]
fn failed_call_creates_no_file() {
    for fails in [Call::Create, Call::Write(0), Call::Write(2), Call::Sync, Call::Rename] {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("web.toml");
        let disk = FailingDisk::new(fails, ENOSPC, 1);
        replace_on(&disk, &path, b"new contents").expect_err("it fails");
        assert_eq!(names(folder.path()), Vec::<String>::new(), "{fails:?}");
    }
}

#[test]
fn short_and_interrupted_calls_are_made_again_until_all_is_written() {
    for fails in [Call::Create, Call::Write(0), Call::Write(2), Call::Sync, Call::Rename, Call::SyncFolder] {
        let (folder, path) = folder_with_old_file();
        let disk = FailingDisk::new(fails, EINTR, 100);
        replace_on(&disk, &path, b"new contents").expect("written in the end");
        assert_eq!(std::fs::read_to_string(&path).expect("there"), "new contents", "{fails:?}");
        assert_eq!(names(folder.path()), ["web.toml"], "{fails:?}");
        assert_eq!((disk.left.get(), disk.writes.get()), (0, 4), "{fails:?}");
    }
}

#[test]
fn write_that_takes_nothing_is_an_error() {
    let (folder, path) = folder_with_old_file();
    let disk = FailingDisk { most: 0, ..FailingDisk::new(Call::Rename, EIO, 0) };
    let failed = replace_on(&disk, &path, b"new contents").expect_err("it fails");
    assert_eq!(failed.error.kind(), io::ErrorKind::WriteZero);
    assert_eq!(std::fs::read_to_string(&path).expect("there"), "old contents");
    assert_eq!(names(folder.path()), ["web.toml"]);
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
fn folder_that_cannot_be_synced_is_an_error_unless_its_file_system_has_no_sync() {
    let (folder, path) = folder_with_old_file();
    let failed =
        replace_on(&FailingDisk::new(Call::SyncFolder, EIO, 1), &path, b"new").expect_err("it fails");
    assert!(failed.to_string().starts_with(&path.display().to_string()), "{failed}");
    assert_eq!(std::fs::read_to_string(&path).expect("there"), "new", "whole all the same");
    assert_eq!(names(folder.path()), ["web.toml"]);
    replace_on(&FailingDisk::new(Call::SyncFolder, EINVAL, 1), &path, b"newer").expect("written");
    assert_eq!(std::fs::read_to_string(&path).expect("there"), "newer");
}

#[test]
fn remnant_of_a_killed_process_is_no_obstacle() {
    let (folder, path) = folder_with_old_file();
    let remnant = folder.path().join(format!(".web.toml.{}.new", std::process::id()));
    std::fs::write(&remnant, "half of").expect("written");
    replace(&path, b"new contents").expect("written");
    assert_eq!(std::fs::read_to_string(&path).expect("there"), "new contents");
    assert_eq!(names(folder.path()), ["web.toml"]);
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
fn symbolic_link_stays_and_its_target_is_replaced() {
    let (folder, path) = folder_with_old_file();
    std::fs::create_dir(folder.path().join("links")).expect("created");
    let link = folder.path().join("links/web.toml");
    symlink("../web.toml", &link).expect("linked");
    replace(&link, b"new contents").expect("written");
    assert_eq!(std::fs::read_link(&link).expect("a link"), Path::new("../web.toml"));
    assert_eq!(std::fs::read_to_string(&path).expect("there"), "new contents");
    assert_eq!((names(folder.path()).len(), names(&folder.path().join("links")).len()), (2, 1));
    // A link to a file that is not there yet creates it, as writing through it would.
    std::fs::remove_file(&path).expect("removed");
    replace(&link, b"newer").expect("written");
    assert_eq!(std::fs::read_to_string(&path).expect("there"), "newer");
    // A loop of links names the file.
    let round = folder.path().join("round.toml");
    symlink("round.toml", &round).expect("linked");
    let failed = replace(&round, b"new").expect_err("it leads nowhere");
    assert!(failed.to_string().starts_with(&round.display().to_string()), "{failed}");
}

#[test]
fn what_is_no_regular_file_is_written_to() {
    replace(Path::new("/dev/null"), b"nothing").expect("written");
    assert!(!std::fs::metadata("/dev/null").expect("there").is_file());
    let failed = replace(Path::new("/dev/full"), b"nothing").expect_err("it is full");
    assert_eq!((failed.error.raw_os_error(), failed.path.as_path()), (Some(ENOSPC), Path::new("/dev/full")));
}

//! Replaces a file atomically: writes a temporary file in the same folder, syncs it and renames it over the
//! target.
//!
//! Readers see either the old or the new contents in full, also after a crash. Used by `write` and the
//! command line. This module does not interpret the contents and does not create folders.

use std::fs::{File, Metadata, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt, PermissionsExt, fchown};
use std::path::{Path, PathBuf};

/// The mode of a new file before the umask is applied, the same as with [`File::create`].
const DEFAULT_MODE: u32 = 0o666;

/// The permission bits of a file mode.
const PERMISSION_BITS: u32 = 0o7777;

/// The maximum length of a chain of symbolic links, the same as on Linux.
const MAX_LINKS: usize = 40;

/// An error while replacing a file.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {error}", path = .path.display())]
pub struct ReplaceError {
    /// The file that could not be replaced.
    pub path: PathBuf,
    /// The cause.
    #[source]
    pub error: io::Error,
}

/// The system calls that replace a file. [`Disk`] is the real implementation; tests use one that fails.
pub trait FileSystem {
    /// An open file.
    type File;

    /// Creates a file, which must not exist yet, with the permissions and the owner of `like` if it is given.
    ///
    /// # Errors
    /// Returns the error of the system call.
    fn create(&self, path: &Path, like: Option<&Metadata>) -> io::Result<Self::File>;

    /// Writes some or all of `bytes` and returns the number of bytes written.
    ///
    /// # Errors
    /// Returns the error of the system call.
    fn write(&self, file: &mut Self::File, bytes: &[u8]) -> io::Result<usize>;

    /// Flushes the contents of a file to the disk.
    ///
    /// # Errors
    /// Returns the error of the system call.
    fn sync(&self, file: &Self::File) -> io::Result<()>;

    /// Renames a file and replaces the file that has the new name.
    ///
    /// # Errors
    /// Returns the error of the system call.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Flushes the entries of a folder to the disk.
    ///
    /// # Errors
    /// Returns the error of the system call.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Returns the error of the system call.
    fn remove(&self, path: &Path) -> io::Result<()>;
}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disk;

impl FileSystem for Disk {
    type File = File;

    fn create(&self, path: &Path, like: Option<&Metadata>) -> io::Result<File> {
        let mode = like.map_or(DEFAULT_MODE, |like| like.mode() & PERMISSION_BITS);
        let file = OpenOptions::new().write(true).create_new(true).mode(mode).open(path)?;
        if let Some(like) = like {
            // Only the superuser may change the owner; otherwise the file belongs to the current user.
            let _ = fchown(&file, Some(like.uid()), Some(like.gid()));
            file.set_permissions(PermissionsExt::from_mode(mode))?;
        }
        Ok(file)
    }

    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<usize> {
        io::Write::write(file, bytes)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        file.sync_all()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        std::fs::remove_file(path)
    }
}

/// Replaces the contents of a file, or creates it. Follows symbolic links and keeps the permissions of an
/// existing file. Writes directly to a path that is not a regular file (a pipe, a terminal).
///
/// # Errors
/// Returns the path and the cause. The file then has its old contents, unless only the sync of the folder
/// failed: then it has the new contents, which may be lost in a crash. Temporary files are removed; only a
/// killed process can leave one (`.NAME.PID.new`).
pub fn replace(path: &Path, contents: &[u8]) -> Result<(), ReplaceError> {
    replace_on(&Disk, path, contents)
}

/// Does the same as [`replace`] on a given file system.
///
/// # Errors
/// See [`replace`].
pub fn replace_on(disk: &impl FileSystem, path: &Path, contents: &[u8]) -> Result<(), ReplaceError> {
    let named = |error| ReplaceError { path: path.to_owned(), error };
    let existing = existing_file(path).map_err(named)?;
    if existing.as_ref().is_some_and(|existing| !existing.is_file()) {
        // A pipe or a terminal cannot be replaced by a rename, and has no contents to preserve.
        return std::fs::write(path, contents).map_err(named);
    }
    let target = follow_links(path).map_err(named)?;
    let temporary = temporary_path(&target).map_err(named)?;
    // A killed process with the same process ID may have left a temporary file.
    let _ = disk.remove(&temporary);
    // The target stays untouched until the rename, and the sync comes before the rename: with the reverse
    // order the target could be an empty file after a crash.
    let renamed = write_synced(disk, &temporary, existing.as_ref(), contents)
        .and_then(|()| uninterrupted(|| disk.rename(&temporary, &target)));
    if let Err(error) = renamed {
        let _ = disk.remove(&temporary);
        return Err(named(error));
    }
    sync_folder_of(disk, &target).map_err(named)
}

/// Returns the metadata of the file at a path, following links, or `None` if it does not exist.
fn existing_file(path: &Path) -> io::Result<Option<Metadata>> {
    match std::fs::metadata(path) {
        Ok(metadata) => Ok(Some(metadata)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// Resolves symbolic links; the target need not exist.
fn follow_links(path: &Path) -> io::Result<PathBuf> {
    let mut path = path.to_owned();
    for _ in 0..MAX_LINKS {
        let Ok(link) = std::fs::read_link(&path) else { return Ok(path) };
        path = folder_of(&path).join(link);
    }
    Err(io::Error::other("too many symbolic links"))
}

fn folder_of(path: &Path) -> &Path {
    match path.parent() {
        Some(folder) if folder != Path::new("") => folder,
        _ => Path::new("."),
    }
}

/// Returns a hidden path beside the target that no other process uses. It does not end in `.toml`, so that
/// programs that read all `.toml` files of a folder ignore it.
fn temporary_path(target: &Path) -> io::Result<PathBuf> {
    let name = target
        .file_name()
        .ok_or_else(|| io::Error::new(ErrorKind::InvalidInput, "the path has no file name"))?;
    let name = format!(".{}.{}.new", name.to_string_lossy(), std::process::id());
    Ok(folder_of(target).join(name))
}

fn write_synced(
    disk: &impl FileSystem,
    path: &Path,
    like: Option<&Metadata>,
    contents: &[u8],
) -> io::Result<()> {
    let mut file = uninterrupted(|| disk.create(path, like))?;
    let mut rest = contents;
    while !rest.is_empty() {
        let written = uninterrupted(|| disk.write(&mut file, rest))?;
        if written == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        rest = &rest[written..];
    }
    uninterrupted(|| disk.sync(&file))
}

fn sync_folder_of(disk: &impl FileSystem, target: &Path) -> io::Result<()> {
    match uninterrupted(|| disk.sync_folder(folder_of(target))) {
        // Some file systems cannot sync a folder and return EINVAL.
        Err(error) if error.kind() == ErrorKind::InvalidInput => Ok(()),
        result => result,
    }
}

/// Repeats a system call while it is interrupted by signals.
fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

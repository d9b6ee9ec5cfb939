//! Replaces a file as a whole: written to a temporary file in the same folder, synced, renamed over the target.
//!
//! A reader finds the old contents or the new ones, never a part, and so does whoever comes after a crash. Called by
//! `write` and by the command line. It never looks at what it writes, and it never creates folders.

use std::fs::{File, Metadata, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt, PermissionsExt, fchown};
use std::path::{Path, PathBuf};

/// Mode of a new file before the umask is applied, as [`File::create`] has it.
const DEFAULT_MODE: u32 = 0o666;

/// The bits of a mode that are permissions.
const PERMISSION_BITS: u32 = 0o7777;

/// Symbolic links that are followed from one to the next at most, as many as Linux follows.
const MAX_LINKS: usize = 40;

/// A file that could not be replaced.
#[derive(Debug, thiserror::Error)]
#[error("{path}: {error}", path = .path.display())]
pub struct ReplaceError {
    /// The file that was to be replaced.
    pub path: PathBuf,
    /// Why it was not.
    #[source]
    pub error: io::Error,
}

/// The system calls that can fail while a file is replaced. [`Disk`] makes them; tests let them fail.
pub trait FileSystem {
    /// An open file.
    type File;

    /// Creates a file that must not exist yet, with the permissions and the owner of `like` if that is given.
    ///
    /// # Errors
    /// What the system says.
    fn create(&self, path: &Path, like: Option<&Metadata>) -> io::Result<Self::File>;

    /// Writes a part of `bytes`, and says how much of them.
    ///
    /// # Errors
    /// What the system says.
    fn write(&self, file: &mut Self::File, bytes: &[u8]) -> io::Result<usize>;

    /// Brings a file's contents to the disk.
    ///
    /// # Errors
    /// What the system says.
    fn sync(&self, file: &Self::File) -> io::Result<()>;

    /// Gives a file another name, in place of what has that name.
    ///
    /// # Errors
    /// What the system says.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Brings the names in a folder to the disk.
    ///
    /// # Errors
    /// What the system says.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// What the system says.
    fn remove(&self, path: &Path) -> io::Result<()>;
}

/// The file system of the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disk;

impl FileSystem for Disk {
    type File = File;

    fn create(&self, path: &Path, like: Option<&Metadata>) -> io::Result<File> {
        let mode = like.map_or(DEFAULT_MODE, |like| like.mode() & PERMISSION_BITS);
        let file = OpenOptions::new().write(true).create_new(true).mode(mode).open(path)?;
        if let Some(like) = like {
            // Only the superuser may give a file away; for all others the writer becomes its owner.
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

/// Replaces the contents of a file, or creates it. A symbolic link stays one, and what it points to is replaced; the
/// permissions of an existing file are kept. What is no regular file (a pipe, a terminal) is written to.
///
/// # Errors
/// Names the file. Then it holds what it held before, unless only the folder could not be synced: then it holds the new
/// contents, which may not outlast a crash. No temporary file is left; only a kill can leave one (`.NAME.PID.new`).
pub fn replace(path: &Path, contents: &[u8]) -> Result<(), ReplaceError> {
    replace_on(&Disk, path, contents)
}

/// The same on any file system.
///
/// # Errors
/// See [`replace`].
pub fn replace_on(disk: &impl FileSystem, path: &Path, contents: &[u8]) -> Result<(), ReplaceError> {
    let named = |error| ReplaceError { path: path.to_owned(), error };
    let existing = existing_file(path).map_err(named)?;
    if existing.as_ref().is_some_and(|existing| !existing.is_file()) {
        // There is nothing to keep whole here, and a pipe or a terminal cannot be replaced.
        return std::fs::write(path, contents).map_err(named);
    }
    let target = follow_links(path).map_err(named)?;
    let temporary = temporary_path(&target).map_err(named)?;
    // Left by an earlier process of the same number that was killed, if it is there at all.
    let _ = disk.remove(&temporary);
    // Danger: until the rename the target must not be touched, and the rename must not come before the sync: after a
    // crash the name could lead to an empty file.
    let renamed = write_synced(disk, &temporary, existing.as_ref(), contents)
        .and_then(|()| uninterrupted(|| disk.rename(&temporary, &target)));
    if let Err(error) = renamed {
        let _ = disk.remove(&temporary);
        return Err(named(error));
    }
    sync_folder_of(disk, &target).map_err(named)
}

/// What stands at a path now, at the end of all links; none if nothing does.
fn existing_file(path: &Path) -> io::Result<Option<Metadata>> {
    match std::fs::metadata(path) {
        Ok(metadata) => Ok(Some(metadata)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// The path at the end of symbolic links, whether there is a file or not.
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

/// A name beside the target that no other process uses, and that nobody who reads a folder of `.toml` files takes in.
fn temporary_path(target: &Path) -> io::Result<PathBuf> {
    let name = target.file_name().ok_or_else(|| io::Error::new(ErrorKind::InvalidInput, "no file name"))?;
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
        // Some file systems have no way to sync a folder, and say so with EINVAL.
        Err(error) if error.kind() == ErrorKind::InvalidInput => Ok(()),
        result => result,
    }
}

/// Makes a system call again for as long as a signal interrupts it.
fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

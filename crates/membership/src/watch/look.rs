//! What a file or directory is at one moment. Blocks: for threads that may.

use super::Kind;
use super::file_system::{ClockReading, FileStatus, FileSystem, retry_interrupted};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

#[cfg(test)]
mod tests;

/// Largest sum of bytes that is read: some 500,000 endpoints.
pub(super) const LARGEST: u64 = 64 << 20;
/// Most files of a directory.
const MOST_FILES: usize = 10_000;
/// Two writes within so long may leave the same times; the coarsest file system in use (FAT) keeps 2 s.
const COARSE: Duration = Duration::from_secs(2);
/// Readings of something that changes meanwhile, before it is taken as it came.
const TRIES: u32 = 3;

/// What tells one state from another without reading: names and, of each, device, inode, size and times.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Print {
    files: Vec<(PathBuf, FileStatus)>,
    /// The last change by the file system's clock, in nanoseconds of Unix time.
    newest_ns: i128,
    /// Both clocks, as they were before anything was looked at.
    taken: ClockReading,
}

/// What was found.
#[derive(Debug)]
pub(super) struct Found {
    pub print: Print,
    /// Name and text of each file.
    pub texts: Vec<(String, String)>,
    /// Of all names and texts.
    pub hash: u64,
}

/// What looking came to.
#[derive(Debug)]
pub(super) enum Look {
    /// It is as it was.
    Same,
    /// It was read.
    Read(Found),
    /// It cannot be used, though something is there.
    Unusable(String),
    /// It is not there, or nobody can read it.
    Lost(io::Error),
}

impl Print {
    fn of(system: &impl FileSystem, path: &Path, kind: Kind) -> io::Result<Result<Print, String>> {
        // Danger: read after the times of the files, the clock would count a pause between the two as rest.
        let taken = system.clocks();
        let status = retry_interrupted(|| system.status(path))?;
        let mut print = Print { files: Vec::new(), newest_ns: 0, taken };
        match (kind, status.is_directory) {
            (Kind::File, false) => print.add(path.to_owned(), status),
            (Kind::File, true) => return Ok(Err("is a directory, and a file is expected".into())),
            (Kind::Directory, false) => return Ok(Err("is a file, and a directory is expected".into())),
            (Kind::Directory, true) => {
                for path in retry_interrupted(|| system.entries(path))? {
                    if !is_fragment(&path) {
                        continue;
                    }
                    // One that went since the directory was read is looked at once more, with the directory.
                    let status = retry_interrupted(|| system.status(&path))?;
                    if status.is_file {
                        print.add(path, status);
                    }
                }
                if print.files.len() > MOST_FILES {
                    return Ok(Err(format!("has more than {MOST_FILES} files")));
                }
            }
        }
        print.files.sort();
        Ok(Ok(print))
    }

    fn add(&mut self, path: PathBuf, status: FileStatus) {
        self.newest_ns = self.newest_ns.max(status.changed_ns).max(status.modified_ns);
        self.files.push((path, status));
    }

    /// Whether another state cannot look the same. Danger: a write right after the reading, of the same length
    /// and within one tick of the file system's clock. A clock that is ahead of ours proves nothing either.
    ///
    /// Danger: nor does a clock that was set back since: what is written then may get the very times that are
    /// known. So the earliest time that a write since the reading can have got must lie well after the last
    /// known change.
    fn proves(&self, now: &Print) -> bool {
        let set_back_ns = self.taken.step_ns_until(now.taken).min(0);
        let earliest_write_ns = self.taken.wall_ns + set_back_ns;
        self.files == now.files && self.newest_ns + (COARSE.as_nanos() as i128) < earliest_write_ns
    }
}

fn is_fragment(path: &Path) -> bool {
    let hidden = path.file_name().is_none_or(|name| name.as_encoded_bytes().starts_with(b"."));
    !hidden && path.extension().is_some_and(|form| form == "toml" || form == "json")
}

/// Looks, and reads what may differ from `known`.
pub(super) fn look(system: &impl FileSystem, path: &Path, kind: Kind, known: Option<&Print>) -> Look {
    let mut last = None;
    for _ in 0..TRIES {
        match read(system, path, kind, known) {
            // A rename between two steps: the next reading finds one or the other.
            Look::Lost(e) => last = Some(Look::Lost(e)),
            Look::Read(found) => match Print::of(system, path, kind) {
                Ok(Ok(after)) if after.files == found.print.files => return Look::Read(found),
                _ => last = Some(Look::Read(found)),
            },
            look => return look,
        }
    }
    last.unwrap_or(Look::Same)
}

fn read(system: &impl FileSystem, path: &Path, kind: Kind, known: Option<&Print>) -> Look {
    let print = match Print::of(system, path, kind) {
        Ok(Ok(print)) => print,
        Ok(Err(why)) => return Look::Unusable(format!("{} {why}", path.display())),
        Err(e) => return Look::Lost(e),
    };
    if known.is_some_and(|known| known.proves(&print)) {
        return Look::Same;
    }
    let (mut texts, mut left, mut hash) = (Vec::new(), LARGEST, Xxh3::new());
    for (path, _) in &print.files {
        let name = path.to_string_lossy().into_owned();
        let mut bytes = Vec::new();
        let opened = retry_interrupted(|| system.open(path));
        // Goes on over interrupted and short reads by itself.
        if let Err(e) = opened.and_then(|file| file.take(left + 1).read_to_end(&mut bytes)) {
            return Look::Lost(e);
        }
        let Some(rest) = left.checked_sub(bytes.len() as u64) else {
            return Look::Unusable(format!("{name}: more than {LARGEST} bytes in all"));
        };
        left = rest;
        let Ok(text) = String::from_utf8(bytes) else {
            return Look::Unusable(format!("{name}: is not UTF-8"));
        };
        for part in [&name, &text] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        texts.push((name, text));
    }
    Look::Read(Found { print, texts, hash: hash.digest() })
}

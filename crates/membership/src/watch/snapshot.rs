//! What a file or directory is at one moment: a snapshot of its content, or why there is none.
//!
//! The watching task and the command line's tools call it. It blocks, so it runs on threads that may. It keeps
//! nothing between two looks, and knows nothing of clusters.

use super::Kind;
use super::file_system::{ClockReading, FileStatus, FileSystem, retry_interrupted};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

#[cfg(test)]
mod tests;

/// Most bytes of all files together: some 500,000 endpoints.
const MAX_TOTAL_BYTES: u64 = 64 << 20;
/// Most files of a directory.
const MAX_FILES: usize = 10_000;
/// Two writes within so long may leave the same times; the coarsest file system in use (FAT) keeps 2 s.
const TIMESTAMP_RESOLUTION: Duration = Duration::from_secs(2);
/// Readings of something that changes meanwhile, before it is taken as it is.
const MAX_ATTEMPTS: u32 = 3;

/// What tells one state from another without reading the files.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Fingerprint {
    files: Vec<(PathBuf, FileStatus)>,
    /// The last change by the file system's clock, in nanoseconds of Unix time.
    newest_change_ns: i128,
    /// Both clocks, as they were before anything was looked at.
    taken_at: ClockReading,
}

/// The content of a file, or of all fragments of a directory.
#[derive(Debug)]
pub(super) struct FileSnapshot {
    pub fingerprint: Fingerprint,
    /// Name and text of each file.
    pub texts: Vec<(String, String)>,
    /// Of all names and texts.
    pub hash: u64,
}

/// What a look came to.
#[derive(Debug)]
pub(super) enum Observation {
    /// It is as it was.
    Unchanged,
    /// It was read.
    Read(FileSnapshot),
    /// It cannot be used, though something is there.
    Unusable(String),
    /// It is not there, or nobody can read it.
    Unavailable(io::Error),
}

/// Why there is no snapshot.
enum SnapshotError {
    Unusable(String),
    Unavailable(io::Error),
}

impl From<io::Error> for SnapshotError {
    fn from(error: io::Error) -> SnapshotError {
        SnapshotError::Unavailable(error)
    }
}

impl From<SnapshotError> for Observation {
    fn from(error: SnapshotError) -> Observation {
        match error {
            SnapshotError::Unusable(reason) => Observation::Unusable(reason),
            SnapshotError::Unavailable(error) => Observation::Unavailable(error),
        }
    }
}

impl Fingerprint {
    fn take(system: &impl FileSystem, path: &Path, kind: Kind) -> Result<Fingerprint, SnapshotError> {
        // Danger: read after the times of the files, the clock would count a pause between the two as rest.
        let taken_at = system.clocks();
        let status = retry_interrupted(|| system.status(path))?;
        let unusable = |reason: &str| SnapshotError::Unusable(format!("{} {reason}", path.display()));
        let mut fingerprint = Fingerprint { files: Vec::new(), newest_change_ns: 0, taken_at };
        match (kind, status.is_directory) {
            (Kind::File, false) => fingerprint.add(path.to_owned(), status),
            (Kind::File, true) => return Err(unusable("is a directory, and a file is expected")),
            (Kind::Directory, false) => return Err(unusable("is a file, and a directory is expected")),
            (Kind::Directory, true) => fingerprint.add_fragments(system, path)?,
        }
        if fingerprint.files.len() > MAX_FILES {
            return Err(unusable(&format!("has more than {MAX_FILES} files")));
        }
        fingerprint.files.sort();
        Ok(fingerprint)
    }

    fn add_fragments(&mut self, system: &impl FileSystem, directory: &Path) -> io::Result<()> {
        for path in retry_interrupted(|| system.entries(directory))? {
            if !is_fragment(&path) {
                continue;
            }
            // If it was removed since the directory was read, the whole directory is looked at once more.
            let status = retry_interrupted(|| system.status(&path))?;
            if status.is_file {
                self.add(path, status);
            }
        }
        Ok(())
    }

    fn add(&mut self, path: PathBuf, status: FileStatus) {
        self.newest_change_ns = self.newest_change_ns.max(status.changed_ns).max(status.modified_ns);
        self.files.push((path, status));
    }

    /// Whether another state cannot look the same. Danger: a write right after the reading, of the same length
    /// and within one tick of the file system's clock. A clock that is ahead of ours proves nothing either.
    ///
    /// Danger: nor does a clock that was set back since: what is written then may get the very times that are
    /// known. So the earliest time that a write since the reading can have got must lie well after the last
    /// known change.
    fn proves_unchanged(&self, now: &Fingerprint) -> bool {
        let set_back_ns = self.taken_at.step_ns_until(now.taken_at).min(0);
        let earliest_write_ns = self.taken_at.wall_ns + set_back_ns;
        let resolution_ns = TIMESTAMP_RESOLUTION.as_nanos() as i128;
        self.files == now.files && self.newest_change_ns + resolution_ns < earliest_write_ns
    }
}

fn is_fragment(path: &Path) -> bool {
    let is_hidden = path.file_name().is_none_or(|name| name.as_encoded_bytes().starts_with(b"."));
    !is_hidden && path.extension().is_some_and(|form| form == "toml" || form == "json")
}

/// Looks, and reads what may differ from `known`.
pub(super) fn observe(
    system: &impl FileSystem,
    path: &Path,
    kind: Kind,
    known: Option<&Fingerprint>,
) -> Observation {
    let mut last = Observation::Unchanged;
    for _ in 0..MAX_ATTEMPTS {
        let snapshot = match observe_once(system, path, kind, known) {
            Observation::Read(snapshot) => snapshot,
            // A rename between two steps: the next attempt finds one or the other.
            Observation::Unavailable(error) => {
                last = Observation::Unavailable(error);
                continue;
            }
            observation => return observation,
        };
        let after = Fingerprint::take(system, path, kind);
        if after.is_ok_and(|after| after.files == snapshot.fingerprint.files) {
            return Observation::Read(snapshot);
        }
        last = Observation::Read(snapshot);
    }
    last
}

fn observe_once(
    system: &impl FileSystem,
    path: &Path,
    kind: Kind,
    known: Option<&Fingerprint>,
) -> Observation {
    let fingerprint = match Fingerprint::take(system, path, kind) {
        Ok(fingerprint) => fingerprint,
        Err(error) => return error.into(),
    };
    if known.is_some_and(|known| known.proves_unchanged(&fingerprint)) {
        return Observation::Unchanged;
    }
    match read_all(system, fingerprint) {
        Ok(snapshot) => Observation::Read(snapshot),
        Err(error) => error.into(),
    }
}

fn read_all(system: &impl FileSystem, fingerprint: Fingerprint) -> Result<FileSnapshot, SnapshotError> {
    let mut texts = Vec::new();
    let mut bytes_left = MAX_TOTAL_BYTES;
    let mut hasher = Xxh3::new();
    for (path, _) in &fingerprint.files {
        let name = path.to_string_lossy().into_owned();
        let mut bytes = Vec::new();
        let content = retry_interrupted(|| system.open(path))?;
        // Goes on over interrupted and short reads by itself.
        content.take(bytes_left + 1).read_to_end(&mut bytes)?;
        let Some(rest) = bytes_left.checked_sub(bytes.len() as u64) else {
            let reason = format!("{name}: more than {MAX_TOTAL_BYTES} bytes in all");
            return Err(SnapshotError::Unusable(reason));
        };
        bytes_left = rest;
        let Ok(text) = String::from_utf8(bytes) else {
            return Err(SnapshotError::Unusable(format!("{name}: is not UTF-8")));
        };
        for part in [&name, &text] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        texts.push((name, text));
    }
    Ok(FileSnapshot { fingerprint, texts, hash: hasher.digest() })
}

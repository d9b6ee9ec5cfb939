//! Reads a consistent snapshot of a file or directory, or reports why this is not possible.
//!
//! The watching task and the command line use it. Its calls block. It keeps no state between two
//! observations, and knows nothing about clusters.

use super::Kind;
use super::file_system::{ClockReading, FileStatus, FileSystem, retry_interrupted};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

#[cfg(test)]
mod tests;

/// The maximum total size of all files, in bytes; enough for some 500,000 endpoints.
const MAX_TOTAL_BYTES: u64 = 64 << 20;
/// The maximum number of files in a directory.
const MAX_FILES: usize = 10_000;
/// Two writes within this time may set the same timestamps. FAT, the coarsest file system in use, has 2 s.
const TIMESTAMP_RESOLUTION: Duration = Duration::from_secs(2);
/// The maximum number of reads of content that keeps changing, before the last one is used.
const MAX_ATTEMPTS: u32 = 3;

/// The state of the files as far as it is known without reading them, to detect changes.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Fingerprint {
    files: Vec<(PathBuf, FileStatus)>,
    /// The last change by the file system's clock, in nanoseconds of Unix time.
    newest_change_ns: i128,
    /// Both clocks, read before the status of any file.
    taken_at: ClockReading,
}

/// The content of a file, or of all fragments of a directory.
#[derive(Debug)]
pub(super) struct FileSnapshot {
    pub fingerprint: Fingerprint,
    /// The name and text of each file.
    pub texts: Vec<(String, String)>,
    /// The hash of all names and texts.
    pub hash: u64,
}

/// The result of an observation.
#[derive(Debug)]
pub(super) enum Observation {
    /// The content is known to be unchanged.
    Unchanged,
    /// The content was read.
    Read(FileSnapshot),
    /// The file or directory exists but cannot be used.
    Unusable(String),
    /// The file or directory does not exist or cannot be read.
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
    fn read(system: &impl FileSystem, path: &Path, kind: Kind) -> Result<Fingerprint, SnapshotError> {
        // The clocks are read first: if read after the status, a pause between would make the files look
        // older.
        let taken_at = system.clocks();
        let status = retry_interrupted(|| system.status(path))?;
        let unusable = |reason: &str| SnapshotError::Unusable(format!("{} {reason}", path.display()));
        let mut fingerprint = Fingerprint { files: Vec::new(), newest_change_ns: 0, taken_at };
        match (kind, status.is_directory) {
            (Kind::File, false) => fingerprint.add(path.to_owned(), status),
            (Kind::File, true) => return Err(unusable("is a directory; a file is expected")),
            (Kind::Directory, false) => return Err(unusable("is a file; a directory is expected")),
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
            // If the file was removed since the directory was read, this fails and the observation is
            // repeated.
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

    /// Returns whether an equal fingerprint `now` proves that the content is unchanged.
    ///
    /// A write of the same length right after the reading may get the same timestamps, within the resolution
    /// of the file system's clock. The same is possible if that clock is ahead of ours, or if the clock was
    /// set back since the reading. The earliest timestamp that a write since the reading can have must
    /// therefore be later than the last known change by more than the resolution.
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

/// Observes a file or directory, and reads it unless it is known to be unchanged since `known`.
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
            // Possibly a rename between two steps; the next attempt finds either the old or the new file.
            Observation::Unavailable(error) => {
                last = Observation::Unavailable(error);
                continue;
            }
            observation => return observation,
        };
        let after = Fingerprint::read(system, path, kind);
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
    let fingerprint = match Fingerprint::read(system, path, kind) {
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
        // `read_to_end` handles interrupted and short reads.
        content.take(bytes_left + 1).read_to_end(&mut bytes)?;
        let Some(rest) = bytes_left.checked_sub(bytes.len() as u64) else {
            let reason = format!("{name}: the files exceed {MAX_TOTAL_BYTES} bytes in total");
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

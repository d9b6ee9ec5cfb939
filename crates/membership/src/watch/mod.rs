//! A source of the catalog that watches a file or a directory, in the documented format
//! ([`file`](crate::file)) or in Envoy's.
//!
//! Changes are detected by file system events and by polling, since network file systems send no events. A
//! blocking thread reads the whole file, which is validated before the catalog gets it. A file that cannot be
//! read or is invalid changes nothing: the last valid content stays in use.
//!
//! `snapshot` reads the state of a file, `validator` derives events and notices from it, and `file_watcher`
//! receives the file system's events. [`run`] is the task that connects them. The proxy starts it for each
//! source of this kind, and reads files with [`read_texts`] for its command line.

#[cfg(test)]
mod fake_file_system;
mod file_system;
mod file_watcher;
mod snapshot;
mod task;
mod validator;

pub use task::run;
pub use validator::Notice;

use crate::endpoint::Cluster;
use crate::names::SourceId;
use snapshot::Observation;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The file or directory to watch, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Watch {
    /// The name of the source.
    pub source: SourceId,
    /// The file or directory.
    pub path: PathBuf,
    /// The expected kind. A directory in place of a file is an error, and vice versa.
    pub kind: Kind,
    /// The polling interval, greater than 0. Polling is independent of file system events.
    pub poll: Duration,
}

/// Whether a file or a directory is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// One file.
    File,
    /// A directory of fragments: all files in it that end in `.toml` or `.json`, except hidden files, whose
    /// names begin with a dot.
    Directory,
}

/// The content of parsed files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Parsed {
    /// The clusters.
    pub clusters: Vec<Cluster>,
    /// Messages about ignored fields, with their positions.
    pub warnings: Vec<String>,
}

/// A parser of the texts of files, each with its file name.
///
/// # Errors
/// Returns a message with all problems and their positions.
pub type Parser = fn(Vec<(String, String)>) -> Result<Parsed, String>;

/// Parses texts in the documented format.
///
/// # Errors
/// Returns a message with all problems and their positions.
pub fn parse_documented(texts: Vec<(String, String)>) -> Result<Parsed, String> {
    let clusters = crate::file::merge_fragments(texts).map_err(|problems| problems.to_string())?;
    Ok(Parsed { clusters, warnings: Vec::new() })
}

/// Parses texts in Envoy's JSON or YAML format ([`xds::file`](crate::xds::file)).
///
/// # Errors
/// Returns a message with all problems and their positions.
#[cfg(feature = "xds")]
pub fn parse_envoy(texts: Vec<(String, String)>) -> Result<Parsed, String> {
    let mut parsed = Parsed::default();
    for (name, text) in texts {
        let resources = crate::xds::file::parse(&name, &text).map_err(|problems| problems.to_string())?;
        parsed.clusters.extend(resources.clusters);
        parsed.warnings.extend(resources.ignored.iter().map(ToString::to_string));
    }
    Ok(parsed)
}

/// Reads a file, or all fragments of a directory. Returns the texts with their file names. Blocks.
///
/// # Errors
/// Returns a message with the reason if a file cannot be read or used.
pub fn read_texts(path: &Path) -> Result<Vec<(String, String)>, String> {
    let kind = if path.is_dir() { Kind::Directory } else { Kind::File };
    match snapshot::observe(&file_system::LocalFileSystem, path, kind, None) {
        Observation::Read(snapshot) => Ok(snapshot.texts),
        Observation::Unavailable(error) => Err(format!("{}: {error}", path.display())),
        Observation::Unusable(reason) => Err(reason),
        Observation::Unchanged => Ok(Vec::new()), // not possible without a known fingerprint
    }
}

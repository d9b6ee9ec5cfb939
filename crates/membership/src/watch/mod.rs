//! Files and directories in the documented form ([`file`](crate::file)) as a source of the catalog.
//!
//! A change is seen by the file system's events, with polling behind them, since network file systems send
//! none. The file is read whole by a thread that may block, and checked before the catalog gets it; what cannot
//! be read or used changes nothing, and the last good content stands.
//!
//! `snapshot` is what a file is at one moment, `validator` what follows from it, `file_watcher` the file system's
//! events, and [`run`] the task around them, which decides nothing. The proxy starts that task for each source of
//! this kind, and reads files through [`read_texts`] for its command line.

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

/// What is watched.
#[derive(Clone, Debug, PartialEq)]
pub struct Watch {
    /// The source that it is.
    pub source: SourceId,
    /// The file or directory.
    pub path: PathBuf,
    /// Which of the two. A directory in the place of a file is a mistake, not another form of it.
    pub kind: Kind,
    /// How often to look whatever the file system tells; over 0.
    pub poll: Duration,
}

/// Whether a file or a directory is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// One file.
    File,
    /// A directory of fragments: all files in it that end in `.toml` or `.json`, but not those whose names
    /// begin with a dot.
    Directory,
}

/// What texts hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Parsed {
    /// The clusters.
    pub clusters: Vec<Cluster>,
    /// What is there and does nothing here, in words with the places.
    pub warnings: Vec<String>,
}

/// From the texts of files, each with its name, to what they hold.
///
/// # Errors
/// All that is wrong, in words with the places.
pub type Parser = fn(Vec<(String, String)>) -> Result<Parsed, String>;

/// Reads texts in the documented form.
///
/// # Errors
/// All that is wrong, in words with the places.
pub fn parse_documented(texts: Vec<(String, String)>) -> Result<Parsed, String> {
    let clusters = crate::file::merge_fragments(texts).map_err(|problems| problems.to_string())?;
    Ok(Parsed { clusters, warnings: Vec::new() })
}

/// Reads texts in Envoy's JSON or YAML form ([`xds::file`](crate::xds::file)).
///
/// # Errors
/// All that is wrong, in words with the places.
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

/// The texts of a file, or of a directory of fragments, as they are now; each with its name. Blocks.
///
/// # Errors
/// Why it cannot be read, in words.
pub fn read_texts(path: &Path) -> Result<Vec<(String, String)>, String> {
    let kind = if path.is_dir() { Kind::Directory } else { Kind::File };
    match snapshot::observe(&file_system::LocalFileSystem, path, kind, None) {
        Observation::Read(snapshot) => Ok(snapshot.texts),
        Observation::Unavailable(error) => Err(format!("{}: {error}", path.display())),
        Observation::Unusable(reason) => Err(reason),
        Observation::Unchanged => Ok(Vec::new()), // compared with nothing, it is never unchanged
    }
}

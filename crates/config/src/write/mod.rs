//! Writes what each proxy reads into a folder. Called by the command line.

mod text;

pub use text::text;

use crate::atomic_file::{ReplaceError, replace};
use std::path::{Path, PathBuf};

/// What a proxy reads, ready to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyFile {
    /// The name of the application: the file is `NAME.toml`.
    pub name: String,
    /// Its contents.
    pub contents: String,
}

/// Writes files into a folder, which is created if need be. Each file is replaced as a whole, and one that
/// has the same contents already is left alone. Returns the paths that were written.
///
/// # Errors
/// The first file that cannot be written, which is as it was before; those before it are in place.
pub fn files(folder: &Path, files: &[ProxyFile]) -> Result<Vec<PathBuf>, ReplaceError> {
    std::fs::create_dir_all(folder).map_err(|error| ReplaceError { path: folder.to_owned(), error })?;
    let mut written = Vec::new();
    for ProxyFile { name, contents } in files {
        let path = folder.join(format!("{name}.toml"));
        if std::fs::read(&path).is_ok_and(|existing| existing == contents.as_bytes()) {
            continue;
        }
        replace(&path, contents.as_bytes())?;
        written.push(path);
    }
    Ok(written)
}

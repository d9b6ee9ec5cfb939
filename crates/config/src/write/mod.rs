//! Writes the generated proxy files into a folder. Used by the command line.

mod text;

pub use text::text;

use crate::atomic_file::{ReplaceError, replace};
use std::path::{Path, PathBuf};

/// A generated proxy file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyFile {
    /// The name of the application; the file name is `NAME.toml`.
    pub name: String,
    /// The contents of the file.
    pub contents: String,
}

/// Writes files into a folder, which is created if need be. Each file is replaced as a whole, and one that
/// has the same contents already is left alone. Returns the paths that were written.
///
/// # Errors
/// Returns the first file that cannot be written. It keeps its old contents; the files before it are written.
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

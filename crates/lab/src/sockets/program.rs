//! Finds the program `olivecart`.

use std::path::{Path, PathBuf};
use std::process::Command;

/// The name of the program and its package.
const NAME: &str = "olivecart";

/// Why the program was not found.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// The named file does not exist.
    #[error("{}: no such file", .0.display())]
    Missing(PathBuf),
    /// The program is not in the directory of this program.
    #[error("{}: no such file; build it, or name another program with --proxy", .0.display())]
    NotBuilt(PathBuf),
    /// The program cannot be built.
    #[error("cargo build --package {NAME} failed: {0}")]
    Build(String),
    /// The path of the running program is unknown.
    #[error("cannot determine the path of this program: {0}")]
    Unknown(std::io::Error),
}

/// When to build the program with cargo. Applies only if cargo started this program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// Always, so that it is as recent as this program.
    Always,
    /// If it does not exist.
    IfMissing,
}

/// Returns the named program, or the one in the directory of this program, built by cargo if necessary.
///
/// # Errors
/// The program does not exist or cannot be built.
pub fn find(named: Option<&Path>, build: Build) -> Result<PathBuf, ProgramError> {
    if let Some(path) = named {
        let is_there = path.is_file();
        return is_there.then(|| path.to_owned()).ok_or_else(|| ProgramError::Missing(path.to_owned()));
    }
    let this = std::env::current_exe().map_err(ProgramError::Unknown)?;
    let beside = folder(&this).join(NAME);
    let cargo = (std::env::var_os("CARGO"), std::env::var_os("CARGO_MANIFEST_DIR"));
    if let (Some(cargo), Some(package)) = cargo
        && (build == Build::Always || !beside.is_file())
    {
        let mut command = Command::new(cargo);
        command.args(["build", "--quiet", "--package", NAME, "--profile", profile(&beside)]);
        let ended = command.current_dir(package).status().map_err(|e| ProgramError::Build(e.to_string()))?;
        if !ended.success() {
            return Err(ProgramError::Build(ended.to_string()));
        }
    }
    if beside.is_file() { Ok(beside) } else { Err(ProgramError::NotBuilt(beside)) }
}

/// Returns the directory into which cargo puts programs. Tests and examples are in a subdirectory of it.
fn folder(this: &Path) -> PathBuf {
    let own = this.parent().unwrap_or(Path::new(""));
    let is_below = own.file_name().is_some_and(|name| name == "deps" || name == "examples");
    own.parent().filter(|_| is_below).unwrap_or(own).to_owned()
}

/// Returns the cargo profile whose output directory contains a program.
fn profile(program: &Path) -> &str {
    let folder = program.parent().and_then(Path::file_name).and_then(|name| name.to_str());
    match folder {
        None | Some("debug") => "dev",
        Some(profile) => profile,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn program_is_expected_in_the_same_profile_directory() {
        for (this, folder_is, profile_is) in [
            ("/w/target/release/olivecart-lab", "/w/target/release", "release"),
            ("/w/target/debug/deps/sockets-1f", "/w/target/debug", "dev"),
            ("/w/target/debug/examples/overhead", "/w/target/debug", "dev"),
        ] {
            let folder = folder(Path::new(this));
            assert_eq!((folder.to_str(), profile(&folder.join(NAME))), (Some(folder_is), profile_is));
        }
        let nowhere = find(Some(Path::new("/nowhere/olivecart")), Build::Always).unwrap_err();
        assert_eq!(nowhere.to_string(), "/nowhere/olivecart: no such file");
    }
}

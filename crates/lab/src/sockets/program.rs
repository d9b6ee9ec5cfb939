//! Where the program `olivecart` is.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Its name.
const NAME: &str = "olivecart";

/// Why there is no program.
#[derive(Debug, thiserror::Error)]
pub enum NoProgram {
    /// What was named is not there.
    #[error("{}: there is no such file", .0.display())]
    NotThere(PathBuf),
    /// It is not beside this program.
    #[error("{}: not there; build it, or name another with --proxy", .0.display())]
    NotBeside(PathBuf),
    /// It cannot be built.
    #[error("cargo build --package {NAME}: {0}")]
    Build(String),
    /// This program does not know where it is itself.
    #[error("the path of this program: {0}")]
    Unknown(std::io::Error),
}

/// When cargo is asked to build the program: only where cargo has started this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// Always, so that it is as new as this one.
    Always,
    /// If it is not there.
    IfMissing,
}

/// The program that was named, or the one beside this one, built by cargo if need be.
///
/// # Errors
/// It is not there, or cannot be built.
pub fn find(named: Option<&Path>, build: Build) -> Result<PathBuf, NoProgram> {
    if let Some(path) = named {
        let is_there = path.is_file();
        return is_there.then(|| path.to_owned()).ok_or_else(|| NoProgram::NotThere(path.to_owned()));
    }
    let this = std::env::current_exe().map_err(NoProgram::Unknown)?;
    let beside = folder(&this).join(NAME);
    let cargo = (std::env::var_os("CARGO"), std::env::var_os("CARGO_MANIFEST_DIR"));
    if let (Some(cargo), Some(package)) = cargo
        && (build == Build::Always || !beside.is_file())
    {
        let mut command = Command::new(cargo);
        command.args(["build", "--quiet", "--package", NAME, "--profile", profile(&beside)]);
        let ended = command.current_dir(package).status().map_err(|e| NoProgram::Build(e.to_string()))?;
        if !ended.success() {
            return Err(NoProgram::Build(ended.to_string()));
        }
    }
    if beside.is_file() { Ok(beside) } else { Err(NoProgram::NotBeside(beside)) }
}

/// The folder that cargo puts programs into; tests and examples are in one below it.
fn folder(this: &Path) -> PathBuf {
    let own = this.parent().unwrap_or(Path::new(""));
    let is_below = own.file_name().is_some_and(|name| name == "deps" || name == "examples");
    own.parent().filter(|_| is_below).unwrap_or(own).to_owned()
}

/// The profile that cargo builds into a folder.
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
    fn it_is_looked_for_beside_this_program_and_built_alike() {
        for (this, folder_is, profile_is) in [
            ("/w/target/release/olivecart-lab", "/w/target/release", "release"),
            ("/w/target/debug/deps/sockets-1f", "/w/target/debug", "dev"),
            ("/w/target/debug/examples/overhead", "/w/target/debug", "dev"),
        ] {
            let folder = folder(Path::new(this));
            assert_eq!((folder.to_str(), profile(&folder.join(NAME))), (Some(folder_is), profile_is));
        }
        let nowhere = find(Some(Path::new("/nowhere/olivecart")), Build::Always).unwrap_err();
        assert_eq!(nowhere.to_string(), "/nowhere/olivecart: there is no such file");
    }
}

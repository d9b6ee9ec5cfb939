//! Tools for those who write lists of endpoints: what a file amounts to, and what replacing one by another would
//! change in service. They start nothing, and are read and checked by the same code as in service.

use argh::FromArgs;
use olivecart_membership::{Cluster, Held, Policy, diff, held, summary, watch};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// All is well; something was found; something could not be read.
const FINE: u8 = 0;
const FOUND: u8 = 1;
const TROUBLE: u8 = 2;

/// Look at lists of endpoints: files in the documented form, or directories of them.
#[derive(FromArgs)]
#[argh(subcommand, name = "catalog")]
pub struct Catalog {
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Check(Check),
    Diff(Diff),
}

/// Say what each file amounts to, or what is wrong with it and where. Ends with 0 if all could be served, 1 if
/// something is wrong or would be held back, 2 if one could not be read.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// files and directories
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Say what would change in service if NEW took the place of OLD, and what of it would be held back. Ends with 0
/// if nothing differs, 1 if something does, 2 if either cannot be used.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// what serves
    #[argh(positional)]
    old: PathBuf,
    /// what shall serve
    #[argh(positional)]
    new: PathBuf,
}

/// Does what the command line asks for.
pub fn run(catalog: Catalog) -> ExitCode {
    let code = match catalog.what {
        What::Check(Check { files }) if files.is_empty() => {
            eprintln!("olivecart: catalog check: no file is given");
            TROUBLE
        }
        What::Check(Check { files }) => files.iter().map(|file| check(file)).max().unwrap_or(FINE),
        What::Diff(Diff { old, new }) => compare(&old, &new),
    };
    ExitCode::from(code)
}

/// What is wrong with a file, and how bad that is.
struct Wrong(u8, String);

fn read(path: &Path) -> Result<Vec<Cluster>, Wrong> {
    let texts = watch::texts(path).map_err(|why| Wrong(TROUBLE, why))?;
    watch::documented(texts).map_err(|why| Wrong(FOUND, why))
}

fn check(path: &Path) -> u8 {
    match read(path) {
        Ok(clusters) => {
            println!("{}: {}", path.display(), summary(&clusters));
            let held = held_back(&[], &clusters);
            held.iter().for_each(|held| println!("would be held back: {held}"));
            if held.is_empty() { FINE } else { FOUND }
        }
        Err(Wrong(code, why)) => {
            eprintln!("{why}");
            code
        }
    }
}

fn compare(old: &Path, new: &Path) -> u8 {
    let (old, new) = match (read(old), read(new)) {
        (Ok(old), Ok(new)) => (old, new),
        (old, new) => {
            let wrong = [old.err(), new.err()];
            wrong.iter().flatten().for_each(|Wrong(_, why)| eprintln!("{why}"));
            return TROUBLE;
        }
    };
    let differences = diff(&old, &new);
    differences.iter().for_each(|difference| println!("{difference}"));
    held_back(&old, &new).iter().for_each(|held| println!("would be held back: {held}"));
    if differences.is_empty() { FINE } else { FOUND }
}

/// What a catalog with the usual figures would hold back.
fn held_back(old: &[Cluster], new: &[Cluster]) -> Vec<Held> {
    held(old, new, Policy::default()).unwrap_or_default() // the usual figures are in their ranges
}

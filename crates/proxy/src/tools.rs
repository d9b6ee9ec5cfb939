//! The `olivecart catalog` commands: check files with endpoint lists, and show what replacing one by another
//! would change. The commands start nothing. They parse and validate files with the same code as the running
//! proxy.

use argh::FromArgs;
use olivecart_membership::watch::{self, Parsed, Parser};
use olivecart_membership::xds::resource::markdown;
use olivecart_membership::{Cluster, Policy, Quarantined, diff, quarantined_changes, summary};
use serde::de::IgnoredAny;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;

/// Exit codes: no findings; errors or differences were found; a file could not be read.
const EXIT_SUCCESS: u8 = 0;
const EXIT_FOUND: u8 = 1;
const EXIT_FAILURE: u8 = 2;

/// Check and compare endpoint lists: files in the documented format, directories of them, or files of
/// Envoy resources.
#[derive(FromArgs)]
#[argh(subcommand, name = "catalog")]
pub struct Catalog {
    #[argh(subcommand)]
    command: CatalogCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum CatalogCommand {
    Check(Check),
    Diff(Diff),
    Fields(Fields),
}

/// Print a summary of each file, or its errors with their locations. Exits with 0 if all files are valid, 1
/// if a file has errors or a change would be quarantined, 2 if a file could not be read.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// files and directories
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// documented or envoy; by default detected from the file's name and keys
    #[argh(option)]
    form: Option<Format>,
}

/// Print what would change if NEW replaced OLD, and which changes would be quarantined. Exits with 0 if
/// nothing differs, 1 if something differs, 2 if either file cannot be read or has errors.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// file that is in service
    #[argh(positional)]
    old: PathBuf,
    /// file that would replace it
    #[argh(positional)]
    new: PathBuf,
    /// documented or envoy; by default detected from each file's name and keys
    #[argh(option)]
    form: Option<Format>,
}

/// Print which fields of Envoy resources are honoured, refused and ignored, as a Markdown table.
#[derive(FromArgs)]
#[argh(subcommand, name = "fields")]
struct Fields {}

/// Runs the command and returns its exit code.
pub fn run(catalog: Catalog) -> ExitCode {
    let code = match catalog.command {
        CatalogCommand::Check(Check { files, .. }) if files.is_empty() => {
            eprintln!("olivecart: catalog check: no file is given");
            EXIT_FAILURE
        }
        CatalogCommand::Check(Check { files, form }) => {
            files.iter().map(|file| check_file(file, form)).max().unwrap_or(EXIT_SUCCESS)
        }
        CatalogCommand::Fields(Fields {}) => {
            print!("{}", markdown());
            EXIT_SUCCESS
        }
        CatalogCommand::Diff(Diff { old, new, form }) => print_diff(&old, &new, form),
    };
    ExitCode::from(code)
}

/// The exit code and message for a file that cannot be used.
struct FileError(u8, String);

/// The formats of endpoint lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Format {
    /// The documented format, in TOML or JSON.
    Documented,
    /// Envoy resources, in JSON or YAML.
    Envoy,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(word: &str) -> Result<Format, String> {
        match word {
            "documented" => Ok(Format::Documented),
            "envoy" => Ok(Format::Envoy),
            _ => Err(format!("{word:?} is neither \"documented\" nor \"envoy\"")),
        }
    }
}

impl Format {
    /// Detects the format of a file: YAML, and JSON with the top-level keys of Envoy's files, are Envoy
    /// resources.
    fn detect(texts: &[(String, String)]) -> Format {
        let [(name, text)] = texts else { return Format::Documented };
        let has_extension = |end: &str| name.ends_with(end);
        let keys = || serde_json::from_str::<BTreeMap<String, IgnoredAny>>(text).unwrap_or_default();
        let has_envoy_keys = || keys().keys().any(|key| key == "resources" || key == "static_resources");
        match has_extension(".yaml") || has_extension(".yml") || (has_extension(".json") && has_envoy_keys())
        {
            true => Format::Envoy,
            false => Format::Documented,
        }
    }

    fn parser(self) -> Parser {
        match self {
            Format::Documented => watch::parse_documented,
            Format::Envoy => watch::parse_envoy,
        }
    }
}

fn read_file(path: &Path, form: Option<Format>) -> Result<Parsed, FileError> {
    let texts = watch::read_texts(path).map_err(|message| FileError(EXIT_FAILURE, message))?;
    let parse = form.unwrap_or_else(|| Format::detect(&texts)).parser();
    parse(texts).map_err(|message| FileError(EXIT_FOUND, message))
}

fn check_file(path: &Path, form: Option<Format>) -> u8 {
    match read_file(path, form) {
        Ok(Parsed { clusters, warnings }) => {
            println!("{}: {}", path.display(), summary(&clusters));
            warnings.iter().for_each(|warning| println!("{warning}"));
            let changes = find_quarantined(&[], &clusters);
            changes.iter().for_each(|change| println!("would be quarantined: {change}"));
            if changes.is_empty() { EXIT_SUCCESS } else { EXIT_FOUND }
        }
        Err(FileError(code, message)) => {
            eprintln!("{message}");
            code
        }
    }
}

fn print_diff(old: &Path, new: &Path, form: Option<Format>) -> u8 {
    let (old, new) = match (read_file(old, form), read_file(new, form)) {
        (Ok(old), Ok(new)) => (old.clusters, new.clusters),
        (old, new) => {
            let errors = [old.err(), new.err()];
            errors.iter().flatten().for_each(|FileError(_, message)| eprintln!("{message}"));
            return EXIT_FAILURE;
        }
    };
    let differences = diff(&old, &new);
    differences.iter().for_each(|difference| println!("{difference}"));
    find_quarantined(&old, &new).iter().for_each(|change| println!("would be quarantined: {change}"));
    if differences.is_empty() { EXIT_SUCCESS } else { EXIT_FOUND }
}

/// Returns the changes that a catalog with the default policy would quarantine.
fn find_quarantined(old: &[Cluster], new: &[Cluster]) -> Vec<Quarantined> {
    quarantined_changes(old, new, Policy::default()).unwrap_or_default() // the default policy is valid
}

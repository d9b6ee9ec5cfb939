//! Tools for those who write lists of endpoints: what a file amounts to, and what replacing one by another would
//! change in service. They start nothing, and are read and checked by the same code as in service.

use argh::FromArgs;
use olivecart_membership::watch::{self, Parsed, Parser};
use olivecart_membership::xds::resource::markdown;
use olivecart_membership::{Cluster, Policy, Quarantined, diff, quarantined_changes, summary};
use serde::de::IgnoredAny;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;

/// All is well; something was found; something could not be read.
const FINE: u8 = 0;
const FOUND: u8 = 1;
const TROUBLE: u8 = 2;

/// Look at lists of endpoints: files in the documented form, directories of them, or Envoy's resources.
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
    Fields(Fields),
}

/// Say what each file amounts to, or what is wrong with it and where. Ends with 0 if all could be served, 1 if
/// something is wrong or would be held back, 2 if one could not be read.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// files and directories
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// documented or envoy; by default what the file's name and keys say
    #[argh(option)]
    form: Option<Form>,
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
    /// documented or envoy; by default what each file's name and keys say
    #[argh(option)]
    form: Option<Form>,
}

/// Print what of Envoy's resources is honoured, refused and ignored, as a table in Markdown.
#[derive(FromArgs)]
#[argh(subcommand, name = "fields")]
struct Fields {}

/// Does what the command line asks for.
pub fn run(catalog: Catalog) -> ExitCode {
    let code = match catalog.what {
        What::Check(Check { files, .. }) if files.is_empty() => {
            eprintln!("olivecart: catalog check: no file is given");
            TROUBLE
        }
        What::Check(Check { files, form }) => {
            files.iter().map(|file| check(file, form)).max().unwrap_or(FINE)
        }
        What::Fields(Fields {}) => {
            print!("{}", markdown());
            FINE
        }
        What::Diff(Diff { old, new, form }) => compare(&old, &new, form),
    };
    ExitCode::from(code)
}

/// What is wrong with a file, and how bad that is.
struct Wrong(u8, String);

/// The forms in which lists are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// Our own, TOML or JSON.
    Documented,
    /// Envoy's resources, JSON or YAML.
    Envoy,
}

impl FromStr for Form {
    type Err = String;

    fn from_str(word: &str) -> Result<Form, String> {
        match word {
            "documented" => Ok(Form::Documented),
            "envoy" => Ok(Form::Envoy),
            _ => Err(format!("{word:?} is neither \"documented\" nor \"envoy\"")),
        }
    }
}

impl Form {
    /// The form that a file seems to have: YAML is Envoy's, and so is JSON that has the keys of its files.
    fn of(texts: &[(String, String)]) -> Form {
        let [(name, text)] = texts else { return Form::Documented };
        let is = |end: &str| name.ends_with(end);
        let keys = || serde_json::from_str::<BTreeMap<String, IgnoredAny>>(text).unwrap_or_default();
        let has_its_keys = || keys().keys().any(|key| key == "resources" || key == "static_resources");
        match is(".yaml") || is(".yml") || (is(".json") && has_its_keys()) {
            true => Form::Envoy,
            false => Form::Documented,
        }
    }

    fn parser(self) -> Parser {
        match self {
            Form::Documented => watch::parse_documented,
            Form::Envoy => watch::parse_envoy,
        }
    }
}

fn read(path: &Path, form: Option<Form>) -> Result<Parsed, Wrong> {
    let texts = watch::read_texts(path).map_err(|why| Wrong(TROUBLE, why))?;
    let parse = form.unwrap_or_else(|| Form::of(&texts)).parser();
    parse(texts).map_err(|why| Wrong(FOUND, why))
}

fn check(path: &Path, form: Option<Form>) -> u8 {
    match read(path, form) {
        Ok(Parsed { clusters, warnings }) => {
            println!("{}: {}", path.display(), summary(&clusters));
            warnings.iter().for_each(|warning| println!("{warning}"));
            let held = quarantined(&[], &clusters);
            held.iter().for_each(|held| println!("would be held back: {held}"));
            if held.is_empty() { FINE } else { FOUND }
        }
        Err(Wrong(code, why)) => {
            eprintln!("{why}");
            code
        }
    }
}

fn compare(old: &Path, new: &Path, form: Option<Form>) -> u8 {
    let (old, new) = match (read(old, form), read(new, form)) {
        (Ok(old), Ok(new)) => (old.clusters, new.clusters),
        (old, new) => {
            let wrong = [old.err(), new.err()];
            wrong.iter().flatten().for_each(|Wrong(_, why)| eprintln!("{why}"));
            return TROUBLE;
        }
    };
    let differences = diff(&old, &new);
    differences.iter().for_each(|difference| println!("{difference}"));
    quarantined(&old, &new).iter().for_each(|held| println!("would be held back: {held}"));
    if differences.is_empty() { FINE } else { FOUND }
}

/// What a catalog with the usual figures would hold back.
fn quarantined(old: &[Cluster], new: &[Cluster]) -> Vec<Quarantined> {
    quarantined_changes(old, new, Policy::default()).unwrap_or_default() // the usual figures are in their ranges
}

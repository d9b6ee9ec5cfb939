//! The tool that writes, checks and explains applications' configurations. It starts nothing.

use argh::FromArgs;
use olivecart_config::check::check;
use olivecart_config::diff::{Difference, diff};
use olivecart_config::document::instead;
use olivecart_config::explain::{explain, reference};
use olivecart_config::load::Loaded;
use olivecart_config::plan::{Budget, plan};
use olivecart_config::report::{Findings, json, sarif, text};
use olivecart_config::resolve::{Environment, Resolved, VARIABLE};
use olivecart_config::types::Kind;
use olivecart_config::{atomic_file, graph, schema, write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;

/// All is well; something was found; the call is unusable.
const FINE: u8 = 0;
const FOUND: u8 = 1;
const UNUSABLE: u8 = 2;

/// Write, check and explain the configuration of a fleet's applications.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub struct Config {
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Write(Write),
    Check(Check),
    Explain(Explain),
    Show(Show),
    Diff(Diff),
    Plan(Plan),
    Graph(Graph),
    Schema(Schema),
    Reference(Reference),
}

/// Write what each application's proxy reads; nothing if anything is wrong. Ends with 0, 1 if something is wrong, 2 if the
/// call is unusable or a file cannot be written.
#[derive(FromArgs)]
#[argh(subcommand, name = "write")]
struct Write {
    /// the fleet's file
    #[argh(positional)]
    fleet: PathBuf,
    /// only this application's
    #[argh(option)]
    app: Option<String>,
    /// directory for the files, each NAME.toml
    #[argh(option)]
    out: PathBuf,
}

/// Say all that is wrong with files; a fleet's file brings its applications. Ends with 0, 1 if there are errors, 2 if the
/// call is unusable.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// files, whose kind they say themselves
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// text (default), json or sarif
    #[argh(option, default = "Format::Text")]
    format: Format,
    /// end with 1 for warnings too
    #[argh(switch)]
    strict: bool,
}

/// Say what a code (OC0202) or a key (settings.attempts) means.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// code or key
    #[argh(positional)]
    name: String,
}

/// Print what is in force: for each application of a fleet, or for what one proxy reads, with the environment applied.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// the file
    #[argh(positional)]
    file: PathBuf,
    /// only this application's
    #[argh(option)]
    app: Option<String>,
    /// say behind each value where it came from
    #[argh(switch)]
    origin: bool,
}

/// Say what would change in service if NEW took the place of OLD: live, at a restart, and what is dangerous on the way.
/// Ends with 0 if nothing differs, 1 if something does, 2 if either is wrong.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// what serves: a fleet, or what one proxy reads
    #[argh(positional)]
    old: PathBuf,
    /// what shall serve
    #[argh(positional)]
    new: PathBuf,
}

/// Say in which order applications must take a change of the fleet, so that no step in between breaks a rule of the
/// check. Ends with 0, 1 if there is no such order, 2 if either fleet is wrong.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct Plan {
    /// the fleet that serves
    #[argh(positional)]
    old: PathBuf,
    /// the fleet that shall serve
    #[argh(positional)]
    new: PathBuf,
}

/// Print who calls whom, with deadlines and the attempts that one request may come to.
#[derive(FromArgs)]
#[argh(subcommand, name = "graph")]
struct Graph {
    /// the fleet's file
    #[argh(positional)]
    fleet: PathBuf,
    /// write a picture (SVG) to this file instead
    #[argh(option)]
    svg: Option<PathBuf>,
}

/// Print the JSON Schema of a kind of files: fleet, application or proxy.
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
struct Schema {
    /// the kind
    #[argh(positional)]
    kind: String,
}

/// Print the reference of all keys and codes, in Markdown.
#[derive(FromArgs)]
#[argh(subcommand, name = "reference")]
struct Reference {}

/// How findings are told.
enum Format {
    Text,
    Json,
    Sarif,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(word: &str) -> Result<Format, String> {
        match word {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            "sarif" => Ok(Format::Sarif),
            _ => Err(format!("{word:?} is none of text, json and sarif")),
        }
    }
}

/// Does what the command line asks for.
pub fn run(config: Config) -> ExitCode {
    let done = match config.what {
        What::Write(command) => command.run(),
        What::Check(command) => command.run(),
        What::Explain(Explain { name }) => explain(&name).map(|text| say(&text)).map_err(Failed::Unusable),
        What::Show(command) => command.run(),
        What::Diff(command) => command.run(),
        What::Plan(command) => command.run(),
        What::Graph(command) => command.run(),
        What::Schema(Schema { kind }) => kind_of(&kind).map(|kind| say(&schema::text(kind))),
        What::Reference(Reference {}) => Ok(say(&reference())),
    };
    ExitCode::from(match done {
        Ok(code) => code,
        Err(Failed::Found(findings)) => {
            eprint!("{}", text(&findings));
            FOUND
        }
        Err(Failed::Unusable(why)) => {
            eprintln!("olivecart: config: {why}");
            UNUSABLE
        }
    })
}

/// Why a command came to nothing.
enum Failed {
    Found(Findings),
    Unusable(String),
}

fn say(text: &str) -> u8 {
    print!("{text}");
    FINE
}

/// What the environment sets.
pub fn environment() -> Environment {
    let set = std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)));
    let mut set: Environment = set.filter(|(name, _)| name.starts_with(VARIABLE)).collect();
    set.sort();
    set
}

/// Reads and judges one file; what is wrong with it ends the command, warnings are said.
fn good(path: &Path, environment: &Environment) -> Result<(Loaded, Vec<Resolved>), Failed> {
    let loaded = Loaded::read(path);
    let (resolved, findings) = check(&loaded, environment);
    if findings.has_errors() {
        return Err(Failed::Found(findings));
    }
    eprint!("{}", text(&findings));
    Ok((loaded, resolved))
}

/// Those of one application, or all.
fn only(resolved: Vec<Resolved>, app: Option<&str>) -> Result<Vec<Resolved>, Failed> {
    let Some(app) = app else { return Ok(resolved) };
    let names: Vec<&str> = resolved.iter().map(|one| one.proxy.name.as_str()).collect();
    if !names.contains(&app) {
        let known = instead(app, names);
        return Err(Failed::Unusable(format!("there is no application {app:?}: {known}")));
    }
    Ok(resolved.into_iter().filter(|one| one.proxy.name == app).collect())
}

impl Write {
    fn run(self) -> Result<u8, Failed> {
        let (loaded, resolved) = good(&self.fleet, &Vec::new())?;
        let resolved = only(resolved, self.app.as_deref())?;
        let texts: Vec<(String, String)> =
            resolved.iter().map(|one| (one.proxy.name.clone(), write::text(one, &loaded.sources))).collect();
        let written = write::files(&self.out, &texts).map_err(|e| Failed::Unusable(e.to_string()))?;
        println!("{} of {} files written to {}", written.len(), texts.len(), self.out.display());
        Ok(FINE)
    }
}

impl Check {
    fn run(self) -> Result<u8, Failed> {
        if self.files.is_empty() {
            return Err(Failed::Unusable("check: no file is given".into()));
        }
        let mut loaded = Loaded::default();
        self.files.iter().for_each(|path| loaded.add(path));
        let (resolved, findings) = check(&loaded, &environment());
        match self.format {
            Format::Text => eprint!("{}", text(&findings)),
            Format::Json => print!("{}", json(&findings)),
            Format::Sarif => print!("{}", sarif(&findings)),
        }
        if matches!(self.format, Format::Text) && !findings.has_errors() {
            println!("{} proxies in {} files are good", resolved.len(), loaded.sources.len());
        }
        let bad = findings.has_errors() || (self.strict && !findings.all().is_empty());
        Ok(if bad { FOUND } else { FINE })
    }
}

impl Show {
    fn run(self) -> Result<u8, Failed> {
        let (loaded, resolved) = good(&self.file, &environment())?;
        for one in only(resolved, self.app.as_deref())? {
            let text = write::text(&one, &loaded.sources);
            // Where a value came from stands behind it, after the last `#` that no string holds.
            let bare = |line: &str| line.split("  # ").next().unwrap_or(line).trim_end().to_owned();
            for line in text.lines().skip(2) {
                println!("{}", if self.origin { line.to_owned() } else { bare(line) });
            }
        }
        Ok(FINE)
    }
}

impl Diff {
    fn run(self) -> Result<u8, Failed> {
        let differences = match (good(&self.old, &Vec::new()), good(&self.new, &Vec::new())) {
            (Ok((_, old)), Ok((_, new))) => diff(&old, &new),
            (old, new) => return unusable([old.err(), new.err()]),
        };
        differences.iter().for_each(|difference: &Difference| println!("{difference}"));
        Ok(if differences.is_empty() { FINE } else { FOUND })
    }
}

impl Plan {
    fn run(self) -> Result<u8, Failed> {
        let ((old, before), (new, after)) = match (good(&self.old, &Vec::new()), good(&self.new, &Vec::new()))
        {
            (Ok(old), Ok(new)) => (old, new),
            (old, new) => return unusable([old.err(), new.err()]),
        };
        let (Some(old), Some(new)) = (Budget::of(&old), Budget::of(&new)) else {
            return Err(Failed::Unusable("plan: both files must be fleets".into()));
        };
        match plan(&before, &after, old.either(new)) {
            Ok(plan) => Ok(say(&plan.to_string())),
            Err(none) => {
                eprintln!("there is no order: {none}");
                Ok(FOUND)
            }
        }
    }
}

/// Both files have to be good; what is wrong with either is said.
fn unusable(failed: [Option<Failed>; 2]) -> Result<u8, Failed> {
    for failed in failed.into_iter().flatten() {
        match failed {
            Failed::Found(findings) => eprint!("{}", text(&findings)),
            Failed::Unusable(why) => eprintln!("olivecart: config: {why}"),
        }
    }
    Ok(UNUSABLE)
}

impl Graph {
    fn run(self) -> Result<u8, Failed> {
        let (loaded, resolved) = good(&self.fleet, &Vec::new())?;
        let tries = loaded.fleet.as_ref().and_then(|(_, fleet)| fleet.budget.client_tries).unwrap_or(1);
        match self.svg {
            None => Ok(say(&graph::text(&resolved, tries))),
            Some(path) => {
                let picture = graph::svg(&resolved, tries);
                let written = atomic_file::replace(&path, picture.as_bytes());
                written.map(|()| FINE).map_err(|e| Failed::Unusable(e.to_string()))
            }
        }
    }
}

fn kind_of(word: &str) -> Result<Kind, Failed> {
    let names = Kind::ALL.map(Kind::name);
    let found = Kind::ALL.into_iter().find(|kind| kind.name() == word);
    found.ok_or_else(|| Failed::Unusable(format!("there is no kind {word:?}: {}", instead(word, names))))
}

//! The arguments of `olivecart config`. The doc comments are what `--help` prints.

use argh::FromArgs;
use std::path::PathBuf;
use std::str::FromStr;

/// Write, check and explain the configuration of a fleet's applications.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub struct Config {
    #[argh(subcommand)]
    pub(super) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(super) enum Command {
    Write(WriteCommand),
    Check(CheckCommand),
    Explain(ExplainCommand),
    Show(ShowCommand),
    Diff(DiffCommand),
    Plan(PlanCommand),
    Graph(GraphCommand),
    Schema(SchemaCommand),
    Reference(ReferenceCommand),
}

/// Write what each application's proxy reads; nothing if anything is wrong. Ends with 0, 1 if something is wrong, 2 if the
/// call is unusable or a file cannot be written.
#[derive(FromArgs)]
#[argh(subcommand, name = "write")]
pub(super) struct WriteCommand {
    /// the fleet's file
    #[argh(positional)]
    pub(super) fleet: PathBuf,
    /// only this application's
    #[argh(option)]
    pub(super) app: Option<String>,
    /// directory for the files, each NAME.toml
    #[argh(option)]
    pub(super) out: PathBuf,
}

/// Say all that is wrong with files; a fleet's file brings its applications. Ends with 0, 1 if there are errors, 2 if the
/// call is unusable.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(super) struct CheckCommand {
    /// files, whose kind they say themselves
    #[argh(positional)]
    pub(super) files: Vec<PathBuf>,
    /// text (default), json or sarif
    #[argh(option, default = "Format::Text")]
    pub(super) format: Format,
    /// end with 1 for warnings too
    #[argh(switch)]
    pub(super) strict: bool,
}

/// Say what a code (OC0202) or a key (settings.attempts) means.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(super) struct ExplainCommand {
    /// code or key
    #[argh(positional)]
    pub(super) name: String,
}

/// Print what is in force: for each application of a fleet, or for what one proxy reads, with the environment applied.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(super) struct ShowCommand {
    /// the file
    #[argh(positional)]
    pub(super) file: PathBuf,
    /// only this application's
    #[argh(option)]
    pub(super) app: Option<String>,
    /// say behind each value where it came from
    #[argh(switch)]
    pub(super) origin: bool,
}

/// Say what would change in service if NEW took the place of OLD: live, at a restart, and what is dangerous on the way.
/// Ends with 0 if nothing differs, 1 if something does, 2 if either is wrong.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(super) struct DiffCommand {
    /// what serves: a fleet, or what one proxy reads
    #[argh(positional)]
    pub(super) old: PathBuf,
    /// what shall serve
    #[argh(positional)]
    pub(super) new: PathBuf,
}

/// Say in which order applications must take a change of the fleet, so that no step in between breaks a rule of the
/// check. Ends with 0, 1 if there is no such order, 2 if either fleet is wrong.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub(super) struct PlanCommand {
    /// the fleet that serves
    #[argh(positional)]
    pub(super) old: PathBuf,
    /// the fleet that shall serve
    #[argh(positional)]
    pub(super) new: PathBuf,
}

/// Print who calls whom, with deadlines and the attempts that one request may come to.
#[derive(FromArgs)]
#[argh(subcommand, name = "graph")]
pub(super) struct GraphCommand {
    /// the fleet's file
    #[argh(positional)]
    pub(super) fleet: PathBuf,
    /// write a picture (SVG) to this file instead
    #[argh(option)]
    pub(super) svg: Option<PathBuf>,
}

/// Print the JSON Schema of a kind of files: fleet, application or proxy.
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
pub(super) struct SchemaCommand {
    /// the kind
    #[argh(positional)]
    pub(super) kind: String,
}

/// Print the reference of all keys and codes, in Markdown.
#[derive(FromArgs)]
#[argh(subcommand, name = "reference")]
pub(super) struct ReferenceCommand {}

/// How findings are printed.
pub(super) enum Format {
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

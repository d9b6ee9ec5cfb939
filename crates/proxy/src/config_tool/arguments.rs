//! The arguments of `olivecart config`. `--help` prints their doc comments.

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

/// Write the configuration file of each application's proxy, or none if there are errors. Exits with 0 on
/// success, 1 if there are errors, 2 if the arguments are invalid or a file cannot be written.
#[derive(FromArgs)]
#[argh(subcommand, name = "write")]
pub(super) struct WriteCommand {
    /// fleet's file
    #[argh(positional)]
    pub(super) fleet: PathBuf,
    /// only the proxy of this application
    #[argh(option)]
    pub(super) app: Option<String>,
    /// directory for the files, each NAME.toml
    #[argh(option)]
    pub(super) out: PathBuf,
}

/// Check files and print all errors. A fleet's file includes its applications. Exits with 0 if all files are
/// valid, 1 if there are errors, 2 if the arguments are invalid.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(super) struct CheckCommand {
    /// files of any kind; each file declares its kind
    #[argh(positional)]
    pub(super) files: Vec<PathBuf>,
    /// text (default), json or sarif
    #[argh(option, default = "Format::Text")]
    pub(super) format: Format,
    /// exit with 1 also if there are warnings
    #[argh(switch)]
    pub(super) strict: bool,
}

/// Explain a code (OC0202) or a key (settings.attempts).
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(super) struct ExplainCommand {
    /// code or key
    #[argh(positional)]
    pub(super) name: String,
}

/// Print the effective configuration of each application of a fleet, or of one proxy, with the environment
/// applied.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(super) struct ShowCommand {
    /// file of a fleet or of one proxy
    #[argh(positional)]
    pub(super) file: PathBuf,
    /// only the proxy of this application
    #[argh(option)]
    pub(super) app: Option<String>,
    /// print the origin of each value
    #[argh(switch)]
    pub(super) origin: bool,
}

/// Print what would change if NEW replaced OLD: at run time, at a restart, and which changes are dangerous on
/// the way. Exits with 0 if nothing differs, 1 if something differs, 2 if either file has errors.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(super) struct DiffCommand {
    /// configuration that is in service: of a fleet or of one proxy
    #[argh(positional)]
    pub(super) old: PathBuf,
    /// configuration that would replace it
    #[argh(positional)]
    pub(super) new: PathBuf,
}

/// Print an order in which applications can adopt a change of the fleet, so that every step in between passes
/// the check. Exits with 0 if there is such an order, 1 if there is none, 2 if either fleet has errors.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub(super) struct PlanCommand {
    /// fleet's file that is in service
    #[argh(positional)]
    pub(super) old: PathBuf,
    /// fleet's file that would replace it
    #[argh(positional)]
    pub(super) new: PathBuf,
}

/// Print the call graph, with deadlines and the number of attempts that one request can cause.
#[derive(FromArgs)]
#[argh(subcommand, name = "graph")]
pub(super) struct GraphCommand {
    /// fleet's file
    #[argh(positional)]
    pub(super) fleet: PathBuf,
    /// write an SVG image to this file instead
    #[argh(option)]
    pub(super) svg: Option<PathBuf>,
}

/// Print the JSON Schema of one kind of file: fleet, application or proxy.
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
pub(super) struct SchemaCommand {
    /// kind of file: fleet, application or proxy
    #[argh(positional)]
    pub(super) kind: String,
}

/// Print the reference of all keys and codes, in Markdown.
#[derive(FromArgs)]
#[argh(subcommand, name = "reference")]
pub(super) struct ReferenceCommand {}

/// The output format of findings.
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
            _ => Err(format!("{word:?} is not one of text, json and sarif")),
        }
    }
}

//! The implementations of the `olivecart config` commands.

use super::arguments::{
    CheckCommand, DiffCommand, ExplainCommand, Format, GraphCommand, PlanCommand, ReferenceCommand,
    SchemaCommand, ShowCommand, WriteCommand,
};
use super::{CommandError, CommandStatus, environment};
use olivecart_config::atomic_file::replace;
use olivecart_config::check::check;
use olivecart_config::diff::diff;
use olivecart_config::document::suggestion;
use olivecart_config::explain::{explain, reference};
use olivecart_config::load::Loaded;
use olivecart_config::plan::{Budget, plan};
use olivecart_config::report::{json, sarif, text};
use olivecart_config::resolve::{Environment, Resolved};
use olivecart_config::types::Kind;
use olivecart_config::write::{self, ProxyFile};
use olivecart_config::{graph, schema};
use std::path::Path;

/// The number of lines at the top of a generated file that describe the file itself.
const HEADER_LINES: usize = 2;

/// The separator between a value and its origin.
const ORIGIN_SEPARATOR: &str = "  # ";

type CommandResult = Result<CommandStatus, CommandError>;

/// A file without errors, and the proxies that it configures.
struct ValidFile {
    loaded: Loaded,
    resolved: Vec<Resolved>,
}

/// Reads and checks one file. Returns its errors, or prints its warnings.
fn read_valid(path: &Path, environment: &Environment) -> Result<ValidFile, CommandError> {
    let loaded = Loaded::read(path);
    let (resolved, findings) = check(&loaded, environment);
    if findings.has_errors() {
        return Err(CommandError::Findings(findings));
    }
    eprint!("{}", text(&findings));
    Ok(ValidFile { loaded, resolved })
}

/// Reads and checks two files, without environment variables. Returns the errors of both.
fn read_both_valid(old: &Path, new: &Path) -> Result<(ValidFile, ValidFile), CommandError> {
    let old = read_valid(old, &Vec::new());
    let new = read_valid(new, &Vec::new());
    match (old, new) {
        (Ok(old), Ok(new)) => Ok((old, new)),
        (old, new) => Err(CommandError::EitherFile(old.err().into_iter().chain(new.err()).collect())),
    }
}

/// Returns the proxy of the named application, or all proxies if none is named.
fn select(resolved: Vec<Resolved>, application: Option<&str>) -> Result<Vec<Resolved>, CommandError> {
    let Some(name) = application else { return Ok(resolved) };
    let names: Vec<&str> = resolved.iter().map(|resolved_proxy| resolved_proxy.proxy.name.as_str()).collect();
    if !names.contains(&name) {
        let help = suggestion(name, names);
        return Err(CommandError::Failed(format!("unknown application {name:?}: {help}")));
    }
    Ok(resolved.into_iter().filter(|resolved_proxy| resolved_proxy.proxy.name == name).collect())
}

/// Prints a text that ends with a newline.
fn print(text: &str) -> CommandStatus {
    print!("{text}");
    CommandStatus::Success
}

impl WriteCommand {
    pub(super) fn run(self) -> CommandResult {
        let ValidFile { loaded, resolved } = read_valid(&self.fleet, &Vec::new())?;
        let resolved = select(resolved, self.app.as_deref())?;
        let file = |resolved_proxy: &Resolved| ProxyFile {
            name: resolved_proxy.proxy.name.clone(),
            contents: write::text(resolved_proxy, &loaded.sources),
        };
        let files: Vec<ProxyFile> = resolved.iter().map(file).collect();
        let written =
            write::files(&self.out, &files).map_err(|error| CommandError::Failed(error.to_string()))?;
        println!("{} of {} files written to {}", written.len(), files.len(), self.out.display());
        Ok(CommandStatus::Success)
    }
}

impl CheckCommand {
    pub(super) fn run(self) -> CommandResult {
        if self.files.is_empty() {
            return Err(CommandError::Failed("check: no file is given".into()));
        }
        let mut loaded = Loaded::default();
        for path in &self.files {
            loaded.add(path);
        }
        let (resolved, findings) = check(&loaded, &environment());
        match self.format {
            Format::Text => eprint!("{}", text(&findings)),
            Format::Json => print!("{}", json(&findings)),
            Format::Sarif => print!("{}", sarif(&findings)),
        }
        if matches!(self.format, Format::Text) && !findings.has_errors() {
            println!("{} proxies in {} files are valid", resolved.len(), loaded.sources.len());
        }
        let has_failed = findings.has_errors() || (self.strict && !findings.all().is_empty());
        Ok(if has_failed { CommandStatus::Found } else { CommandStatus::Success })
    }
}

impl ExplainCommand {
    pub(super) fn run(self) -> CommandResult {
        explain(&self.name).map(|text| print(&text)).map_err(CommandError::Failed)
    }
}

impl ShowCommand {
    pub(super) fn run(self) -> CommandResult {
        let ValidFile { loaded, resolved } = read_valid(&self.file, &environment())?;
        for resolved_proxy in select(resolved, self.app.as_deref())? {
            let text = write::text(&resolved_proxy, &loaded.sources);
            for line in text.lines().skip(HEADER_LINES) {
                println!("{}", if self.origin { line } else { without_origin(line) });
            }
        }
        Ok(CommandStatus::Success)
    }
}

/// Removes the origin of the value from a line.
fn without_origin(line: &str) -> &str {
    line.split(ORIGIN_SEPARATOR).next().unwrap_or(line).trim_end()
}

impl DiffCommand {
    pub(super) fn run(self) -> CommandResult {
        let (old, new) = read_both_valid(&self.old, &self.new)?;
        let differences = diff(&old.resolved, &new.resolved);
        for difference in &differences {
            println!("{difference}");
        }
        Ok(if differences.is_empty() { CommandStatus::Success } else { CommandStatus::Found })
    }
}

impl PlanCommand {
    pub(super) fn run(self) -> CommandResult {
        let (old, new) = read_both_valid(&self.old, &self.new)?;
        let (Some(old_budget), Some(new_budget)) = (Budget::of(&old.loaded), Budget::of(&new.loaded)) else {
            return Err(CommandError::Failed("plan: both files must be of kind \"fleet\"".into()));
        };
        match plan(&old.resolved, &new.resolved, old_budget.either(new_budget)) {
            Ok(plan) => Ok(print(&plan.to_string())),
            Err(error) => {
                eprintln!("no safe order of changes exists: {error}");
                Ok(CommandStatus::Found)
            }
        }
    }
}

impl GraphCommand {
    pub(super) fn run(self) -> CommandResult {
        let ValidFile { loaded, resolved } = read_valid(&self.fleet, &Vec::new())?;
        let client_tries =
            loaded.fleet.as_ref().and_then(|(_, fleet)| fleet.budget.client_tries).unwrap_or(1);
        let Some(path) = self.svg else { return Ok(print(&graph::text(&resolved, client_tries))) };
        let picture = graph::svg(&resolved, client_tries);
        replace(&path, picture.as_bytes()).map_err(|error| CommandError::Failed(error.to_string()))?;
        Ok(CommandStatus::Success)
    }
}

impl SchemaCommand {
    pub(super) fn run(self) -> CommandResult {
        let names = Kind::ALL.map(Kind::name);
        let Some(kind) = Kind::ALL.into_iter().find(|kind| kind.name() == self.kind) else {
            let help = suggestion(&self.kind, names);
            return Err(CommandError::Failed(format!("unknown kind {:?}: {help}", self.kind)));
        };
        Ok(print(&schema::text(kind)))
    }
}

impl ReferenceCommand {
    pub(super) fn run(self) -> CommandResult {
        Ok(print(&reference()))
    }
}

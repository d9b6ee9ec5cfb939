//! The commands of `olivecart config`, one after another.

use super::arguments::{
    CheckCommand, DiffCommand, ExplainCommand, Format, GraphCommand, PlanCommand, ReferenceCommand,
    SchemaCommand, ShowCommand, WriteCommand,
};
use super::{CommandError, Outcome, environment};
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

/// The lines at the top of what one proxy reads that are about the file itself.
const HEADER_LINES: usize = 2;

/// What stands between a value and where it came from.
const ORIGIN_SEPARATOR: &str = "  # ";

type CommandResult = Result<Outcome, CommandError>;

/// A file without errors, and the proxies that it comes to.
struct ValidFile {
    loaded: Loaded,
    resolved: Vec<Resolved>,
}

/// Reads and checks one file. Its errors end the command; its warnings are printed.
fn read_valid(path: &Path, environment: &Environment) -> Result<ValidFile, CommandError> {
    let loaded = Loaded::read(path);
    let (resolved, findings) = check(&loaded, environment);
    if findings.has_errors() {
        return Err(CommandError::Findings(findings));
    }
    eprint!("{}", text(&findings));
    Ok(ValidFile { loaded, resolved })
}

/// Reads and checks two files, without the environment. The errors of both are reported.
fn read_both_valid(old: &Path, new: &Path) -> Result<(ValidFile, ValidFile), CommandError> {
    let old = read_valid(old, &Vec::new());
    let new = read_valid(new, &Vec::new());
    match (old, new) {
        (Ok(old), Ok(new)) => Ok((old, new)),
        (old, new) => Err(CommandError::EitherFile(old.err().into_iter().chain(new.err()).collect())),
    }
}

/// The proxy of one application, or all if none is named.
fn select(resolved: Vec<Resolved>, application: Option<&str>) -> Result<Vec<Resolved>, CommandError> {
    let Some(name) = application else { return Ok(resolved) };
    let names: Vec<&str> = resolved.iter().map(|one| one.proxy.name.as_str()).collect();
    if !names.contains(&name) {
        let help = suggestion(name, names);
        return Err(CommandError::Unusable(format!("there is no application {name:?}: {help}")));
    }
    Ok(resolved.into_iter().filter(|one| one.proxy.name == name).collect())
}

/// Prints a text that ends with a line end.
fn print(text: &str) -> Outcome {
    print!("{text}");
    Outcome::Success
}

impl WriteCommand {
    pub(super) fn run(self) -> CommandResult {
        let ValidFile { loaded, resolved } = read_valid(&self.fleet, &Vec::new())?;
        let resolved = select(resolved, self.app.as_deref())?;
        let file = |one: &Resolved| ProxyFile {
            name: one.proxy.name.clone(),
            contents: write::text(one, &loaded.sources),
        };
        let files: Vec<ProxyFile> = resolved.iter().map(file).collect();
        let written =
            write::files(&self.out, &files).map_err(|error| CommandError::Unusable(error.to_string()))?;
        println!("{} of {} files written to {}", written.len(), files.len(), self.out.display());
        Ok(Outcome::Success)
    }
}

impl CheckCommand {
    pub(super) fn run(self) -> CommandResult {
        if self.files.is_empty() {
            return Err(CommandError::Unusable("check: no file is given".into()));
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
            println!("{} proxies in {} files are good", resolved.len(), loaded.sources.len());
        }
        let has_failed = findings.has_errors() || (self.strict && !findings.all().is_empty());
        Ok(if has_failed { Outcome::Found } else { Outcome::Success })
    }
}

impl ExplainCommand {
    pub(super) fn run(self) -> CommandResult {
        explain(&self.name).map(|text| print(&text)).map_err(CommandError::Unusable)
    }
}

impl ShowCommand {
    pub(super) fn run(self) -> CommandResult {
        let ValidFile { loaded, resolved } = read_valid(&self.file, &environment())?;
        for one in select(resolved, self.app.as_deref())? {
            let text = write::text(&one, &loaded.sources);
            for line in text.lines().skip(HEADER_LINES) {
                println!("{}", if self.origin { line } else { without_origin(line) });
            }
        }
        Ok(Outcome::Success)
    }
}

/// A line without what stands behind its value.
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
        Ok(if differences.is_empty() { Outcome::Success } else { Outcome::Found })
    }
}

impl PlanCommand {
    pub(super) fn run(self) -> CommandResult {
        let (old, new) = read_both_valid(&self.old, &self.new)?;
        let (Some(old_budget), Some(new_budget)) = (Budget::of(&old.loaded), Budget::of(&new.loaded)) else {
            return Err(CommandError::Unusable("plan: both files must be fleets".into()));
        };
        match plan(&old.resolved, &new.resolved, old_budget.either(new_budget)) {
            Ok(plan) => Ok(print(&plan.to_string())),
            Err(error) => {
                eprintln!("there is no order: {error}");
                Ok(Outcome::Found)
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
        replace(&path, picture.as_bytes()).map_err(|error| CommandError::Unusable(error.to_string()))?;
        Ok(Outcome::Success)
    }
}

impl SchemaCommand {
    pub(super) fn run(self) -> CommandResult {
        let names = Kind::ALL.map(Kind::name);
        let Some(kind) = Kind::ALL.into_iter().find(|kind| kind.name() == self.kind) else {
            let help = suggestion(&self.kind, names);
            return Err(CommandError::Unusable(format!("there is no kind {:?}: {help}", self.kind)));
        };
        Ok(print(&schema::text(kind)))
    }
}

impl ReferenceCommand {
    pub(super) fn run(self) -> CommandResult {
        Ok(print(&reference()))
    }
}

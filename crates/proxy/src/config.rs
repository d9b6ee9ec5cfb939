//! The configuration of `olivecart serve`: read from the file and the environment, given defaults and checked.
//!
//! `cli.rs` reads it once, and `reload.rs` again at each SIGHUP. Errors name the key or variable at fault. Nothing else
//! reads a configuration of `serve`; the sidecar has one of its own.

use crate::cluster_config::{self, ClusterConfig};
use crate::console;
use olivecart_decisions::ClassId;
use olivecart_settings::{SettingsError, Site};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Descriptors kept back for the listener, discovery, the log, the runtime, and clients over their share.
const RESERVED_DESCRIPTORS: usize = 48;

/// The part of the memory that long bodies may hold. The rest is for what a process needs at rest, some 4 MB, and for
/// what each connection holds beside them.
const BODY_MEMORY_SHARE: f64 = 0.4;

/// Least memory: 4 MB at rest, and some 40 kB for each connection of a client's and a backend's.
const MINIMUM_MEMORY_MB: f64 = 16.0;

/// Fewest descriptors for clients and backends together.
const MINIMUM_CONNECTIONS: usize = 32;

/// The variable that names the operators' file.
const OPERATORS_FILE_VARIABLE: &str = "OLIVECART_CLUSTERS";

/// Why there is no usable configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Nothing says where the file is.
    #[error("EDGE_CONFIG: not set, and no --config was given")]
    NoFile,
    /// The file cannot be read.
    #[error("EDGE_CONFIG: {path}: {error}", path = .0.display(), error = .1)]
    Unreadable(PathBuf, std::io::Error),
    /// The file is not of the expected form.
    #[error("configuration: {0}: {1}")]
    Form(String, serde_json::Error),
    /// A value is neither in the environment nor in the file.
    #[error("{0}: missing; it may also be given as {1}")]
    Missing(&'static str, &'static str),
    /// A value makes no sense.
    #[error("{0}: {1:?} is not {2}")]
    Value(&'static str, String, &'static str),
    /// The settings object is unusable.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The operators' file cannot be read.
    #[error("{OPERATORS_FILE_VARIABLE}: {path}: {error}", path = .0.display(), error = .1)]
    UnreadableClusterConfig(PathBuf, std::io::Error),
    /// The operators' file is unusable.
    #[error(transparent)]
    ClusterConfig(#[from] cluster_config::Problems),
}

/// The file's keys; unknown ones are skipped.
#[derive(Deserialize)]
struct File<'a> {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    console: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    #[serde(borrow)]
    settings: Option<&'a RawValue>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192.0, sockets: 1024 }
    }
}

/// How the descriptors are shared out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sockets {
    /// Connections that clients may hold.
    pub clients: usize,
    /// Connections to backends, idle ones included.
    pub backends: usize,
}

impl Sockets {
    /// The part of each where so many processes share a limit. What a process needs for itself comes off each part.
    pub fn part(self, parts: u32) -> Sockets {
        let (parts, least) = (parts.max(1) as usize, MINIMUM_CONNECTIONS / 2);
        let own = RESERVED_DESCRIPTORS + console::MOST_CONNECTIONS;
        let part =
            |all: usize| (all / parts).saturating_sub(own / 2 * (parts - 1) / parts).max(least.min(all));
        Sockets { clients: part(self.clients), backends: part(self.backends) }
    }
}

/// Everything a proxy is told at its start.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// The only address it listens on.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// Where operators call; nowhere unless it is given.
    pub console: Option<SocketAddr>,
    /// Feeds all chance.
    pub seed: u64,
    /// Shares of the descriptor limit.
    pub sockets: Sockets,
    /// Bytes that long bodies may hold.
    pub bodies: usize,
    /// The list as this proxy last had it, in discovery's form.
    pub known: Option<String>,
    /// The settings, read.
    pub site: Site,
    /// The operators' file, if there is one. It is not read again while all runs on.
    pub cluster_config: Option<ClusterConfig>,
    /// Where this was read, for reading it again.
    pub origin: ConfigSource,
}

/// Where a configuration was read, and what of it is in force: it can be read again while all runs on.
#[derive(Clone)]
pub struct ConfigSource {
    path: PathBuf,
    file_values: FileValues,
    listen: SocketAddr,
    discovery: SocketAddr,
}

/// What the file said, in its own words, whatever variables had made of it.
#[derive(Clone, PartialEq, Eq)]
struct FileValues {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    console: Option<String>,
    settings: Option<String>,
}

/// What a file that was read again brings.
#[derive(Debug)]
pub struct Changes {
    /// Discovery's address from now on.
    pub discovery: SocketAddr,
    /// Shares of the descriptor limit from now on.
    pub sockets: Sockets,
    /// Bytes that long bodies may hold from now on.
    pub bodies: usize,
    /// Keys that changed but take effect only at a start.
    pub at_start: Vec<&'static str>,
}

impl ConfigSource {
    /// Reads the file again and checks it as a whole; on an error all stays as it was. A variable that
    /// overrode a key at the start does so no longer once the file says something new there.
    pub fn reload(&mut self) -> Result<Changes, ConfigError> {
        let text = text(&self.path)?;
        let mut file = File::parse(&text)?;
        let file_values = file.values();
        let keep = |key: &mut Option<String>, before: &Option<String>, in_force: SocketAddr| {
            if key.is_none() || key == before {
                *key = Some(in_force.to_string());
            }
        };
        keep(&mut file.listen, &self.file_values.listen, self.listen);
        keep(&mut file.discovery, &self.file_values.discovery, self.discovery);
        let new = Config::read(self.path.clone(), file, |_| None)?;
        let differs = [
            ("name", file_values.name != self.file_values.name),
            ("listen", new.listen != self.listen),
            ("console", file_values.console != self.file_values.console),
            ("settings", file_values.settings != self.file_values.settings),
        ];
        let at_start = differs.into_iter().filter_map(|(key, differs)| differs.then_some(key)).collect();
        (self.file_values, self.discovery) = (file_values, new.discovery);
        Ok(Changes { discovery: new.discovery, sockets: new.sockets, bodies: new.bodies, at_start })
    }
}

fn text(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|e| ConfigError::Unreadable(path.to_owned(), e))
}

impl File<'_> {
    fn parse(text: &str) -> Result<File<'_>, ConfigError> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let file = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| ConfigError::Form(e.path().to_string(), e.into_inner()))?;
        reader.end().map_err(|e| ConfigError::Form("end of the file".into(), e))?;
        Ok(file)
    }

    fn values(&self) -> FileValues {
        FileValues {
            name: self.name.clone(),
            listen: self.listen.clone(),
            discovery: self.discovery.clone(),
            console: self.console.clone(),
            settings: self.settings.map(|s| s.get().to_owned()),
        }
    }
}

impl Config {
    /// Reads the file named on the command line or by EDGE_CONFIG, and the variables that override it; and the
    /// operators' file, if the command line or OLIVECART_CLUSTERS names one.
    pub fn from_environment(file: Option<PathBuf>, clusters: Option<PathBuf>) -> Result<Config, ConfigError> {
        let path = |given: Option<PathBuf>, name| given.or_else(|| std::env::var_os(name).map(PathBuf::from));
        let file = path(file, "EDGE_CONFIG").ok_or(ConfigError::NoFile)?;
        let text = text(&file)?;
        let mut config = Config::read(file, File::parse(&text)?, |name| std::env::var(name).ok())?;
        config.cluster_config = path(clusters, OPERATORS_FILE_VARIABLE)
            .map(|file| read_cluster_config(&file, &config.site))
            .transpose()?;
        Ok(config)
    }

    fn read(
        path: PathBuf,
        file: File,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let file_values = file.values();
        let settings =
            file.settings.ok_or(ConfigError::Missing("settings", "a key of EDGE_CONFIG's file"))?;
        let listen = address(("EDGE_LISTEN", variable("EDGE_LISTEN")), ("listen", file.listen))?;
        let discovery =
            address(("EDGE_DISCOVERY", variable("EDGE_DISCOVERY")), ("discovery", file.discovery))?;
        let console = (variable("EDGE_CONSOLE"), file.console);
        let console = optional(("EDGE_CONSOLE", console.0), ("console", console.1))?;
        Ok(Config {
            name: variable("EDGE_NAME").or(file.name).unwrap_or_else(|| "olivecart".into()),
            listen,
            discovery,
            console,
            seed: seed(file.seed)?,
            sockets: divide_descriptors(
                &file.limits,
                if console.is_some() { console::MOST_CONNECTIONS } else { 0 },
            )?,
            bodies: (file.limits.memory_mb * BODY_MEMORY_SHARE * 1e6) as usize,
            known: file.known.map(|k| k.get().to_owned()),
            site: Site::read(settings.get())?,
            cluster_config: None,
            origin: ConfigSource { path, file_values, listen, discovery },
        })
    }
}

impl fmt::Display for Config {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let s = &self.site.settings;
        writeln!(f, "name       {}", self.name)?;
        writeln!(f, "listen     {}", self.listen)?;
        writeln!(f, "discovery  {} ({:?})", self.discovery, s.discovery)?;
        self.console.iter().try_for_each(|console| writeln!(f, "console    {console}"))?;
        writeln!(
            f,
            "sockets    {} for clients, {} for backends",
            self.sockets.clients, self.sockets.backends
        )?;
        writeln!(f, "tier       {}, copy {} of {}", s.tier, s.replica_index, s.replica_count)?;
        write!(f, "classes    {}, tenants {}", s.classes.len(), s.tenants.len())?;
        self.cluster_config.iter().try_for_each(|clusters| write!(f, "\n{clusters}"))
    }
}

fn read_cluster_config(path: &Path, site: &Site) -> Result<ClusterConfig, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| ConfigError::UnreadableClusterConfig(path.to_owned(), e))?;
    let class = |name: &str| site.classes.get(name).map(|class| ClassId(class as u16));
    let beside = path.parent().unwrap_or(Path::new(""));
    Ok(cluster_config::parse(&path.to_string_lossy(), &text, beside, &class)?)
}

/// A value with the name of the variable or key that it comes from.
type Named = (&'static str, Option<String>);

fn address(variable: Named, key: Named) -> Result<SocketAddr, ConfigError> {
    let (name, value) = match (variable, key) {
        ((name, Some(value)), _) | (_, (name, Some(value))) => (name, value),
        ((variable, None), (key, None)) => return Err(ConfigError::Missing(key, variable)),
    };
    value.parse().map_err(|_| ConfigError::Value(name, value, "an address and port"))
}

fn optional(variable: Named, key: Named) -> Result<Option<SocketAddr>, ConfigError> {
    if variable.1.is_none() && key.1.is_none() { Ok(None) } else { address(variable, key).map(Some) }
}

/// The seed is sixteen hexadecimal digits; without one, chance is fed from the clock.
fn seed(value: Option<String>) -> Result<u64, ConfigError> {
    let Some(value) = value else { return Ok(crate::clock::Clock::start().now()) };
    u64::from_str_radix(&value, 16).map_err(|_| ConfigError::Value("seed", value, "a hexadecimal number"))
}

/// Half and half: each request that a client waits for has one attempt out at most, so that a backend's
/// connection is there for every client's; the idle ones beyond that are let go as they are in the way.
/// `console`: those that are set aside for operators' calls.
fn divide_descriptors(limits: &Limits, console: usize) -> Result<Sockets, ConfigError> {
    let bad = |what| Err(ConfigError::Value("limits.sockets", limits.sockets.to_string(), what));
    if limits.memory_mb < MINIMUM_MEMORY_MB {
        return Err(ConfigError::Value("limits.memory_mb", limits.memory_mb.to_string(), "16 or more"));
    }
    match limits.sockets.checked_sub(RESERVED_DESCRIPTORS + console) {
        Some(left) if left >= MINIMUM_CONNECTIONS => {
            Ok(Sockets { clients: left / 2, backends: left - left / 2 })
        }
        _ => bad("enough: 80 at least, or 104 with a console"),
    }
}

#[cfg(test)]
mod tests;

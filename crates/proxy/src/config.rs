//! The configuration of `olivecart serve`: reads the file and the environment, fills in defaults, and
//! validates.
//!
//! `cli.rs` reads it once, and `reload.rs` again at each SIGHUP. Errors name the key or variable at fault.
//! The sidecar has a separate configuration, which this module does not read.

use crate::cluster_config::{self, ClusterConfig};
use crate::{console, memory};
use olivecart_decisions::ClassId;
use olivecart_settings::{SettingsError, Site};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// File descriptors reserved for the listener, discovery, the log, the runtime, and clients beyond their
/// share.
const RESERVED_DESCRIPTORS: usize = 48;

/// The smallest memory limit: enough for two processes that share it, each with the fewest connections.
const MIN_MEMORY_MB: f64 = 16.0;

/// The smallest number of descriptors for clients and backends together.
const MIN_CONNECTIONS: usize = 32;

/// The environment variable that names the operators' file.
const OPERATORS_FILE_VARIABLE: &str = "OLIVECART_CLUSTERS";

/// The reason a configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the command line nor the environment names the file.
    #[error("EDGE_CONFIG: not set, and no --config was given")]
    NoFile,
    /// The file cannot be read.
    #[error("EDGE_CONFIG: {path}: {error}", path = .0.display(), error = .1)]
    Unreadable(PathBuf, std::io::Error),
    /// The file's JSON is invalid, or a value has the wrong type.
    #[error("configuration: {0}: {1}")]
    Malformed(String, serde_json::Error),
    /// A required value is neither in the environment nor in the file.
    #[error("{0}: missing; it may also be given as {1}")]
    Missing(&'static str, &'static str),
    /// A value is invalid.
    #[error("{0}: {1:?} is not {2}")]
    InvalidValue(&'static str, String, &'static str),
    /// The settings object is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The operators' file cannot be read.
    #[error("{OPERATORS_FILE_VARIABLE}: {path}: {error}", path = .0.display(), error = .1)]
    UnreadableClusterConfig(PathBuf, std::io::Error),
    /// The operators' file is invalid.
    #[error(transparent)]
    ClusterConfig(#[from] cluster_config::Problems),
}

/// The keys of the file. Unknown keys are ignored.
#[derive(Deserialize)]
struct File<'a> {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    console: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(borrow, rename = "known")]
    cached_endpoints: Option<&'a RawValue>,
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

/// How many descriptors clients and backends may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sockets {
    /// The limit on client connections.
    pub clients: usize,
    /// The limit on connections to backends, including idle connections.
    pub backends: usize,
}

impl Sockets {
    /// Returns the limits of one of `parts` processes that share these limits. The reserved descriptors of
    /// the other processes are deducted.
    pub fn part(self, parts: u32) -> Sockets {
        let (parts, minimum) = (parts.max(1) as usize, MIN_CONNECTIONS / 2);
        let reserved = RESERVED_DESCRIPTORS + console::MAX_CONNECTIONS;
        let part = |all: usize| {
            (all / parts).saturating_sub(reserved / 2 * (parts - 1) / parts).max(minimum.min(all))
        };
        Sockets { clients: part(self.clients), backends: part(self.backends) }
    }
}

/// The complete configuration of a proxy.
pub struct Config {
    /// The proxy's name, which stays the same across restarts.
    pub name: String,
    /// The address of the listener for clients.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The address of the admin server; `None` disables it.
    pub console: Option<SocketAddr>,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The limits on connections.
    pub sockets: Sockets,
    /// The limit on the memory of the process, in bytes.
    pub memory_bytes: usize,
    /// A cached endpoint list in the format of the discovery service.
    pub cached_endpoints: Option<String>,
    /// The parsed settings.
    pub site: Site,
    /// The operators' file, if one is configured. A reload does not read it again.
    pub cluster_config: Option<ClusterConfig>,
    /// The source of this configuration, for reloads.
    pub source: ConfigSource,
}

/// The file that a configuration was read from, with the values of it that are in force. Used for reloads.
#[derive(Clone)]
pub struct ConfigSource {
    path: PathBuf,
    file_values: FileValues,
    listen: SocketAddr,
    discovery: SocketAddr,
}

/// The values in the file, before environment variables override them.
#[derive(Clone, PartialEq, Eq)]
struct FileValues {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    console: Option<String>,
    settings: Option<String>,
}

/// The changes that a reload brings.
#[derive(Debug)]
pub struct Changes {
    /// The new address of the discovery service.
    pub discovery: SocketAddr,
    /// The new limits on connections.
    pub sockets: Sockets,
    /// The new limit on the memory of the process, in bytes.
    pub memory_bytes: usize,
    /// Keys that changed but take effect only at a restart.
    pub at_restart: Vec<&'static str>,
}

impl ConfigSource {
    /// Reads the file again and validates it as a whole. On an error the old configuration stays in force. An
    /// environment variable overrides a key only until the key's value in the file changes.
    pub fn reload(&mut self) -> Result<Changes, ConfigError> {
        let text = read_text(&self.path)?;
        let mut file = File::parse(&text)?;
        let file_values = file.values();
        let keep_in_force = |key: &mut Option<String>, before: &Option<String>, in_force: SocketAddr| {
            if key.is_none() || key == before {
                *key = Some(in_force.to_string());
            }
        };
        keep_in_force(&mut file.listen, &self.file_values.listen, self.listen);
        keep_in_force(&mut file.discovery, &self.file_values.discovery, self.discovery);
        let new = Config::read(self.path.clone(), file, |_| None)?;
        let differs = [
            ("name", file_values.name != self.file_values.name),
            ("listen", new.listen != self.listen),
            ("console", file_values.console != self.file_values.console),
            ("settings", file_values.settings != self.file_values.settings),
        ];
        let at_restart = differs.into_iter().filter_map(|(key, differs)| differs.then_some(key)).collect();
        (self.file_values, self.discovery) = (file_values, new.discovery);
        Ok(Changes {
            discovery: new.discovery,
            sockets: new.sockets,
            memory_bytes: new.memory_bytes,
            at_restart,
        })
    }
}

fn read_text(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|e| ConfigError::Unreadable(path.to_owned(), e))
}

impl File<'_> {
    fn parse(text: &str) -> Result<File<'_>, ConfigError> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let file = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| ConfigError::Malformed(e.path().to_string(), e.into_inner()))?;
        reader.end().map_err(|e| ConfigError::Malformed("end of the file".into(), e))?;
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
    /// Reads the file that the command line or EDGE_CONFIG names, and the environment variables that override
    /// it. Also reads the operators' file if the command line or OLIVECART_CLUSTERS names one.
    pub fn from_environment(file: Option<PathBuf>, clusters: Option<PathBuf>) -> Result<Config, ConfigError> {
        let path = |given: Option<PathBuf>, name| given.or_else(|| std::env::var_os(name).map(PathBuf::from));
        let file = path(file, "EDGE_CONFIG").ok_or(ConfigError::NoFile)?;
        let text = read_text(&file)?;
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
        let listen = parse_address(("EDGE_LISTEN", variable("EDGE_LISTEN")), ("listen", file.listen))?;
        let discovery =
            parse_address(("EDGE_DISCOVERY", variable("EDGE_DISCOVERY")), ("discovery", file.discovery))?;
        let console = (variable("EDGE_CONSOLE"), file.console);
        let console = parse_optional_address(("EDGE_CONSOLE", console.0), ("console", console.1))?;
        Ok(Config {
            name: variable("EDGE_NAME").or(file.name).unwrap_or_else(|| "olivecart".into()),
            listen,
            discovery,
            console,
            seed: parse_seed(file.seed)?,
            sockets: divide_descriptors(
                &file.limits,
                if console.is_some() { console::MAX_CONNECTIONS } else { 0 },
            )?,
            memory_bytes: (file.limits.memory_mb * 1e6) as usize,
            cached_endpoints: file.cached_endpoints.map(|k| k.get().to_owned()),
            site: Site::read(settings.get())?,
            cluster_config: None,
            source: ConfigSource { path, file_values, listen, discovery },
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
        let carried = memory::max_client_connections(self.memory_bytes);
        let shortage = if carried < self.sockets.clients { ", fewer than the sockets allow" } else { "" };
        let megabytes = self.memory_bytes as f64 / 1e6;
        writeln!(
            f,
            "memory     {megabytes:.1} MB, enough for {carried} clients with their backends{shortage}"
        )?;
        writeln!(f, "tier       {}, replica {} of {}", s.tier, s.replica_index, s.replica_count)?;
        write!(f, "classes    {}, tenants {}", s.classes.len(), s.tenants.len())?;
        self.cluster_config.iter().try_for_each(|clusters| write!(f, "\n{clusters}"))
    }
}

fn read_cluster_config(path: &Path, site: &Site) -> Result<ClusterConfig, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| ConfigError::UnreadableClusterConfig(path.to_owned(), e))?;
    let class = |name: &str| site.classes.get(name).map(|class| ClassId(class as u16));
    let directory = path.parent().unwrap_or(Path::new(""));
    Ok(cluster_config::parse(&path.to_string_lossy(), &text, directory, &class)?)
}

/// The name of a variable or key, with its value if it is set.
type NamedValue = (&'static str, Option<String>);

fn parse_address(variable: NamedValue, key: NamedValue) -> Result<SocketAddr, ConfigError> {
    let (name, value) = match (variable, key) {
        ((name, Some(value)), _) | (_, (name, Some(value))) => (name, value),
        ((variable, None), (key, None)) => return Err(ConfigError::Missing(key, variable)),
    };
    value.parse().map_err(|_| ConfigError::InvalidValue(name, value, "an address and port"))
}

fn parse_optional_address(variable: NamedValue, key: NamedValue) -> Result<Option<SocketAddr>, ConfigError> {
    if variable.1.is_none() && key.1.is_none() { Ok(None) } else { parse_address(variable, key).map(Some) }
}

/// Parses the seed, up to sixteen hexadecimal digits. Without one, the seed is the current time.
fn parse_seed(value: Option<String>) -> Result<u64, ConfigError> {
    let Some(value) = value else { return Ok(crate::clock::Clock::start().now()) };
    u64::from_str_radix(&value, 16)
        .map_err(|_| ConfigError::InvalidValue("seed", value, "a hexadecimal number"))
}

/// Divides the descriptors equally between clients and backends. A request has at most one attempt in flight,
/// so that each client connection can have a backend connection; idle backend connections are closed when
/// others need their descriptors. `console` is the number reserved for connections to the admin server.
fn divide_descriptors(limits: &Limits, console: usize) -> Result<Sockets, ConfigError> {
    let invalid =
        |expected| Err(ConfigError::InvalidValue("limits.sockets", limits.sockets.to_string(), expected));
    if limits.memory_mb < MIN_MEMORY_MB {
        return Err(ConfigError::InvalidValue(
            "limits.memory_mb",
            limits.memory_mb.to_string(),
            "16 or more",
        ));
    }
    match limits.sockets.checked_sub(RESERVED_DESCRIPTORS + console) {
        Some(left) if left >= MIN_CONNECTIONS => Ok(Sockets { clients: left / 2, backends: left - left / 2 }),
        _ => invalid("enough: at least 80, or 104 with a console"),
    }
}

#[cfg(test)]
mod tests;

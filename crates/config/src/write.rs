//! What each proxy reads, written out: everything it has to know, with where each value came from. The same
//! bytes for the same files.

use crate::atomic_file;
use crate::document::{Key, Source, top};
use crate::origin::Origin;
use crate::resolve::Resolved;
use crate::types::{Proxy, Route, Tenant};
use serde_json::Value;
use std::fmt::Write;
use std::io;
use std::path::{Path, PathBuf};

/// Why nothing, or not all, was written.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// A file or directory.
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    File(PathBuf, io::Error),
    /// There is no such application.
    #[error("there is no application {0:?}{1}")]
    NoApplication(String, String),
}

/// The text for one proxy.
pub fn text(resolved: &Resolved, sources: &[Source]) -> String {
    let mut writer = Writer { resolved, sources, out: String::new() };
    writer.all();
    writer.out
}

/// Writes texts into a directory, each as `NAME.toml`; each file is replaced whole, and one that is as it should
/// be is left alone. Tells which were written.
///
/// # Errors
/// The first file that cannot be written; those before it are in place.
pub fn files(directory: &Path, texts: &[(String, String)]) -> Result<Vec<PathBuf>, WriteError> {
    let failed = |path: &Path| {
        let path = path.to_owned();
        move |error| WriteError::File(path, error)
    };
    std::fs::create_dir_all(directory).map_err(failed(directory))?;
    let mut written = Vec::new();
    for (name, text) in texts {
        let path = directory.join(format!("{name}.toml"));
        if std::fs::read(&path).is_ok_and(|old| old == text.as_bytes()) {
            continue;
        }
        // Danger: whoever reads it meanwhile must find the old one or the new one, never a part.
        atomic_file::replace(&path, text.as_bytes())
            .map_err(|failed| WriteError::File(path.clone(), failed.error))?;
        written.push(path);
    }
    Ok(written)
}

struct Writer<'a> {
    resolved: &'a Resolved,
    sources: &'a [Source],
    out: String,
}

impl Writer<'_> {
    fn all(&mut self) {
        let Proxy {
            version,
            kind,
            name,
            tier,
            zone,
            zones,
            settings,
            admin,
            inbound,
            outbound,
            classes,
            tenants,
            sources,
        } = &self.resolved.proxy.clone();
        self.line(
            "# What one proxy reads. Written by `olivecart config write`: edits are lost with the next one.",
        );
        self.line("# Behind each value: where it came from.\n");
        self.line(&format!("version = {version}"));
        self.line(&format!("kind = {}", quoted(kind)));
        self.value(&top("name"), "name", &quoted(name));
        self.value(&top("tier"), "tier", &tier.to_string());
        if let Some(zone) = zone {
            self.value(&top("zone"), "zone", &quoted(zone));
        }
        self.value(&top("zones"), "zones", &list(zones));
        self.line("\n[settings]");
        let knobs = serde_json::to_value(settings).unwrap_or_default();
        for (name, value) in knobs.as_object().into_iter().flatten().filter(|(_, value)| !value.is_null()) {
            self.value(&top("settings").name(name.as_str()), name, &plain(value));
        }
        if let Some(admin) = admin {
            self.line("\n[admin]");
            self.value(&top("admin").name("listen"), "listen", &quoted(&admin.listen.to_string()));
        }
        if let Some(inbound) = inbound {
            self.line("\n[inbound]");
            let key = |name: &str| top("inbound").name(name);
            self.value(&key("listen"), "listen", &quoted(&inbound.listen.to_string()));
            self.value(&key("application"), "application", &quoted(&inbound.application.to_string()));
            if let Some(most) = inbound.max_requests {
                self.value(&key("max_requests"), "max_requests", &most.to_string());
            }
        }
        for (i, call) in outbound.iter().enumerate() {
            self.line("\n[[outbound]]");
            let key = |name: &str| top("outbound").at(i).name(name);
            self.value(&key("application"), "application", &quoted(&call.application));
            self.value(&key("listen"), "listen", &quoted(&call.listen.to_string()));
            self.value(&key("attempts"), "attempts", &call.attempts.to_string());
            self.value(&key("clusters"), "clusters", &list(&call.clusters));
            call.routes.iter().for_each(|route| self.route(route));
        }
        for (i, class) in classes.iter().enumerate() {
            self.line("\n[[classes]]");
            let table = serde_json::to_value(class).unwrap_or_default();
            for name in crate::resolve::CLASS_KEYS {
                if let Some(value) = table.get(name).filter(|value| !value.is_null()) {
                    self.value(&top("classes").at(i).name(name), name, &plain(value));
                }
            }
        }
        tenants.iter().for_each(|tenant| self.tenant(tenant));
        for source in sources {
            self.line("\n[[sources]]");
            let table = serde_json::to_value(source).unwrap_or_default();
            for (name, value) in table.as_object().into_iter().flatten().filter(|(_, value)| !value.is_null())
            {
                self.line(&format!("{name} = {}", plain(value)));
            }
        }
    }

    fn line(&mut self, line: &str) {
        self.out += line;
        self.out.push('\n');
    }

    fn value(&mut self, key: &Key, name: &str, value: &str) {
        let from = self.resolved.origins.get(key).unwrap_or(&Origin::BuiltIn).words(self.sources);
        // Writing to a string does not fail.
        let _ = writeln!(self.out, "{:<40}# {from}", format!("{name} = {value}"));
    }

    fn route(&mut self, route: &Route) {
        self.line("[[outbound.routes]]");
        self.line(&format!("cluster = {}", quoted(&route.cluster)));
        for (name, value) in [("path", &route.path), ("method", &route.method), ("class", &route.class)] {
            if let Some(value) = value {
                self.line(&format!("{name} = {}", quoted(value)));
            }
        }
    }

    fn tenant(&mut self, tenant: &Tenant) {
        self.line("\n[[tenants]]");
        self.line(&format!("name = {}", quoted(&tenant.name)));
        self.line(&format!("share = {}", plain(&tenant.share.into())));
        self.line(&format!("rate = {}", plain(&tenant.rate.into())));
    }
}

/// A value as TOML writes it.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => quoted(text),
        Value::Array(items) => format!("[{}]", items.iter().map(plain).collect::<Vec<_>>().join(", ")),
        other => other.to_string(),
    }
}

fn quoted(text: &str) -> String {
    toml::Value::from(text).to_string()
}

fn list(items: &[String]) -> String {
    format!("[{}]", items.iter().map(|item| quoted(item)).collect::<Vec<_>>().join(", "))
}

//! What one proxy reads as text: everything it has to know, with where each value came from. The same bytes
//! for the same files.

use crate::document::{Key, Source, top};
use crate::origin::Origin;
use crate::resolve::{CLASS_KEYS, Resolved};
use crate::types::{Admin, Inbound, Outbound, Proxy, ProxyClass, Route, Tenant};
use serde::Serialize;
use serde_json::Value;
use std::fmt::Write;

/// The column at which the comments begin, in characters.
const COMMENT_COLUMN: usize = 40;

/// The text for one proxy.
pub fn text(resolved: &Resolved, sources: &[Source]) -> String {
    let mut writer = Writer { resolved, sources, out: String::new() };
    writer.write_proxy(&resolved.proxy);
    writer.out
}

struct Writer<'a> {
    resolved: &'a Resolved,
    sources: &'a [Source],
    out: String,
}

impl Writer<'_> {
    fn write_proxy(&mut self, proxy: &Proxy) {
        self.write_top(proxy);
        self.write_settings(proxy);
        if let Some(admin) = &proxy.admin {
            self.write_admin(admin);
        }
        if let Some(inbound) = &proxy.inbound {
            self.write_inbound(inbound);
        }
        for (i, call) in proxy.outbound.iter().enumerate() {
            self.write_outbound(&top("outbound").at(i), call);
        }
        for (i, class) in proxy.classes.iter().enumerate() {
            self.write_class(&top("classes").at(i), class);
        }
        for tenant in &proxy.tenants {
            self.write_tenant(tenant);
        }
        for source in &proxy.sources {
            self.write_source(source);
        }
    }

    fn write_top(&mut self, proxy: &Proxy) {
        self.write_line(
            "# What one proxy reads. Written by `olivecart config write`: edits are lost with the next one.",
        );
        self.write_line("# Behind each value: where it came from.\n");
        self.write_line(&format!("version = {}", proxy.version));
        self.write_line(&format!("kind = {}", quoted(&proxy.kind)));
        let document = Key::default();
        self.write_value(&document, "name", &quoted(&proxy.name));
        self.write_value(&document, "tier", &proxy.tier.to_string());
        if let Some(zone) = &proxy.zone {
            self.write_value(&document, "zone", &quoted(zone));
        }
        self.write_value(&document, "zones", &list(&proxy.zones));
    }

    fn write_settings(&mut self, proxy: &Proxy) {
        self.write_line("\n[settings]");
        for (name, value) in given_values(&proxy.settings) {
            self.write_value(&top("settings"), &name, &toml_value(&value));
        }
    }

    fn write_admin(&mut self, admin: &Admin) {
        self.write_line("\n[admin]");
        self.write_value(&top("admin"), "listen", &quoted(&admin.listen.to_string()));
    }

    fn write_inbound(&mut self, inbound: &Inbound) {
        self.write_line("\n[inbound]");
        let key = top("inbound");
        self.write_value(&key, "listen", &quoted(&inbound.listen.to_string()));
        self.write_value(&key, "application", &quoted(&inbound.application.to_string()));
        if let Some(max_requests) = inbound.max_requests {
            self.write_value(&key, "max_requests", &max_requests.to_string());
        }
    }

    fn write_outbound(&mut self, key: &Key, call: &Outbound) {
        self.write_line("\n[[outbound]]");
        self.write_value(key, "application", &quoted(&call.application));
        self.write_value(key, "listen", &quoted(&call.listen.to_string()));
        self.write_value(key, "attempts", &call.attempts.to_string());
        self.write_value(key, "clusters", &list(&call.clusters));
        for route in &call.routes {
            self.write_route(route);
        }
    }

    fn write_route(&mut self, route: &Route) {
        self.write_line("[[outbound.routes]]");
        self.write_line(&format!("cluster = {}", quoted(&route.cluster)));
        for (name, value) in [("path", &route.path), ("method", &route.method), ("class", &route.class)] {
            if let Some(value) = value {
                self.write_line(&format!("{name} = {}", quoted(value)));
            }
        }
    }

    fn write_class(&mut self, key: &Key, class: &ProxyClass) {
        self.write_line("\n[[classes]]");
        let values = serde_json::to_value(class).unwrap_or_default();
        for name in CLASS_KEYS {
            if let Some(value) = values.get(name).filter(|value| !value.is_null()) {
                self.write_value(key, name, &toml_value(value));
            }
        }
    }

    fn write_tenant(&mut self, tenant: &Tenant) {
        self.write_line("\n[[tenants]]");
        self.write_line(&format!("name = {}", quoted(&tenant.name)));
        self.write_line(&format!("share = {}", toml_value(&tenant.share.into())));
        self.write_line(&format!("rate = {}", toml_value(&tenant.rate.into())));
    }

    fn write_source(&mut self, source: &crate::types::Source) {
        self.write_line("\n[[sources]]");
        for (name, value) in given_values(source) {
            self.write_line(&format!("{name} = {}", toml_value(&value)));
        }
    }

    fn write_line(&mut self, line: &str) {
        self.out += line;
        self.out.push('\n');
    }

    /// A line with a value, and behind it where the value came from.
    fn write_value(&mut self, table: &Key, name: &str, value: &str) {
        let origin = self.resolved.origins.get(&table.name(name)).unwrap_or(&Origin::BuiltIn);
        let comment = origin.comment(self.sources);
        let assignment = format!("{name} = {value}");
        // Writing to a string does not fail.
        let _ = writeln!(self.out, "{assignment:<COMMENT_COLUMN$}# {comment}");
    }
}

/// The values of a table that are given, by their names.
fn given_values(table: &impl Serialize) -> Vec<(String, Value)> {
    match serde_json::to_value(table) {
        Ok(Value::Object(values)) => values.into_iter().filter(|(_, value)| !value.is_null()).collect(),
        _ => Vec::new(),
    }
}

/// A value as TOML writes it.
fn toml_value(value: &Value) -> String {
    match value {
        Value::String(text) => quoted(text),
        Value::Array(items) => format!("[{}]", items.iter().map(toml_value).collect::<Vec<_>>().join(", ")),
        other => other.to_string(),
    }
}

fn quoted(text: &str) -> String {
    toml::Value::from(text).to_string()
}

fn list(items: &[String]) -> String {
    format!("[{}]", items.iter().map(|item| quoted(item)).collect::<Vec<_>>().join(", "))
}

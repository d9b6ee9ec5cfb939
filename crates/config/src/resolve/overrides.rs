//! Merges the settings of one process from the overrides of each layer, from the built-in layer up to the
//! environment.

use crate::document::{Key, Size, Span, top};
use crate::origin::{Layer, Origin, Origins};
use crate::types::{LogFormat, Overrides};
use serde_json::{Map, Value};

/// Environment variables: names and values.
pub type Environment = Vec<(String, String)>;

/// The prefix of environment variables that override settings.
pub const VARIABLE_PREFIX: &str = "OLIVECART_SET_";

/// The number of descriptors that a proxy needs in addition to those for clients and endpoints.
pub const OWN_DESCRIPTORS: u32 = 48;

/// Returns the built-in defaults.
pub fn built_in() -> Overrides {
    let milliseconds = |ms: u64| Some(Span::from_nanos(ms * 1_000_000));
    Overrides {
        attempts: Some(3),
        connect_timeout: milliseconds(250),
        idle_close: milliseconds(30_000),
        probes: Some(true),
        retry_after: milliseconds(2000),
        drain_grace: milliseconds(500),
        cold: milliseconds(30_000),
        cold_share: Some(0.1),
        open_requests: Some(2000),
        client_connections: None, // derived from the descriptors
        descriptors: Some(1024),
        memory: Some(Size::from_bytes(192 << 20)),
        largest_body: Some(Size::from_bytes(64 << 10)),
        log: Some(LogFormat::Text),
    }
}

/// The settings of one layer, with their location.
pub(super) struct OverrideLayer<'a> {
    pub layer: Layer,
    /// The index of the file.
    pub source: usize,
    /// The key of the settings table in the file.
    pub key: Key,
    pub overrides: &'a Overrides,
}

fn settings_key(name: &str) -> Key {
    top("settings").name(name)
}

/// Returns the values of a layer by name; null where the layer has no override.
fn table_of(overrides: &Overrides) -> Map<String, Value> {
    match serde_json::to_value(overrides) {
        Ok(Value::Object(table)) => table,
        _ => Map::default(),
    }
}

/// Merges the layers into the effective settings. Works on generic tables, so that every setting is covered.
pub(super) fn merge(layers: &[OverrideLayer], environment: &Environment, origins: &mut Origins) -> Overrides {
    let mut merged = table_of(&built_in());
    for name in merged.keys() {
        origins.insert(settings_key(name), Origin::BuiltIn);
    }
    for OverrideLayer { layer, source, key, overrides } in layers {
        for (name, value) in table_of(overrides).into_iter().filter(|(_, value)| !value.is_null()) {
            let origin = Origin::File { layer: *layer, source: *source, key: key.name(name.as_str()) };
            origins.insert(settings_key(&name), origin);
            merged.insert(name, value);
        }
    }
    merge_environment(environment, &mut merged, origins);
    let mut settings = serde_json::from_value(merged.into()).unwrap_or_else(|_| built_in());
    derive_client_connections(&mut settings, origins);
    settings
}

fn merge_environment(environment: &Environment, merged: &mut Map<String, Value>, origins: &mut Origins) {
    for (variable, text) in environment {
        let Some(name) = variable.strip_prefix(VARIABLE_PREFIX).map(str::to_ascii_lowercase) else {
            continue;
        };
        let Some(value) = merged.get_mut(&name) else { continue };
        let Some(new) = value_of_variable(&name, text) else { continue };
        *value = new;
        origins.insert(settings_key(&name), Origin::Variable(variable.clone()));
    }
}

/// Sets the client connections to half of the descriptors that remain for clients and endpoints, unless a
/// layer sets them.
fn derive_client_connections(settings: &mut Overrides, origins: &mut Origins) {
    if settings.client_connections.is_some() {
        return;
    }
    let descriptors = settings.descriptors.unwrap_or(0);
    settings.client_connections = Some((descriptors.saturating_sub(OWN_DESCRIPTORS) / 2).max(1));
    let origin = origins.get(&settings_key("descriptors")).cloned().unwrap_or(Origin::BuiltIn);
    origins.insert(settings_key("client_connections"), origin);
}

/// Returns the value that an environment variable gives a setting, or `None` if the setting does not accept
/// it.
pub fn value_of_variable(name: &str, text: &str) -> Option<Value> {
    let as_text = Value::from(text);
    let as_json = text.parse().unwrap_or_else(|_| as_text.clone());
    [as_json, as_text].into_iter().find(|value| {
        let table = Map::from_iter([(name.to_owned(), value.clone())]);
        serde_json::from_value::<Overrides>(table.into()).is_ok()
    })
}

//! JSON Schemas of the three kinds of configuration files, generated from the types.

use crate::types::{Application, Fleet, Kind, Proxy};
use schemars::schema_for;
use serde_json::Value;
use std::sync::LazyLock;

static FLEET: LazyLock<Value> = LazyLock::new(|| schema_for!(Fleet).to_value());
static APPLICATION: LazyLock<Value> = LazyLock::new(|| schema_for!(Application).to_value());
static PROXY: LazyLock<Value> = LazyLock::new(|| schema_for!(Proxy).to_value());

/// Returns the schema of a kind of file.
pub fn tree(kind: Kind) -> &'static Value {
    match kind {
        Kind::Fleet => &FLEET,
        Kind::Application => &APPLICATION,
        Kind::Proxy => &PROXY,
    }
}

/// Returns the schema of a kind of file as indented JSON.
pub fn text(kind: Kind) -> String {
    format!("{:#}\n", tree(kind))
}

#[cfg(test)]
mod tests;

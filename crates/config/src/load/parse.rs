//! Converts a tree of values into a typed document: checks its version and kind, then its keys, types and
//! ranges.

use crate::document::{Diagnostic, DiagnosticKind, Diagnostics, Key, KeyPart, Source, shape, top};
use crate::report::{Finding, SourceLocation};
use crate::schema;
use crate::types::{Application, Fleet, Kind, Proxy, VERSION};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// A typed document.
pub(super) enum TypedDocument {
    Fleet(Box<Fleet>),
    Application(Box<Application>),
    Proxy(Box<Proxy>),
}

/// The typed document, if it could be read, and the findings.
pub(super) struct Parsed {
    pub document: Option<TypedDocument>,
    pub findings: Vec<Finding>,
}

impl Parsed {
    fn failed(findings: Vec<Finding>) -> Parsed {
        Parsed { document: None, findings }
    }
}

/// A value that cannot be deserialized into its type.
struct TypeError {
    key: Key,
    message: String,
}

/// Converts a tree of values; `diagnostics` are about the values that JSON cannot represent.
pub(super) fn parse(source: &Source, mut value: Value, mut diagnostics: Diagnostics) -> Parsed {
    let kind = match check_version(source, &value).and_then(|()| kind_of(source, &value)) {
        Ok(kind) => kind,
        Err(finding) => return Parsed::failed(vec![finding]),
    };
    let values_are_missing = !diagnostics.is_empty();
    shape::check(schema::tree(kind), &mut value, &mut diagnostics);
    let findings: Vec<Finding> =
        diagnostics.iter().map(|(key, diagnostic)| finding_of(source, key, diagnostic)).collect();
    if values_are_missing {
        return Parsed::failed(findings);
    }
    match typed(kind, value) {
        Ok(document) => Parsed { document: Some(document), findings },
        Err(_) if !findings.is_empty() => Parsed::failed(findings),
        // The schema accepts some values that the types do not, such as malformed addresses.
        Err(TypeError { key, message }) => {
            let location = SourceLocation::of_key(source, &key, KeyPart::Value);
            Parsed::failed(vec![Finding::new("OC0004", message, location)])
        }
    }
}

/// OC0006: the version is not supported. A missing version is reported together with other missing keys.
fn check_version(source: &Source, value: &Value) -> Result<(), Finding> {
    match &value["version"] {
        Value::Number(version) if version.as_u64() != Some(VERSION.into()) => {
            let message = format!("version {version} of the format is not supported");
            let help = format!("this program supports version {VERSION}");
            Err(top_level_finding(source, "OC0006", "version", message).with_help(help))
        }
        _ => Ok(()),
    }
}

/// OC0003, OC0004, OC0007: the kind is missing, not a string, or unknown.
fn kind_of(source: &Source, value: &Value) -> Result<Kind, Finding> {
    let Some(name) = value["kind"].as_str() else {
        let code = if value["kind"].is_null() { "OC0003" } else { "OC0004" };
        let help = "write kind = \"fleet\", \"application\" or \"proxy\" at the top";
        let finding = top_level_finding(source, code, "kind", "`kind` is missing or not a string".to_owned());
        return Err(finding.with_help(help));
    };
    let kind = Kind::ALL.into_iter().find(|kind| kind.name() == name);
    kind.ok_or_else(|| top_level_finding(source, "OC0007", "kind", format!("unknown kind {name:?}")))
}

fn top_level_finding(source: &Source, code: &str, key: &str, message: String) -> Finding {
    Finding::new(code, message, SourceLocation::of_key(source, &top(key), KeyPart::Value))
}

fn typed(kind: Kind, value: Value) -> Result<TypedDocument, TypeError> {
    Ok(match kind {
        Kind::Fleet => TypedDocument::Fleet(Box::new(deserialize(value)?)),
        Kind::Application => TypedDocument::Application(Box::new(deserialize(value)?)),
        Kind::Proxy => TypedDocument::Proxy(Box::new(deserialize(value)?)),
    })
}

fn deserialize<T: DeserializeOwned>(value: Value) -> Result<T, TypeError> {
    serde_path_to_error::deserialize(value)
        .map_err(|error| TypeError { key: key_of(error.path()), message: error.into_inner().to_string() })
}

fn key_of(path: &serde_path_to_error::Path) -> Key {
    use serde_path_to_error::Segment;
    path.iter().fold(Key::default(), |key, segment| match segment {
        Segment::Seq { index } => key.at(*index),
        Segment::Map { key: name } => key.name(name.as_str()),
        Segment::Enum { .. } | Segment::Unknown => key,
    })
}

/// Converts a diagnostic into a finding with its location in the text.
fn finding_of(source: &Source, key: &Key, diagnostic: &Diagnostic) -> Finding {
    let code = match diagnostic.kind {
        DiagnosticKind::UnknownKey => "OC0002",
        DiagnosticKind::MissingKey => "OC0003",
        DiagnosticKind::WrongType => "OC0004",
        DiagnosticKind::OutOfRange | DiagnosticKind::MisplacedKey | DiagnosticKind::Contradiction => "OC0005",
        DiagnosticKind::UnknownWord => "OC0009",
    };
    let location = SourceLocation::of_key(source, key, diagnostic.part());
    Finding::new(code, diagnostic.message.clone(), location).with_help(diagnostic.help.clone())
}

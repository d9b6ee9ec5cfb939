//! From a tree of values to a typed document: its version and kind, then its keys, types and ranges.

use crate::document::{Diagnostic, DiagnosticKind, Diagnostics, Key, KeyPart, Source, shape, top};
use crate::report::{Finding, SourceLocation};
use crate::schema;
use crate::types::{Application, Fleet, Kind, Proxy, VERSION};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// One document with its types.
pub(super) enum TypedDocument {
    Fleet(Box<Fleet>),
    Application(Box<Application>),
    Proxy(Box<Proxy>),
}

/// What a tree of values says, as far as it can be read, and what is wrong with it.
pub(super) struct Parsed {
    pub document: Option<TypedDocument>,
    pub findings: Vec<Finding>,
}

impl Parsed {
    fn failed(findings: Vec<Finding>) -> Parsed {
        Parsed { document: None, findings }
    }
}

/// A value that a type does not take.
struct TypeError {
    key: Key,
    message: String,
}

/// Reads a tree of values; `diagnostics` are what the values could not hold.
pub(super) fn parse(source: &Source, mut value: Value, mut diagnostics: Diagnostics) -> Parsed {
    let kind = match check_version(source, &value).and_then(|()| kind_of(source, &value)) {
        Ok(kind) => kind,
        Err(finding) => return Parsed::failed(vec![finding]),
    };
    let values_are_missing = !diagnostics.is_empty();
    shape::check(schema::tree(kind), &mut value, &mut diagnostics);
    let findings: Vec<Finding> =
        diagnostics.iter().map(|(key, diagnostic)| located(source, key, diagnostic)).collect();
    if values_are_missing {
        return Parsed::failed(findings);
    }
    match typed(kind, value) {
        Ok(document) => Parsed { document: Some(document), findings },
        Err(_) if !findings.is_empty() => Parsed::failed(findings),
        // What the schema lets pass and the types do not: an address that is none.
        Err(TypeError { key, message }) => {
            let location = SourceLocation::of_key(source, &key, KeyPart::Value);
            Parsed::failed(vec![Finding::new("OC0004", message, location)])
        }
    }
}

/// OC0006: the version is not the one that this program reads. One that is missing is found with the other
/// keys.
fn check_version(source: &Source, value: &Value) -> Result<(), Finding> {
    match &value["version"] {
        Value::Number(version) if version.as_u64() != Some(VERSION.into()) => {
            let message = format!("version {version} of the format");
            let help = format!("this program reads version {VERSION}");
            Err(top_level_finding(source, "OC0006", "version", message).with_help(help))
        }
        _ => Ok(()),
    }
}

/// OC0003, OC0004, OC0007: the kind is missing, no text, or unknown.
fn kind_of(source: &Source, value: &Value) -> Result<Kind, Finding> {
    let Some(word) = value["kind"].as_str() else {
        let code = if value["kind"].is_null() { "OC0003" } else { "OC0004" };
        let help = "write kind = \"fleet\", \"application\" or \"proxy\" at the top";
        let finding = top_level_finding(source, code, "kind", "the file does not say its kind".to_owned());
        return Err(finding.with_help(help));
    };
    let kind = Kind::ALL.into_iter().find(|kind| kind.name() == word);
    kind.ok_or_else(|| top_level_finding(source, "OC0007", "kind", format!("unknown kind {word:?}")))
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

/// The finding for a diagnostic, with its place in the text.
fn located(source: &Source, key: &Key, diagnostic: &Diagnostic) -> Finding {
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

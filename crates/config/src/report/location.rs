//! Locations in configuration files: a file, a key and a span of its text.

use crate::document::{Key, KeyPart, Source, SourceSpan};
use serde::Serialize;

/// A location in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct SourceLocation {
    /// The file name.
    pub file: String,
    /// The key, such as `calls[0].listen`; empty if the location is not that of a key.
    pub key: String,
    /// The span in the text; `None` if the text is not available.
    #[serde(flatten)]
    pub span: Option<SourceSpan>,
    /// How the location relates to a finding; empty for the first location.
    #[serde(rename = "says", skip_serializing_if = "String::is_empty")]
    pub label: String,
}

impl SourceLocation {
    /// Returns the location of a whole file, or of something else with a name but without a text.
    pub fn of_file(file: impl Into<String>) -> SourceLocation {
        SourceLocation { file: file.into(), key: String::new(), span: None, label: String::new() }
    }

    /// Returns the location of a key or its value in a file.
    pub fn of_key(source: &Source, key: &Key, part: KeyPart) -> SourceLocation {
        SourceLocation {
            file: source.file.clone(),
            key: key.to_string(),
            span: Some(source.span(key, part)),
            label: String::new(),
        }
    }
}

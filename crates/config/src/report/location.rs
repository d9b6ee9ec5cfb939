//! Where something stands: a file, a key in it, and the place in its text.

use crate::document::{Key, KeyPart, Source, SourceSpan};
use serde::Serialize;

/// Where something stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct SourceLocation {
    /// The file.
    pub file: String,
    /// The key, such as `calls[0].listen`; empty where the fault is in no key.
    pub key: String,
    /// Where in the file; none where it cannot be read.
    #[serde(flatten)]
    pub span: Option<SourceSpan>,
    /// What this place has to do with a finding; empty at its first.
    #[serde(rename = "says", skip_serializing_if = "String::is_empty")]
    pub label: String,
}

impl SourceLocation {
    /// A file as a whole, or something else that has a name and no text.
    pub fn of_file(file: impl Into<String>) -> SourceLocation {
        SourceLocation { file: file.into(), key: String::new(), span: None, label: String::new() }
    }

    /// A key or its value in a file.
    pub fn of_key(source: &Source, key: &Key, part: KeyPart) -> SourceLocation {
        SourceLocation {
            file: source.file.clone(),
            key: key.to_string(),
            span: Some(source.span(key, part)),
            label: String::new(),
        }
    }
}

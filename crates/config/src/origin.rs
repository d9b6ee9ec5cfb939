//! The origin of a resolved value: its layer, and the file and key, or the environment variable, that set it.

use crate::document::{Key, KeyPart, Source};
use crate::report::SourceLocation;
use std::collections::BTreeMap;
use std::fmt;

/// The layers, from the lowest to the highest precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Layer {
    /// The program's own defaults.
    BuiltIn,
    /// The fleet file.
    Fleet,
    /// The application's tier in the fleet file.
    Tier,
    /// The application file.
    Application,
    /// A proxy file that is loaded without its fleet.
    Proxy,
    /// An environment variable.
    Environment,
}

/// The origin of a value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// The program's own defaults.
    BuiltIn,
    /// A file.
    File {
        /// The layer that set the value.
        layer: Layer,
        /// The index of the file among the loaded sources.
        source: usize,
        /// The key in the file.
        key: Key,
    },
    /// An environment variable.
    Variable(String),
}

/// The origins of one proxy's values, by their keys in the proxy file.
pub type Origins = BTreeMap<Key, Origin>;

impl Origin {
    /// The layer that set the value.
    pub fn layer(&self) -> Layer {
        match self {
            Origin::BuiltIn => Layer::BuiltIn,
            Origin::File { layer, .. } => *layer,
            Origin::Variable(_) => Layer::Environment,
        }
    }

    /// Returns the index of the file that set the value, or `None` if no file did.
    pub fn source(&self) -> Option<usize> {
        match self {
            Origin::File { source, .. } => Some(*source),
            Origin::BuiltIn | Origin::Variable(_) => None,
        }
    }

    /// Returns the location of the value.
    pub fn location(&self, sources: &[Source]) -> SourceLocation {
        match self {
            Origin::File { source, key, .. } if *source < sources.len() => {
                SourceLocation::of_key(&sources[*source], key, KeyPart::Value)
            }
            Origin::Variable(name) => SourceLocation::of_file(name.as_str()),
            _ => SourceLocation::of_file("built in"),
        }
    }

    /// Returns a short form for a comment, such as `fleet.toml:12 (tier)`.
    pub fn comment(&self, sources: &[Source]) -> String {
        match self {
            Origin::BuiltIn => "built in".to_owned(),
            Origin::Variable(name) => format!("variable {name}"),
            Origin::File { layer, source, key } => match sources.get(*source) {
                Some(source) => {
                    format!("{}:{} ({layer})", source.file, source.span(key, KeyPart::Value).line)
                }
                None => layer.to_string(),
            },
        }
    }
}

impl fmt::Display for Layer {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Layer::BuiltIn => "built in",
            Layer::Fleet => "fleet",
            Layer::Tier => "tier",
            Layer::Application => "application",
            Layer::Proxy => "proxy",
            Layer::Environment => "environment",
        })
    }
}

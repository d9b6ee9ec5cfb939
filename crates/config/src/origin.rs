//! Where a value came from: a layer, and in it a file and a key.

use crate::document::{Key, KeyPart, Source};
use crate::report::SourceLocation;
use std::collections::BTreeMap;
use std::fmt;

/// The layers, from the one that counts least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Layer {
    /// The program's own defaults.
    BuiltIn,
    /// The fleet.
    Fleet,
    /// The application's tier, as the fleet's file has it.
    Tier,
    /// The application.
    Application,
    /// What one proxy reads, where nothing else is known.
    Proxy,
    /// A variable of the environment.
    Environment,
}

/// Where a value came from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// The program's own defaults.
    BuiltIn,
    /// A file.
    File {
        /// The layer of the value.
        layer: Layer,
        /// The index of the file among those that were loaded.
        source: usize,
        /// The key of the value in the file.
        key: Key,
    },
    /// A variable of the environment.
    Variable(String),
}

/// Where the values of one proxy came from, by their keys in what it reads.
pub type Origins = BTreeMap<Key, Origin>;

impl Origin {
    /// The layer of the value.
    pub fn layer(&self) -> Layer {
        match self {
            Origin::BuiltIn => Layer::BuiltIn,
            Origin::File { layer, .. } => *layer,
            Origin::Variable(_) => Layer::Environment,
        }
    }

    /// The index of the file that the value stands in; none if it stands in no file.
    pub fn source(&self) -> Option<usize> {
        match self {
            Origin::File { source, .. } => Some(*source),
            Origin::BuiltIn | Origin::Variable(_) => None,
        }
    }

    /// Where the value stands.
    pub fn location(&self, sources: &[Source]) -> SourceLocation {
        match self {
            Origin::File { source, key, .. } if *source < sources.len() => {
                SourceLocation::of_key(&sources[*source], key, KeyPart::Value)
            }
            Origin::Variable(name) => SourceLocation::of_file(name.as_str()),
            _ => SourceLocation::of_file("built in"),
        }
    }

    /// The same in short, for a comment: `fleet.toml:12 (tier)`.
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

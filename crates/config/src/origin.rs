//! Where a value came from: a layer, and in it a file and a key.

use crate::document::{Key, Source};
use crate::report::Spot;
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
    /// A file: its layer, its place among the files that were loaded, the key.
    File(Layer, usize, Key),
    /// A variable of the environment.
    Variable(String),
}

/// Where the values of one proxy came from, by their keys in what it reads.
pub type Origins = BTreeMap<Key, Origin>;

impl Origin {
    /// Its layer.
    pub fn layer(&self) -> Layer {
        match self {
            Origin::BuiltIn => Layer::BuiltIn,
            Origin::File(layer, ..) => *layer,
            Origin::Variable(_) => Layer::Environment,
        }
    }

    /// Where it stands.
    pub fn spot(&self, sources: &[Source]) -> Spot {
        match self {
            Origin::File(_, at, key) if *at < sources.len() => spot(&sources[*at], key, false),
            Origin::Variable(name) => bare(name.clone()),
            _ => bare("built in".to_owned()),
        }
    }

    /// In short, for a comment: `fleet.toml:12 (tier)`.
    pub fn words(&self, sources: &[Source]) -> String {
        match self {
            Origin::BuiltIn => "built in".to_owned(),
            Origin::Variable(name) => format!("variable {name}"),
            Origin::File(layer, at, key) => match sources.get(*at) {
                Some(source) => format!("{}:{} ({layer})", source.file, source.place(key, false).line),
                None => layer.to_string(),
            },
        }
    }
}

fn bare(file: String) -> Spot {
    Spot { file, key: String::new(), place: None, says: String::new() }
}

/// A key's place in a file; with `name`, of the key itself.
pub fn spot(source: &Source, key: &Key, name: bool) -> Spot {
    let place = Some(source.place(key, name));
    Spot { file: source.file.clone(), key: key.to_string(), place, says: String::new() }
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

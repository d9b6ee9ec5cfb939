//! Sizes in bytes with a unit: `"64KiB"`, `"1.5MiB"`, `"2GB"`.

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;

/// A number of bytes; at most 2^50.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Size(u64);

/// An error while parsing a size.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ParseSizeError {
    /// The text is not a number with a unit.
    #[error("{0:?} is not a size: a number and one of B, KiB, MiB, GiB, kB, MB, GB")]
    Malformed(String),
    /// The size is above the maximum.
    #[error("{0:?} is more than 1024 TiB")]
    TooLarge(String),
}

/// The units with their sizes in bytes.
const UNITS: [(&str, u64); 7] = [
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("kB", 1000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
];

/// The maximum size, in bytes: more than any machine has.
const MAX_BYTES: u64 = 1 << 50;

impl Size {
    /// Creates a size from a number of bytes.
    pub const fn from_bytes(bytes: u64) -> Size {
        Size(bytes)
    }

    /// Returns the number of bytes.
    pub const fn bytes(self) -> u64 {
        self.0
    }
}

impl FromStr for Size {
    type Err = ParseSizeError;

    /// Parses a size and rounds it to whole bytes.
    fn from_str(text: &str) -> Result<Size, ParseSizeError> {
        let malformed = || ParseSizeError::Malformed(text.to_owned());
        let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').ok_or_else(malformed)?;
        let (number, unit) = text.split_at(end);
        let scale = UNITS.iter().find(|(name, _)| *name == unit.trim_start()).ok_or_else(malformed)?.1;
        let is_decimal = number.bytes().next().is_some_and(|b| b.is_ascii_digit()) && !number.ends_with('.');
        let number: f64 = number.parse().ok().filter(|_| is_decimal).ok_or_else(malformed)?;
        let bytes = (number * scale as f64).round();
        if bytes <= MAX_BYTES as f64 {
            Ok(Size(bytes as u64))
        } else {
            Err(ParseSizeError::TooLarge(text.to_owned()))
        }
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (unit, scale) = match self.0 {
            0 => ("B", 1),
            n if n.is_multiple_of(1 << 30) => ("GiB", 1 << 30),
            n if n.is_multiple_of(1 << 20) => ("MiB", 1 << 20),
            n if n.is_multiple_of(1 << 10) => ("KiB", 1 << 10),
            _ => ("B", 1),
        };
        write!(f, "{}{unit}", self.0 / scale)
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Size, D::Error> {
        Cow::<str>::deserialize(from)?.parse().map_err(D::Error::custom)
    }
}

impl Serialize for Size {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl JsonSchema for Size {
    fn schema_name() -> Cow<'static, str> {
        "Size".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "type": "string",
            "description": "A number of bytes: a number and one of B, KiB, MiB, GiB, kB, MB, GB.",
            "pattern": r"^[0-9]+(\.[0-9]+)?\s*(B|KiB|MiB|GiB|kB|MB|GB)$"
        })
    }
}

#[cfg(test)]
mod tests;

//! A length of time as scenario files write it: `"250ms"`, `"1.5s"`, `"20us"`, `"2m"`.

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A length of time, exact to the nanosecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

/// Why a text is not a length of time.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("{0:?} is not a length of time: a number and one of ns, us, ms, s, m")]
pub struct BadSpan(String);

const UNITS: [(&str, f64); 5] = [("ns", 1.0), ("us", 1e3), ("ms", 1e6), ("s", 1e9), ("m", 60e9)];

impl Span {
    /// From nanoseconds.
    pub const fn from_nanos(nanos: u64) -> Span {
        Span(nanos)
    }

    /// In nanoseconds.
    pub const fn nanos(self) -> u64 {
        self.0
    }

    /// In seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// For the standard library.
    pub const fn duration(self) -> Duration {
        Duration::from_nanos(self.0)
    }
}

impl FromStr for Span {
    type Err = BadSpan;

    fn from_str(text: &str) -> Result<Span, BadSpan> {
        let bad = || BadSpan(text.to_owned());
        let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.').ok_or_else(bad)?;
        let (number, unit) = text.split_at(digits);
        let scale = UNITS.iter().find(|(name, _)| *name == unit.trim()).ok_or_else(bad)?.1;
        let nanos = number.parse::<f64>().map_err(|_| bad())? * scale;
        // A year is more than anything here lasts.
        if nanos.is_finite() && nanos <= 365.0 * 86_400e9 {
            Ok(Span(nanos.round() as u64))
        } else {
            Err(bad())
        }
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (unit, scale) = match self.0 {
            0 => ("s", 1_000_000_000),
            n if n % 1_000_000_000 == 0 => ("s", 1_000_000_000),
            n if n % 1_000_000 == 0 => ("ms", 1_000_000),
            n if n % 1000 == 0 => ("us", 1000),
            _ => ("ns", 1),
        };
        write!(f, "{}{unit}", self.0 / scale)
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
        let text = Cow::<str>::deserialize(from)?;
        text.parse().map_err(D::Error::custom)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl JsonSchema for Span {
    fn schema_name() -> Cow<'static, str> {
        "Span".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "type": "string",
            "description": "A length of time: a number and one of ns, us, ms, s, m.",
            "pattern": r"^[0-9]+(\.[0-9]+)?\s*(ns|us|ms|s|m)$"
        })
    }
}

//! Durations with a unit: `"250ms"`, `"1.5s"`, `"20us"`, `"2m"`.

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A duration, exact to the nanosecond; at most 365 days.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

/// An error while parsing a duration.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ParseSpanError {
    /// The text is not a number with a unit.
    #[error("{0:?} is not a length of time: a number and one of ns, us, ms, s, m")]
    Malformed(String),
    /// The duration is above the maximum.
    #[error("{0:?} is longer than 365 days")]
    TooLong(String),
}

/// The units with their lengths in nanoseconds.
const UNITS: [(&str, u64); 5] =
    [("ns", 1), ("us", 1000), ("ms", 1_000_000), ("s", 1_000_000_000), ("m", 60_000_000_000)];

/// The maximum duration of 365 days, in nanoseconds.
const MAX_NANOS: u64 = 365 * 86_400 * 1_000_000_000;

impl Span {
    /// Creates a duration from nanoseconds.
    pub const fn from_nanos(nanos: u64) -> Span {
        Span(nanos)
    }

    /// Returns the nanoseconds.
    pub const fn nanos(self) -> u64 {
        self.0
    }

    /// Returns the seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// Converts to the duration type of the standard library.
    pub const fn duration(self) -> Duration {
        Duration::from_nanos(self.0)
    }
}

impl FromStr for Span {
    type Err = ParseSpanError;

    /// Parses a duration and rounds it to whole nanoseconds.
    fn from_str(text: &str) -> Result<Span, ParseSpanError> {
        let malformed = || ParseSpanError::Malformed(text.to_owned());
        let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').ok_or_else(malformed)?;
        let (number, unit) = text.split_at(end);
        let scale = UNITS.iter().find(|(name, _)| *name == unit.trim_start()).ok_or_else(malformed)?.1;
        let (whole, part) = number.split_once('.').unwrap_or((number, "0"));
        let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        if !digits(whole) || !digits(part) {
            return Err(malformed());
        }
        // 20 digits are more precise than a nanosecond for every unit, and the product below fits into a
        // u128.
        let part = &part[..part.len().min(20)];
        let divisor = 10u128.pow(part.len() as u32);
        let part =
            (part.parse::<u128>().map_err(|_| malformed())? * u128::from(scale) + divisor / 2) / divisor;
        let whole = whole.parse::<u64>().ok().and_then(|w| w.checked_mul(scale));
        match whole.and_then(|w| w.checked_add(u64::try_from(part).ok()?)) {
            Some(nanos) if nanos <= MAX_NANOS => Ok(Span(nanos)),
            _ => Err(ParseSpanError::TooLong(text.to_owned())),
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

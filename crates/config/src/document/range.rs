//! The range of a number as a schema gives it.

use serde_json::Value;

/// Why a number is out of the range of its schema; none if it is not, or if the value is no number.
pub(super) fn out_of_range(schema: &Value, value: &Value) -> Option<String> {
    let number = value.as_f64()?;
    let limit = |name: &str| schema[name].as_f64();
    if let Some(limit) = limit("exclusiveMinimum").filter(|limit| number <= *limit) {
        return Some(format!("{value} is not above {limit}"));
    }
    if let Some(limit) = limit("minimum").filter(|limit| number < *limit) {
        return Some(format!("{value} is below {limit}"));
    }
    let largest = limit("maximum").unwrap_or_else(|| largest_of_format(schema));
    (number > largest).then(|| format!("{value} is above {largest}"))
}

/// The largest number that a schema's format can hold.
fn largest_of_format(schema: &Value) -> f64 {
    if schema["format"] == "uint32" { f64::from(u32::MAX) } else { f64::INFINITY }
}

//! Checks of numbers against the range in a schema.

use serde_json::Value;

/// Returns why a number is out of the range of its schema, or `None` if it is in range or not a number.
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

/// Returns the largest number of a schema's format.
fn largest_of_format(schema: &Value) -> f64 {
    if schema["format"] == "uint32" { f64::from(u32::MAX) } else { f64::INFINITY }
}

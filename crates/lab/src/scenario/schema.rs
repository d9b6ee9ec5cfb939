//! The JSON Schema of scenario files, generated from the types.

use super::Scenario;
use serde_json::Value;
use std::sync::LazyLock;

static SCHEMA: LazyLock<Value> = LazyLock::new(|| schemars::schema_for!(Scenario).to_value());

/// The JSON Schema of scenario files, as `scenarios/schema.json` holds it.
pub fn schema() -> String {
    format!("{:#}\n", *SCHEMA)
}

pub(super) fn tree() -> &'static Value {
    &SCHEMA
}

#[cfg(test)]
mod tests {
    #[test]
    fn the_schema_says_nothing_that_is_not_understood() {
        assert_eq!(olivecart_config::document::shape::check_keywords(super::tree()), Ok(()));
    }
}

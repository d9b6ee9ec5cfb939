//! Scenarios for tests.

use olivecart_lab::model::{PolicyChoice, Topology};
use olivecart_lab::scenario::Scenario;
use std::sync::Arc;
use std::time::Duration;

/// Longer than anything takes on any machine; a test that gets here has failed.
pub const NEVER: Duration = Duration::from_secs(60);

/// A scenario with a class of each effect and fast discovery, and whatever else is given.
pub fn scenario(rest: &str) -> Scenario {
    let times = r#"aim = "1s", deadline = "3s", work = { dist = "fixed", mean = "1ms" }"#;
    let text = format!(
        r#"
        version = 1
        name = "test"
        length = "30s"
        class = [
            {{ name = "read", effect = "repeatable", {times} }},
            {{ name = "book", effect = "by_key", group = "cell", window = "10s", {times} }},
        ]
        clients = {{ rate = 100.0 }}
        discovery = {{ lag = "1ms", calls_per_s = 10000.0 }}
        {rest}
        "#
    );
    Scenario::parse("test", &text).unwrap().into_inner()
}

/// What seed 1 makes of it.
pub fn topology(scenario: &Scenario) -> Arc<Topology> {
    let policy = PolicyChoice::named("olivecart").unwrap();
    Arc::new(Topology::new(scenario.clone(), 1, policy))
}

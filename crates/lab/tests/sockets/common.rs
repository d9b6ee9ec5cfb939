//! Scenarios and raw requests.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use olivecart_lab::model::World;
use olivecart_lab::policy::named;
use olivecart_lab::scenario::Scenario;
use olivecart_lab::sockets::client::{Answer, CallError, Pool};
use olivecart_lab::sockets::fleet::Fleet;
use olivecart_lab::sockets::stream::Loopback;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longer than anything takes on any machine; a test that gets here has failed.
pub const NEVER: Duration = Duration::from_secs(60);

/// A scenario with a class of each effect and fast discovery, and whatever else is given.
pub fn scenario(rest: &str) -> Scenario {
    let text = format!(
        r#"
        version = 1
        name = "test"
        length = "30s"
        class = [
            {{ name = "read", aim = "1s", deadline = "3s", effect = "repeatable", work = {{ dist = "fixed", mean = "1ms" }} }},
            {{ name = "book", aim = "1s", deadline = "3s", effect = "by_key", group = "cell", window = "10s", work = {{ dist = "fixed", mean = "1ms" }} }},
        ]
        clients = {{ rate = 100.0 }}
        discovery = {{ lag = "1ms", calls_per_s = 10000.0 }}
        {rest}
        "#
    );
    Scenario::parse("test", &text).unwrap().into_inner()
}

/// What seed 1 makes of it.
pub fn world(scenario: &Scenario) -> Arc<World> {
    let maker = named("olivecart").unwrap();
    Arc::new(World::new(scenario.clone(), 1, "olivecart", maker, false))
}

/// Its servers.
pub fn fleet(scenario: &Scenario) -> Fleet {
    Fleet::start(world(scenario), &Loopback::new()).unwrap()
}

/// A request of a class, with further headers.
pub fn request(class: &str, headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let all = [("x-request-id", "r1"), ("x-class", class)];
    let mut request = Request::post("/api");
    for (name, value) in all.iter().chain(headers).filter(|(_, value)| !value.is_empty()) {
        request = request.header(*name, *value);
    }
    request.body(Full::default()).unwrap()
}

/// A plain GET.
pub fn get(path: &str) -> Request<Full<Bytes>> {
    Request::get(path).body(Full::default()).unwrap()
}

/// One request on a connection of its own, or on a kept one of a pool.
pub async fn call(to: SocketAddr, request: Request<Full<Bytes>>) -> Result<Answer, CallError> {
    on(&Pool::new(to, 1), request).await
}

/// The same.
pub async fn on(pool: &Pool, request: Request<Full<Bytes>>) -> Result<Answer, CallError> {
    tokio::time::timeout(NEVER, pool.call(request)).await.expect("an answer in time")
}

/// An answer's status, whether it says that nothing ran, and its body.
pub fn brief(answer: &Answer) -> (u16, bool, String) {
    let not_run = answer.headers.get("x-not-run").is_some_and(|v| v == "1");
    (answer.status.as_u16(), not_run, String::from_utf8_lossy(&answer.body).trim().to_owned())
}

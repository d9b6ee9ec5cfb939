//! Several clusters in one proxy, from watched files. The language is in `scenario/mod.rs`.

mod scenario;
use scenario::play_clusters;

/// Two clusters of one file, nothing held back, the registry for one path.
const OPERATORS: &str = r#"version = 1
default = "cart"
[[sources]]
name = "fleet"
file = "fleet.toml"
[[rules]]
cluster = "book"
class = "book"
[[rules]]
cluster = "book"
authority = "*.books.internal"
path = "/v2"
[[rules]]
cluster = "registry"
path = "/old"
[catalog]
hold = "0s"
"#;

#[test]
fn a_request_goes_to_the_cluster_that_the_rules_say_and_waits_for_none_that_is_not_there() {
    play_clusters(
        OPERATORS,
        "c send GET /1
         c expect 503 retry-after=* | refused: cluster cart is not there yet\\n
         c send GET /old/1
         a expect GET /old/1
         a send 200 | registry
         c expect 200 | registry
         disk list fleet.toml cart=d book=e
         proxy expect log changed: fleet said so
         proxy expect log changed: fleet said so
         c send GET /1
         d expect GET /1
         d send 200 | cart
         c expect 200 | cart
         c send POST /1 X-Class=book | x
         e expect POST /1 | x
         e send 200 | book
         c expect 200 | book
         c send GET /v2/x Host=eu.books.internal:80
         e expect GET /v2/x host=eu.books.internal:80
         e send 200 | book
         c expect 200 | book
         c send raw GET http://eu.books.internal/v2 HTTP/1.1\\r\\nHost: other\\r\\nX-Request-Id: r\\r\\nX-Class: view\\r\\n\\r\\n
         e expect GET /v2
         e send 200 | book
         c expect 200 | book
         c send GET /v2x Host=eu.books.internal
         d expect GET /v2x
         d send 200 | cart
         c expect 200 | cart",
    );
}

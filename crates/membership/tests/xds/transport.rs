//! The shell against the scripted control plane on loopback.

use super::harness::{at, bad, config, eds};
use olivecart_lab::control_plane::{ControlPlane, Kind, Resources};
use olivecart_membership::source::{
    EVENT_QUEUE_CAPACITY, REFETCH_QUEUE_CAPACITY, RefetchRequest, SourceEvent,
};
use olivecart_membership::xds::session::{Config, Variant};
use olivecart_membership::xds::transport::{Target, run};
use olivecart_membership::{Catalog, Event, Policy};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::task::JoinHandle;

struct Proxy {
    catalog: Catalog,
    events: Receiver<SourceEvent>,
    asks: Sender<RefetchRequest>,
    task: JoinHandle<()>,
    start: Instant,
    notes: Arc<Mutex<Vec<String>>>,
}

impl Proxy {
    fn start(plane: &ControlPlane, variant: Variant, max_message: usize) -> Proxy {
        let (sink, events) = channel(EVENT_QUEUE_CAPACITY);
        let (asks, answers) = channel(REFETCH_QUEUE_CAPACITY);
        let notes: Arc<Mutex<Vec<String>>> = Arc::default();
        let target = Target { max_message, ..Target::new(plane.address().to_string()) };
        let short = Duration::from_millis(20);
        let config = Config { backoff_base: short, backoff_most: short, ..config(variant) };
        let log = notes.clone();
        let task = tokio::spawn(run(target, config, sink, answers, move |note| {
            log.lock().expect("no panic").push(note.to_string());
        }));
        let catalog = Catalog::new(Policy::default(), ["xds".into()]).expect("the default policy");
        Proxy { catalog, events, asks, task, start: Instant::now(), notes }
    }

    /// Passes on what is heard until it is so.
    async fn until(&mut self, wanted: impl Fn(&Catalog) -> bool) {
        while !wanted(&self.catalog) {
            let events = self.events.recv().await.expect("the source goes on");
            assert_eq!(events.source.as_str(), "xds");
            let now = self.start.elapsed().as_nanos() as u64;
            self.catalog.handle(now, events.event, &mut Vec::new());
        }
    }

    async fn until_serves(&mut self, ids: &[&str]) {
        let ids: Vec<String> = ids.iter().map(|id| (*id).to_owned()).collect();
        self.until(|catalog| {
            let cart = catalog.cluster(&"cart".into());
            cart.is_some_and(|cart| cart.endpoints().map(|e| e.name.to_string()).eq(ids.iter().cloned()))
        })
        .await;
    }
}

fn serving(ids: &[&str]) -> Resources {
    let mut resources = Resources::default();
    resources.set_cluster("cart");
    set(&mut resources, ids);
    resources
}

fn set(resources: &mut Resources, ids: &[&str]) {
    let list: Vec<_> = ids.iter().map(|id| (*id, at(id))).collect();
    resources.set_endpoints("cart", &list);
}

const MEBI: usize = 1 << 20;
const BOTH: [Variant; 2] = [Variant::StateOfTheWorld, Variant::Incremental];

/// Runs a test on one thread, as the proxy does, within a time that no test needs.
fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        tokio::time::timeout(Duration::from_secs(60), test).await.expect("it comes to an end");
    });
}

#[test]
fn a_stream_that_drops_is_resumed() {
    on_one_thread(async {
        for variant in BOTH {
            let plane = ControlPlane::start(serving(&["a", "b"])).await.expect("a port");
            let mut proxy = Proxy::start(&plane, variant, MEBI);
            proxy.until_serves(&["a", "b"]).await;
            let told = match variant {
                Variant::Incremental => ["1 < EDS nonce=\"2\"", "subscribe=[]"],
                Variant::StateOfTheWorld => ["1 < EDS version=\"2\" nonce=\"2\"", "names=[cart]"],
            };
            let (line, _) = plane.journal().wait_for(0, &told).await;
            plane.drop_streams();
            let told = match variant {
                Variant::Incremental => ["2 < EDS nonce=\"\"", "initial={cart=2}"],
                Variant::StateOfTheWorld => ["2 < EDS version=\"2\" nonce=\"\"", "names=[cart]"],
            };
            plane.journal().wait_for(line, &told).await;
            // Clusters come anew, and of endpoints only what changes from here on.
            plane.change(|resources| set(resources, &["a", "b", "c"]));
            proxy.until_serves(&["a", "b", "c"]).await;
            let again = plane.journal().lines().iter().filter(|line| line.starts_with("2 > CDS")).count();
            assert_eq!(again, 1, "{:#?}", plane.journal().lines());
            // The task ends with its listener.
            drop(proxy.events);
            proxy.task.await.expect("no panic");
        }
    });
}

#[test]
fn a_control_plane_that_restarts_begins_its_versions_again() {
    on_one_thread(async {
        for variant in BOTH {
            let mut resources = Resources::starting_at(100);
            resources.set_cluster("cart");
            set(&mut resources, &["a", "b"]);
            let plane = ControlPlane::start(resources).await.expect("a port");
            let mut proxy = Proxy::start(&plane, variant, MEBI);
            proxy.until_serves(&["a", "b"]).await;
            plane.restart(serving(&["b", "c"]));
            proxy.until_serves(&["b", "c"]).await;
            let cart = proxy.catalog.cluster(&"cart".into()).expect("it serves");
            assert_eq!(cart.version.as_str(), "2");
        }
    });
}

#[test]
fn a_refusal_reaches_the_control_plane_with_its_reason() {
    on_one_thread(async {
        for variant in BOTH {
            let plane = ControlPlane::start(serving(&["a"])).await.expect("a port");
            let mut proxy = Proxy::start(&plane, variant, MEBI);
            proxy.until_serves(&["a"]).await;
            plane.send(Kind::Cds, "77", vec![("x".into(), bad("x"))], &[]);
            let reason = "error=\"Cluster \\\"x\\\": load_assignment: must be set if the type is STATIC\"";
            let (line, _) = plane.journal().wait_for(0, &["< CDS", reason]).await;
            // A nonce that has been is not answered; what comes after it is.
            plane.repeat(Kind::Eds);
            plane.change(|resources| set(resources, &["a", "b"]));
            proxy.until_serves(&["a", "b"]).await;
            let lines = plane.journal().lines();
            let repeated = lines[line..].iter().filter(|line| line.contains("> EDS")).count();
            assert_eq!(repeated, 2, "the old one and the new one: {lines:#?}");
            assert!(
                proxy.notes.lock().expect("no panic").iter().any(|note| note.contains("has come before"))
            );
        }
    });
}

#[test]
fn the_catalog_asks_over_the_stream() {
    on_one_thread(async {
        let plane = ControlPlane::start(serving(&["a"])).await.expect("a port");
        let mut proxy = Proxy::start(&plane, Variant::Incremental, MEBI);
        proxy.until_serves(&["a"]).await;
        let (line, _) = plane.journal().wait_for(0, &["1 < EDS nonce=\"2\""]).await;
        proxy.asks.send(RefetchRequest { cluster: "cart".into() }).await.expect("it listens");
        plane.journal().wait_for(line, &["1 < EDS nonce=\"\"", "subscribe=[cart]"]).await;
        let events = proxy.events.recv().await.expect("the answer");
        assert!(matches!(events.event, Event::Update { .. }));
    });
}

#[test]
fn a_message_that_is_too_large_ends_the_stream_and_nothing_else() {
    on_one_thread(async {
        let plane = ControlPlane::start(serving(&["a"])).await.expect("a port");
        let mut proxy = Proxy::start(&plane, Variant::Incremental, 4096);
        proxy.until_serves(&["a"]).await;
        let ids: Vec<String> = (0..200).map(|i| format!("endpoint-{i:03}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        plane.send(Kind::Eds, "9", vec![("cart".into(), eds("cart", &ids))], &[]);
        plane.journal().wait_for(0, &["2 < CDS"]).await;
        plane.change(|resources| set(resources, &["a", "b"]));
        proxy.until_serves(&["a", "b"]).await;
        let notes = proxy.notes.lock().expect("no panic").clone();
        assert!(notes.iter().any(|note| note.contains("decoded message length too large")), "{notes:#?}");
    });
}

#[test]
fn a_flood_waits_at_the_control_plane() {
    on_one_thread(async {
        let plane = ControlPlane::start(serving(&["a"])).await.expect("a port");
        let mut proxy = Proxy::start(&plane, Variant::Incremental, 4 * MEBI);
        proxy.until_serves(&["a"]).await;
        // Each of 1 MB. Nobody takes what is heard, so the source must stop reading.
        let mut large = super::harness::list("cart", &["a"]);
        large.named_endpoints.insert("x".repeat(MEBI), Default::default());
        let large = envoy_types::util::pack_any(large);
        let (line, _) = plane.journal().wait_for(0, &["1 < EDS nonce=\"2\""]).await;
        plane.flood(Kind::Eds, "9", vec![("cart".into(), large)], &[], 1000);
        // The sink fills; then the windows of the stream, and what waits in the stand-in.
        plane.journal().wait_for(line, &["1 > EDS", "nonce=\"8\""]).await;
        let sent = || plane.journal().lines().iter().filter(|line| line.contains("1 > EDS")).count();
        for _ in 0..10_000 {
            tokio::task::yield_now().await;
        }
        assert!(sent() < 100, "{} of 1000 were sent before anybody listened", sent());
        // Whoever listens again hears on: a burst of 20, and then one in 150 ms.
        let (mut events, begin) = (0, Instant::now());
        while events < 36 {
            let SourceEvent { event, .. } = proxy.events.recv().await.expect("the source goes on");
            events += u32::from(matches!(event, Event::Update { .. }));
        }
        assert!(begin.elapsed() > Duration::from_millis(150) * (36 - 21 - EVENT_QUEUE_CAPACITY as u32 - 2));
    });
}

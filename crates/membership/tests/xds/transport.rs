//! The transport against a scripted control plane on loopback.

use super::harness::{address_of, config, eds, invalid_cluster};
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
    refetch_requests: Sender<RefetchRequest>,
    task: JoinHandle<()>,
    start: Instant,
    notices: Arc<Mutex<Vec<String>>>,
}

impl Proxy {
    fn start(plane: &ControlPlane, variant: Variant, max_message: usize) -> Proxy {
        let (event_sender, events) = channel(EVENT_QUEUE_CAPACITY);
        let (refetch_requests, refetch_receiver) = channel(REFETCH_QUEUE_CAPACITY);
        let notices: Arc<Mutex<Vec<String>>> = Arc::default();
        let target = Target { max_message, ..Target::new(plane.address().to_string()) };
        let short = Duration::from_millis(20);
        let config = Config { backoff_base: short, backoff_most: short, ..config(variant) };
        let log = notices.clone();
        let task = tokio::spawn(run(target, config, event_sender, refetch_receiver, move |notice| {
            log.lock().expect("no panic").push(notice.to_string());
        }));
        let catalog = Catalog::new(Policy::default(), ["xds".into()]).expect("default policy is valid");
        Proxy { catalog, events, refetch_requests, task, start: Instant::now(), notices }
    }

    /// Passes events to the catalog until the condition is met.
    async fn wait_until(&mut self, condition: impl Fn(&Catalog) -> bool) {
        while !condition(&self.catalog) {
            let events = self.events.recv().await.expect("source is running");
            assert_eq!(events.source.as_str(), "xds");
            let now = self.start.elapsed().as_nanos() as u64;
            self.catalog.handle(now, events.event, &mut Vec::new());
        }
    }

    async fn wait_until_served(&mut self, ids: &[&str]) {
        let ids: Vec<String> = ids.iter().map(|id| (*id).to_owned()).collect();
        self.wait_until(|catalog| {
            let cart = catalog.cluster(&"cart".into());
            cart.is_some_and(|cart| cart.endpoints().map(|e| e.name.to_string()).eq(ids.iter().cloned()))
        })
        .await;
    }
}

fn serving(ids: &[&str]) -> Resources {
    let mut resources = Resources::default();
    resources.set_cluster("cart");
    set_endpoints(&mut resources, ids);
    resources
}

fn set_endpoints(resources: &mut Resources, ids: &[&str]) {
    let list: Vec<_> = ids.iter().map(|id| (*id, address_of(id))).collect();
    resources.set_endpoints("cart", &list);
}

const MIB: usize = 1 << 20;
const BOTH: [Variant; 2] = [Variant::StateOfTheWorld, Variant::Incremental];

/// Runs a test on one thread, as the proxy does, with a timeout far above what a test needs.
fn run_on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime starts");
    runtime.block_on(async {
        tokio::time::timeout(Duration::from_secs(60), test).await.expect("test finishes within the timeout");
    });
}

#[test]
fn lost_stream_is_resumed() {
    run_on_one_thread(async {
        for variant in BOTH {
            let plane = ControlPlane::start(serving(&["a", "b"])).await.expect("control plane listens");
            let mut proxy = Proxy::start(&plane, variant, MIB);
            proxy.wait_until_served(&["a", "b"]).await;
            let expected = match variant {
                Variant::Incremental => ["1 < EDS nonce=\"2\"", "subscribe=[]"],
                Variant::StateOfTheWorld => ["1 < EDS version=\"2\" nonce=\"2\"", "names=[cart]"],
            };
            let (line, _) = plane.journal().wait_for(0, &expected).await;
            plane.drop_streams();
            let expected = match variant {
                Variant::Incremental => ["2 < EDS nonce=\"\"", "initial={cart=2}"],
                Variant::StateOfTheWorld => ["2 < EDS version=\"2\" nonce=\"\"", "names=[cart]"],
            };
            plane.journal().wait_for(line, &expected).await;
            // The new stream sends all clusters, but only changed endpoints.
            plane.change(|resources| set_endpoints(resources, &["a", "b", "c"]));
            proxy.wait_until_served(&["a", "b", "c"]).await;
            let cluster_responses =
                plane.journal().lines().iter().filter(|line| line.starts_with("2 > CDS")).count();
            assert_eq!(cluster_responses, 1, "{:#?}", plane.journal().lines());
            // The task ends when the receiver of its events is dropped.
            drop(proxy.events);
            proxy.task.await.expect("no panic");
        }
    });
}

#[test]
fn restarted_control_plane_with_smaller_versions_is_followed() {
    run_on_one_thread(async {
        for variant in BOTH {
            let mut resources = Resources::starting_at(100);
            resources.set_cluster("cart");
            set_endpoints(&mut resources, &["a", "b"]);
            let plane = ControlPlane::start(resources).await.expect("control plane listens");
            let mut proxy = Proxy::start(&plane, variant, MIB);
            proxy.wait_until_served(&["a", "b"]).await;
            plane.restart(serving(&["b", "c"]));
            proxy.wait_until_served(&["b", "c"]).await;
            let cart = proxy.catalog.cluster(&"cart".into()).expect("cluster is served");
            assert_eq!(cart.version.as_str(), "2");
        }
    });
}

#[test]
fn rejection_reaches_the_control_plane_with_its_reason() {
    run_on_one_thread(async {
        for variant in BOTH {
            let plane = ControlPlane::start(serving(&["a"])).await.expect("control plane listens");
            let mut proxy = Proxy::start(&plane, variant, MIB);
            proxy.wait_until_served(&["a"]).await;
            plane.send(Kind::Cds, "77", vec![("x".into(), invalid_cluster("x"))], &[]);
            let reason = "error=\"Cluster \\\"x\\\": load_assignment: must be set if the type is STATIC\"";
            let (line, _) = plane.journal().wait_for(0, &["< CDS", reason]).await;
            // A repeated nonce is ignored; the next response is handled.
            plane.repeat(Kind::Eds);
            plane.change(|resources| set_endpoints(resources, &["a", "b"]));
            proxy.wait_until_served(&["a", "b"]).await;
            let lines = plane.journal().lines();
            let repeated = lines[line..].iter().filter(|line| line.contains("> EDS")).count();
            assert_eq!(repeated, 2, "the repeated response and the new one: {lines:#?}");
            assert!(
                proxy
                    .notices
                    .lock()
                    .expect("no panic")
                    .iter()
                    .any(|notice| notice.contains("was already received"))
            );
        }
    });
}

#[test]
fn refetch_request_is_sent_on_the_stream() {
    run_on_one_thread(async {
        let plane = ControlPlane::start(serving(&["a"])).await.expect("control plane listens");
        let mut proxy = Proxy::start(&plane, Variant::Incremental, MIB);
        proxy.wait_until_served(&["a"]).await;
        let (line, _) = plane.journal().wait_for(0, &["1 < EDS nonce=\"2\""]).await;
        proxy
            .refetch_requests
            .send(RefetchRequest { cluster: "cart".into() })
            .await
            .expect("transport is running");
        plane.journal().wait_for(line, &["1 < EDS nonce=\"\"", "subscribe=[cart]"]).await;
        let events = proxy.events.recv().await.expect("response event");
        assert!(matches!(events.event, Event::Update { .. }));
    });
}

#[test]
fn oversized_message_ends_only_the_stream() {
    run_on_one_thread(async {
        let plane = ControlPlane::start(serving(&["a"])).await.expect("control plane listens");
        let mut proxy = Proxy::start(&plane, Variant::Incremental, 4096);
        proxy.wait_until_served(&["a"]).await;
        let ids: Vec<String> = (0..200).map(|i| format!("endpoint-{i:03}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        plane.send(Kind::Eds, "9", vec![("cart".into(), eds("cart", &ids))], &[]);
        plane.journal().wait_for(0, &["2 < CDS"]).await;
        plane.change(|resources| set_endpoints(resources, &["a", "b"]));
        proxy.wait_until_served(&["a", "b"]).await;
        let notices = proxy.notices.lock().expect("no panic").clone();
        assert!(
            notices.iter().any(|notice| notice.contains("decoded message length too large")),
            "{notices:#?}"
        );
    });
}

#[test]
fn flood_of_responses_waits_at_the_control_plane() {
    run_on_one_thread(async {
        let plane = ControlPlane::start(serving(&["a"])).await.expect("control plane listens");
        let mut proxy = Proxy::start(&plane, Variant::Incremental, 4 * MIB);
        proxy.wait_until_served(&["a"]).await;
        // Responses of 1 MiB each. The events are not received, so the source must stop reading.
        let mut large = super::harness::assignment("cart", &["a"]);
        large.named_endpoints.insert("x".repeat(MIB), Default::default());
        let large = envoy_types::util::pack_any(large);
        let (line, _) = plane.journal().wait_for(0, &["1 < EDS nonce=\"2\""]).await;
        plane.flood(Kind::Eds, "9", vec![("cart".into(), large)], &[], 1000);
        // The event queue fills first, then the flow control windows and the queue of the control plane
        // stand-in.
        plane.journal().wait_for(line, &["1 > EDS", "nonce=\"8\""]).await;
        let sent = || plane.journal().lines().iter().filter(|line| line.contains("1 > EDS")).count();
        for _ in 0..10_000 {
            tokio::task::yield_now().await;
        }
        assert!(sent() < 100, "{} of 1000 responses were sent before the events were received", sent());
        // Once the events are received again, reading continues: a burst of 20, then one response per 150 ms.
        let (mut events, begin) = (0, Instant::now());
        while events < 36 {
            let SourceEvent { event, .. } = proxy.events.recv().await.expect("source is running");
            events += u32::from(matches!(event, Event::Update { .. }));
        }
        assert!(begin.elapsed() > Duration::from_millis(150) * (36 - 21 - EVENT_QUEUE_CAPACITY as u32 - 2));
    });
}

//! The admin listener of the sidecar, on loopback. Reports readiness, the configuration in force, the
//! clusters and metrics, and accepts a request to shut down.

use super::{Listener, Sidecar};
use crate::accept::Acceptor;
use crate::interrupted::Uninterrupted;
use actix_http::{HttpService, Method, Request, Response, StatusCode};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use bytes::Bytes;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use slog::{Logger, warn};
use std::convert::Infallible;
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// The maximum number of connections. The listener is for a few operators and must not use up descriptors.
const MAX_CONNECTIONS: usize = 4;

/// Serves until the runtime ends.
pub async fn serve(listener: TcpListener, sidecar: Rc<Sidecar>, log: Logger) {
    let service = HttpService::build().client_request_timeout(Duration::from_secs(2)).h1(fn_service(
        move |request: Request| {
            let response = handle_request(&sidecar, &request);
            async move { Ok::<_, Infallible>(response) }
        },
    )
    .into_factory());
    let Ok(service) = service.new_service(()).await else {
        return warn!(log, "admin listener failed to start");
    };
    let (service, permits) = (Rc::new(service), Arc::new(Semaphore::new(MAX_CONNECTIONS)));
    let mut acceptor = Acceptor::new(listener, "admin", log);
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let (stream, peer) = acceptor.accept(|| {}).await; // no connection can be evicted
        let service = service.clone();
        actix_rt::spawn(async move {
            let _ = service.call((Uninterrupted(stream), Some(peer))).await;
            drop(permit);
        });
    }
}

fn handle_request(sidecar: &Sidecar, request: &Request) -> Response<Bytes> {
    let respond = |status, text: String| Response::with_body(status, Bytes::from(text));
    match (request.method(), request.path()) {
        (&Method::GET, "/ready") => match sidecar.is_ready() {
            true => respond(StatusCode::OK, "ready\n".into()),
            false => respond(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        },
        (&Method::GET, "/config") => respond(StatusCode::OK, sidecar.config.clone()),
        (&Method::GET, "/clusters") => respond(StatusCode::OK, format_clusters(sidecar)),
        (&Method::GET, "/metrics") => respond(StatusCode::OK, encode_metrics(sidecar)),
        (&Method::POST, "/drain") => {
            sidecar.shutdown.notify_one();
            respond(StatusCode::OK, "leaving\n".into())
        }
        (_, "/ready" | "/config" | "/clusters" | "/metrics" | "/drain") => {
            respond(StatusCode::METHOD_NOT_ALLOWED, "method not allowed: POST /drain, GET all else\n".into())
        }
        _ => respond(
            StatusCode::NOT_FOUND,
            "there are /ready, /config, /clusters, /metrics and /drain\n".into(),
        ),
    }
}

/// Lists the clusters of each listener, one per line.
fn format_clusters(sidecar: &Sidecar) -> String {
    let mut out = String::new();
    for Listener { name: listener, control, clusters } in &sidecar.listeners {
        // Writing to a string does not fail.
        let _ = writeln!(out, "listener {listener}: connections {}", control.connections());
        for place in clusters.routes.all() {
            let _ = match place.context() {
                Some(context) => writeln!(
                    out,
                    "    cluster {}: takes requests {}, open requests {}, connections {}, refused {}",
                    place.cluster,
                    context.backends.any_takes_requests(),
                    context.open_requests(),
                    context.backends.connections(),
                    place.refused()
                ),
                None => {
                    writeln!(out, "    cluster {}: not there, refused {}", place.cluster, place.refused())
                }
            };
        }
    }
    out
}

type Labels = Vec<(String, String)>;

/// Returns the metrics in the Prometheus text format.
fn encode_metrics(sidecar: &Sidecar) -> String {
    let mut registry = Registry::with_prefix("olivecart");
    let family = |registry: &mut Registry, name: &str, help: &str| {
        let family = Family::<Labels, Gauge>::default();
        registry.register(name, help, family.clone());
        family
    };
    let ready = Gauge::<i64>::default();
    ready.set(sidecar.is_ready().into());
    registry.register("ready", "Whether requests are welcome", ready);
    let endpoints = Gauge::<i64>::default();
    endpoints.set(sidecar.descriptors.open() as i64);
    registry.register("endpoint_connections", "Open connections to endpoints of all clusters", endpoints);
    let clients = family(&mut registry, "client_connections", "Open connections of clients, by listener");
    let open = family(&mut registry, "open_requests", "Open requests, by listener and cluster");
    let refused =
        family(&mut registry, "refused_absent", "Requests refused since their cluster was not there");
    for Listener { name: listener, control, clusters } in &sidecar.listeners {
        let label = |name: &str, value: &str| (name.to_owned(), value.to_owned());
        clients.get_or_create(&vec![label("listener", listener)]).set(control.connections() as i64);
        for place in clusters.routes.all() {
            let labels = vec![label("listener", listener), label("cluster", &place.cluster)];
            let requests = place.context().map_or(0, |context| context.open_requests());
            open.get_or_create(&labels).set(requests as i64);
            refused.get_or_create(&labels).set(place.refused() as i64);
        }
    }
    let mut out = String::new();
    let _ = encode(&mut out, &registry);
    out
}

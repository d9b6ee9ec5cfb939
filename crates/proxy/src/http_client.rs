//! HTTP clients on a single connection, whose bytes pass through a [`ResponseMonitor`].

use crate::response_monitor::ResponseMonitor;
use crate::wire::ObservedStream;
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};
use std::cell::RefCell;
use std::future::{Future, ready};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// The connect timeout of clients whose connection is already established, so that they never wait.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(60);

/// Passes an established connection to the client that uses it.
pub type Established = Rc<RefCell<Option<TcpStream>>>;

/// Creates a client that uses the connection established for it. If its pooled connection was closed and none
/// is established, a request fails with `ConnectError::Io` and nothing is sent.
pub fn for_established(established: &Established, monitor: &Rc<ResponseMonitor>) -> Client {
    let (established, monitor) = (established.clone(), monitor.clone());
    plain_client(HANDOVER_TIMEOUT, move || {
        let connection =
            established.take().map(|stream| ObservedStream { stream, observer: monitor.clone() });
        ready(connection.ok_or_else(|| io::Error::from(io::ErrorKind::NotConnected)))
    })
}

/// Creates a client that connects to one address when it sends a request.
pub fn connecting_to(addr: SocketAddr, connect_timeout: Duration, monitor: &Rc<ResponseMonitor>) -> Client {
    let monitor = monitor.clone();
    plain_client(connect_timeout, move || {
        let monitor = monitor.clone();
        async move {
            let stream = TcpStream::connect(addr).await?;
            let _ = stream.set_nodelay(true);
            monitor.on_connected();
            Ok(ObservedStream { stream, observer: monitor })
        }
    })
}

/// Creates an awc client without response timeouts, redirects, default headers, and without a graceful
/// shutdown of dropped connections.
fn plain_client<F>(connect_timeout: Duration, connect: impl Fn() -> F + Clone + 'static) -> Client
where
    F: Future<Output = io::Result<ObservedStream<ResponseMonitor>>> + 'static,
{
    let service = fn_service(move |info: ConnectInfo<Uri>| {
        let connecting = connect();
        async move {
            let wire = connecting.await.map_err(ConnectError::Io)?;
            Ok::<_, ConnectError>(Connection::new(info.request().clone(), wire))
        }
    });
    let connector = Connector::new()
        .connector(service)
        .timeout(connect_timeout)
        .conn_lifetime(Duration::from_secs(86_400))
        .conn_keep_alive(Duration::from_secs(86_400))
        .disconnect_timeout(Duration::ZERO);
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}

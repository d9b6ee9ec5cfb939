use super::*;
use crate::backends::Backends;
use crate::call::ClientCheck;
use crate::connect::{Connect, Connecting};
use crate::descriptors::Descriptors;
use crate::stages::context::{EventSink, Limits};
use crate::stages::request_table::RequestKey;
use actix_http::error::ParseError;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use olivecart_decisions::RequestId;
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const ENDPOINT: EndpointId = EndpointId(0);
const LONG: Duration = Duration::from_secs(600);
/// A test that waits for this time has failed, however slow the machine is.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Records the events that are reported to it.
#[derive(Default)]
struct Recorder(RefCell<Vec<Event>>);

impl EventSink for Recorder {
    fn report(&self, event: Event) {
        self.0.borrow_mut().push(event);
    }
}

/// Fails each `connect` with the same error.
struct FailingConnect(Errno);

impl Connect for FailingConnect {
    fn connect(&self, _: SocketAddr) -> Connecting {
        Box::pin(std::future::ready(Err(self.0.into())))
    }
}

/// Establishes each connection after a delay, and counts the connections.
#[derive(Default)]
struct DelayedConnect {
    delay: Duration,
    connections: Cell<usize>,
}

impl Connect for DelayedConnect {
    fn connect(&self, addr: SocketAddr) -> Connecting {
        self.connections.set(self.connections.get() + 1);
        let delay = self.delay;
        Box::pin(async move {
            sleep(delay).await;
            TcpStream::connect(addr).await
        })
    }
}

struct Harness {
    context: Rc<Context>,
    recorder: Rc<Recorder>,
}

impl Harness {
    fn new(addr: SocketAddr, connect: Rc<dyn Connect>) -> Harness {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let descriptors = Rc::new(Descriptors::new(9, Rc::default()));
        let backends = Backends::new(LONG, LONG, descriptors, log).with_connect(connect);
        backends.update_endpoint(ENDPOINT, Some(addr), None, true);
        let recorder = Rc::new(Recorder::default());
        let event_sink: Rc<dyn EventSink> = recorder.clone();
        let limits = Limits { max_open_requests: 9, hedging_enabled: false };
        let context =
            Context::new(Rc::downgrade(&event_sink), Rc::default(), backends, limits, Rc::default(), None);
        Harness { context: Rc::new(context), recorder }
    }

    /// Opens a request that has `time_left`, and an attempt for it.
    fn start_attempt(&self, id: &'static str, time_left: Duration) -> Attempt {
        let body = Body::Buffered { bytes: Bytes::new(), _reservation: None };
        let payload = Rc::new(Payload { method: Method::GET, target: None, headers: HeaderMap::new(), body });
        let deadline = Instant::now() + time_left;
        let (request, _) = self
            .context
            .request_table
            .open(
                RequestKey { id: HeaderValue::from_static(id), is_repeatable: true },
                payload,
                deadline,
                ClientCheck::default(),
            )
            .expect("opened");
        let (attempt, _) = self.context.request_table.start_attempt(request, deadline);
        attempt.unwrap_or_else(|_| panic!("the request is open"))
    }

    /// Runs an attempt to its end and returns the outcome that it reports.
    async fn run_attempt(&self, id: &'static str, time_left: Duration) -> Outcome {
        let attempt = self.start_attempt(id, time_left);
        super::run(self.context.clone(), attempt, ENDPOINT).await;
        match self.recorder.0.borrow_mut().pop() {
            Some(Event::AttemptEnded(end)) => end.outcome,
            other => panic!("{other:?}"),
        }
    }

    /// Runs a health check and returns the outcome that it reports, if any.
    async fn run_health_check(&self) -> Option<Outcome> {
        health_check(self.context.clone(), ENDPOINT).await;
        match self.recorder.0.borrow_mut().pop() {
            Some(Event::HealthCheckCompleted { outcome, .. }) => Some(outcome),
            None => None,
            other => panic!("{other:?}"),
        }
    }
}

fn unused_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    (listener, addr)
}

/// Responds to one request and returns the deadline in its head.
async fn respond(stream: &mut BufReader<TcpStream>) -> Duration {
    let mut deadline = None;
    let mut line = String::new();
    while stream.read_line(&mut line).await.expect("a line") > 2 {
        if let Some(value) = line.to_lowercase().strip_prefix("x-deadline: ") {
            deadline = value.trim().strip_suffix('u').and_then(|value| value.parse().ok());
        }
        line.clear();
    }
    stream.get_mut().write_all(RESPONSE).await.expect("written");
    Duration::from_micros(deadline.expect("a deadline"))
}

#[test]
fn local_connect_errors_do_not_count_against_the_endpoint_and_fail_no_health_check() {
    for errno in [
        Errno::ADDRNOTAVAIL,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NETUNREACH,
        Errno::INTR,
    ] {
        actix_rt::System::new().block_on(async {
            let harness = Harness::new(unused_addr(), Rc::new(FailingConnect(errno)));
            assert_eq!(harness.run_attempt("a", LONG).await, Outcome::NotSent, "{errno}");
            assert_eq!(harness.run_health_check().await, None, "{errno}");
        });
    }
}

#[test]
fn attempts_and_health_checks_report_an_unreachable_endpoint() {
    for errno in [Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::CONNREFUSED] {
        actix_rt::System::new().block_on(async {
            let harness = Harness::new(unused_addr(), Rc::new(FailingConnect(errno)));
            assert_eq!(harness.run_attempt("a", LONG).await, Outcome::ConnectFailed, "{errno}");
            assert_eq!(harness.run_health_check().await, Some(Outcome::ConnectFailed), "{errno}");
        });
    }
}

#[test]
fn health_check_without_a_free_descriptor_is_not_reported() {
    actix_rt::System::new().block_on(async {
        let harness = Harness::new(unused_addr(), Rc::new(FailingConnect(Errno::CONNREFUSED)));
        harness.context.backends.set_limits(LONG, 0);
        assert_eq!(harness.run_health_check().await, None);
        assert_eq!(harness.run_attempt("a", LONG).await, Outcome::NotSent);
    });
}

#[test]
fn connection_that_breaks_after_the_write_is_reported_as_reset() {
    let monitor = ResponseMonitor::new(0);
    for errno in [Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::NETUNREACH, Errno::NOBUFS, Errno::CONNRESET] {
        let error = || io::Error::from(errno);
        assert_eq!(outcome_of_error(&SendRequestError::Send(error()), &monitor), Outcome::Reset, "{errno}");
        let reading = SendRequestError::Response(ParseError::Io(error()));
        assert_eq!(outcome_of_error(&reading, &monitor), Outcome::Reset, "{errno}");
        assert!(!lacked_connection(&SendRequestError::Send(error())) && !lacked_connection(&reading));
    }
    let disconnected = SendRequestError::Connect(ConnectError::Disconnected);
    assert_eq!(outcome_of_error(&disconnected, &monitor), Outcome::Reset);
}

#[test]
fn request_on_a_replacement_connection_tells_the_time_left_once_it_is_established() {
    const TIME_LEFT: Duration = Duration::from_secs(60);
    let connect = Rc::new(DelayedConnect { delay: Duration::from_millis(300), ..DelayedConnect::default() });
    actix_rt::System::new().block_on(async {
        let (listener, addr) = listener().await;
        let harness = Harness::new(addr, connect.clone());
        let peer = actix_rt::spawn(async move {
            let (stream, _) = listener.accept().await.expect("the first");
            let mut stream = BufReader::new(stream);
            respond(&mut stream).await;
            let mut end = [0; 1];
            stream.get_mut().shutdown().await.expect("shut down");
            assert_eq!(stream.read(&mut end).await.ok(), Some(0), "nothing is written to it");
            let (stream, _) = listener.accept().await.expect("the second");
            respond(&mut BufReader::new(stream)).await
        });
        assert_eq!(harness.run_attempt("a", TIME_LEFT).await, Outcome::Ok);
        let began = Instant::now();
        assert_eq!(harness.run_attempt("b", TIME_LEFT).await, Outcome::Ok);
        let deadline = peer.await.expect("it responded");
        assert_eq!(connect.connections.get(), 2);
        assert!(
            began.elapsed() >= connect.delay && deadline <= TIME_LEFT - connect.delay,
            "deadline {deadline:?}"
        );
    });
}

/// Simulates a process that is suspended between building a head and writing it.
#[test]
fn outdated_head_is_not_written_and_a_new_one_is_sent_on_another_connection() {
    actix_rt::System::new().block_on(async {
        let (listener, addr) = listener().await;
        let connects = Rc::new(DelayedConnect::default());
        let harness = Harness::new(addr, connects.clone());
        let attempt = harness.start_attempt("a", LONG);
        let lease = harness.context.backends.lease(ENDPOINT).expect("the endpoint is listed");
        let check = Rc::new(WriteCheck::new(&harness.context, &attempt, lease.target));
        connect(&harness.context, &lease).await.expect("connected");
        let sending = send_once(&harness.context, &lease, &check, &attempt.payload);
        check.on_head_built(Instant::now() - Duration::from_millis(150));
        let failed = timeout(TEST_TIMEOUT, wait_for_head(&lease.monitor, sending))
            .await
            .expect("no wait for a response");
        let failed = failed.expect("no response").expect_err("not written");
        assert!(check.needs_new_head() && !lease.monitor.is_written(), "{failed}");
        let peer = actix_rt::spawn(async move {
            let (mut first, _) = listener.accept().await.expect("the first");
            assert_eq!(first.read(&mut [0; 1]).await.ok(), Some(0), "nothing is written");
            let (stream, _) = listener.accept().await.expect("the second");
            respond(&mut BufReader::new(stream)).await
        });
        assert!(send(&harness.context, &lease, &check, &attempt.payload).await.is_ok());
        assert!(peer.await.expect("it responded") <= LONG);
        assert_eq!(connects.connections.get(), 2);
        assert_eq!(attempt.request, RequestId(0));
    });
}

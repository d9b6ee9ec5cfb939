use super::*;
use crate::backends::Backends;
use crate::connect::{Connect, Connecting};
use crate::descriptors::Descriptors;
use crate::stages::context::{Decisions, Limits};
use actix_http::error::ParseError;
use actix_http::header::HeaderValue;
use olivecart_decisions::RequestId;
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const ENDPOINT: EndpointId = EndpointId(0);
const FAR: Duration = Duration::from_secs(600);
/// Longer than anything takes on any machine; a test that gets here has failed.
const NEVER: Duration = Duration::from_secs(60);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Notes what it is told, and answers nothing.
#[derive(Default)]
struct Recorder(RefCell<Vec<Event>>);

impl Decisions for Recorder {
    fn tell(&self, event: Event) {
        self.0.borrow_mut().push(event);
    }
}

/// Fails each `connect` alike.
struct Failing(Errno);

impl Connect for Failing {
    fn connect(&self, _: SocketAddr) -> Connecting {
        Box::pin(std::future::ready(Err(self.0.into())))
    }
}

/// Lets each connection come up late, and counts them.
#[derive(Default)]
struct Late {
    by: Duration,
    connections: Cell<usize>,
}

impl Connect for Late {
    fn connect(&self, addr: SocketAddr) -> Connecting {
        self.connections.set(self.connections.get() + 1);
        let by = self.by;
        Box::pin(async move {
            sleep(by).await;
            TcpStream::connect(addr).await
        })
    }
}

struct Stage {
    context: Rc<Context>,
    told: Rc<Recorder>,
}

impl Stage {
    fn new(at: SocketAddr, connect: Rc<dyn Connect>) -> Stage {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let descriptors = Rc::new(Descriptors::new(9));
        let backends = Backends::new(FAR, FAR, descriptors, log).connecting_through(connect);
        backends.place(ENDPOINT, Some(at), None, true);
        let told = Rc::new(Recorder::default());
        let decisions: Rc<dyn Decisions> = told.clone();
        let limits = Limits { open_requests: 9, second_copies: false };
        let context =
            Context::new(Rc::downgrade(&decisions), Rc::default(), backends, limits, Rc::default(), None);
        Stage { context: Rc::new(context), told }
    }

    /// Opens a request with so much time left, and an attempt for it.
    fn attempt(&self, id: &'static str, left: Duration) -> Attempt {
        let body = Body::Whole { bytes: Bytes::new(), _share: None };
        let payload = Rc::new(Payload { method: Method::GET, target: None, headers: HeaderMap::new(), body });
        let until = Instant::now() + left;
        let (request, _) =
            self.context.request_table.open(HeaderValue::from_static(id), payload, until).expect("opened");
        let (attempt, _) = self.context.request_table.attempt(request, until);
        attempt.unwrap_or_else(|_| panic!("it is open"))
    }

    /// Runs an attempt to its end.
    async fn outcome(&self, id: &'static str, left: Duration) -> Outcome {
        let attempt = self.attempt(id, left);
        super::run(self.context.clone(), attempt, ENDPOINT).await;
        match self.told.0.borrow_mut().pop() {
            Some(Event::AttemptEnded(end)) => end.outcome,
            other => panic!("{other:?}"),
        }
    }

    async fn checked(&self) -> Option<Outcome> {
        health_check(self.context.clone(), ENDPOINT).await;
        match self.told.0.borrow_mut().pop() {
            Some(Event::HealthCheckCompleted { outcome, .. }) => Some(outcome),
            None => None,
            other => panic!("{other:?}"),
        }
    }
}

fn nowhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    (listener, addr)
}

/// Answers one request, and says what deadline it told.
async fn answered(stream: &mut BufReader<TcpStream>) -> Duration {
    let mut told = None;
    let mut line = String::new();
    while stream.read_line(&mut line).await.expect("a line") > 2 {
        if let Some(value) = line.to_lowercase().strip_prefix("x-deadline: ") {
            told = value.trim().strip_suffix('u').and_then(|value| value.parse().ok());
        }
        line.clear();
    }
    stream.get_mut().write_all(ANSWER).await.expect("answered");
    Duration::from_micros(told.expect("a deadline"))
}

#[test]
fn what_this_machine_has_no_means_for_is_held_against_no_endpoint_and_fails_no_health_check() {
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
            let stage = Stage::new(nowhere(), Rc::new(Failing(errno)));
            assert_eq!(stage.outcome("a", FAR).await, Outcome::NotSent, "{errno}");
            assert_eq!(stage.checked().await, None, "{errno}");
        });
    }
}

#[test]
fn an_endpoint_that_is_not_reached_is_told_of_by_attempts_and_by_health_checks() {
    for errno in [Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::CONNREFUSED] {
        actix_rt::System::new().block_on(async {
            let stage = Stage::new(nowhere(), Rc::new(Failing(errno)));
            assert_eq!(stage.outcome("a", FAR).await, Outcome::ConnectFailed, "{errno}");
            assert_eq!(stage.checked().await, Some(Outcome::ConnectFailed), "{errno}");
        });
    }
}

#[test]
fn a_health_check_that_finds_no_descriptor_left_is_no_failed_one() {
    actix_rt::System::new().block_on(async {
        let stage = Stage::new(nowhere(), Rc::new(Failing(Errno::CONNREFUSED)));
        stage.context.backends.adopt(FAR, 0);
        assert_eq!(stage.checked().await, None);
        assert_eq!(stage.outcome("a", FAR).await, Outcome::NotSent);
    });
}

#[test]
fn a_connection_that_breaks_after_something_was_written_may_have_run_its_request() {
    let seen = ResponseMonitor::new(0);
    for errno in [Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::NETUNREACH, Errno::NOBUFS, Errno::CONNRESET] {
        let error = || io::Error::from(errno);
        assert_eq!(failure(&SendRequestError::Send(error()), &seen), Outcome::Reset, "{errno}");
        let reading = SendRequestError::Response(ParseError::Io(error()));
        assert_eq!(failure(&reading, &seen), Outcome::Reset, "{errno}");
        assert!(!lacks_connection(&SendRequestError::Send(error())) && !lacks_connection(&reading));
    }
    let ended = SendRequestError::Connect(ConnectError::Disconnected);
    assert_eq!(failure(&ended, &seen), Outcome::Reset);
}

#[test]
fn in_the_place_of_a_connection_that_had_ended_another_tells_the_time_that_is_left_by_then() {
    const LEFT: Duration = Duration::from_secs(60);
    let late = Rc::new(Late { by: Duration::from_millis(300), ..Late::default() });
    actix_rt::System::new().block_on(async {
        let (listener, addr) = listener().await;
        let stage = Stage::new(addr, late.clone());
        let peer = actix_rt::spawn(async move {
            let (stream, _) = listener.accept().await.expect("the first");
            let mut stream = BufReader::new(stream);
            answered(&mut stream).await;
            let mut end = [0; 1];
            stream.get_mut().shutdown().await.expect("ended");
            assert_eq!(stream.read(&mut end).await.ok(), Some(0), "it is left alone");
            let (stream, _) = listener.accept().await.expect("the second");
            answered(&mut BufReader::new(stream)).await
        });
        assert_eq!(stage.outcome("a", LEFT).await, Outcome::Ok);
        let began = Instant::now();
        assert_eq!(stage.outcome("b", LEFT).await, Outcome::Ok);
        let told = peer.await.expect("it answered");
        assert_eq!(late.connections.get(), 2);
        assert!(began.elapsed() >= late.by && told <= LEFT - late.by, "told {told:?}");
    });
}

/// Has a process stand still between the build of a head and its write, once.
#[test]
fn a_head_that_was_built_too_long_before_its_first_byte_is_not_written_but_another_is() {
    actix_rt::System::new().block_on(async {
        let (listener, addr) = listener().await;
        let connects = Rc::new(Late::default());
        let stage = Stage::new(addr, connects.clone());
        let attempt = stage.attempt("a", FAR);
        let lease = stage.context.backends.lease(ENDPOINT).expect("it is listed");
        let gate = Rc::new(WriteGate::new(&stage.context, &attempt, lease.target));
        connect(&stage.context, &lease).await.expect("connected");
        let sending = send_once(&stage.context, &lease, &gate, &attempt.payload);
        gate.head_is_built(Instant::now() - Duration::from_millis(150));
        let failed = timeout(NEVER, awaited(&lease.seen, sending)).await.expect("it waits for no answer");
        let failed = failed.expect("no answer").expect_err("not written");
        assert!(gate.wants_new_head() && !lease.seen.written(), "{failed}");
        let peer = actix_rt::spawn(async move {
            let (mut first, _) = listener.accept().await.expect("the first");
            assert_eq!(first.read(&mut [0; 1]).await.ok(), Some(0), "nothing is written");
            let (stream, _) = listener.accept().await.expect("the second");
            answered(&mut BufReader::new(stream)).await
        });
        assert!(sent(&stage.context, &lease, &gate, &attempt.payload).await.is_ok());
        assert!(peer.await.expect("answered") <= FAR);
        assert_eq!(connects.connections.get(), 2);
        assert_eq!(attempt.request, RequestId(0));
    });
}

use super::super::eviction::EVICTION_GRACE;
use super::super::{Clients, IDLE_TIMEOUT, IdleEviction, RequestBody, SILENT_EVICTION_AGE};
use super::*;
use crate::interrupted::tests::{InterruptedSocket, Interruptions};
use std::io::Write;
use std::net::Shutdown;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, yield_now};

fn run_test(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Connects a client and returns its socket and the proxy's side of the connection.
async fn connected() -> (std::net::TcpStream, Rc<Connection>, Rc<Clients>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let peer = std::net::TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    peer.set_nodelay(true).expect("set");
    let (stream, _) = listener.accept().await.expect("accepted");
    let clients: Rc<Clients> = Rc::default();
    let client = clients.register();
    (peer, Rc::new(Connection::new(stream, client)), clients)
}

/// Blocks until this many bytes have arrived. The runtime does not run meanwhile, so it does not know of
/// them.
fn wait_until_received(connection: &Connection, bytes: usize) {
    let mut buffer = [MaybeUninit::uninit(); 64];
    let mut has_arrived =
        || SockRef::from(&*connection.stream.borrow()).peek(&mut buffer).is_ok_and(|n| n >= bytes);
    while !has_arrived() {}
}

/// Reads once, as the HTTP library does.
async fn read_once(connection: Rc<Connection>) -> Vec<u8> {
    let mut stream = Stream(connection.clone());
    let read = async move {
        let mut buffer = [0; 64];
        let n = stream.read(&mut buffer).await.expect("no error");
        buffer[..n].to_vec()
    };
    connection.serve(read).await
}

/// An operation that requests the close of a connection.
type CloseTrigger = fn(&Clients);

#[test]
fn request_that_arrives_during_a_close_is_read_and_only_it_keeps_the_connection() {
    let triggers: [(&str, CloseTrigger); 4] = [
        ("eviction", Clients::evict_one),
        ("idle timeout", |clients| clients.close_expired_at(Instant::now() + IDLE_TIMEOUT)),
        ("close of idle connections", Clients::close_idle),
        ("eviction of a silent connection", |clients| {
            clients.evict_one_at(Instant::now() + SILENT_EVICTION_AGE, IdleEviction::Allowed);
        }),
    ];
    for (n, (name, trigger)) in triggers.into_iter().enumerate() {
        for arrives in [true, false] {
            run_test(async {
                let (mut peer, connection, clients) = connected().await;
                if n < 3 {
                    connection.client().on_request_dispatched(RequestBody::Complete);
                    connection.client().on_response_sent();
                }
                let reading = spawn_local(read_once(connection.clone()));
                while !connection.library_awaits_socket.get() {
                    yield_now().await;
                }
                if arrives {
                    peer.write_all(b"GET").expect("written");
                    wait_until_received(&connection, 3);
                }
                trigger(&clients);
                let read = reading.await.expect("no panic");
                assert_eq!(read, if arrives { &b"GET"[..] } else { b"" }, "{name}");
                assert_eq!(connection.client().is_closing(), !arrives, "{name}");
            });
        }
    }
}

/// Serves a connection on which the library never reads.
fn serve_without_reading(connection: &Rc<Connection>) {
    let connection = connection.clone();
    spawn_local(async move { connection.serve(std::future::pending::<()>()).await });
}

#[test]
fn client_close_behind_unread_bytes_is_detected() {
    // Bytes behind a complete request are discarded; a waiting body is read ahead only up to the limit.
    for body in [RequestBody::Complete, RequestBody::Streaming] {
        for bytes in [0, 1, MAX_READ_AHEAD_BYTES, MAX_READ_AHEAD_BYTES + 1, 4 * MAX_READ_AHEAD_BYTES] {
            run_test(async {
                let (mut peer, connection, _) = connected().await;
                let client = connection.client();
                client.on_request_dispatched(body);
                serve_without_reading(&connection);
                peer.write_all(&vec![b'x'; bytes]).expect("written");
                while bytes >= MAX_READ_AHEAD_BYTES
                    && connection.read_ahead.borrow().len() < MAX_READ_AHEAD_BYTES
                    && !client.is_closing()
                {
                    yield_now().await;
                }
                assert!(!client.has_peer_closed());
                drop(peer);
                client.wait_for_peer_close().await;
                assert_eq!(
                    client.is_closing(),
                    body == RequestBody::Complete && bytes >= MAX_READ_AHEAD_BYTES
                );
                assert!(connection.read_ahead.borrow().len() <= MAX_READ_AHEAD_BYTES);
            });
        }
    }
}

/// Guards against review case 10: bytes that arrive while nothing is read have a time only once they are read.
#[test]
fn arrival_of_bytes_that_nobody_reads_is_noticed_when_they_arrive() {
    for body in [RequestBody::Complete, RequestBody::Streaming] {
        for bytes in [1, MAX_READ_AHEAD_BYTES / 2, 3 * MAX_READ_AHEAD_BYTES] {
            if body == RequestBody::Complete && bytes > MAX_READ_AHEAD_BYTES {
                continue; // bytes behind the last request of a connection are discarded
            }
            run_test(async {
                let (mut peer, connection, _) = connected().await;
                let arrivals = connection.client().incoming().arrivals().clone();
                connection.client().on_request_dispatched(body);
                serve_without_reading(&connection);
                yield_now().await;
                let before = Instant::now();
                assert!(arrivals.last_at() < before && !arrivals.has_unread());
                peer.write_all(&vec![b'x'; bytes]).expect("written");
                while arrivals.total() < bytes as u64 {
                    yield_now().await;
                }
                let noticed_at = arrivals.last_at();
                assert!(noticed_at >= before && arrivals.has_unread());
                // Reading them changes nothing.
                connection.client().on_response_sent();
                connection.client().allowance().set(usize::MAX);
                assert!(!read_once(connection.clone()).await.is_empty());
                assert_eq!(arrivals.last_at(), noticed_at);
            });
        }
    }
}

#[test]
fn client_that_floods_behind_a_request_in_flight_is_treated_as_closed() {
    run_test(async {
        let (mut peer, connection, _) = connected().await;
        connection.client().on_request_dispatched(RequestBody::Complete);
        serve_without_reading(&connection);
        let other = peer.try_clone().expect("a descriptor");
        let sending =
            std::thread::spawn(move || peer.write_all(&vec![b'x'; 2 * MAX_DISCARDED_BYTES]).map(|()| peer));
        connection.client().wait_for_peer_close().await;
        assert!(
            connection.read_ahead.borrow().is_empty()
                && connection.discarded_bytes.get() < MAX_DISCARDED_BYTES + CHUNK_BYTES
        );
        other.shutdown(Shutdown::Both).expect("connected");
        let _ = sending.join(); // fails if the client could not send everything
    });
}

#[test]
fn bytes_read_ahead_are_passed_on_in_order() {
    for (body, bytes) in [
        (RequestBody::Complete, 0),
        (RequestBody::Complete, MAX_READ_AHEAD_BYTES - 1),
        (RequestBody::Streaming, MAX_READ_AHEAD_BYTES),
        (RequestBody::Streaming, 4 * MAX_READ_AHEAD_BYTES),
    ] {
        run_test(async {
            let (mut peer, connection, _) = connected().await;
            connection.client().on_request_dispatched(body);
            connection.client().allowance().set(usize::MAX); // as a body's consumer does, piece by piece
            let text: Vec<u8> = (0..bytes).map(|n| (n % 251) as u8).collect();
            let reading = {
                let connection = connection.clone();
                spawn_local(async move {
                    let mut stream = Stream(connection.clone());
                    connection
                        .serve(async {
                            // The library does not read until the buffer is full, as when a body waits.
                            poll_fn(|cx| {
                                if connection.read_ahead.borrow().len() >= bytes.min(MAX_READ_AHEAD_BYTES) {
                                    return Poll::Ready(());
                                }
                                cx.waker().wake_by_ref();
                                Poll::Pending
                            })
                            .await;
                            connection.client().on_request_dispatched(RequestBody::Streaming);
                            let mut all = vec![0; bytes];
                            stream.read_exact(&mut all).await.map(|_| all)
                        })
                        .await
                })
            };
            peer.write_all(&text).expect("written");
            assert!(reading.await.expect("no panic").expect("all bytes") == text);
        });
    }
}

#[test]
fn close_lets_the_client_read_the_response_and_drains_until_it_closes() {
    run_test(async {
        let (mut peer, connection, _) = connected().await;
        peer.write_all(b"never read").expect("written");
        wait_until_received(&connection, 10);
        let mut stream = Stream(connection.clone());
        connection.serve(stream.write_all(b"answer")).await.expect("written");
        let mut closing = Box::pin(connection.close());
        assert!((&mut closing).now_or_never().is_none(), "the client has not closed");
        let mut peer = std::thread::spawn(move || {
            let mut response = String::new();
            peer.read_to_string(&mut response).expect("the proxy has half-closed");
            assert_eq!(response, "answer");
            peer
        })
        .join()
        .expect("no panic");
        peer.write_all(b"more").expect("written");
        wait_until_received(&connection, 4);
        peer.shutdown(Shutdown::Write).expect("connected");
        closing.await;
        drop((stream, connection));
        assert_eq!(peer.read(&mut [0]).expect("no reset"), 0);
    });
}

#[test]
fn closing_connection_is_evicted() {
    run_test(async {
        let (_peer, connection, clients) = connected().await;
        let closing = spawn_local({
            let connection = connection.clone();
            async move { connection.close().await }
        });
        while !matches!(connection.client().next_step(Instant::now()), Step::Drain { .. }) {
            yield_now().await;
        }
        clients.evict_one_at(Instant::now() + EVICTION_GRACE, IdleEviction::Allowed);
        closing.await.expect("no panic");
        assert!(connection.client().is_abandoned());
    });
}

#[test]
fn write_to_a_client_that_does_not_read_its_last_response_times_out() {
    run_test(async {
        let (_peer, connection, clients) = connected().await;
        connection.client().on_request_rejected();
        let writing = spawn_local({
            let connection = connection.clone();
            async move {
                let mut stream = Stream(connection.clone());
                let all = vec![b'x'; 64 * 1024 * 1024];
                connection.serve(stream.write_all(&all)).await
            }
        });
        for _ in 0..1000 {
            yield_now().await;
        }
        assert!(!writing.is_finished());
        clients.close_expired_at(Instant::now() + Duration::from_secs(60));
        let written = writing.await.expect("no panic");
        assert_eq!(written.expect_err("not all written").kind(), ErrorKind::TimedOut);
    });
}

/// Connects a client and returns its socket and the proxy's side, whose socket calls can be interrupted.
async fn connected_with_interruptions()
-> (std::net::TcpStream, Rc<Connection<InterruptedTcpStream>>, Interruptions) {
    let (peer, connection, _) = connected().await;
    let Ok(connection) = Rc::try_unwrap(connection) else { panic!("the connection is shared") };
    let interruptions = Interruptions::default();
    let socket =
        InterruptedSocket { socket: connection.stream.into_inner(), interruptions: interruptions.clone() };
    (peer, Rc::new(Connection::new(socket, connection.client)), interruptions)
}

type InterruptedTcpStream = InterruptedSocket<TcpStream>;

/// Like [`serve_without_reading`], for a connection whose socket calls are interrupted.
fn serve_interrupted_without_reading(connection: &Rc<Connection<InterruptedTcpStream>>) {
    let connection = connection.clone();
    spawn_local(async move { connection.serve(std::future::pending::<()>()).await });
}

#[test]
fn interruptions_do_not_cancel_a_request_in_flight_or_hide_the_client_close() {
    for body in [RequestBody::Complete, RequestBody::Streaming] {
        run_test(async {
            let (mut peer, connection, interruptions) = connected_with_interruptions().await;
            let client = connection.client().clone();
            client.on_request_dispatched(body);
            connection.readiness_unknown.set(true);
            interruptions.reads.set(100);
            interruptions.direct_reads.set(100);
            serve_interrupted_without_reading(&connection);
            peer.write_all(b"more").expect("written");
            while connection.read_ahead.borrow().len() < 4 && !client.has_peer_closed() {
                yield_now().await;
            }
            assert!(!client.has_peer_closed(), "an interruption counted as a close");
            assert_eq!((interruptions.reads.get(), interruptions.direct_reads.get()), (0, 0));
            drop(peer);
            client.wait_for_peer_close().await;
        });
    }
}

#[test]
fn interruptions_of_the_last_read_before_a_close_lose_no_request() {
    for arrives in [true, false] {
        run_test(async {
            let (mut peer, connection, interruptions) = connected_with_interruptions().await;
            let client = connection.client().clone();
            client.on_request_dispatched(RequestBody::Complete);
            client.on_response_sent();
            let reading = {
                let connection = connection.clone();
                let mut stream = Stream(connection.clone());
                spawn_local(async move {
                    let mut buffer = [0; 64];
                    let read = connection.serve(stream.read(&mut buffer)).await;
                    read.map(|n| buffer[..n].to_vec())
                })
            };
            while !connection.library_awaits_socket.get() {
                yield_now().await;
            }
            if arrives {
                peer.write_all(b"GET").expect("written");
                let mut buffer = [MaybeUninit::uninit(); 64];
                let mut has_arrived = || {
                    SockRef::from(connection.stream.borrow().tcp()).peek(&mut buffer).is_ok_and(|n| n >= 3)
                };
                while !has_arrived() {}
            }
            interruptions.direct_reads.set(100);
            interruptions.reads.set(100);
            client.clients.close_idle();
            let read = reading.await.expect("no panic").expect("no error");
            assert_eq!(read, if arrives { &b"GET"[..] } else { b"" });
            assert_eq!(client.is_closing(), !arrives);
        });
    }
}

#[test]
fn interruptions_of_writes_lose_no_byte_of_a_response() {
    run_test(async {
        let (mut peer, connection, interruptions) = connected_with_interruptions().await;
        interruptions.writes.set(100);
        let mut stream = Stream(connection.clone());
        // A single call, as the HTTP library makes it.
        assert_eq!(connection.serve(stream.write(b"answer")).await.expect("no error"), 6);
        assert_eq!(interruptions.writes.get(), 0);
        let mut response = [0; 6];
        peer.read_exact(&mut response).expect("all bytes");
        assert_eq!(&response, b"answer");
    });
}

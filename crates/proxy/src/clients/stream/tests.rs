use super::super::{Clients, EVICTION_GRACE, IDLE_TIMEOUT, RequestBody, SILENT_EVICTION_AGE};
use super::*;
use crate::interrupted::tests::{InterruptedSocket, Interruptions};
use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, yield_now};

fn play(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// A client, and its connection as the proxy has it.
async fn connected() -> (std::net::TcpStream, Rc<Connection>, Rc<Clients>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let peer = std::net::TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    peer.set_nodelay(true).expect("set");
    let (stream, _) = listener.accept().await.expect("it is there");
    let clients: Rc<Clients> = Rc::default();
    let client = clients.register();
    (peer, Rc::new(Connection::new(stream, client)), clients)
}

/// Until so many bytes have come that the runtime has not heard of: it has no turn meanwhile.
fn arrived(connection: &Connection, bytes: usize) {
    let mut space = [MaybeUninit::uninit(); 64];
    let mut there = || SockRef::from(&*connection.stream.borrow()).peek(&mut space).is_ok_and(|n| n >= bytes);
    while !there() {}
}

/// One read, as the library makes it.
async fn read_once(connection: Rc<Connection>) -> Vec<u8> {
    let mut stream = Stream(connection.clone());
    let read = async move {
        let mut space = [0; 64];
        let n = stream.read(&mut space).await.expect("no error");
        space[..n].to_vec()
    };
    connection.serve(read).await
}

/// Something that ends a connection.
type End = fn(&Clients);

#[test]
fn a_request_that_has_come_in_the_moment_of_an_end_is_read_and_nothing_else_keeps_the_connection() {
    let ends: [(&str, End); 4] = [
        ("eviction", Clients::make_room),
        ("idle timeout", |clients| clients.expire_at(Instant::now() + IDLE_TIMEOUT)),
        ("retirement", Clients::close_idle),
        ("eviction of a silent one", |clients| clients.make_room_at(Instant::now() + SILENT_EVICTION_AGE)),
    ];
    for (n, (end, ends)) in ends.into_iter().enumerate() {
        for comes in [true, false] {
            play(async {
                let (mut peer, connection, clients) = connected().await;
                if n < 3 {
                    connection.client().on_request_taken(RequestBody::Complete);
                    connection.client().on_response_sent();
                }
                let reading = spawn_local(read_once(connection.clone()));
                while !connection.library_awaits_socket.get() {
                    yield_now().await;
                }
                if comes {
                    peer.write_all(b"GET").expect("taken");
                    arrived(&connection, 3);
                }
                ends(&clients);
                let read = reading.await.expect("no panic");
                assert_eq!(read, if comes { &b"GET"[..] } else { b"" }, "{end}");
                assert_eq!(connection.client().is_ending(), !comes, "{end}");
            });
        }
    }
}

/// Runs a connection whose library reads nothing.
fn unread(connection: &Rc<Connection>) {
    let connection = connection.clone();
    spawn_local(async move { connection.serve(std::future::pending::<()>()).await });
}

#[test]
fn an_end_behind_bytes_that_the_library_leaves_unread_is_heard_of() {
    // Behind a whole request the rest is dropped; of a body that waits no more is read than has room.
    for body in [RequestBody::Complete, RequestBody::Streaming] {
        for bytes in [0, 1, READ_AHEAD_BYTES, READ_AHEAD_BYTES + 1, 4 * READ_AHEAD_BYTES] {
            play(async {
                let (mut peer, connection, _) = connected().await;
                let client = connection.client();
                client.on_request_taken(body);
                unread(&connection);
                peer.write_all(&vec![b'x'; bytes]).expect("taken");
                while bytes >= READ_AHEAD_BYTES
                    && connection.read_ahead.borrow().len() < READ_AHEAD_BYTES
                    && !client.is_ending()
                {
                    yield_now().await;
                }
                assert!(!client.has_closed());
                drop(peer);
                client.wait_for_close().await;
                assert_eq!(client.is_ending(), body == RequestBody::Complete && bytes >= READ_AHEAD_BYTES);
                assert!(connection.read_ahead.borrow().len() <= READ_AHEAD_BYTES);
            });
        }
    }
}

#[test]
fn who_goes_on_sending_behind_a_request_in_flight_is_taken_to_have_gone() {
    play(async {
        let (mut peer, connection, _) = connected().await;
        connection.client().on_request_taken(RequestBody::Complete);
        unread(&connection);
        let other = peer.try_clone().expect("a descriptor");
        let sending = std::thread::spawn(move || peer.write_all(&vec![b'x'; 2 * FLOOD_BYTES]).map(|()| peer));
        connection.client().wait_for_close().await;
        assert!(
            connection.read_ahead.borrow().is_empty()
                && connection.dropped_bytes.get() < FLOOD_BYTES + CHUNK_BYTES
        );
        other.shutdown(Shutdown::Both).expect("there");
        let _ = sending.join(); // it may have sent all by then
    });
}

#[test]
fn what_waited_while_a_request_was_in_flight_is_read_in_order_once_it_is_answered() {
    for (body, bytes) in [
        (RequestBody::Complete, 0),
        (RequestBody::Complete, READ_AHEAD_BYTES - 1),
        (RequestBody::Streaming, READ_AHEAD_BYTES),
        (RequestBody::Streaming, 4 * READ_AHEAD_BYTES),
    ] {
        play(async {
            let (mut peer, connection, _) = connected().await;
            connection.client().on_request_taken(body);
            let text: Vec<u8> = (0..bytes).map(|n| (n % 251) as u8).collect();
            let reading = {
                let connection = connection.clone();
                spawn_local(async move {
                    let mut stream = Stream(connection.clone());
                    connection
                        .serve(async {
                            // The library does not read until all that may be kept is, as where a body waits.
                            poll_fn(|cx| {
                                if connection.read_ahead.borrow().len() >= bytes.min(READ_AHEAD_BYTES) {
                                    return Poll::Ready(());
                                }
                                cx.waker().wake_by_ref();
                                Poll::Pending
                            })
                            .await;
                            connection.client().on_request_taken(RequestBody::Streaming);
                            let mut all = vec![0; bytes];
                            stream.read_exact(&mut all).await.map(|_| all)
                        })
                        .await
                })
            };
            peer.write_all(&text).expect("taken");
            assert!(reading.await.expect("no panic").expect("all of it") == text);
        });
    }
}

#[test]
fn a_close_lets_the_client_read_all_and_takes_what_it_still_sends_until_it_closes() {
    play(async {
        let (mut peer, connection, _) = connected().await;
        peer.write_all(b"never read").expect("taken");
        arrived(&connection, 10);
        let mut stream = Stream(connection.clone());
        connection.serve(stream.write_all(b"answer")).await.expect("taken");
        let mut closing = Box::pin(connection.close());
        assert!((&mut closing).now_or_never().is_none(), "the client has not closed");
        let mut peer = std::thread::spawn(move || {
            let mut answer = String::new();
            peer.read_to_string(&mut answer).expect("our side is shut");
            assert_eq!(answer, "answer");
            peer
        })
        .join()
        .expect("no panic");
        peer.write_all(b"more").expect("taken");
        arrived(&connection, 4);
        peer.shutdown(Shutdown::Write).expect("there");
        closing.await;
        drop((stream, connection));
        assert_eq!(peer.read(&mut [0]).expect("no reset"), 0);
    });
}

#[test]
fn a_connection_that_is_being_closed_makes_room() {
    play(async {
        let (_peer, connection, clients) = connected().await;
        let closing = spawn_local({
            let connection = connection.clone();
            async move { connection.close().await }
        });
        while !matches!(connection.client().next_step(Instant::now()), Step::Drain { .. }) {
            yield_now().await;
        }
        clients.make_room_at(Instant::now() + EVICTION_GRACE);
        closing.await.expect("no panic");
        assert!(connection.client().is_abandoned());
    });
}

#[test]
fn a_client_that_never_reads_its_last_answer_is_not_waited_for() {
    play(async {
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
        clients.expire_at(Instant::now() + Duration::from_secs(60));
        let ended = writing.await.expect("no panic");
        assert_eq!(ended.expect_err("not taken").kind(), ErrorKind::TimedOut);
    });
}

/// A client, and its connection with a socket whose calls are interrupted.
async fn interrupted() -> (std::net::TcpStream, Rc<Connection<Interrupted>>, Interruptions) {
    let (peer, connection, _) = connected().await;
    let Ok(connection) = Rc::try_unwrap(connection) else { panic!("nobody else holds it") };
    let interruptions = Interruptions::default();
    let socket =
        InterruptedSocket { socket: connection.stream.into_inner(), interruptions: interruptions.clone() };
    (peer, Rc::new(Connection::new(socket, connection.client)), interruptions)
}

type Interrupted = InterruptedSocket<TcpStream>;

/// Runs a connection whose library reads nothing, and says when it has ended.
fn serve_unread(connection: &Rc<Connection<Interrupted>>) {
    let connection = connection.clone();
    spawn_local(async move { connection.serve(std::future::pending::<()>()).await });
}

#[test]
fn a_hundred_interruptions_while_a_request_is_in_flight_do_not_cancel_it_and_its_clients_end_is_heard() {
    for body in [RequestBody::Complete, RequestBody::Streaming] {
        play(async {
            let (mut peer, connection, interruptions) = interrupted().await;
            let client = connection.client().clone();
            client.on_request_taken(body);
            connection.readiness_unknown.set(true);
            interruptions.reads.set(100);
            interruptions.direct_reads.set(100);
            serve_unread(&connection);
            peer.write_all(b"more").expect("taken");
            while connection.read_ahead.borrow().len() < 4 && !client.has_closed() {
                yield_now().await;
            }
            assert!(!client.has_closed(), "an interruption counts as its end");
            assert_eq!((interruptions.reads.get(), interruptions.direct_reads.get()), (0, 0));
            drop(peer);
            client.wait_for_close().await;
        });
    }
}

#[test]
fn a_hundred_interruptions_of_the_last_look_before_a_close_lose_no_request() {
    for comes in [true, false] {
        play(async {
            let (mut peer, connection, interruptions) = interrupted().await;
            let client = connection.client().clone();
            client.on_request_taken(RequestBody::Complete);
            client.on_response_sent();
            let reading = {
                let connection = connection.clone();
                let mut stream = Stream(connection.clone());
                spawn_local(async move {
                    let mut space = [0; 64];
                    let read = connection.serve(stream.read(&mut space)).await;
                    read.map(|n| space[..n].to_vec())
                })
            };
            while !connection.library_awaits_socket.get() {
                yield_now().await;
            }
            if comes {
                peer.write_all(b"GET").expect("taken");
                let mut space = [MaybeUninit::uninit(); 64];
                let mut there =
                    || SockRef::from(connection.stream.borrow().tcp()).peek(&mut space).is_ok_and(|n| n >= 3);
                while !there() {}
            }
            interruptions.direct_reads.set(100);
            interruptions.reads.set(100);
            client.all.close_idle();
            let read = reading.await.expect("no panic").expect("no error");
            assert_eq!(read, if comes { &b"GET"[..] } else { b"" });
            assert_eq!(client.is_ending(), !comes);
        });
    }
}

#[test]
fn a_hundred_interruptions_of_writes_lose_no_byte_of_an_answer() {
    play(async {
        let (mut peer, connection, interruptions) = interrupted().await;
        interruptions.writes.set(100);
        let mut stream = Stream(connection.clone());
        // One call, as the HTTP library makes it.
        assert_eq!(connection.serve(stream.write(b"answer")).await.expect("no error"), 6);
        assert_eq!(interruptions.writes.get(), 0);
        let mut answer = [0; 6];
        peer.read_exact(&mut answer).expect("all of it");
        assert_eq!(&answer, b"answer");
    });
}

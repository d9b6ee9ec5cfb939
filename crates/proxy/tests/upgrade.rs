//! Tests of hot restart: a successor takes over from the serving process without failing requests or connections.

mod fleet;
mod scenario;
mod site;
use fleet::{Backend, Client};
use site::{Process, Site};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::thread::{JoinHandle, spawn};
use std::time::Duration;

/// Starts clients that send requests until `stop` is set, half of them on reused connections. No request is
/// repeated. Each thread returns its number of responses.
fn start_clients(listen: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<u64>> {
    let client = |n: usize| {
        let stop = stop.clone();
        spawn(move || {
            let (mut reused, mut answered) = (None, 0);
            while !stop.load(SeqCst) {
                let mut client = reused.take().unwrap_or_else(|| Client::new(listen));
                assert_eq!(client.call().map(|(status, _)| status), Some(200));
                answered += 1;
                reused = Some(client).filter(|client| n.is_multiple_of(2) && !client.closes);
            }
            answered
        })
    };
    (0..8).map(client).collect()
}

/// Sends one request on a new connection and checks that it succeeds.
fn check_request(site: &Site) {
    assert_eq!(Client::new(site.listen).call().map(|(status, _)| status), Some(200));
}

#[test]
fn successive_hot_restarts_lose_no_request_and_no_connection() {
    let backend = Backend::new("a");
    let site = Site::new(32, &[("a", backend.addr)]);
    let mut serving = site.start_ready();
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients(site.listen, &stop);
    for _ in 0..4 {
        let next = site.start_ready();
        serving.program.signal("TERM");
        assert!(std::mem::replace(&mut serving, next).program.wait_for_exit().success());
        backend.wait_past(backend.calls() + 20); // served by the successor alone
    }
    stop.store(true, SeqCst);
    let answered: u64 = clients.into_iter().map(|client| client.join().expect("all responses are 200")).sum();
    assert_eq!(backend.calls(), answered, "each request ran once");
}

#[test]
fn detached_endpoints_stay_detached_and_changes_apply_to_both_processes() {
    let [a, b] = ["a", "b"].map(Backend::new);
    let site = Site::new(32, &[("a", a.addr), ("b", b.addr), ("c", b.addr), ("d", b.addr)]);
    let mut old = site.start_ready();
    let change = |p: &Process, action: &str, id: &str| {
        let answer =
            p.admin_request(&format!("POST /_backends/{action}"), &format!(r#"{{"target":"{id}"}}"#));
        assert!(answer.starts_with("200"), "{answer}");
    };
    change(&old, "detach", "a");
    let new = site.start();
    new.wait_for_var("edge.pool_ejected=1");
    change(&new, "detach", "b");
    old.wait_for_var("edge.pool_ejected=2");
    change(&old, "detach", "c");
    new.wait_for_var("edge.pool_ejected=3");
    change(&new, "attach", "c");
    old.wait_for_var("edge.pool_ejected=2");
    new.wait_until_ready();
    old.program.signal("TERM");
    assert!(old.program.wait_for_exit().success());
    let before = a.calls();
    (0..20).for_each(|_| check_request(&site));
    assert_eq!(a.calls(), before, "a is detached");
}

#[test]
fn death_of_either_process_does_not_affect_the_other() {
    let a = Backend::new("a");
    let site = Site::new(32, &[("a", a.addr)]);
    let mut old = site.start_ready();
    for ready in [false, true] {
        let mut new = site.start();
        if ready {
            new.wait_until_ready();
            new.wait_until("request accepted by the successor", |_| {
                check_request(&site);
                new.admin_request("GET /_vars", "").contains("edge.ok.view=1")
            });
        } else {
            new.program.line("listener taken over");
        }
        new.program.signal("KILL");
        new.program.wait_for_exit();
        old.program.line("process disconnected, peer: Successor"); // until then another successor is rejected
        check_request(&site);
    }
    // The death of the predecessor does not affect the successor, from which the next process takes over.
    for _ in 0..2 {
        let new = site.start_ready();
        old.program.signal("KILL");
        old.program.wait_for_exit();
        new.program.line("process disconnected, peer: Predecessor");
        old = new;
        check_request(&site);
    }
}

#[test]
fn draining_process_does_not_take_the_listener_back_from_later_successors() {
    let a = Backend::new("a");
    let site = Site::new(32, &[("a", a.addr)]);
    let mut first = site.start_ready();
    let mut slow = TcpStream::connect(site.listen).expect("connected");
    slow.write_all(
        b"POST / HTTP/1.1\r\nHost: p\r\nX-Request-Id: slow\r\nX-Class: view\r\nContent-Length: 99999\r\n\r\n",
    )
    .expect("written");
    check_request(&site); // ensures that the first process has accepted both connections
    let (ended, end) = channel::<()>();
    let writes = spawn(move || {
        while end.recv_timeout(Duration::from_millis(100)) == Err(RecvTimeoutError::Timeout) {
            slow.write_all(b"more").expect("the connection is still open");
        }
    });
    let mut second = site.start_ready();
    first.program.line("accepting: false");
    first.program.signal("TERM");
    let third = site.start_ready();
    second.program.signal("TERM");
    assert!(second.program.wait_for_exit().success());
    first.program.line("process disconnected, peer: Successor");
    let _fourth = site.start_ready();
    third.program.line("process connected, peer: Successor");
    drop(ended);
    writes.join().expect("served to the end");
    assert!(first.program.wait_for_exit().success());
}

#[test]
fn process_without_hot_restart_is_waited_for() {
    let a = Backend::new("a");
    let site = Site::new(32, &[("a", a.addr)]);
    let mut before = site.start_without_hot_restart();
    before.line("listening");
    check_request(&site);
    let next = site.start();
    next.program.line("no process to take over from");
    before.signal("KILL");
    before.wait_for_exit();
    next.wait_until_ready();
    check_request(&site);
}

#[test]
fn process_starts_with_any_file_or_peer_at_the_socket_path() {
    let a = Backend::new("a");
    let stale_socket = |path: &Path| drop(UnixListener::bind(path).expect("bound"));
    let foreign_file = |path: &Path| std::fs::write(path, "{\"state\":").expect("written");
    let directory = |path: &Path| std::fs::create_dir(path).expect("made");
    let listen = |path: &Path, does: fn(UnixStream)| {
        let listener = UnixListener::bind(path).expect("bound");
        spawn(move || listener.incoming().map_while(Result::ok).for_each(does));
    };
    let other_build = |path: &Path| {
        // Another protocol version, without a socket.
        listen(path, |mut stream| {
            _ = stream.write_all(b"{\"state\":{\"protocol\":99,\"out\":[],\"back\":{}}}\n")
        });
    };
    let silent = |path: &Path| listen(path, std::mem::forget);
    let slow = |path: &Path| {
        listen(path, |mut stream| {
            while stream.write_all(b" ").is_ok() {
                std::thread::sleep(Duration::from_millis(500))
            }
        })
    };
    let cases: [&dyn Fn(&Path); 6] = [&stale_socket, &foreign_file, &directory, &other_build, &silent, &slow];
    for (n, create) in cases.iter().enumerate() {
        let site = Site::new(32, &[("a", a.addr)]);
        create(&site.socket());
        let _process = site.start_ready();
        check_request(&site);
        if n == 2 {
            // Without a socket path there is no handover, but the processes share the address.
            let _next = site.start_ready();
        }
    }
}

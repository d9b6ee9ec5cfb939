//! Upgrades: the next process takes over from the one that serves, and nobody at the door notices.

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

/// Clients that call until told to stop, on kept connections and on new ones, each request once.
fn crowd(listen: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<u64>> {
    let client = |n: usize| {
        let stop = stop.clone();
        spawn(move || {
            let (mut kept, mut answered) = (None, 0);
            while !stop.load(SeqCst) {
                let mut client = kept.take().unwrap_or_else(|| Client::new(listen));
                assert_eq!(client.call().map(|(status, _)| status), Some(200));
                answered += 1;
                kept = Some(client).filter(|client| n.is_multiple_of(2) && !client.closes);
            }
            answered
        })
    };
    (0..8).map(client).collect()
}

/// One request on a connection of its own.
fn asks(site: &Site) {
    assert_eq!(Client::new(site.listen).call().map(|(status, _)| status), Some(200));
}

#[test]
fn upgrades_one_after_another_lose_no_request_and_no_connection() {
    let backend = Backend::new("a");
    let site = Site::new(32, &[("a", backend.addr)]);
    let mut serving = site.serving();
    let stop = Arc::new(AtomicBool::new(false));
    let clients = crowd(site.listen, &stop);
    for _ in 0..4 {
        let next = site.serving();
        serving.program.signal("TERM");
        assert!(std::mem::replace(&mut serving, next).program.ends().success());
        backend.wait_past(backend.calls() + 20); // served by the next one alone
    }
    stop.store(true, SeqCst);
    let answered: u64 = clients.into_iter().map(|client| client.join().expect("each was answered 200")).sum();
    assert_eq!(backend.calls(), answered, "each ran once");
}

#[test]
fn what_is_out_by_hand_stays_so_and_calls_to_either_process_bind_both() {
    let [a, b] = ["a", "b"].map(Backend::new);
    let site = Site::new(32, &[("a", a.addr), ("b", b.addr), ("c", b.addr), ("d", b.addr)]);
    let mut old = site.serving();
    let by_hand = |p: &Process, what: &str, id: &str| {
        let answer = p.operator(&format!("POST /_backends/{what}"), &format!(r#"{{"target":"{id}"}}"#));
        assert!(answer.starts_with("200"), "{answer}");
    };
    by_hand(&old, "detach", "a");
    let new = site.start();
    new.told("edge.pool_ejected=1");
    by_hand(&new, "detach", "b");
    old.told("edge.pool_ejected=2");
    by_hand(&old, "detach", "c");
    new.told("edge.pool_ejected=3");
    by_hand(&new, "attach", "c");
    old.told("edge.pool_ejected=2");
    new.is_ready();
    old.program.signal("TERM");
    assert!(old.program.ends().success());
    let before = a.calls();
    (0..20).for_each(|_| asks(&site));
    assert_eq!(a.calls(), before, "a is out");
}

#[test]
fn a_process_that_dies_on_either_side_changes_nothing() {
    let a = Backend::new("a");
    let site = Site::new(32, &[("a", a.addr)]);
    let mut old = site.serving();
    for ready in [false, true] {
        let mut new = site.start();
        if ready {
            new.is_ready();
            new.waits_for("accepted by it alone", |_| {
                asks(&site);
                new.operator("GET /_vars", "").contains("edge.ok.view=1")
            });
        } else {
            new.program.line("listener taken over");
        }
        new.program.signal("KILL");
        new.program.ends();
        old.program.line("process disconnected, peer: Successor"); // until then the next one is turned away
        asks(&site);
    }
    // Nor does the death of the one before: the next takes over from this one.
    for _ in 0..2 {
        let new = site.serving();
        old.program.signal("KILL");
        old.program.ends();
        new.program.line("process disconnected, peer: Predecessor");
        old = new;
        asks(&site);
    }
}

#[test]
fn a_process_that_still_answers_takes_nothing_back_from_the_one_after_the_next() {
    let a = Backend::new("a");
    let site = Site::new(32, &[("a", a.addr)]);
    let mut first = site.serving();
    let mut slow = TcpStream::connect(site.listen).expect("let in");
    slow.write_all(
        b"POST / HTTP/1.1\r\nHost: p\r\nX-Request-Id: slow\r\nX-Class: view\r\nContent-Length: 99999\r\n\r\n",
    )
    .expect("read");
    asks(&site); // so that the first one has accepted both
    let (ended, end) = channel::<()>();
    let writes = spawn(move || {
        while end.recv_timeout(Duration::from_millis(100)) == Err(RecvTimeoutError::Timeout) {
            slow.write_all(b"more").expect("read still");
        }
    });
    let mut second = site.serving();
    first.program.line("accepting: false");
    first.program.signal("TERM");
    let third = site.serving();
    second.program.signal("TERM");
    assert!(second.program.ends().success());
    first.program.line("process disconnected, peer: Successor");
    let _fourth = site.serving();
    third.program.line("process connected, peer: Successor");
    drop(ended);
    writes.join().expect("served to the end");
    assert!(first.program.ends().success());
}

#[test]
fn a_process_without_upgrades_is_waited_for() {
    let a = Backend::new("a");
    let site = Site::new(32, &[("a", a.addr)]);
    let mut before = site.start_alone();
    before.line("listening");
    asks(&site);
    let next = site.start();
    next.program.line("no process to take over from");
    before.signal("KILL");
    before.ends();
    next.is_ready();
    asks(&site);
}

#[test]
fn whatever_lies_in_the_directory_a_process_starts() {
    let a = Backend::new("a");
    let stale = |path: &Path| drop(UnixListener::bind(path).expect("bound"));
    let foreign = |path: &Path| std::fs::write(path, "{\"state\":").expect("written");
    let directory = |path: &Path| std::fs::create_dir(path).expect("made");
    let somebody = |path: &Path, does: fn(UnixStream)| {
        let listener = UnixListener::bind(path).expect("bound");
        spawn(move || listener.incoming().map_while(Result::ok).for_each(does));
    };
    let other_build = |path: &Path| {
        // In no words of ours, and no socket comes along.
        somebody(path, |mut stream| {
            _ = stream.write_all(b"{\"state\":{\"protocol\":99,\"out\":[],\"back\":{}}}\n")
        });
    };
    let mute = |path: &Path| somebody(path, std::mem::forget);
    let drips = |path: &Path| {
        somebody(path, |mut stream| {
            while stream.write_all(b" ").is_ok() {
                std::thread::sleep(Duration::from_millis(500))
            }
        })
    };
    let cases: [&dyn Fn(&Path); 6] = [&stale, &foreign, &directory, &other_build, &mute, &drips];
    for (n, lay) in cases.iter().enumerate() {
        let site = Site::new(32, &[("a", a.addr)]);
        lay(&site.socket());
        let _process = site.serving();
        asks(&site);
        if n == 2 {
            // No path to hand over at; the address is shared all the same.
            let _next = site.serving();
        }
    }
}

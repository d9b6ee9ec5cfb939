//! Upgrades: the next process takes over from the one that serves, and nobody at the door notices.

mod process;
mod scenario;
use process::{Process, Site, call, counting};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::{JoinHandle, spawn};
use std::time::Duration;

/// Clients that call until told to stop, on kept connections and on new ones, each request once.
fn crowd(listen: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<usize>> {
    let client = |n: usize| {
        let stop = stop.clone();
        spawn(move || {
            let (mut kept, mut answered) = (None, 0);
            while !stop.load(SeqCst) {
                let mut stream = kept.take().unwrap_or_else(|| TcpStream::connect(listen).expect("let in"));
                let head = call(&mut stream, &format!("{n}-{answered}")).expect("an answer");
                assert!(head.starts_with("HTTP/1.1 200"), "{head}");
                answered += 1;
                let closes = head.to_lowercase().contains("connection: close");
                kept = Some(stream).filter(|_| n.is_multiple_of(2) && !closes);
            }
            answered
        })
    };
    (0..8).map(client).collect()
}

#[test]
fn upgrades_one_after_another_lose_no_request_and_no_connection() {
    let (backend, served) = counting();
    let site = Site::new(32, &[("a", backend)]);
    let mut serving = site.start();
    serving.is_ready();
    let stop = Arc::new(AtomicBool::new(false));
    let clients = crowd(site.listen, &stop);
    for _ in 0..4 {
        let next = site.start();
        next.is_ready();
        serving.signal("-TERM");
        std::mem::replace(&mut serving, next).ends();
        let before = served.load(SeqCst);
        serving.waits_for("served by the next one alone", |_| served.load(SeqCst) > before + 20);
    }
    stop.store(true, SeqCst);
    let answered: usize =
        clients.into_iter().map(|client| client.join().expect("each was answered 200")).sum();
    assert_eq!(served.load(SeqCst), answered, "each ran once");
}

#[test]
fn what_is_out_by_hand_stays_so_and_calls_to_either_process_bind_both() {
    let ((a, served), (b, _)) = (counting(), counting());
    let site = Site::new(32, &[("a", a), ("b", b), ("c", b), ("d", b)]);
    let mut old = site.start();
    old.is_ready();
    let by_hand = |p: &Process, what: &str, id: &str| {
        let answer = p.operator("POST", &format!("/_backends/{what}"), &format!(r#"{{"target":"{id}"}}"#));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
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
    old.signal("-TERM");
    old.ends();
    let before = served.load(SeqCst);
    for n in 0..20 {
        assert!(site.ask(&format!("r{n}")).starts_with("HTTP/1.1 200"));
    }
    assert_eq!(served.load(SeqCst), before, "a is out");
}

#[test]
fn a_new_process_that_dies_changes_nothing() {
    let (a, _) = counting();
    let site = Site::new(32, &[("a", a)]);
    let mut old = site.start();
    old.is_ready();
    for ready in [false, true] {
        let mut new = site.start();
        if ready {
            new.is_ready();
            new.waits_for("accepted by it alone", |_| {
                site.ask("x");
                new.operator("GET", "/_vars", "").contains("edge.ok.view=1")
            });
        } else {
            new.logs("takes over");
        }
        new.signal("-KILL");
        let _ = new.program.wait();
        assert!(site.ask("y").starts_with("HTTP/1.1 200"));
    }
    old.logs("ended");
    let new = site.start();
    new.is_ready();
    old.signal("-TERM");
    old.ends();
    assert!(site.ask("z").starts_with("HTTP/1.1 200"));
}

#[test]
fn whatever_lies_in_the_directory_a_process_starts() {
    let (a, _) = counting();
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
        let site = Site::new(32, &[("a", a)]);
        lay(&site.socket());
        let process = site.start();
        process.is_ready();
        assert!(site.ask("x").starts_with("HTTP/1.1 200"), "case {n}");
        if n == 2 {
            // No path to hand over at; the address is shared all the same.
            let next = site.start();
            next.is_ready();
        }
    }
}

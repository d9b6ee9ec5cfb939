//! The demonstration, to its end and interrupted: nothing is left running. A program of its own, since it
//! looks at all children of its process, and sends signals to itself.

use olivecart_lab::demo::{DemoError, Options, demo};
use olivecart_lab::sockets::program::{Build, find};
use procfs::process::all_processes;
use rustix::process::{Signal, getpid, kill_process};
use std::time::Duration;

/// Proxies that this process has started and that still run.
fn children() -> usize {
    let this = std::process::id() as i32;
    let stats = all_processes().unwrap().filter_map(|process| process.ok()?.stat().ok());
    stats.filter(|stat| stat.ppid == this && stat.comm == "olivecart").count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn it_plays_its_day_and_leaves_nothing_running_also_after_an_interrupt() {
    let mut said = Vec::new();
    let whole = Options { proxy: Some(find(None, Build::IfMissing).unwrap()), ..Options::default() };
    let short = Options { seconds: Some(2), ..whole.clone() };
    let result = demo(short, &mut said).await.unwrap();
    let said = String::from_utf8(said).unwrap();
    assert!(said.contains("\n  2 s  offered") && said.contains("\nproxy-1 "), "{said}");
    assert!(result.totals.offered > 400 && result.totals.in_time > 0, "{:?}", result.totals);
    assert_eq!((result.totals.second_effects, result.servers.len(), children()), (0, 11, 0));

    let interrupt = async {
        while children() < 9 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        kill_process(getpid(), Signal::INT).unwrap();
        std::future::pending::<()>().await;
    };
    let mut said = Vec::new();
    let ended = tokio::select! {
        ended = demo(whole, &mut said) => ended,
        () = interrupt => unreachable!(),
    };
    assert!(matches!(ended, Err(DemoError::Interrupted)), "{ended:?}");
    assert_eq!(children(), 0);
}

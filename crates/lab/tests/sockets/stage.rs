//! Real proxies between the stand-ins and the load.

use super::common::{NEVER, scenario, topology};
use super::peers::{on, request};
use olivecart_lab::model::Topology;
use olivecart_lab::sockets::child::{Child, ChildError, becomes_ready};
use olivecart_lab::sockets::client::Pool;
use olivecart_lab::sockets::load::Options;
use olivecart_lab::sockets::overhead::measure;
use olivecart_lab::sockets::proc::sample;
use olivecart_lab::sockets::program::{Build, find};
use olivecart_lab::sockets::settings::Limits;
use olivecart_lab::sockets::stream::Loopback;
use olivecart_lab::sockets::testbed::{Testbed, TestbedOptions};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

fn setting() -> TestbedOptions {
    TestbedOptions { program: find(None, Build::IfMissing).unwrap(), limits: Limits::default(), fronts: true }
}

/// Two tiers with a proxy beside each server of the first, two in front, and a little load.
fn small(length: &str, rest: &str) -> Arc<Topology> {
    let mut scenario = scenario(&format!(
        r#"tier = [
            {{ name = "t", servers = 3, proxies = 2, kind = [{{ name = "k", cores = 4 }}] }},
            {{ name = "u", servers = 2, calls = 2.0, kind = [{{ name = "k", cores = 4 }}] }}]
        {rest}"#
    ));
    scenario.length = length.parse().unwrap();
    // Where the machine is busy, proxies are slow and refuse more than they would: there is time for that.
    (scenario.clients.retries, scenario.clients.backoff) = (10, "100ms".parse().unwrap());
    for class in &mut scenario.class {
        (class.aim, class.deadline) = ("10s".parse().unwrap(), "20s".parse().unwrap());
    }
    topology(&scenario)
}

fn pids(stage: &Testbed) -> Vec<u32> {
    stage.tracks().iter().map(|track| track.pid).collect()
}

fn runs(pid: &u32) -> bool {
    sample(*pid, Instant::now()).is_ok()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_day_without_faults_loses_nothing_through_real_proxies() {
    let stage = Testbed::start(small("3s", ""), setting()).await.unwrap();
    let load = stage.load(Options { lag: Duration::from_secs(1), ..Options::default() }).unwrap();
    let begin = Instant::now();
    stage.begin(begin);
    let mut report = load.run(begin).await.unwrap();
    stage.complete(&mut report);
    let (result, totals) = (&report.result, &report.result.totals);
    assert_eq!((totals.failed, totals.refused, totals.second_effects), (0, 0, 0), "{totals:?}");
    assert!(totals.offered > 200 && totals.offered == totals.in_time + totals.late, "{totals:?}");
    assert_eq!((&result.unsound, report.foreign), (&vec![], 0));
    // Each request is one attempt, and two calls more.
    assert!(totals.attempts >= totals.offered);
    let by_server: u64 = result.servers.iter().map(|s| s.attempts).sum();
    assert!(
        by_server >= 3 * totals.offered && by_server <= totals.attempts_all_tiers,
        "{by_server} {totals:?}"
    );
    assert_eq!(result.servers.len(), 5);
    let tracks = stage.tracks();
    assert_eq!(tracks.len(), 2 + 3);
    assert!(tracks.iter().all(|t| t.peak_descriptors() > 5 && t.peak_mib() > 1.0), "{tracks:?}");
    let pids = pids(&stage);
    stage.shut_down().await;
    assert!(!pids.iter().any(runs));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_crashes_takes_its_proxy_along_and_both_come_back() {
    let fault = r#"rules = { cold_share = 1.0, cold_time = "1ms" }
                   fault = [{ kind = "crash", start = "500ms", length = "1s" },
                            { kind = "proxy_restart", start = "500ms", length = "1s", part = 0.5 }]"#;
    let stage = Testbed::start(small("3s", fault), setting()).await.unwrap();
    let before = pids(&stage);
    let load = stage.load(Options { lag: Duration::from_secs(1), ..Options::default() }).unwrap();
    let begin = Instant::now();
    stage.begin(begin);
    let mut report = load.run(begin).await.unwrap();
    stage.complete(&mut report);
    let all_up = async {
        while !stage.down().is_empty() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(NEVER, all_up).await.unwrap();
    // All three first-tier servers with their proxies, and one of the two proxies before them, are new.
    let after = pids(&stage);
    assert_eq!((before.len(), after.len(), before.iter().filter(|pid| runs(pid)).count()), (5, 9, 1));
    let deaths: Vec<u32> = report.result.servers.iter().map(|s| s.deaths).collect();
    assert_eq!(deaths, [1, 1, 1, 0, 0]);
    assert!(report.result.totals.second_effects == 0 && report.result.unsound.is_empty());
    let front = Pool::new(stage.fronts()[0].addr, 1);
    let served = async { while on(&front, request("read", &[])).await.unwrap().status != 200 {} };
    timeout(NEVER, served).await.unwrap();
    drop(stage);
    assert!(!after.iter().any(runs));
}

#[tokio::test]
async fn a_child_that_does_not_start_is_named_with_what_it_said() {
    let folder = tempfile::tempdir().unwrap();
    let listen = Loopback::new().address().unwrap();
    let start = |program: &Path| Child::start(program, folder.path(), "p", listen, &serde_json::json!({}));
    assert!(matches!(start(Path::new("/nowhere/olivecart")), Err(ChildError::Start(..))));
    let mut child = start(&setting().program).unwrap();
    let ended = becomes_ready(listen, || child.check()).await.unwrap_err();
    let ChildError::Ended { name, log, .. } = &ended else { panic!("{ended}") };
    assert!(name == "p" && log.contains("settings: missing"), "{ended}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_a_proxy_costs_is_measured_by_the_same_load_on_both_ways() {
    let measured = measure(&setting().program, 200.0, 2, 1).await.unwrap();
    for way in [&measured.through, &measured.straight] {
        let totals = &way.result.totals;
        assert!(totals.offered > 300 && totals.failed == 0, "{totals:?}");
    }
    let requests = measured.requests_per_cpu_second();
    assert!(measured.proxy.cpu_s() > 0.0 && requests > 10.0, "{measured}");
}

//! Measures how long a change of the endpoint list takes to take effect, what it costs, and how long it
//! blocks the event loop. Prints the measurements and checks no limits. Run it alone, in a release build:
//!
//! ```text
//! cargo bench -p olivecart --bench figures            # all, or some: -- push limits change xds console
//! ```

#[path = "../tests/fleet/mod.rs"]
mod fleet;
#[path = "../tests/scenario/mod.rs"]
mod scenario;
#[path = "../tests/site/mod.rs"]
mod site;

use fleet::{Backend, Client, Load, Proxy};
use olivecart_lab::control_plane::{HealthStatus, Resources};
use scenario::plane::Plane;
use scenario::program::Program;
use scenario::{SETTINGS, free_port};
use site::Site;
use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

const OPERATORS_FILE: &str = r#"version = 1
default = "cart"
[[sources]]
name = "fleet"
file = "fleet.toml"
[catalog]
hold = "0s"
"#;

/// The number of endpoints in the proxy's zone, which have backends. The others have no listener, and are in
/// another zone so that they get no requests.
const LOCAL_ENDPOINTS: usize = 10;

fn endpoints_file(
    backends: &[Backend],
    drains: &[usize],
    count: usize,
    weight: u32,
    last_weight: Option<u32>,
) -> String {
    let mut text = "version = 1\n[[clusters]]\nname = \"cart\"\n".to_owned();
    for at in 0..count {
        let (address, zone) = match backends.get(at) {
            Some(backend) => (backend.addr.to_string(), "z"),
            None => (format!("127.{}.{}.{}:9", 64 + (at >> 16), (at >> 8) & 255, at & 255), "y"),
        };
        let state = if drains.contains(&at) { "draining" } else { "ready" };
        let weight = if at + 1 == count { last_weight.unwrap_or(weight) } else { weight };
        let _ = write!(
            text,
            "[[clusters.endpoints]]\nname = \"s-{at:05}\"\naddress = \"{address}\"\nstate = \"{state}\"\n\
             zone = \"{zone}\"\nweight = {weight}\n"
        );
    }
    text + "[end]\n"
}

/// Returns the proxy's total CPU time, its current and peak resident memory in KiB, and its number of open
/// descriptors.
fn usage(proxy: &Proxy) -> (Duration, u64, u64, usize) {
    let read =
        |name: &str| fs::read_to_string(format!("/proc/{}/{name}", proxy.program.id())).unwrap_or_default();
    let stat = read("schedstat"); // nanoseconds of the main thread; all threads are summed below
    let mut cpu = stat.split(' ').next().and_then(|ns| ns.parse().ok()).unwrap_or(0);
    if let Ok(tasks) = fs::read_dir(format!("/proc/{}/task", proxy.program.id())) {
        let of = |task: fs::DirEntry| fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        cpu = tasks.flatten().map(of).filter_map(|s| s.split(' ').next()?.parse::<u64>().ok()).sum();
    }
    let status = read("status");
    let line = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    let descriptors = fs::read_dir(format!("/proc/{}/fd", proxy.program.id())).map_or(0, |fds| fds.count());
    (Duration::from_nanos(cpu), line("VmRSS").unwrap_or(0), line("VmHWM").unwrap_or(0), descriptors)
}

/// Requests the proxy's own health repeatedly. The slowest response is an upper bound on how long the event
/// loop was blocked.
fn start_pinger(proxy: &Proxy, stop: &Arc<AtomicBool>) -> std::thread::JoinHandle<Vec<Duration>> {
    let (to, stop) = (proxy.listen, stop.clone());
    std::thread::spawn(move || {
        let (mut client, mut latencies) = (Client::new(to), Vec::new());
        while !stop.load(SeqCst) {
            let started = Instant::now();
            match client.get("/health/live") {
                Some(_) => latencies.push(started.elapsed()),
                None => client = Client::new(to),
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        latencies
    })
}

fn summarize(mut durations: Vec<Duration>) -> String {
    durations.sort();
    let at = |share: f64| durations[((durations.len() - 1) as f64 * share) as usize];
    format!("median {:.1?}, p99 {:.1?}, worst {:.1?} of {}", at(0.5), at(0.99), at(1.0), durations.len())
}

fn settings_without_probes() -> String {
    SETTINGS.replace("\"probes\":true", "\"probes\":false")
}

fn measure_file_change_delay() {
    for count in [10, 1_000, 10_000] {
        let backends: Vec<Backend> = (0..LOCAL_ENDPOINTS).map(|at| Backend::new(&at.to_string())).collect();
        let proxy = Proxy::start(Some(OPERATORS_FILE), &settings_without_probes());
        proxy.list(&endpoints_file(&backends, &[], count, 1, None));
        proxy.program.line("cluster changed");
        let load = Load::start(proxy.listen, 4);
        backends[0].wait_past(0);
        let mut delays = Vec::new();
        // Half of the local endpoints drain at any time, each for five pushes, which is 0.6 s.
        for push in 0..200 {
            let at = |back: usize| (push + LOCAL_ENDPOINTS - back) % LOCAL_ENDPOINTS;
            delays.extend(backends[at(5)].stop(false));
            let drains: Vec<usize> = (0..5).map(at).collect();
            let text = endpoints_file(&backends, &drains, count, 1, None);
            backends[at(0)].stop(true);
            proxy.list(&text);
            std::thread::sleep(Duration::from_millis(120));
        }
        let tally = load.end();
        println!("{count} endpoints: {}; answers {tally:?}", summarize(delays));
    }
}

/// The same over incremental xDS, where each push contains the cluster's complete list.
fn measure_xds_push_delay() {
    for count in [10, 1_000, 10_000] {
        let backends: Vec<Backend> = (0..LOCAL_ENDPOINTS).map(|at| Backend::new(&at.to_string())).collect();
        let ids: Vec<String> = (0..count).map(|at| format!("s-{at:05}")).collect();
        let list = |drains: &[usize]| -> Vec<(&str, SocketAddr, HealthStatus)> {
            let one = |at: usize| {
                let far = || SocketAddr::from(([127, 64 + (at >> 16) as u8, (at >> 8) as u8, at as u8], 9));
                let address = backends.get(at).map_or_else(far, |backend| backend.addr);
                let drains = drains.contains(&at) || at >= LOCAL_ENDPOINTS;
                let health = if drains { HealthStatus::Draining } else { HealthStatus::Healthy };
                // The endpoints without a backend drain so that they get no requests: in this benchmark, xDS
                // has only one locality.
                (ids[at].as_str(), address, health)
            };
            (0..count).map(one).collect()
        };
        let mut resources = Resources::default();
        resources.set_cluster("cart");
        resources.set_health("cart", &list(&[]));
        let plane = Plane::start(resources);
        let source = format!("xds = \"{}\"\nnode = \"n1\"", plane.address());
        let operators = OPERATORS_FILE.replace("file = \"fleet.toml\"", &source);
        let proxy = Proxy::start(Some(&operators), &settings_without_probes());
        proxy.program.line("cluster changed");
        let load = Load::start(proxy.listen, 4);
        backends[0].wait_past(0);
        let mut delays = Vec::new();
        for push in 0..200 {
            let at = |back: usize| (push + LOCAL_ENDPOINTS - back) % LOCAL_ENDPOINTS;
            delays.extend(backends[at(5)].stop(false));
            let drains: Vec<usize> = (0..5).map(at).collect();
            let list = list(&drains);
            backends[at(0)].stop(true);
            plane.change(|resources| resources.set_health("cart", &list));
            std::thread::sleep(Duration::from_millis(120));
        }
        let tally = load.end();
        println!("{count} endpoints over xDS: {}; answers {tally:?}", summarize(delays));
    }
}

fn measure_push_cost() {
    for count in [10, 1_000, 10_000] {
        let backends: Vec<Backend> = (0..LOCAL_ENDPOINTS).map(|at| Backend::new(&at.to_string())).collect();
        let proxy = Proxy::start(Some(OPERATORS_FILE), &settings_without_probes());
        let idle = usage(&proxy);
        proxy.list(&endpoints_file(&backends, &[], count, 1, None));
        proxy.program.line("cluster changed");
        let first = usage(&proxy);
        println!(
            "{count} endpoints: first list: CPU {:.1?}, {} -> {} KiB, most {} KiB",
            first.0 - idle.0,
            idle.1,
            first.1,
            first.2
        );
        for (what, full) in [("one endpoint", false), ("all endpoints", true)] {
            let texts: Vec<String> = (0..50)
                .map(|n| endpoints_file(&backends, &[], count, if full { 1 + n % 2 } else { 1 }, Some(2 + n)))
                .collect();
            for loaded in [false, true] {
                let load = Load::start(proxy.listen, if loaded { 4 } else { 0 });
                let stop = Arc::<AtomicBool>::default();
                let pinger = start_pinger(&proxy, &stop);
                // The CPU time of the clients and pings alone, over the same time without pushes, is
                // subtracted below.
                let before = usage(&proxy);
                std::thread::sleep(Duration::from_millis(100) * texts.len() as u32);
                let between = usage(&proxy);
                for text in &texts {
                    proxy.list(text);
                    std::thread::sleep(Duration::from_millis(100));
                }
                let after = usage(&proxy);
                stop.store(true, SeqCst);
                let pings = pinger.join().expect("no panic");
                let tally = load.end();
                let cpu = (after.0 - between.0).saturating_sub(between.0 - before.0) / texts.len() as u32;
                println!(
                    "  {what} changed ten times a second, {}: CPU {cpu:.1?} a push, most {} KiB; pings {}; {tally:?}",
                    if loaded { "under load" } else { "no load" },
                    after.2,
                    summarize(pings)
                );
            }
        }
        proxy.program.lines();
        let _ = Command::new("kill").args(["-USR1", &proxy.program.id().to_string()]).status();
        println!("  {}", proxy.program.line("longest_batch_us"));
    }
}

fn measure_memory_with_and_without_catalog() {
    for (what, operators) in [("off", None), ("on, 10 endpoints", Some(OPERATORS_FILE))] {
        let backends: Vec<Backend> = (0..LOCAL_ENDPOINTS).map(|at| Backend::new(&at.to_string())).collect();
        let proxy = Proxy::start(operators, SETTINGS);
        proxy.list(&endpoints_file(&backends, &[], LOCAL_ENDPOINTS, 1, None));
        if operators.is_some() {
            proxy.program.line("cluster changed");
        }
        std::thread::sleep(Duration::from_secs(1));
        let (cpu, now, most, descriptors) = usage(&proxy);
        println!(
            "{what}: {now} KiB, most {most} KiB, {descriptors} descriptors, CPU {cpu:.1?} in its first second"
        );
    }
}

/// Returns the number of instructions that the proxy executes for `requests` sequential requests, including
/// its start and shutdown.
fn count_instructions(site: &Site, console: bool, requests: u64) -> u64 {
    let mut valgrind = Command::new("valgrind");
    valgrind.args(["--tool=callgrind", "--callgrind-out-file=/dev/null", env!("CARGO_BIN_EXE_olivecart")]);
    valgrind.arg("serve").env("EDGE_CONFIG", &site.config);
    if console {
        valgrind.env("EDGE_CONSOLE", free_port().to_string());
    }
    let mut program = Program::start(&mut valgrind);
    program.line("listening");
    let mut client = Client::new(site.listen);
    (0..requests).for_each(|_| assert_eq!(client.call().map(|(status, _)| status), Some(200)));
    drop(client);
    program.signal("TERM");
    let line = program.line("Collected :");
    assert!(program.wait_for_exit().success());
    line.rsplit(' ').next().and_then(|count| count.parse().ok()).expect("a count")
}

/// Measured in instructions, since CPU time on a shared machine varies too much between runs. Needs valgrind.
fn measure_console_cost() {
    let backend = Backend::new("a");
    let site = Site::new(48, &[("a", backend.addr)]);
    for console in [false, true, false, true] {
        let [few, many] = [1000, 5000].map(|requests| count_instructions(&site, console, requests));
        println!("console {console}: {} instructions a request", (many - few) / 4000);
    }
}

fn main() {
    let selected: Vec<String> = std::env::args().skip(1).filter(|word| !word.starts_with("--")).collect();
    let benchmarks: [(&str, fn()); 5] = [
        ("change", measure_file_change_delay),
        ("xds", measure_xds_push_delay),
        ("push", measure_push_cost),
        ("limits", measure_memory_with_and_without_catalog),
        ("console", measure_console_cost),
    ];
    for (name, measure) in benchmarks {
        if selected.is_empty() || selected.iter().any(|word| word == name) {
            measure();
        }
    }
}

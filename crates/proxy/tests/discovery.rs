//! Tests of failures of discovery, over sockets: after any failure of a request or a watch, the proxy logs it, keeps
//! its list, and receives the next change. The delays are tested in virtual time (`src/discovery/watch/tests`); no
//! test here depends on the speed of the machine.

mod scenario;
#[path = "discovery/stand_in.rs"]
mod stand_in;

use scenario::program::Program;
use scenario::{SETTINGS, STEP_TIMEOUT, call_once, config_file, free_port, olivecart, read_message};
use stand_in::{Answer, Discovery, End};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A delta that removes endpoint `b-0`, which leaves one of the two. No other line in these tests does that.
const CHANGE: &str = r#"{"version":42,"servers":[{"id":"b-0","state":"gone"}]}"#;

struct Proxy {
    program: Program,
    listen: SocketAddr,
    console: SocketAddr,
    config: PathBuf,
}

impl Proxy {
    /// Starts a proxy with two cached endpoints and this descriptor limit, in its settings and in the system.
    fn start(discovery: SocketAddr, sockets: usize) -> Proxy {
        Proxy::with(SETTINGS, discovery, sockets)
    }

    fn with(settings: &str, discovery: SocketAddr, sockets: usize) -> Proxy {
        let (listen, console) = (free_port(), free_port());
        let server = |id| format!(r#"{{"id":"{id}-0","addr":"{}","state":"ready","zone":"z"}}"#, free_port());
        let config = config_file(&format!(
            r#"{{"listen":"{listen}","discovery":"{discovery}","limits":{{"sockets":{sockets}}},
            "known":{{"version":41,"full":true,"servers":[{},{}]}},"settings":{settings}}}"#,
            server("a"),
            server("b")
        ));
        let own = olivecart("serve", &config);
        let mut program = Command::new("sh");
        program.arg("-c").arg(format!("ulimit -n {sockets}; exec \"$0\" \"$@\""));
        program.arg(own.get_program()).args(own.get_args());
        own.get_envs().for_each(|(name, value)| match value {
            Some(value) => _ = program.env(name, value),
            None => _ = program.env_remove(name),
        });
        let program = Program::start(program.env("EDGE_CONSOLE", console.to_string()));
        Proxy { program, listen, console, config }
    }

    fn vars(&self) -> String {
        call_once(self.console, "GET /_vars", "").map(|answer| answer.body).unwrap_or_default()
    }

    fn has_pool_size(&self, count: usize) -> bool {
        self.vars().lines().any(|line| line == format!("edge.pool_size={count}"))
    }

    fn wait_for_pool_size(&self, count: usize) {
        let end = Instant::now() + STEP_TIMEOUT;
        while !self.has_pool_size(count) {
            assert!(
                Instant::now() < end,
                "pool size {count} not reached; the log: {:#?}",
                self.program.lines()
            );
            std::thread::yield_now();
        }
    }
}

/// Checks that the proxy logs this text for the invalid responses, and applies the valid response to the next
/// request.
fn check_recovery_after(invalid: Vec<Answer>, log_text: &str) {
    let discovery = Discovery::start(invalid, Answer::lines(&format!("{CHANGE}\n"), End::KeepAlives));
    let proxy = Proxy::start(discovery.addr, 256);
    proxy.program.line(log_text);
    proxy.wait_for_pool_size(1);
    assert_eq!(discovery.call(), "GET /registry/instances?watch=1&after=41");
    assert_eq!(discovery.call(), "GET /registry/instances?watch=1&after=41", "nothing was applied before");
}

#[test]
fn silent_watch_is_reopened() {
    check_recovery_after(
        vec![Answer::lines("\n", End::Silence)],
        "no complete line before the silence timeout",
    );
}

#[test]
fn reset_watch_is_reopened_when_discovery_is_back() {
    let at = free_port();
    let more = r#"{"version":42,"servers":[{"id":"c-0","state":"draining"}]}"#;
    let discovery = Discovery::start_at(at, vec![], Answer::lines(&format!("{more}\n"), End::Reset));
    let proxy = Proxy::start(at, 256);
    assert!(discovery.call().ends_with("after=41"));
    proxy.wait_for_pool_size(3);
    drop(discovery);
    proxy.program.line("response body interrupted");
    let less = CHANGE.replace("42", "43");
    let discovery = Discovery::start_at(at, vec![], Answer::lines(&format!("{less}\n"), End::KeepAlives));
    assert!(discovery.call().ends_with("after=42"));
    proxy.wait_for_pool_size(2);
}

#[test]
fn incomplete_line_before_silence_is_not_applied() {
    check_recovery_after(
        vec![Answer::lines(r#"{"version":42,"serv"#, End::Silence)],
        "no complete line before the silence timeout",
    );
}

#[test]
fn bytes_without_a_complete_line_count_as_silence() {
    check_recovery_after(
        vec![Answer::lines("\n", End::Repeats(" "))],
        "no complete line before the silence timeout",
    );
}

#[test]
fn unfinished_object_over_many_lines_counts_as_silence() {
    let begun = "{\"version\":42,\"servers\":[],\"more\":[\n";
    check_recovery_after(
        vec![Answer::lines(begun, End::Repeats("1,\n"))],
        "no complete line before the silence timeout",
    );
}

#[test]
fn response_that_stalls_in_its_head_times_out() {
    check_recovery_after(
        vec![Answer::Raw("HTTP/1.1 200 OK\r\nTransfer-Enc", End::Silence)],
        "response timeout",
    );
}

#[test]
fn request_without_a_response_times_out() {
    check_recovery_after(vec![Answer::Raw("", End::Silence)], "response timeout");
}

#[test]
fn rejected_request_is_repeated() {
    let refused = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
    check_recovery_after(vec![Answer::Raw(refused, End::Silence); 2], "status 503");
}

#[test]
fn list_may_be_indented_over_several_lines() {
    let list = "{\r\n  \"version\": 42,\n  \"servers\": [\n    {\n      \"id\": \"b-0\",\n\n      \"state\": \"gone\"\n    }\n  ]\n}\n";
    let discovery = Discovery::start(vec![], Answer::lines(list, End::KeepAlives));
    let proxy = Proxy::start(discovery.addr, 256);
    proxy.wait_for_pool_size(1);
    assert!(discovery.call().ends_with("after=41"));
    assert_eq!(
        proxy.program.lines().iter().filter(|line| line.contains("discovery call ended")).count(),
        0,
        "at the first call"
    );
}

#[test]
fn invalid_line_ends_the_watch_with_a_log_message_and_keeps_the_list() {
    let unfinished = CHANGE.trim_end_matches('}');
    let cases = [
        (format!("{CHANGE}x\n"), "unexpected 'x' after the object"),
        (format!("{CHANGE},\n"), "unexpected ',' after the object"),
        (format!("{unfinished}\n{CHANGE}\n"), "malformed object: unexpected '{'"),
        (format!("x{CHANGE}\n"), "starts with 'x'"),
        (format!("[{CHANGE}]\n"), "starts with '['"),
        (format!("{unfinished},\"version\":43}}\n"), "duplicate field"),
        (format!("{unfinished},\"full\":2}}\n"), "expected a boolean"),
        (CHANGE.replace("42", "-42") + "\n", "invalid endpoint list"),
        (CHANGE.replace("\"state\":\"gone\"", "\"stat\":\"gone\"") + "\n", "missing field"),
        (CHANGE.replace("gone", "go\nne") + "\n", "malformed object: unexpected '\\n'"),
        (CHANGE.replace("gone", &"x".repeat(5 << 20)) + "\n", "larger than"),
        (format!("{unfinished},\"x\":{}", "[".repeat(20)), "nested more than"),
    ];
    let invalid = cases.iter().map(|(line, _)| Answer::lines(line, End::Silence)).collect();
    let discovery = Discovery::start(invalid, Answer::lines(&format!("{CHANGE}\n"), End::KeepAlives));
    let proxy = Proxy::start(discovery.addr, 256);
    for (line, reason) in &cases {
        assert!(discovery.call().ends_with("after=41"), "{:.200}", line);
        let logged = proxy.program.line("discovery call ended");
        assert!(
            logged.contains(reason) && logged.contains(&discovery.addr.to_string()),
            "{reason}: {logged}"
        );
    }
    // The last response is valid and is applied.
    assert!(discovery.call().ends_with("after=41"));
    proxy.wait_for_pool_size(1);
}

#[test]
fn older_version_is_rejected_and_the_full_list_is_requested() {
    let lines = r#"{"version":50,"servers":[]}
        {"version":49,"servers":[{"id":"b-0","state":"gone"}]}
        "#;
    let full_list = r#"{"version":3,"full":true,"servers":[{"id":"b-0","state":"draining"}]}"#;
    let discovery = Discovery::start(
        vec![Answer::lines(lines, End::Silence)],
        Answer::lines(&format!("{full_list}\n"), End::KeepAlives),
    );
    let proxy = Proxy::start(discovery.addr, 256);
    proxy.program.line("stale update: version 49 is older than the current version 50");
    assert!(discovery.call().ends_with("after=41"));
    assert!(discovery.call().ends_with("after=0"));
    proxy.wait_for_pool_size(1);
}

#[test]
fn new_discovery_address_is_used_while_a_request_hangs_or_a_watch_is_silent() {
    for old in [Answer::Raw("", End::Silence), Answer::lines("\n", End::Silence)] {
        let before = Discovery::start(vec![old], Answer::Raw("", End::Silence));
        let after = Discovery::start(vec![], Answer::lines(&format!("{CHANGE}\n"), End::KeepAlives));
        let proxy = Proxy::start(before.addr, 256);
        before.call();
        let text = std::fs::read_to_string(&proxy.config).expect("read");
        let text = text.replace(&before.addr.to_string(), &after.addr.to_string());
        std::fs::write(&proxy.config, text).expect("written");
        proxy.program.signal("HUP");
        assert!(after.call().ends_with("after=41"));
        proxy.wait_for_pool_size(1);
        before.closed();
    }
}

#[test]
fn discovery_down_at_the_start_is_reached_once_it_is_up() {
    let at = free_port();
    let proxy = Proxy::start(at, 256);
    (0..3).for_each(|_| _ = proxy.program.line("connection or request failed"));
    let discovery = Discovery::start_at(at, vec![], Answer::lines(&format!("{CHANGE}\n"), End::KeepAlives));
    assert!(discovery.call().ends_with("after=41"));
    proxy.wait_for_pool_size(1);
}

#[test]
fn in_subscribe_mode_discovery_is_queried_again_after_a_failed_or_hanging_request() {
    let settings =
        SETTINGS.replace("automatic", "subscribe").replace("must-ask-in-ns\":10", "must-ask-in-ns\":1");
    assert!(settings.contains("subscribe") && settings.contains(r#""must-ask-in-ns":1000000000}"#));
    let invalid = vec![
        Answer::Raw("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", End::Silence),
        Answer::Raw("", End::Silence),
        Answer::lines("\n", End::Silence),
    ];
    let discovery = Discovery::start(invalid, Answer::lines(&format!("{CHANGE}\n"), End::KeepAlives));
    let proxy = Proxy::with(&settings, discovery.addr, 256);
    for log_text in ["status 503", "response timeout", "no complete line before the silence timeout"] {
        assert!(discovery.call().ends_with("after=41"));
        proxy.program.line(log_text);
    }
    proxy.wait_for_pool_size(1);
}

#[test]
fn start_does_not_wait_for_discovery_that_is_down_stalled_or_silent() {
    let down = free_port();
    let stalled = Discovery::start(vec![], Answer::Raw("HTTP/1.1 200", End::Silence));
    let silent = Discovery::start(vec![], Answer::lines("", End::Silence));
    for at in [down, stalled.addr, silent.addr] {
        let proxy = Proxy::start(at, 256);
        let (begun, end) = (Instant::now(), Instant::now() + STEP_TIMEOUT);
        let is_ready =
            || call_once(proxy.listen, "GET /health/ready", "").is_ok_and(|m| m.first.starts_with("200"));
        while !is_ready() {
            assert!(Instant::now() < end, "not ready in time");
            std::thread::yield_now();
        }
        println!("ready after {:?}", begun.elapsed());
        assert!(proxy.has_pool_size(2), "as in the cached list");
    }
}

/// Clients that connect, send nothing, half a request or one health check, and stay connected; they reconnect when
/// the proxy closes the connection.
struct IdleClients {
    stop: Arc<AtomicBool>,
    clients: Vec<std::thread::JoinHandle<()>>,
}

impl IdleClients {
    fn start(to: SocketAddr, count: usize) -> IdleClients {
        let stop = Arc::<AtomicBool>::default();
        let client = |number: usize| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
                        continue;
                    };
                    let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
                    let _ = match number % 3 {
                        0 => stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"),
                        1 => stream.write_all(b"GET /half"),
                        _ => Ok(()),
                    };
                    let mut one = [0; 512];
                    loop {
                        match std::io::Read::read(&mut stream, &mut one) {
                            Ok(0) => break, // closed by the proxy
                            Err(e) if !matches!(e.kind(), std::io::ErrorKind::WouldBlock) => break,
                            _ if stop.load(Ordering::SeqCst) => break,
                            _ => {}
                        }
                    }
                }
            })
        };
        let clients = (0..count).map(client).collect();
        IdleClients { stop, clients }
    }

    fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.into_iter().for_each(|client| client.join().expect("no panic"));
    }
}

#[test]
fn idle_clients_leave_descriptors_for_discovery_backends_and_the_admin_server() {
    const SOCKETS: usize = 112;
    let at = free_port();
    let proxy = Proxy::start(at, SOCKETS);
    let mut log = Vec::new();
    let mut is_down = || {
        let (end, from) = (Instant::now() + STEP_TIMEOUT, log.len());
        while !log[from..].iter().any(|line: &String| line.contains("connection or request failed")) {
            assert!(Instant::now() < end, "discovery is down: {log:#?}");
            log.extend(proxy.program.lines());
        }
    };
    is_down();
    let idle_clients = IdleClients::start(proxy.listen, 2 * SOCKETS);
    // Wait until the clients use all descriptors that clients may have.
    let open =
        || std::fs::read_dir(format!("/proc/{}/fd", proxy.program.id())).expect("the program runs").count();
    let end = Instant::now() + STEP_TIMEOUT;
    let mut most = 0;
    while most < (SOCKETS - 72) / 2 {
        assert!(Instant::now() < end, "the clients use at most {most} descriptors");
        most = most.max(open());
    }
    // With these clients connected, discovery comes back and lists a backend, which a request reaches.
    let backend = scenario::serve(|mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Ok(Some(_)) = read_message(&mut reader) {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
        }
    });
    let server = |id: usize| format!(r#"{{"id":"c-{id}","addr":"{backend}","state":"ready","zone":"z"}}"#);
    for version in 42..45 {
        // Each time, discovery has a list of another length, and goes down again with its watch.
        let count = version - 41;
        let servers: Vec<String> = (0..count).map(server).collect();
        let list = format!(r#"{{"version":{version},"full":true,"servers":[{}]}}"#, servers.join(","));
        let discovery = Discovery::start_at(at, vec![], Answer::lines(&format!("{list}\n"), End::Reset));
        proxy.wait_for_pool_size(count);
        most = most.max(open());
        drop(discovery);
        is_down();
    }
    let end = Instant::now() + STEP_TIMEOUT;
    loop {
        let first = "GET /x HTTP/1.1\r\nX-Request-Id: r1\r\nX-Class: view\r\nX-Deadline: 30000m\r\nX-Rest: ";
        let answer = call_once(proxy.listen, first, "").map(|message| message.first);
        if answer.as_ref().is_ok_and(|first| first.starts_with("200")) {
            break;
        }
        assert!(Instant::now() < end, "request not served in time: {answer:?}");
    }
    idle_clients.end();
    log.extend(proxy.program.lines());
    assert!(!log.iter().any(|line| line.contains("accept failed")), "descriptors ran out: {log:#?}");
    assert!(most < SOCKETS, "{most} open");
}

//! Tests of the admin server: its responses, its statistics, and detached endpoints.

mod scenario;
mod site;
use scenario::{SETTINGS, play, play_with};
use site::Site;
use std::io::Write;
use std::net::TcpStream;

#[test]
fn each_request_result_is_counted_once() {
    // A 200, a 404, an unknown class, a client that disconnects, and a 500 of a class that cannot be retried
    // elsewhere; a reset that is retried elsewhere; then a request that times out without a response.
    play(
        "console wait ok.view=0 errors.book=0 tries=0 active=0 pool_size=2 pool_ejected=0
         c send GET /1
         a expect GET /1
         console wait active=1 tries=1 ok.view=0
         a send 200 | yes
         c expect 200 | yes
         console wait active=0 tries=1 ok.view=1
         c send GET /2
         a expect GET /2
         a send 404 | no
         c expect 404 | no
         c send GET /3 X-Class=steal
         c expect 400
         c2 send GET /4
         a expect GET /4
         c2 close
         a expect closed
         console wait active=0 tries=3 ok.view=1 errors.view=2 shed.view=0
         c3 send POST /5 X-Class=book | x
         a expect POST /5 | x
         a send 500 | broken
         c3 expect 502
         console wait active=0 ok.book=0 errors.book=1 tries=4
         c4 send GET /6
         a expect GET /6
         a close
         b expect GET /6
         b send 200 | there
         c4 expect 200 | there
         console wait active=0 tries=6 ok.view=2 errors.view=2",
    );
    play_with(
        &["a"],
        &SETTINGS.replace("0000000000,\"effect", "000000000,\"effect").replace("20000000000", "2000000000"),
        "c send POST /1 X-Class=book | x
         a expect POST /1 | x
         c expect 502
         a expect closed
         console wait active=0 tries=1 ok.book=0 errors.book=1",
    );
}

#[test]
fn rejected_request_is_counted_as_shed_and_readiness_is_reported() {
    play_with(
        &["a"],
        &SETTINGS.replace("50000000000", "500000000000"), // otherwise a request queued for part of its deadline would be answered in time
        "console expect 200 GET /_ready
         console expect 200 POST /_backends/detach {\"target\":\"a-0\"}
         console wait pool_size=1 pool_ejected=1
         console expect 503 GET /_ready
         c send GET /1
         c expect 503 Retry-After=*
         console wait shed.view=1 active=0 tries=0
         console expect 200 POST /_backends/attach {\"target\":\"a-0\"}
         console wait pool_ejected=0
         console expect 200 GET /_ready",
    );
}

#[test]
fn detached_endpoint_gets_no_requests_through_list_changes_until_it_is_attached() {
    let server = |name: &str, started: u64| {
        format!(
            "{{\"id\":\"{name}-0\",\"addr\":\"@{name}\",\"state\":\"ready\",\"zone\":\"z\",\"started_ms\":{started}}}"
        )
    };
    let lists = [
        format!("{{\"version\":42,\"full\":false,\"servers\":[{}]}}", server("a", 5)),
        "{\"version\":43,\"full\":false,\"servers\":[{\"id\":\"a-0\",\"state\":\"gone\"}]}".to_owned(),
        format!("{{\"version\":44,\"full\":true,\"servers\":[{},{}]}}", server("a", 0), server("b", 0)),
    ];
    let listed: String = lists
        .iter()
        .enumerate()
        .map(|(at, list)| {
            format!(
                "discovery send chunk {list}\\n
                 console wait pool_size={size} pool_ejected={ejected}
                 c send GET /{at}
                 b expect GET /{at}
                 b send 200 | b
                 c expect 200 | b\n",
                size = if at == 1 { 1 } else { 2 },
                ejected = if at == 1 { 0 } else { 1 },
            )
        })
        .collect();
    play(&format!(
        "discovery expect GET /registry/instances?watch=1&after=41
         discovery send raw HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n
         c send GET /first
         a expect GET /first
         a send 200 | a
         c expect 200 | a
         console expect 200 POST /_backends/detach {{\"target\":\"a-0\"}}
         console expect 200 POST /_backends/detach {{\"target\":\"a-0\"}}
         {listed}
         file send discovery=@moved
         proxy send HUP
         proxy expect log configuration reloaded
         c send GET /hup
         b expect GET /hup
         b send 200 | b
         c expect 200 | b
         console expect 200 POST /_backends/attach {{\"target\":\"a-0\"}}
         console wait pool_size=2 pool_ejected=0
         console expect 200 POST /_backends/detach {{\"target\":\"b-0\"}}
         c send GET /back
         a expect GET /back
         a send 200 | a
         c expect 200 | a"
    ));
}

#[test]
fn invalid_admin_requests_are_rejected_and_change_nothing() {
    play(
        "console expect 404 GET /
         console expect 405 POST /_vars
         console expect 405 GET /_backends/detach
         console expect 400 POST /_backends/detach
         console expect 400 POST /_backends/detach {\"target\":
         console expect 404 POST /_backends/detach {\"target\":\"a\"}
         console expect 404 POST /_backends/attach {\"target\":\"nobody\"}
         console expect 200 POST /_backends/attach {\"target\":\"b-0\"}
         console wait pool_size=2 pool_ejected=0 errors.view=0 active=0",
    );
}

#[test]
fn idle_connections_do_not_lock_out_other_admin_callers() {
    let site = Site::new(32, &[]);
    let process = site.start();
    process.wait_for_var("edge.active=0");
    let idle_clients: Vec<_> = (0..300).map(|_| TcpStream::connect(site.listen).expect("queued")).collect();
    let idle = |n: u32| {
        let mut stream = TcpStream::connect(process.console).expect("queued");
        let _ = stream.write_all(if n.is_multiple_of(2) { b"GET /_va" } else { b"" }); // some are already closed
        stream
    };
    let idle: Vec<TcpStream> = (0..200).map(idle).collect();
    for _ in 0..5 {
        let answer = process.admin_request("GET /_vars", "");
        assert!(answer.starts_with("200 OK") && answer.ends_with("edge.pool_ejected=0\n"), "{answer}");
    }
    drop((idle_clients, idle));
}

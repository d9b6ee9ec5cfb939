//! Runs the adapter as a process on hand-written batches.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_olivecart-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("adapter starts");
    let mut input = child.stdin.take().expect("piped");
    for line in lines {
        // The write fails if the adapter has ended at an invalid line.
        let _ = writeln!(input, "{line}");
    }
    drop(input);
    child.wait_with_output().expect("adapter exits")
}

fn replies(out: &Output) -> Vec<serde_json::Value> {
    let text = String::from_utf8(out.stdout.clone()).expect("utf-8");
    text.lines().map(|l| serde_json::from_str(l).expect("a reply is JSON")).collect()
}

fn configure(i: u32, me: u32) -> String {
    let grades = r#"[{"aim-ns":200000000,"give-up-ns":1000000000,"effect":"by_key","group":"cell","name":"buy","window-ns":500000000,"worth":2.0,"stream":false,"late-worth":0.1,"later-key":1}]"#;
    format!(
        r#"{{"configure":{{"i":{i},"seed":7,"options":{{"grades":{grades},"group-size":4,"me":{me},"zone":"z1","dcs":["z1","z2"],"allowed":{{"may-cancel":true,"probes":true,"max-attempts":3,"second-copies":true,"unheard-of":[1]}},"report":{{"names":["cpu","active"],"source":"answers"}},"a-new-key":{{"x":null}}}}}}}}"#
    )
}

const CATALOG: &str = r#"{"catalog":{"set-id":0,"elements":[{"power-hint":1,"stage-state":1,"dc":"z1","endpoint":"endpoint_a","family-type":"k","unit-group":0},{"stage-state":1,"dc":"z2","endpoint":"endpoint_b","family-type":"k","started-at-ns":5,"unit-group":0}]}}"#;

fn membership(i: u32) -> String {
    format!(r#"{{"membership":{{"i":{i},"form":2,"gen":1,"set-id":0}}}}"#)
}

fn incoming(i: u32, txn: &str) -> String {
    format!(r#"{{"incoming":{{"i":{i},"txn":"{txn}","left-ns":900000000,"qos":"buy"}}}}"#)
}

fn batch(n: u32, ms: u64, events: &[String]) -> String {
    format!(r#"{{"at-time-ns":{},"batch":{n},"events":[{}]}}"#, ms * 1_000_000, events.join(","))
}

fn start(i: u32) -> Vec<String> {
    vec![configure(i, i % 4), CATALOG.into(), membership(i)]
}

fn orders(reply: &serde_json::Value) -> &Vec<serde_json::Value> {
    reply["orders"].as_array().expect("orders")
}

fn order<'a>(reply: &'a serde_json::Value, name: &str) -> Option<&'a serde_json::Value> {
    orders(reply).iter().find_map(|o| o.get(name))
}

#[test]
fn request_is_handed_off_and_removed_after_its_final_response() {
    let mut first = start(0);
    first.push(incoming(0, "r1"));
    let ok = r#"{"response":{"i":0,"txn":"r1","leg":0,"endpoint":"endpoint_a","result":"ok","duration-ns":5,"over":true,"telemetry":[0.5,3]}}"#;
    let stale = r#"{"aborted":{"i":0,"txn":"r1"}}"#;
    let out = run_adapter(&[
        &batch(1, 10, &first),
        &batch(2, 20, &[ok.into(), stale.into()]),
        &batch(3, 30, &[ok.into()]),
        &batch(4, 30, &[]),
    ]);
    assert!(out.status.success());
    let replies = replies(&out);
    assert_eq!(replies.iter().map(|r| r["batch"].as_u64()).collect::<Vec<_>>(), [1, 2, 3, 4].map(Some));
    let hand_off = order(&replies[0], "hand-off").expect("handed off");
    assert_eq!((&hand_off["txn"], &hand_off["i"]), (&"r1".into(), &0.into()));
    assert_eq!(replies[3], serde_json::json!({"batch": 4, "orders": []}));
    assert!(replies[1..].iter().all(|r| order(r, "end-failed").is_none() && order(r, "hand-off").is_none()));
}

#[test]
fn restart_within_one_batch_discards_open_requests() {
    let mut first = start(0);
    first.push(incoming(0, "r1"));
    let mut second = vec![r#"{"detach":{"i":0}}"#.into()];
    second.extend(start(0));
    second.push(
        r#"{"response":{"i":0,"txn":"r1","leg":0,"endpoint":"endpoint_a","result":"error","duration-ns":5}}"#
            .into(),
    );
    second.push(incoming(0, "r2"));
    let out = run_adapter(&[&batch(1, 10, &first), &batch(2, 20, &second)]);
    assert!(out.status.success());
    let replies = replies(&out);
    assert_eq!(order(&replies[1], "hand-off").expect("handed off")["txn"], "r2");
    assert!(order(&replies[1], "end-failed").is_none());
}

#[test]
fn membership_uses_the_latest_catalog_before_it_with_that_number() {
    let only_b = CATALOG.replace("endpoint_a", "endpoint_c");
    let mut events = start(0);
    events.extend([configure(1, 1), only_b, membership(1), incoming(0, "r1"), incoming(1, "r2")]);
    let out = run_adapter(&[&batch(1, 10, &events)]);
    let text = String::from_utf8(out.stdout).expect("utf-8");
    assert!(text.contains(r#""txn":"r1","cap-ns":0,"endpoint":"endpoint_a""#), "{text}");
    assert!(text.contains(r#""txn":"r2","cap-ns":0,"endpoint":"endpoint_c""#), "{text}");
}

#[test]
fn orders_do_not_depend_on_how_instances_share_processes() {
    let events = |i: u32| {
        let mut events = start(i);
        (0..5).for_each(|n| events.push(incoming(i, &format!("r{i}-{n}"))));
        events
    };
    let together = run_adapter(&[&batch(1, 10, &[events(0), events(1), events(2)].concat())]);
    let orders_of = |out: &Output, i: u64| -> Vec<serde_json::Value> {
        let replies = replies(out);
        let mine =
            |o: &&serde_json::Value| o.as_object().and_then(|o| o.values().next()).map(|o| o["i"] == i);
        orders(&replies[0]).iter().filter(|o| mine(o) == Some(true)).cloned().collect()
    };
    for i in 0..3 {
        let alone = run_adapter(&[&batch(1, 10, &events(i))]);
        assert_eq!(orders_of(&alone, u64::from(i)), orders_of(&together, u64::from(i)));
        assert!(orders_of(&alone, u64::from(i)).len() > 5);
    }
}

#[test]
fn unreadable_batch_is_reported_and_ends_the_process() {
    let unknown_event = batch(9, 10, &[r#"{"unheard-of":{"i":0}}"#.into()]);
    let missing_field = batch(9, 10, &[r#"{"incoming":{"i":0,"left-ns":5,"qos":"buy"}}"#.into()]);
    let mut unknown_class = start(0);
    unknown_class.push(incoming(0, "r1").replace("\"buy\"", "\"steal\""));
    let invalid_settings = configure(0, 9);
    let cases = [
        (unknown_event, "unheard-of", true),
        (missing_field, "txn", true),
        (batch(9, 10, &unknown_class), "steal", true),
        (batch(9, 10, &[invalid_settings]), "replica index is out of range", true),
        ("{\"batch\":9,".to_string(), "the first line", false),
        ("nonsense".to_string(), "the first line", false),
    ];
    for (line, cause, answered) in cases {
        let out = run_adapter(&[&line, &batch(10, 20, &[])]);
        assert!(!out.status.success(), "{line}");
        let message = String::from_utf8_lossy(&out.stderr);
        assert!(message.contains(cause), "{message} does not contain {cause}");
        let replies = replies(&out);
        assert_eq!(replies.len(), usize::from(answered), "{line}");
        if answered {
            assert!(message.contains("batch 9"));
            assert!(order(&replies[0], "internal-error").is_some());
        }
    }
}

#[test]
fn batch_of_megabytes_is_answered() {
    let mut events = start(0);
    (0..20_000).for_each(|n| events.push(incoming(0, &format!("{n:036}"))));
    let line = batch(1, 10, &events);
    assert!(line.len() > 1_500_000);
    let out = run_adapter(&[&line]);
    assert!(out.status.success());
    let answers = |name: &str| orders(&replies(&out)[0]).iter().filter(|o| o.get(name).is_some()).count();
    // Each request is sent, is queued or in flight with its own timer, or is shed.
    assert!(answers("hand-off") > 0 && answers("set-timer") + answers("shed") >= 20_000);
}

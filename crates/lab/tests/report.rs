//! The page: well-formed, self-contained, and complete, whatever a result lacks.

#[path = "report/full.rs"]
mod full;

use full::full;
use olivecart_lab::report::{Content, MOST_RUNS, ReportError, Shown, page, report};
use olivecart_lab::results::{Appender, Cell, Encoded, Failed};
use olivecart_lab::run_result::{Group, RunResult, SCHEMA, Second, Server, Window};
use roxmltree::{Document, ParsingOptions};
use tempfile::TempDir;

fn content(runs: Vec<RunResult>) -> Content {
    let shown = |run| Shown { cell: Cell::new(), run: Box::new(run) };
    Content { runs: runs.into_iter().map(shown).collect(), ..Content::default() }
}

fn drawn(runs: Vec<RunResult>) -> String {
    page(&content(runs)).expect("a page")
}

/// Reads a page as XML, which it is but for its two `meta` elements, and looks for references.
fn read(page: &str, look: impl FnOnce(&Document)) {
    let xml: Vec<String> = page
        .split_inclusive('>')
        .map(|piece| match piece.contains("<meta") {
            true => piece.replace('>', "/>"),
            false => piece.to_owned(),
        })
        .collect();
    let xml = xml.concat();
    let options = ParsingOptions { allow_dtd: true, ..ParsingOptions::default() };
    let document = Document::parse_with_options(&xml, options).expect("well-formed");
    for node in document.descendants().filter(|node| node.is_element()) {
        for attribute in node.attributes() {
            let (name, value) = (attribute.name(), attribute.value());
            assert!(!["src", "srcset", "action", "data"].contains(&name), "{name}={value}");
            assert!(name != "href" || value.starts_with("#run"), "{name}={value}");
            assert!(!value.contains("//") && !value.contains("url("), "{name}={value}");
        }
        assert!(!["script", "link", "iframe", "img", "object"].contains(&node.tag_name().name()));
    }
    let outside = xml.replace("xmlns=\"http://www.w3.org/2000/svg\"", "");
    for word in ["http:", "https:", "src=", "@import", "url(", "NaN", "inf"] {
        assert!(!outside.contains(word), "{word}");
    }
    look(&document);
}

fn plots(document: &Document) -> usize {
    document.descendants().filter(|node| node.tag_name().name() == "svg").count()
}

fn words(document: &Document) -> String {
    document
        .descendants()
        .filter(|node| node.is_text())
        .filter_map(|node| node.text())
        .collect::<Vec<_>>()
        .join("\n")
}

#[test]
fn a_full_result_shows_everything() {
    read(&drawn(vec![full("olivecart", 3)]), |document| {
        assert_eq!(plots(document), 7);
        let words = words(document);
        for word in [
            "zone loss <&>, olivecart, seed 3",
            "9f02c66be01a77d3",
            "53a1f0c2d9e8b774",
            "0123abc",
            "The figures are not to be trusted",
            "the queue of events was full",
            "Rule broken: effect",
            "31.418 s: sent to web-9, <script>",
            "goodput 0.8833 is below 0.9",
            "13 of 40 servers of web, 4 proxies",
            "1 zone_loss",
            "4 proxy_restart",
            "web-0 at proxy-",
            "down (a check failed)",
            "search",
            "large",
        ] {
            assert!(words.contains(word), "{word}");
        }
        assert!(!words.contains("No rule was broken"));
    });
}

#[test]
fn an_empty_result_and_none_make_a_page() {
    let empty = RunResult { schema: SCHEMA, scenario: "empty".into(), ..RunResult::default() };
    read(&drawn(vec![empty.clone()]), |document| {
        assert_eq!(plots(document), 0);
        let words = words(document);
        for word in ["No rule was broken", "There were no servers", "no seconds to draw", "No proxy held"] {
            assert!(words.contains(word), "{word}");
        }
    });
    read(&drawn(vec![empty.clone(), empty]), |document| assert_eq!(plots(document), 0));
    read(&drawn(Vec::new()), |document| assert!(words(document).contains("no run to show")));
}

#[test]
fn odd_figures_make_a_page() {
    let huge = Second {
        offered: u64::MAX,
        in_time: u64::MAX,
        worth_asked: 1e300,
        worth_served: f64::MAX,
        ..Second::default()
    };
    let odd = RunResult {
        seconds: vec![Second::default(), huge, Second { p99_ms: 1e-300, p50_ms: 1e300, ..huge }],
        servers: vec![Server { utilization: 1e300, ..Server::default() }],
        faults: vec![
            Window { from_ms: 9, to_ms: 3, ..Window::default() },
            Window { from_ms: u64::MAX, ..Window::default() },
        ],
        classes: vec![Group { latency: Default::default(), ..Group::default() }; 12],
        ..full("x", 1)
    };
    for runs in [vec![odd.clone()], vec![odd, full("y", 1)]] {
        let page = drawn(runs);
        assert!(page.contains("</html>"));
    }
}

#[test]
fn two_runs_are_drawn_over_each_other_and_many_are_listed() {
    read(&drawn(vec![full("olivecart", 3), full("random", 3)]), |document| {
        assert_eq!(plots(document), 4 + 2 * 7);
        assert!(words(document).contains("B: zone loss <&>, random, seed 3"));
    });
    read(&drawn((1..=3).map(|seed| full("olivecart", seed)).collect()), |document| {
        assert_eq!(plots(document), 3 * 7);
        let links = document.descendants().filter_map(|node| node.attribute("href"));
        assert_eq!(links.collect::<Vec<_>>(), ["#run1", "#run2", "#run3"]);
    });
}

#[test]
fn a_large_result_makes_a_page_of_some_hundred_kilobytes() {
    let mut run = full("olivecart", 3);
    run.seconds = run.seconds.iter().cycle().take(20_000).copied().collect();
    run.servers = run.servers.iter().cycle().take(30_000).cloned().collect();
    run.held = run.held.iter().cycle().take(5000).cloned().collect();
    let page = drawn(vec![run]);
    assert!(page.len() < 700_000, "{} bytes", page.len());
    for word in
        ["A point stands for 34 seconds", "servers between the others are left out", "held longest, of 200;"]
    {
        assert!(page.contains(word), "{word}");
    }
}

#[test]
fn files_are_read_and_the_page_written() {
    let folder = TempDir::new().expect("a folder");
    let file = folder.path().join("runs.jsonl");
    let (mut appender, _) = Appender::open(&file).expect("opened");
    for seed in 1..=MOST_RUNS as u64 + 1 {
        appender.append(&Encoded::result(&full("olivecart", seed)).expect("encoded")).expect("written");
    }
    let out = folder.path().join("page.html");
    let text = file.display().to_string();
    let error = report(std::slice::from_ref(&text), &out).expect_err("refused");
    assert!(matches!(error, ReportError::Many(25)), "{error}");
    assert!(!out.exists());
    let shown = report(&[format!("{text}:olivecart:seed=2")], &out).expect("written");
    assert_eq!(shown.runs.len(), 1);
    read(&std::fs::read_to_string(&out).expect("a page"), |document| assert_eq!(plots(document), 7));
    assert!(matches!(report(&[], &out), Err(ReportError::None)));
}

#[test]
fn runs_that_failed_are_named() {
    let failed = Failed {
        scenario: "calm".into(),
        policy: "p".into(),
        seed: 4,
        error: "no memory".into(),
        ..Failed::default()
    };
    let content = Content { failed: vec![failed], ..Content::default() };
    assert!(page(&content).expect("a page").contains("calm, p, seed 4: no memory"));
}

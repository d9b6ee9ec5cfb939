use super::*;
use crate::platform::registry;
use proptest::prelude::*;

const SINGLE_LINE: &str = r#"{"version":43,"full":false,"servers":[{"id":"a\"}]{[","state":"ready"}]}"#;
const INDENTED: &str = "{\r\n  \"version\": 43,\n  \"servers\": [\n    {\n      \"id\": \"a\\\"}]{[\",\n\n\
    \"state\": \"ready\"\n    }\n  ]\n}\n";

/// Splits a text received in chunks of `chunk_size` bytes. Returns the lines (`.` for an empty one, version
/// and number of endpoints for an object) and the error that ended the splitting.
fn split(text: &[u8], chunk_size: usize) -> (Vec<String>, Option<String>) {
    let (mut splitter, mut lines) = (LineSplitter::default(), Vec::new());
    for chunk in text.chunks(chunk_size) {
        splitter.push(chunk);
        loop {
            let line = match splitter.next() {
                Ok(None) => break,
                Ok(Some(Line::Empty)) => ".".into(),
                Ok(Some(Line::Object(text))) => match registry::read(&text) {
                    Ok(update) => format!("{} {}", update.version, update.endpoints.len()),
                    Err(error) => return (lines, Some(error.to_string())),
                },
                Err(error) => return (lines, Some(error.to_string())),
            };
            lines.push(line);
        }
    }
    (lines, None)
}

#[test]
fn objects_are_split_on_one_or_several_lines_for_every_chunk_size() {
    let text = format!(
        "\n{SINGLE_LINE}\n\r\n  \t\n{INDENTED}\n{SINGLE_LINE} \r\n{{\"version\":7,\"servers\":[]}}\n{{"
    );
    for chunk_size in 1..text.len() {
        let (lines, error) = split(text.as_bytes(), chunk_size);
        assert_eq!(lines, [".", "43 1", ".", ".", "43 1", ".", "43 1", "7 0"], "in chunks of {chunk_size}");
        assert_eq!(error, None);
    }
}

#[test]
fn a_line_is_returned_only_after_its_line_end() {
    assert_eq!(split(SINGLE_LINE.as_bytes(), 7), (vec![], None), "the line may continue");
    assert_eq!(split(INDENTED.trim_end().as_bytes(), 7), (vec![], None));
}

#[test]
fn truncated_and_malformed_lines_are_rejected_with_the_cause() {
    let next = format!("\n{SINGLE_LINE}\n");
    let deep = format!("{{\"version\":1,\"x\":{}", "[".repeat(16));
    let cases: Vec<(&str, &str)> = vec![
        // Truncated within a name, a string, a number and after each token, then followed by a complete line.
        (r#"{"vers"#, "malformed object: unexpected '\\n'"),
        (r#"{"version":43,"servers":[{"id":"a"#, "malformed object: unexpected '\\n'"),
        (r#"{"version":43,"servers":[{"id":"a\"#, "malformed object: unexpected '\\n'"),
        (r#"{"version":4"#, "malformed object: unexpected '{'"),
        (r#"{"version":43,"#, "malformed object: unexpected '{'"),
        ("{", "malformed object: unexpected '{'"),
        (r#"{"version":43,"servers":[{"id":"a","state":"ready"}"#, "malformed object: unexpected '{'"),
        (r#"{"version":43,"servers":[{"id":"a","state":"ready"}]"#, "malformed object: unexpected '{'"),
        (r#"{"version":43,"full":fal"#, "malformed object: unexpected '{'"),
        // Malformed.
        ("version 43", "starts with 'v'"),
        ("[]", "starts with '['"),
        ("}", "starts with '}'"),
        ("\u{feff}{}", "starts with 'ï'"),
        ("\0", "starts with '\\0'"),
        (r#"{"version":43,"servers":[]}]"#, "unexpected ']' after the object"),
        (r#"{"version":43,"servers":[]}{"version":44,"servers":[]}"#, "unexpected '{' after the object"),
        (r#"{"version":43,"servers":[]},"#, "unexpected ',' after the object"),
        (r#"{"version":43,"servers":[}]"#, "malformed object: unexpected '}'"),
        (r#"{"version":43,"servers":{]}"#, "malformed object: unexpected ']'"),
        (&deep, "nested more than 16"),
        // Complete objects that are not a valid endpoint list.
        ("{}", "version"),
        (r#"{"version":-1,"servers":[]}"#, "invalid value"),
        (r#"{"version":1e99,"servers":[]}"#, "invalid type"),
        (r#"{"version":18446744073709551616,"servers":[]}"#, "invalid type"),
        (r#"{"version":43}"#, "servers"),
        (r#"{"version":43,"servers":{}}"#, "invalid type"),
        (r#"{"version":43,"version":44,"servers":[]}"#, "duplicate"),
        (r#"{"version":43,"servers":[{"id":"a"}]}"#, "state"),
        (r#"{"version":43,"servers":[{"id":"a","state":"ready","weight":1e999}]}"#, "out of range"),
        (r#"{"version":43 44,"servers":[]}"#, "expected"),
        (r#"{"version":43,"servers":[],}"#, "trailing"),
    ];
    for (line, expected) in cases {
        for chunk_size in [1, 5, 1 << 20] {
            let (lines, error) = split(format!("{SINGLE_LINE}\n{line}{next}").as_bytes(), chunk_size);
            assert_eq!(lines, ["43 1"], "{line}: only the line before it");
            let error = error.unwrap_or_else(|| panic!("{line}: no error"));
            assert!(error.contains(expected), "{line}: {error}");
        }
    }
    let (lines, error) = split(b"{\"version\":43,\"servers\":[{\"id\":\"\xff\",\"state\":\"ready\"}]}\n", 3);
    assert!(lines.is_empty() && error.is_some(), "not UTF-8");
}

#[test]
fn an_object_without_end_is_rejected_at_the_size_limit() {
    let mut lines = LineSplitter::default();
    lines.push(br#"{"version":43,"servers":["#);
    let part = br#"{"id":"a","state":"ready"},"#.repeat(1000);
    let mut pushed = 0;
    let error = loop {
        lines.push(&part);
        pushed += part.len();
        match lines.next() {
            Ok(None) => assert!(pushed <= MAX_OBJECT_BYTES + part.len()),
            Ok(Some(line)) => panic!("{line:?}"),
            Err(error) => break error,
        }
    };
    assert_eq!(error, LineError::TooLarge);
    assert!(pushed > MAX_OBJECT_BYTES);
    let mut lines = LineSplitter::default();
    lines.push(&vec![b' '; MAX_OBJECT_BYTES + 1]);
    assert_eq!(lines.next(), Err(LineError::TooLarge), "white space counts towards the limit");
}

#[test]
fn finish_returns_an_object_without_line_end_and_rejects_a_truncated_one() {
    let split_and_finish = |text: &str| {
        let mut lines = LineSplitter::default();
        lines.push(text.as_bytes());
        let line = lines.next();
        (line, lines.finish().map(|rest| rest.map(|rest| registry::read(&rest).expect("read").version)))
    };
    assert_eq!(split_and_finish(SINGLE_LINE), (Ok(None), Ok(Some(43))));
    assert_eq!(split_and_finish(INDENTED.trim_end()), (Ok(None), Ok(Some(43))));
    assert_eq!(split_and_finish(""), (Ok(None), Ok(None)));
    assert_eq!(split_and_finish(" "), (Ok(None), Ok(None)));
    for cut in 1..SINGLE_LINE.len() {
        assert_eq!(
            split_and_finish(&SINGLE_LINE[..cut]).1,
            Err(LineError::Truncated),
            "{}",
            &SINGLE_LINE[..cut]
        );
    }
}

proptest! {
    #[test]
    fn valid_lists_are_split_as_the_parser_reads_them_and_truncated_ones_never_are(
        names in proptest::collection::vec("[ -~é\n]{0,8}", 0..4),
        indented in any::<bool>(),
        chunk_size in 1usize..40,
        cut in any::<prop::sample::Index>(),
    ) {
        let servers: Vec<_> =
            names.iter().map(|name| serde_json::json!({ "id": name, "state": "draining" })).collect();
        let list = serde_json::json!({ "version": 5, "full": true, "servers": servers });
        let text = if indented { serde_json::to_string_pretty(&list) } else { serde_json::to_string(&list) };
        let text = text.expect("written");
        let expected = format!("5 {}", names.len());
        let both = format!("{text}\n\n{text}\n");
        prop_assert_eq!(
            split(both.as_bytes(), chunk_size),
            (vec![expected.clone(), ".".into(), expected], None)
        );
        // Truncated at any byte and followed by complete lines, the object is never returned.
        let cut = cut.index(text.len());
        if cut > 0 {
            let truncated = format!("{}\n{text}\n{text}\n", String::from_utf8_lossy(&text.as_bytes()[..cut]));
            let (lines, error) = split(truncated.as_bytes(), chunk_size);
            prop_assert!(lines.is_empty(), "{:?} of {}", lines, truncated);
            // Without an error the object never ends, and the watch is abandoned as silent.
            prop_assert!(error.is_some() || cut < text.len());
        }
    }
}

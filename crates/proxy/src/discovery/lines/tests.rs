use super::*;
use crate::platform::registry;
use proptest::prelude::*;

const ONE: &str = r#"{"version":43,"full":false,"servers":[{"id":"a\"}]{[","state":"ready"}]}"#;
const INDENTED: &str = "{\r\n  \"version\": 43,\n  \"servers\": [\n    {\n      \"id\": \"a\\\"}]{[\",\n\n\
    \"state\": \"ready\"\n    }\n  ]\n}\n";

/// All lines of a text that comes in pieces of so many bytes, as `.` and what was read, and the error that ended it.
fn told(text: &[u8], piece: usize) -> (Vec<String>, Option<String>) {
    let (mut lines, mut told) = (LineSplitter::default(), Vec::new());
    for piece in text.chunks(piece) {
        lines.push(piece);
        loop {
            let line = match lines.next() {
                Ok(None) => break,
                Ok(Some(Line::Empty)) => ".".into(),
                Ok(Some(Line::Object(text))) => match registry::read(&text) {
                    Ok(news) => format!("{} {}", news.version, news.endpoints.len()),
                    Err(error) => return (told, Some(error.to_string())),
                },
                Err(error) => return (told, Some(error.to_string())),
            };
            told.push(line);
        }
    }
    (told, None)
}

#[test]
fn objects_are_told_apart_on_a_line_or_indented_however_they_are_cut() {
    let text = format!("\n{ONE}\n\r\n  \t\n{INDENTED}\n{ONE} \r\n{{\"version\":7,\"servers\":[]}}\n{{");
    for piece in 1..text.len() {
        let (told, error) = told(text.as_bytes(), piece);
        assert_eq!(told, [".", "43 1", ".", ".", "43 1", ".", "43 1", "7 0"], "in pieces of {piece}");
        assert_eq!(error, None);
    }
}

#[test]
fn a_line_is_told_with_its_end_and_not_before() {
    assert_eq!(told(ONE.as_bytes(), 7), (vec![], None), "something may stand behind it");
    assert_eq!(told(INDENTED.trim_end().as_bytes(), 7), (vec![], None));
}

#[test]
fn what_is_torn_or_spoilt_ends_with_an_error_that_says_how_and_is_never_told() {
    let next = format!("\n{ONE}\n");
    let deep = format!("{{\"version\":1,\"x\":{}", "[".repeat(16));
    let cases: Vec<(&str, &str)> = vec![
        // Malformed, and a whole line behind: within a name, a text, a number, behind each mark.
        (r#"{"vers"#, "breaks off: '\\n'"),
        (r#"{"version":43,"servers":[{"id":"a"#, "breaks off: '\\n'"),
        (r#"{"version":43,"servers":[{"id":"a\"#, "breaks off: '\\n'"),
        (r#"{"version":4"#, "breaks off: '{'"),
        (r#"{"version":43,"#, "breaks off: '{'"),
        ("{", "breaks off: '{'"),
        (r#"{"version":43,"servers":[{"id":"a","state":"ready"}"#, "breaks off: '{'"),
        (r#"{"version":43,"servers":[{"id":"a","state":"ready"}]"#, "breaks off: '{'"),
        (r#"{"version":43,"full":fal"#, "breaks off: '{'"),
        // Spoilt.
        ("version 43", "begins with 'v'"),
        ("[]", "begins with '['"),
        ("}", "begins with '}'"),
        ("\u{feff}{}", "begins with 'ï'"),
        ("\0", "begins with '\\0'"),
        (r#"{"version":43,"servers":[]}]"#, "goes on with ']'"),
        (r#"{"version":43,"servers":[]}{"version":44,"servers":[]}"#, "goes on with '{'"),
        (r#"{"version":43,"servers":[]},"#, "goes on with ','"),
        (r#"{"version":43,"servers":[}]"#, "breaks off: '}'"),
        (r#"{"version":43,"servers":{]}"#, "breaks off: ']'"),
        (&deep, "nested more than 16"),
        // Whole objects that are no list.
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
    for (bad, wanted) in cases {
        for piece in [1, 5, 1 << 20] {
            let (told, error) = told(format!("{ONE}\n{bad}{next}").as_bytes(), piece);
            assert_eq!(told, ["43 1"], "{bad}: only what came before");
            let error = error.unwrap_or_else(|| panic!("{bad}: no error"));
            assert!(error.contains(wanted), "{bad}: {error}");
        }
    }
    let (told, error) = told(b"{\"version\":43,\"servers\":[{\"id\":\"\xff\",\"state\":\"ready\"}]}\n", 3);
    assert!(told.is_empty() && error.is_some(), "not UTF-8");
}

#[test]
fn an_object_without_end_is_ended_by_its_size_and_held_no_longer() {
    let mut lines = LineSplitter::default();
    lines.push(br#"{"version":43,"servers":["#);
    let part = br#"{"id":"a","state":"ready"},"#.repeat(1000);
    let mut pushed = 0;
    let error = loop {
        lines.push(&part);
        pushed += part.len();
        match lines.next() {
            Ok(None) => assert!(pushed <= LARGEST_OBJECT_BYTES + part.len()),
            Ok(Some(line)) => panic!("{line:?}"),
            Err(error) => break error,
        }
    };
    assert_eq!(error, LineError::TooLarge);
    assert!(pushed > LARGEST_OBJECT_BYTES);
    let mut lines = LineSplitter::default();
    lines.push(&vec![b' '; LARGEST_OBJECT_BYTES + 1]);
    assert_eq!(lines.next(), Err(LineError::TooLarge), "nor does white space go on");
}

#[test]
fn a_whole_answer_needs_no_line_end_and_half_of_one_is_none() {
    let ends = |text: &str| {
        let mut lines = LineSplitter::default();
        lines.push(text.as_bytes());
        let line = lines.next();
        (line, lines.finish().map(|rest| rest.map(|rest| registry::read(&rest).expect("read").version)))
    };
    assert_eq!(ends(ONE), (Ok(None), Ok(Some(43))));
    assert_eq!(ends(INDENTED.trim_end()), (Ok(None), Ok(Some(43))));
    assert_eq!(ends(""), (Ok(None), Ok(None)));
    assert_eq!(ends(" "), (Ok(None), Ok(None)));
    for cut in 1..ONE.len() {
        assert_eq!(ends(&ONE[..cut]).1, Err(LineError::Truncated), "{}", &ONE[..cut]);
    }
}

proptest! {
    #[test]
    fn what_the_reader_would_take_is_told_apart_the_same_and_what_is_torn_is_never_taken(
        names in proptest::collection::vec("[ -~é\n]{0,8}", 0..4),
        indented in any::<bool>(),
        piece in 1usize..40,
        cut in any::<prop::sample::Index>(),
    ) {
        let servers: Vec<_> =
            names.iter().map(|name| serde_json::json!({ "id": name, "state": "draining" })).collect();
        let list = serde_json::json!({ "version": 5, "full": true, "servers": servers });
        let text = if indented { serde_json::to_string_pretty(&list) } else { serde_json::to_string(&list) };
        let text = text.expect("written");
        let whole = format!("5 {}", names.len());
        let both = format!("{text}\n\n{text}\n");
        prop_assert_eq!(told(both.as_bytes(), piece), (vec![whole.clone(), ".".into(), whole], None));
        // Malformed anywhere, with whole lines behind: what is taken has all names, and comes from a whole line.
        let cut = cut.index(text.len());
        if cut > 0 {
            let torn = format!("{}\n{text}\n{text}\n", String::from_utf8_lossy(&text.as_bytes()[..cut]));
            let (told, error) = told(torn.as_bytes(), piece);
            prop_assert!(told.is_empty(), "{:?} of {}", told, torn);
            // Else it never ends, and the watch falls silent.
            prop_assert!(error.is_some() || cut < text.len());
        }
    }
}

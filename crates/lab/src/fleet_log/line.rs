//! Parses one line of a proxy's log, as written with `OLIVECART_LOG=debug`.

/// A parsed line.
#[derive(Debug, PartialEq)]
pub struct Line<'a> {
    /// The time of day, in milliseconds.
    pub at_ms: u64,
    /// The message of the line.
    pub message: &'a str,
    keys: &'a str,
}

/// The names of levels in slog's text format.
const LEVELS: [&str; 5] = ["DEBG", "INFO", "WARN", "ERRO", "CRIT"];
const DAY_MS: u64 = 24 * 3600 * 1000;

impl<'a> Line<'a> {
    /// Parses one line, ignoring any text before its date. Returns `None` if the line is incomplete or was
    /// not written by a proxy.
    pub fn parse(text: &'a str) -> Option<Line<'a>> {
        let (level, at) = LEVELS.iter().find_map(|level| Some((level, text.find(&format!(" {level} "))?)))?;
        let at_ms = parse_time_of_day(text[..at].split(' ').next_back()?)?;
        let rest = &text[at + level.len() + 2..];
        let (message, keys) = rest.split_once(", ")?;
        // The proxy's name is the last key of each line, so that a line without it is incomplete.
        keys.rsplit(", ").next()?.strip_prefix("proxy: ").filter(|name| !name.is_empty())?;
        Some(Line { at_ms, message, keys })
    }

    /// Returns the value of a key.
    pub fn key(&self, name: &str) -> Option<&'a str> {
        self.keys
            .split(", ")
            .find_map(|pair| pair.split_once(": ").filter(|(key, _)| *key == name))
            .map(|pair| pair.1)
    }

    /// Returns the milliseconds since an earlier line, which may be before midnight.
    pub fn since(&self, start_ms: u64) -> u64 {
        (self.at_ms + DAY_MS - start_ms) % DAY_MS
    }
}

/// Parses a time of day such as `18:02:08.434` and returns it in milliseconds.
fn parse_time_of_day(text: &str) -> Option<u64> {
    let (clock, millis) = text.split_once('.')?;
    let parts: Vec<u64> = clock.split(':').map(|part| part.parse().ok()).collect::<Option<_>>()?;
    let [hours, minutes, seconds] = parts[..] else { return None };
    let is_valid = hours < 24 && minutes < 60 && seconds < 61 && millis.len() == 3;
    is_valid
        .then(|| millis.parse::<u64>().ok())
        .flatten()
        .map(|ms| ((hours * 60 + minutes) * 60 + seconds) * 1000 + ms)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn line_is_parsed_after_any_prefix_and_incomplete_or_foreign_line_is_rejected() {
        let text = "Dec 01 18:02:08.434 DEBG outcome, request: 7, endpoint: 3, outcome: Ok, proxy: n0";
        let line = Line::parse(text).expect("a line");
        assert_eq!((line.at_ms, line.message), (64_928_434, "outcome"));
        assert_eq!(
            (line.key("endpoint"), line.key("proxy"), line.key("point")),
            (Some("3"), Some("n0"), None)
        );
        assert_eq!(Line::parse(&format!("12.250 {text}")), Some(line));
        for length in 0..text.len() - 1 {
            assert_eq!(Line::parse(&text[..length]), None, "{:?}", &text[..length]);
        }
        for foreign in
            ["", "panicked at src/main.rs", " INFO , ", "Dec 01 25:00:00.000 INFO a, proxy: n", "é INFO x"]
        {
            assert_eq!(Line::parse(foreign), None, "{foreign:?}");
        }
    }

    #[test]
    fn time_since_a_line_before_midnight_is_positive() {
        let line = Line::parse("Dec 02 00:00:01.000 INFO listening, proxy: n").expect("a line");
        assert_eq!(line.since(DAY_MS - 500), 1_500);
    }
}

//! One line of a proxy's log, as `OLIVECART_LOG=debug` writes it.

/// What a line says.
#[derive(Debug, PartialEq)]
pub struct Line<'a> {
    /// Milliseconds of the day.
    pub at_ms: u64,
    /// What happened.
    pub what: &'a str,
    keys: &'a str,
}

/// The levels that slog names in a line.
const LEVELS: [&str; 5] = ["DEBG", "INFO", "WARN", "ERRO", "CRIT"];
const DAY_MS: u64 = 24 * 3600 * 1000;

impl<'a> Line<'a> {
    /// Reads one line; whatever stands before its date is passed over. None: it is torn, or not a proxy's.
    pub fn read(text: &'a str) -> Option<Line<'a>> {
        let (level, at) = LEVELS.iter().find_map(|level| Some((level, text.find(&format!(" {level} "))?)))?;
        let at_ms = time_of_day(text[..at].split(' ').next_back()?)?;
        let rest = &text[at + level.len() + 2..];
        let (what, keys) = rest.split_once(", ")?;
        // The proxy's name is the last key of each line: without it the line was cut off.
        keys.rsplit(", ").next()?.strip_prefix("proxy: ").filter(|name| !name.is_empty())?;
        Some(Line { at_ms, what, keys })
    }

    /// The value of a key.
    pub fn key(&self, name: &str) -> Option<&'a str> {
        self.keys
            .split(", ")
            .find_map(|pair| pair.split_once(": ").filter(|(key, _)| *key == name))
            .map(|p| p.1)
    }

    /// Milliseconds since an earlier line, over midnight too.
    pub fn since(&self, began_ms: u64) -> u64 {
        (self.at_ms + DAY_MS - began_ms) % DAY_MS
    }
}

/// `18:02:08.434`, in milliseconds.
fn time_of_day(text: &str) -> Option<u64> {
    let (clock, millis) = text.split_once('.')?;
    let parts: Vec<u64> = clock.split(':').map(|part| part.parse().ok()).collect::<Option<_>>()?;
    let [hours, minutes, seconds] = parts[..] else { return None };
    let whole = hours < 24 && minutes < 60 && seconds < 61 && millis.len() == 3;
    whole
        .then(|| millis.parse::<u64>().ok())
        .flatten()
        .map(|ms| ((hours * 60 + minutes) * 60 + seconds) * 1000 + ms)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_read_whatever_stands_before_it_and_a_torn_or_foreign_one_is_not() {
        let text = "Dec 01 18:02:08.434 DEBG outcome, request: 7, endpoint: 3, outcome: Ok, proxy: n0";
        let line = Line::read(text).expect("a line");
        assert_eq!((line.at_ms, line.what), (64_928_434, "outcome"));
        assert_eq!(
            (line.key("endpoint"), line.key("proxy"), line.key("point")),
            (Some("3"), Some("n0"), None)
        );
        assert_eq!(Line::read(&format!("12.250 {text}")), Some(line));
        for torn in 0..text.len() - 1 {
            assert_eq!(Line::read(&text[..torn]), None, "{:?}", &text[..torn]);
        }
        for foreign in
            ["", "panicked at src/main.rs", " INFO , ", "Dec 01 25:00:00.000 INFO a, proxy: n", "é INFO x"]
        {
            assert_eq!(Line::read(foreign), None, "{foreign:?}");
        }
    }

    #[test]
    fn time_goes_on_over_midnight() {
        let line = Line::read("Dec 02 00:00:01.000 INFO listening, proxy: n").expect("a line");
        assert_eq!(line.since(DAY_MS - 500), 1_500);
    }
}

//! A range of characters in one line of a text, with the line itself for messages.

use serde::Serialize;
use std::ops::Range;

/// A range of characters in one line of a text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct SourceSpan {
    /// The line number, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The number of characters, at least 1.
    pub width: usize,
    /// The text of the line.
    pub source: String,
}

impl SourceSpan {
    /// Returns the span of a range of bytes. For a range over several lines, returns the part in the first
    /// line.
    pub fn of(text: &str, range: Range<usize>) -> SourceSpan {
        let from = char_boundary(text, range.start);
        let to = char_boundary(text, range.end);
        let start = text[..from].rfind('\n').map_or(0, |at| at + 1);
        let end = text[from..].find('\n').map_or(text.len(), |at| from + at);
        let width = text.get(from..to.min(end)).map_or(0, |part| part.trim_end().chars().count());
        SourceSpan {
            line: text[..start].matches('\n').count() + 1,
            column: text[start..from].chars().count() + 1,
            width: width.max(1),
            source: text[start..end].trim_end().to_owned(),
        }
    }
}

/// Returns the last character boundary at or before a byte.
fn char_boundary(text: &str, byte: usize) -> usize {
    (0..=byte.min(text.len())).rev().find(|&at| text.is_char_boundary(at)).unwrap_or(0)
}

//! Finds the ends of the requests on one connection.
//!
//! The HTTP library parses what it reads and does not tell how much of it belongs to which request. So its bytes are
//! scanned here first: for the end of a head, and from there, by the framing that was decided from the head, for the
//! end of the body. The library gets only what was accepted: nothing behind a head whose framing is not decided, and
//! nothing that doesn't fit the framing.

use super::head::of_request_bytes;
use super::{BodyFraming, BodyScanner, FramingError};
use std::collections::VecDeque;

/// The most requests that are scanned before the library hands them over. It takes no more of them at once either.
const MAX_PIPELINED_REQUESTS: usize = 16;

/// Follows the requests on one connection.
#[derive(Debug, Default)]
pub struct RequestScanner {
    /// The bytes of the connection that were accepted.
    accepted_bytes: u64,
    state: State,
    /// Where the current request ends, counted from the start of the connection.
    request_end: Option<u64>,
    /// The requests behind the current one, which the library has not handed over. The state is that of the last one.
    pipelined: VecDeque<PipelinedRequest>,
}

/// A head of which all bytes were scanned.
#[derive(Clone, Copy, Debug)]
pub struct ScannedHead {
    /// The number of its fields.
    pub fields: usize,
    /// Whether the library has requests before this one that it has not handed over.
    pub is_pipelined: bool,
}

/// A request that was scanned and that the library has not handed over.
#[derive(Clone, Copy, Debug)]
struct PipelinedRequest {
    framing: BodyFraming,
    end: Option<u64>,
}

#[derive(Debug)]
enum State {
    /// Scans the lines of a head.
    Head(HeadScanner),
    /// A head was scanned, and its framing is not decided.
    AwaitsFraming,
    /// Scans a body.
    Body(BodyScanner),
    /// The bytes don't fit the framing, so that nothing behind them is a request.
    Rejected(FramingError),
}

impl Default for State {
    fn default() -> State {
        State::Head(HeadScanner::default())
    }
}

impl RequestScanner {
    /// Scans the next bytes of the connection as [`scan_within_memory`](Self::scan_within_memory) does, with memory
    /// for any head.
    #[cfg(test)]
    pub fn scan(&mut self, bytes: &[u8]) -> usize {
        self.scan_within_memory(bytes, |_| true)
    }

    /// Scans the next bytes of the connection, and returns how many of them are accepted. The others have to be
    /// scanned again. The last bytes of a head are accepted if there is memory for what the library makes of it.
    pub fn scan_within_memory(&mut self, bytes: &[u8], has_memory: impl Fn(ScannedHead) -> bool) -> usize {
        let mut accepted = 0;
        while accepted < bytes.len() && self.accepts_bytes() {
            match self.scan_part(&bytes[accepted..], &has_memory) {
                0 => break,
                part => accepted += part,
            }
        }
        accepted
    }

    /// Scans up to the end of the head or the body, and returns how many bytes are accepted.
    fn scan_part(&mut self, bytes: &[u8], has_memory: &impl Fn(ScannedHead) -> bool) -> usize {
        match self.state {
            State::Head(head) => self.scan_head(head, bytes, has_memory),
            State::Body(_) => self.scan_body(bytes),
            State::AwaitsFraming | State::Rejected(_) => 0,
        }
    }

    fn scan_head(
        &mut self,
        mut head: HeadScanner,
        bytes: &[u8],
        has_memory: &impl Fn(ScannedHead) -> bool,
    ) -> usize {
        let is_start = head.is_at_start();
        let Some(end) = head.scan(bytes) else {
            self.state = State::Head(head);
            self.accepted_bytes += bytes.len() as u64;
            return bytes.len();
        };
        let scanned = ScannedHead { fields: head.fields, is_pipelined: !self.pipelined.is_empty() };
        if !has_memory(scanned) {
            return 0;
        }
        self.state = State::AwaitsFraming;
        self.accepted_bytes += end as u64;
        // Most heads are read at once. The body behind such a head need not wait for the library.
        if is_start && let Ok(framing) = of_request_bytes(&bytes[..end]) {
            let end = self.start_body(framing);
            self.pipelined.push_back(PipelinedRequest { framing, end });
        }
        end
    }

    fn scan_body(&mut self, bytes: &[u8]) -> usize {
        let State::Body(body) = &mut self.state else { return 0 };
        match body.scan(bytes) {
            Ok(scanned) => {
                self.accepted_bytes += scanned.bytes as u64;
                if scanned.is_complete {
                    let last = self.pipelined.back_mut();
                    *last.map_or(&mut self.request_end, |request| &mut request.end) =
                        Some(self.accepted_bytes);
                    self.state = State::default();
                }
                scanned.bytes
            }
            Err(error) => {
                self.state = State::Rejected(error);
                0
            }
        }
    }

    /// Returns where the body ends, if its framing tells.
    fn start_body(&mut self, framing: BodyFraming) -> Option<u64> {
        self.state = BodyScanner::new(framing).map_or_else(State::default, State::Body);
        framing.length().map(|length| self.accepted_bytes + length)
    }

    /// Whether bytes may be accepted now.
    pub fn accepts_bytes(&self) -> bool {
        match self.state {
            State::Head(_) => self.pipelined.len() < MAX_PIPELINED_REQUESTS,
            State::Body(_) => true,
            State::AwaitsFraming | State::Rejected(_) => false,
        }
    }

    /// Begins the body of the request whose head was scanned, and which the library has handed over.
    ///
    /// # Errors
    /// The library has read another head, or the bytes that were scanned don't fit the framing.
    pub fn begin_body(&mut self, framing: BodyFraming) -> Result<(), FramingError> {
        let next = self.pipelined.pop_front();
        if let Some(error) = self.error() {
            return Err(error);
        }
        self.request_end = match (next, &self.state) {
            (Some(next), _) if next.framing == framing => next.end,
            (None, State::AwaitsFraming) => self.start_body(framing),
            (Some(_), _) | (None, _) => return Err(FramingError::InvalidHead),
        };
        Ok(())
    }

    /// Where the current request ends, counted from the start of the connection. With chunks, that is known once
    /// they were scanned.
    pub fn request_end(&self) -> Option<u64> {
        self.request_end
    }

    /// Why the bytes of the current request don't fit its framing, if they don't.
    pub fn error(&self) -> Option<FramingError> {
        match self.state {
            State::Rejected(error) if self.pipelined.is_empty() => Some(error),
            State::Head(_) | State::AwaitsFraming | State::Body(_) | State::Rejected(_) => None,
        }
    }
}

/// Finds the empty line that ends a head. Empty lines before a request's first line don't count (RFC 9112, section
/// 2.2).
#[derive(Clone, Copy, Debug, Default)]
struct HeadScanner {
    /// Whether the request's first line was found.
    has_request_line: bool,
    /// The number of lines behind it.
    fields: usize,
    line: Line,
}

/// What was scanned of a line.
#[derive(Clone, Copy, Debug, Default)]
enum Line {
    #[default]
    Empty,
    CarriageReturn,
    Other,
}

impl HeadScanner {
    /// Whether nothing of the head was scanned.
    fn is_at_start(self) -> bool {
        !self.has_request_line && matches!(self.line, Line::Empty)
    }

    /// Returns how many of the bytes belong to the head, if it ends among them.
    fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut line_start = 0;
        for (at, _) in bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
            self.extend_line(&bytes[line_start..at]);
            line_start = at + 1;
            match std::mem::take(&mut self.line) {
                Line::Other if self.has_request_line => self.fields += 1,
                Line::Other => self.has_request_line = true,
                Line::Empty | Line::CarriageReturn if self.has_request_line => return Some(line_start),
                Line::Empty | Line::CarriageReturn => {}
            }
        }
        self.extend_line(&bytes[line_start..]);
        None
    }

    fn extend_line(&mut self, bytes: &[u8]) {
        self.line = match (self.line, bytes) {
            (line, []) => line,
            (Line::Empty, [b'\r']) => Line::CarriageReturn,
            _ => Line::Other,
        };
    }
}

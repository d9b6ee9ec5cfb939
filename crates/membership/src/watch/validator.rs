//! What follows from an observation of a file: the event for the catalog, and the notices for operators.
//!
//! Owns what is known of the file. The watching task calls it; it does no I/O but through the parser's texts.

use super::snapshot::{FileSnapshot, Fingerprint, Observation};
use super::{Parsed, Parser, Watch};
use crate::event::{EndpointUpdate, Event, Silence};
use crate::names::Version;
use std::fmt;

/// Most warnings about a file that are given one by one.
const MAX_WARNINGS: usize = 16;

/// Something that an operator should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// It cannot be used: why, with file, line and key. The last good one stands.
    Rejected(String),
    /// It is not there or cannot be read. The last good one stands.
    Unavailable(String),
    /// It is good again.
    Recovered,
    /// Something in it does nothing here. Given once, until the file's warnings are others.
    Warning(String),
    /// The file system reports no changes; polling remains.
    EventsUnavailable(String),
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Notice::Rejected(why) => write!(f, "refused, the last good one stands: {why}"),
            Notice::Unavailable(why) => write!(f, "cannot be read, the last good one stands: {why}"),
            Notice::Recovered => f.write_str("good again"),
            Notice::Warning(text) => f.write_str(text),
            Notice::EventsUnavailable(why) => write!(f, "no events of the file system, only polling: {why}"),
        }
    }
}

/// What follows from an observation.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Evaluation {
    pub event: Option<Event>,
    pub notices: Vec<Notice>,
}

/// Whether content that the catalog has already is reported once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reporting {
    OnlyChanges,
    /// The catalog has asked for what is there now, changed or not.
    Always,
}

/// What is known of the file.
#[derive(Debug, Default)]
pub(super) struct FileValidator {
    /// Of what was last read, good or not.
    pub fingerprint: Option<Fingerprint>,
    /// The hash of what was last read, good or not.
    last_read_hash: Option<u64>,
    /// The hash of what the catalog last got.
    last_reported_hash: Option<u64>,
    /// What is wrong with the file now, if anything.
    fault: Option<Notice>,
    /// The warnings about the file that were last given.
    warnings: Vec<String>,
}

impl FileValidator {
    /// What follows from an observation.
    pub fn evaluate(
        &mut self,
        watch: &Watch,
        parse: Parser,
        observation: Observation,
        reporting: Reporting,
    ) -> Evaluation {
        match observation {
            Observation::Unchanged => Evaluation::default(),
            Observation::Unavailable(error) => {
                self.forget_last_read();
                let reason = format!("{}: {error}", watch.path.display());
                self.report_fault(watch, Notice::Unavailable(reason), Silence::Lost)
            }
            Observation::Unusable(reason) => {
                self.forget_last_read();
                self.report_fault(watch, Notice::Rejected(reason), Silence::Quiet)
            }
            Observation::Read(snapshot) => self.evaluate_snapshot(watch, parse, snapshot, reporting),
        }
    }

    fn forget_last_read(&mut self) {
        self.fingerprint = None;
        self.last_read_hash = None;
    }

    fn evaluate_snapshot(
        &mut self,
        watch: &Watch,
        parse: Parser,
        snapshot: FileSnapshot,
        reporting: Reporting,
    ) -> Evaluation {
        let FileSnapshot { fingerprint, texts, hash } = snapshot;
        self.fingerprint = Some(fingerprint);
        let is_reread = self.last_read_hash.replace(hash) == Some(hash);
        if reporting == Reporting::OnlyChanges && is_reread {
            return Evaluation::default();
        }
        if reporting == Reporting::OnlyChanges && self.last_reported_hash == Some(hash) {
            return self.report_recovery(watch);
        }
        match parse(texts) {
            Err(reason) => self.report_fault(watch, Notice::Rejected(reason), Silence::Quiet),
            Ok(parsed) => self.report_content(watch, parsed, hash),
        }
    }

    /// The file is again what the catalog has. Danger: an update would be a repetition, which confirms what is
    /// quarantined.
    fn report_recovery(&mut self, watch: &Watch) -> Evaluation {
        if self.fault.take().is_none() {
            return Evaluation::default();
        }
        Evaluation {
            event: Some(Event::Reconnected { source: watch.source.clone() }),
            notices: vec![Notice::Recovered],
        }
    }

    fn report_content(&mut self, watch: &Watch, parsed: Parsed, hash: u64) -> Evaluation {
        self.last_reported_hash = Some(hash);
        let mut notices = Vec::new();
        if self.fault.take().is_some() {
            notices.push(Notice::Recovered);
        }
        notices.extend(self.new_warnings(parsed.warnings));
        let event = Event::Update {
            source: watch.source.clone(),
            version: Version::new(format!("{hash:016x}")),
            update: EndpointUpdate::FullSnapshot(parsed.clusters),
        };
        Evaluation { event: Some(event), notices }
    }

    /// Reports a fault once, however often it is seen.
    fn report_fault(&mut self, watch: &Watch, fault: Notice, silence: Silence) -> Evaluation {
        if self.fault.as_ref() == Some(&fault) {
            return Evaluation::default();
        }
        self.fault = Some(fault.clone());
        let event = Event::Silent { source: watch.source.clone(), silence };
        Evaluation { event: Some(event), notices: vec![fault] }
    }

    /// The warnings about the file, once for as long as they stay the same.
    fn new_warnings(&mut self, warnings: Vec<String>) -> Vec<Notice> {
        if self.warnings == warnings {
            return Vec::new();
        }
        let mut notices: Vec<_> = warnings.iter().take(MAX_WARNINGS).cloned().map(Notice::Warning).collect();
        if let Some(more @ 1..) = warnings.len().checked_sub(MAX_WARNINGS) {
            notices.push(Notice::Warning(format!("{more} more fields that do nothing here")));
        }
        self.warnings = warnings;
        notices
    }
}

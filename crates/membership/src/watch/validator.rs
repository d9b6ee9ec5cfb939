//! Derives the event for the catalog and the notices for operators from an observation of a file.
//!
//! Owns the known state of the file. The watching task calls it; it does no I/O.

use super::snapshot::{FileSnapshot, Fingerprint, Observation};
use super::{Parsed, Parser, Watch};
use crate::event::{EndpointUpdate, Event, Silence};
use crate::names::Version;
use std::fmt;

/// The maximum number of warnings about a file that are reported one by one.
const MAX_WARNINGS: usize = 16;

/// A notice for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The file is invalid; the message has file, line and key. The last valid content stays in use.
    Rejected(String),
    /// The file does not exist or cannot be read. The last valid content stays in use.
    Unavailable(String),
    /// The file is valid again.
    Recovered,
    /// The file has a field that is ignored. Reported once, until the file's warnings change.
    Warning(String),
    /// File system events are unavailable; only polling is used.
    EventsUnavailable(String),
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Notice::Rejected(reason) => write!(f, "rejected; the last valid content stays in use: {reason}"),
            Notice::Unavailable(reason) => {
                write!(f, "cannot be read; the last valid content stays in use: {reason}")
            }
            Notice::Recovered => f.write_str("valid again"),
            Notice::Warning(text) => f.write_str(text),
            Notice::EventsUnavailable(reason) => {
                write!(f, "file system events are unavailable; only polling is used: {reason}")
            }
        }
    }
}

/// The event and the notices that follow from an observation.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Evaluation {
    pub event: Option<Event>,
    pub notices: Vec<Notice>,
}

/// Whether content that the catalog already has is reported again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reporting {
    OnlyChanges,
    /// The catalog requested the current content, changed or not.
    Always,
}

/// The known state of the file.
#[derive(Debug, Default)]
pub(super) struct FileValidator {
    /// The fingerprint of the last content read, valid or not.
    pub fingerprint: Option<Fingerprint>,
    /// The hash of the last content read, valid or not.
    last_read_hash: Option<u64>,
    /// The hash of the content last reported to the catalog.
    last_reported_hash: Option<u64>,
    /// The current fault of the file, if any.
    fault: Option<Notice>,
    /// The last warnings about the file.
    warnings: Vec<String>,
}

impl FileValidator {
    /// Evaluates an observation.
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

    /// Handles content that the catalog already has. No update is sent, since the catalog would count it as a
    /// repetition that confirms quarantined changes.
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

    /// Reports a fault, unless it was the last one reported.
    fn report_fault(&mut self, watch: &Watch, fault: Notice, silence: Silence) -> Evaluation {
        if self.fault.as_ref() == Some(&fault) {
            return Evaluation::default();
        }
        self.fault = Some(fault.clone());
        let event = Event::Silent { source: watch.source.clone(), silence };
        Evaluation { event: Some(event), notices: vec![fault] }
    }

    /// Returns notices for the warnings, or none if the warnings are the same as last time.
    fn new_warnings(&mut self, warnings: Vec<String>) -> Vec<Notice> {
        if self.warnings == warnings {
            return Vec::new();
        }
        let mut notices: Vec<_> = warnings.iter().take(MAX_WARNINGS).cloned().map(Notice::Warning).collect();
        if let Some(more @ 1..) = warnings.len().checked_sub(MAX_WARNINGS) {
            notices.push(Notice::Warning(format!("{more} more ignored fields")));
        }
        self.warnings = warnings;
        notices
    }
}

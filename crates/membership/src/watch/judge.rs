//! What follows from a look at a file: what the catalog is told, and what an operator.

use super::look::{Look, Print};
use super::{Parsed, Parser, Watch};
use crate::event::{EndpointUpdate, Event, Silence};
use crate::names::Version;
use std::fmt;

/// What an operator is to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// It cannot be used: why, with file, line and key. The last good one stands.
    Rejected(String),
    /// It is not there or cannot be read. The last good one stands.
    Unavailable(String),
    /// It is good again.
    Recovered,
    /// Something in it does nothing here. Said once, until the file's warnings are others.
    Warning(String),
    /// The file system tells nothing of changes; polling remains.
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

/// What is known of the file.
#[derive(Debug, Default)]
pub(super) struct Judge {
    /// As it was last read, good or not.
    pub print: Option<Print>,
    /// Of what was last read, good or not, and of what the catalog was last told.
    read: Option<u64>,
    told: Option<u64>,
    /// What is wrong, if anything.
    wrong: Option<Notice>,
    /// What does nothing, as it was last said.
    warnings: Vec<String>,
}

/// Most warnings on a file that are said one by one.
const MAX_WARNINGS: usize = 16;

/// What follows.
pub(super) type Verdict = (Option<Event>, Vec<Notice>);

impl Judge {
    /// Judges a look; `asked`: what is good is told, changed or not.
    pub fn judge(&mut self, watch: &Watch, parse: Parser, look: Look, asked: bool) -> Verdict {
        match look {
            Look::Same => (None, Vec::new()),
            Look::Lost(e) => {
                (self.print, self.read) = (None, None);
                let text = format!("{}: {e}", watch.path.display());
                self.wrong(watch, Notice::Unavailable(text), Silence::Lost)
            }
            Look::Unusable(why) => {
                (self.print, self.read) = (None, None);
                self.wrong(watch, Notice::Rejected(why), Silence::Quiet)
            }
            Look::Read(found) => {
                self.print = Some(found.print);
                if self.read.replace(found.hash) == Some(found.hash) && !asked {
                    return (None, Vec::new());
                }
                if self.told == Some(found.hash) && !asked {
                    // Danger: news would be a repetition, which confirms what is held.
                    let back = self.wrong.take().map(|_| Notice::Recovered);
                    let event = back.is_some().then(|| Event::Reconnected { source: watch.source.clone() });
                    return (event, Vec::from_iter(back));
                }
                match parse(found.texts) {
                    Err(why) => self.wrong(watch, Notice::Rejected(why), Silence::Quiet),
                    Ok(Parsed { clusters, warnings }) => {
                        self.told = Some(found.hash);
                        let mut notices = Vec::from_iter(self.wrong.take().map(|_| Notice::Recovered));
                        notices.extend(self.new_warnings(warnings));
                        let version = Version::new(format!("{:016x}", found.hash));
                        let (source, update) = (watch.source.clone(), EndpointUpdate::FullSnapshot(clusters));
                        (Some(Event::Update { source, version, update }), notices)
                    }
                }
            }
        }
    }

    /// Says it once, however often it is seen.
    fn wrong(&mut self, watch: &Watch, notice: Notice, silence: Silence) -> Verdict {
        if self.wrong.as_ref() == Some(&notice) {
            return (None, Vec::new());
        }
        self.wrong = Some(notice.clone());
        (Some(Event::Silent { source: watch.source.clone(), silence }), vec![notice])
    }

    /// Says what does nothing, once for as long as it stays the same.
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

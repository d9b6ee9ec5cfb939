//! Log lines of the lab: to standard error, as text for people or as JSON for machines.

use slog::{Drain, Logger, o};
use std::str::FromStr;

/// The form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for Form {
    type Err = String;

    fn from_str(text: &str) -> Result<Form, String> {
        match text {
            "text" => Ok(Form::Text),
            "json" => Ok(Form::Json),
            other => Err(format!("{other:?} is not `text` or `json`")),
        }
    }
}

/// Begins to log; lines are written by a thread of their own until the guard is dropped.
pub fn start(form: Form) -> (Logger, slog_async::AsyncGuard) {
    let (drain, guard) = match form {
        Form::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let text = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(text).build_with_guard()
        }
        Form::Json => {
            let json = slog_json::Json::default(std::io::stderr()).fuse();
            slog_async::Async::new(json).build_with_guard()
        }
    };
    (Logger::root(drain.fuse(), o!()), guard)
}

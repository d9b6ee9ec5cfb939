//! Files of results: JSON lines, one run a line.
//!
//! A line is either a bare [`RunResult`], as a single run writes it, or a run of a sweep:
//!
//! ```json
//! {"schema":1,"cell":{"clients.load":0.8},"result":{"schema":1,"scenario":"calm", ...}}
//! {"schema":1,"cell":{"clients.load":0.9},"failed":{"scenario":"calm", ..., "error":"..."}}
//! ```
//!
//! `schema` outside is [`LINE_SCHEMA`], inside `result` it is [`SCHEMA`]; both are checked before anything
//! else is read. Of two lines about the same run the later one counts, if the earlier one is a failure.

use crate::run_result::{RunResult, SCHEMA};
use fs4::FileExt;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::error::Category;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// The version of a sweep's line; another one is refused by name.
pub const LINE_SCHEMA: u32 = 1;

/// A grid's parameters and their values in one cell, by key path; empty for a run outside of a grid.
pub type Cell = BTreeMap<String, serde_json::Value>;

/// A cell in words: `clients.load=0.8, tier[0].servers=50`; empty for a run outside of a grid.
pub fn cell_words(cell: &Cell) -> String {
    cell.iter().map(|(key, value)| format!("{key}={value}")).collect::<Vec<_>>().join(", ")
}

/// One line.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Where in a grid.
    pub cell: Cell,
    /// What came of the run.
    pub outcome: Outcome,
}

/// What came of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It was played.
    Played(Box<RunResult>),
    /// It could not be played.
    Failed(Failed),
}

/// A run that could not be played.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failed {
    /// The scenario's name.
    pub scenario: String,
    /// Hash of the scenario, as in [`RunResult`].
    pub scenario_digest: String,
    /// The policy's name.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Why.
    pub error: String,
}

/// What tells a run from every other one of a sweep: scenario digest, policy, seed.
pub type RunId = (String, String, u64);

impl Entry {
    /// The run that the line is about.
    pub fn id(&self) -> RunId {
        match &self.outcome {
            Outcome::Played(run) => (run.scenario_digest.clone(), run.policy.clone(), run.seed),
            Outcome::Failed(run) => (run.scenario_digest.clone(), run.policy.clone(), run.seed),
        }
    }
}

/// Why a file of results cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ResultsError {
    /// It cannot be opened, read or written.
    #[error("{file}: {error}", file = .0.display(), error = .1)]
    Io(PathBuf, io::Error),
    /// A result cannot be written.
    #[error(transparent)]
    NotStorable(#[from] NotStorable),
    /// Another process writes it.
    #[error("{}: another process is writing results there", .0.display())]
    Busy(PathBuf),
    /// It was written by another version of this program.
    #[error("{file}:{line}: {what} has schema version {found}, this build reads version {expected}",
        file = .file.display())]
    Schema {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// Which of the two forms.
        what: &'static str,
        /// The version that is there, or that there is none.
        found: String,
        /// The version that is read.
        expected: u32,
    },
    /// A line is not a result.
    #[error("{file}:{line}: not a result: {why}", file = .file.display())]
    Line {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong.
        why: String,
    },
}

/// A last line that was cut off: the run that wrote it died while writing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Torn {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1.
    pub line: usize,
    /// How much of it is there.
    pub bytes: usize,
}

impl fmt::Display for Torn {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Torn { file, line, bytes } = self;
        let file = file.display();
        write!(f, "{file}:{line}: cut off after {bytes} bytes (the run died while writing); left out")
    }
}

/// Why a line could not be understood.
enum Fault {
    Schema(&'static str, String, u32),
    Form(serde_json::Error),
    Other(String),
}

impl Fault {
    fn at(self, file: &Path, line: usize) -> ResultsError {
        let file = file.to_owned();
        match self {
            Fault::Schema(what, found, expected) => {
                ResultsError::Schema { file, line, what, found, expected }
            }
            Fault::Form(error) => ResultsError::Line { file, line, why: error.to_string() },
            Fault::Other(why) => ResultsError::Line { file, line, why },
        }
    }
}

impl From<serde_json::Error> for Fault {
    fn from(error: serde_json::Error) -> Fault {
        Fault::Form(error)
    }
}

/// Whether a text is the beginning of a JSON object, and not all of it.
fn is_cut(bytes: &[u8]) -> bool {
    let ends_early = |bytes: &[u8]| {
        serde_json::from_slice::<IgnoredAny>(bytes).is_err_and(|error| error.classify() == Category::Eof)
    };
    // A number cut at its point or exponent counts as wrong, not as cut, until a digit follows.
    bytes.starts_with(b"{") && (ends_early(bytes) || ends_early(&[bytes, b"0"].concat()))
}

/// Only the version: read first, since a line of another version may differ in everything else.
#[derive(Deserialize)]
struct Version {
    schema: Option<serde_json::Value>,
    cell: Option<IgnoredAny>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line<'a> {
    #[serde(rename = "schema")]
    _schema: u32,
    cell: Cell,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
    failed: Option<Failed>,
}

#[derive(Serialize)]
struct LineOut<'a> {
    schema: u32,
    cell: &'a Cell,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<&'a RunResult>,
    #[serde(skip_serializing_if = "Option::is_none")]
    failed: Option<&'a Failed>,
}

fn check(found: Option<&serde_json::Value>, what: &'static str, expected: u32) -> Result<(), Fault> {
    match found {
        Some(version) if version.as_u64() == Some(expected.into()) => Ok(()),
        Some(version) => Err(Fault::Schema(what, version.to_string(), expected)),
        None => Err(Fault::Schema(what, "none".into(), expected)),
    }
}

fn decode_result(text: &str) -> Result<RunResult, Fault> {
    let version: Version = serde_json::from_str(text)?;
    check(version.schema.as_ref(), "the result", SCHEMA)?;
    Ok(serde_json::from_str(text)?)
}

fn decode(bytes: &[u8]) -> Result<Entry, Fault> {
    let version: Version = serde_json::from_slice(bytes)?;
    let text = std::str::from_utf8(bytes).map_err(|error| Fault::Other(error.to_string()))?;
    if version.cell.is_none() {
        let result = decode_result(text)?;
        return Ok(Entry { cell: Cell::new(), outcome: Outcome::Played(Box::new(result)) });
    }
    check(version.schema.as_ref(), "the sweep's line", LINE_SCHEMA)?;
    let line: Line = serde_json::from_str(text)?;
    let outcome = match (line.result, line.failed) {
        (Some(result), None) => Outcome::Played(Box::new(decode_result(result.get())?)),
        (None, Some(failed)) => Outcome::Failed(failed),
        _ => return Err(Fault::Other("exactly one of `result` and `failed` belongs in a line".into())),
    };
    Ok(Entry { cell: line.cell, outcome })
}

/// A file of results, read a line at a time: results may be larger than memory all together.
///
/// After an error nothing more comes. Once nothing more comes, [`Reader::torn`] tells of a torn last line.
pub struct Reader {
    file: PathBuf,
    input: BufReader<File>,
    line: usize,
    torn: Option<Torn>,
    done: bool,
}

impl Reader {
    /// Opens a file.
    pub fn open(file: &Path) -> Result<Reader, ResultsError> {
        let input = File::open(file).map_err(|error| ResultsError::Io(file.to_owned(), error))?;
        let input = BufReader::with_capacity(1 << 16, input);
        Ok(Reader { file: file.to_owned(), input, line: 0, torn: None, done: false })
    }

    /// The torn last line, once all was read.
    pub fn torn(&self) -> Option<&Torn> {
        self.torn.as_ref()
    }

    fn read(&mut self) -> Result<Option<(usize, Entry)>, ResultsError> {
        let mut bytes = Vec::new();
        let read = self.input.read_until(b'\n', &mut bytes);
        read.map_err(|error| ResultsError::Io(self.file.clone(), error))?;
        if bytes.is_empty() {
            return Ok(None);
        }
        self.line += 1;
        match decode(&bytes) {
            Ok(entry) => Ok(Some((self.line, entry))),
            Err(_) if bytes.last() != Some(&b'\n') && is_cut(&bytes) => {
                self.torn = Some(Torn { file: self.file.clone(), line: self.line, bytes: bytes.len() });
                Ok(None)
            }
            Err(fault) => Err(fault.at(&self.file, self.line)),
        }
    }
}

impl Iterator for Reader {
    type Item = Result<(usize, Entry), ResultsError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.done {
            return None;
        }
        let next = self.read().transpose();
        self.done = !matches!(next, Some(Ok(_)));
        next
    }
}

/// A line as it will stand in the file, known to be readable again.
pub struct Encoded(Vec<u8>);

/// A result that has no place in a file of results.
#[derive(Debug, thiserror::Error)]
#[error("the result cannot be stored: {0}")]
pub struct NotStorable(String);

fn encode_as(value: &impl Serialize) -> Result<Encoded, NotStorable> {
    let mut line = serde_json::to_vec(value).map_err(|error| NotStorable(error.to_string()))?;
    // Danger: JSON has no NaN. It would be written as `null`, and one such line makes the file unreadable.
    match decode(&line) {
        Ok(_) => {}
        Err(Fault::Schema(what, found, _)) => {
            return Err(NotStorable(format!("{what} has schema version {found}")));
        }
        Err(Fault::Form(error)) => {
            return Err(NotStorable(format!("a figure is infinite or not a number ({error})")));
        }
        Err(Fault::Other(why)) => return Err(NotStorable(why)),
    }
    line.push(b'\n');
    Ok(Encoded(line))
}

impl Encoded {
    /// A line of a sweep.
    pub fn entry(entry: &Entry) -> Result<Encoded, NotStorable> {
        let (result, failed) = match &entry.outcome {
            Outcome::Played(result) => (Some(&**result), None),
            Outcome::Failed(failed) => (None, Some(failed)),
        };
        encode_as(&LineOut { schema: LINE_SCHEMA, cell: &entry.cell, result, failed })
    }

    /// A single run's line.
    pub fn result(result: &RunResult) -> Result<Encoded, NotStorable> {
        encode_as(result)
    }
}

/// Appends lines to a file of results; the only one to do so while it lives.
pub struct Appender {
    file: PathBuf,
    output: File,
    end: u64,
}

impl Appender {
    /// Opens a file, or makes it, and cuts off a torn last line.
    ///
    /// A file whose last line is neither whole nor the beginning of a result is left as it is, with an error:
    /// it is not one of ours.
    pub fn open(file: &Path) -> Result<(Appender, Option<Torn>), ResultsError> {
        let io = |error| ResultsError::Io(file.to_owned(), error);
        let output = OpenOptions::new().read(true).append(true).create(true).open(file).map_err(io)?;
        match FileExt::try_lock(&output) {
            Ok(()) => {}
            Err(fs4::TryLockError::WouldBlock) => return Err(ResultsError::Busy(file.to_owned())),
            Err(fs4::TryLockError::Error(error)) => return Err(io(error)),
        }
        let mut appender = Appender { file: file.to_owned(), output, end: 0 };
        let torn = appender.mend()?;
        Ok((appender, torn))
    }

    /// Makes the file end with a whole line.
    fn mend(&mut self) -> Result<Option<Torn>, ResultsError> {
        let io = |error| ResultsError::Io(self.file.clone(), error);
        let (mut lines, mut end, mut last) = (0, 0, Vec::new());
        let mut input = BufReader::with_capacity(1 << 16, &self.output);
        input.seek(SeekFrom::Start(0)).map_err(io)?;
        loop {
            last.clear();
            end += input.read_until(b'\n', &mut last).map_err(io)? as u64;
            if last.last() != Some(&b'\n') {
                break;
            }
            lines += 1;
        }
        self.end = end;
        if last.is_empty() {
            return Ok(None);
        }
        match serde_json::from_slice::<IgnoredAny>(&last) {
            Ok(_) => self.write(b"\n").map(|()| None),
            Err(_) if is_cut(&last) => {
                self.end -= last.len() as u64;
                self.output.set_len(self.end).map_err(io)?;
                Ok(Some(Torn { file: self.file.clone(), line: lines + 1, bytes: last.len() }))
            }
            Err(error) => Err(Fault::Form(error).at(&self.file, lines + 1)),
        }
    }

    /// Appends a line; when this returns it is on the disk.
    pub fn append(&mut self, line: &Encoded) -> Result<(), ResultsError> {
        self.write(&line.0)
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), ResultsError> {
        let written = self.output.write_all(bytes).and_then(|()| self.output.sync_data());
        if let Err(error) = written {
            // A full disk leaves half a line behind; what cannot be cut now is cut at the next start.
            let _ = self.output.set_len(self.end);
            return Err(ResultsError::Io(self.file.clone(), error));
        }
        self.end += bytes.len() as u64;
        Ok(())
    }
}

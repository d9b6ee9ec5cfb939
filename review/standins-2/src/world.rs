//! What a case records: attempts at backends, answers to clients, and notes, all on one clock.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// How an attempt at a backend ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The backend wrote the last byte of its answer.
    Answered(u16),
    /// The proxy closed the connection first.
    Closed,
}

/// A request whose last byte has arrived at a backend.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub backend: String,
    /// Milliseconds since the start of the case.
    pub arrived: f64,
    pub ended: Option<(f64, End)>,
    /// Whether the work was done (for the classes that may run once only).
    pub ran: bool,
}

pub struct World {
    pub start: Instant,
    pub attempts: Mutex<Vec<Attempt>>,
    lines: Mutex<Vec<(f64, String)>>,
}

impl World {
    pub fn new() -> Arc<World> {
        Arc::new(World { start: Instant::now(), attempts: Mutex::default(), lines: Mutex::default() })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    /// Adds a line to the record.
    pub fn note(&self, text: impl Into<String>) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text.into()));
    }

    pub fn arrived(&self, id: &str, backend: &str) -> usize {
        let arrived = self.now();
        let mut attempts = self.attempts.lock().unwrap();
        attempts.push(Attempt { id: id.into(), backend: backend.into(), arrived, ended: None, ran: false });
        let index = attempts.len() - 1;
        drop(attempts);
        self.note(format!("backend {backend}: request {id} arrived whole"));
        index
    }

    pub fn ran(&self, attempt: usize) {
        self.attempts.lock().unwrap()[attempt].ran = true;
    }

    pub fn ended(&self, attempt: usize, end: End) {
        let at = self.now();
        let text = {
            let mut attempts = self.attempts.lock().unwrap();
            let attempt = &mut attempts[attempt];
            attempt.ended = Some((at, end));
            format!("backend {}: request {} ended: {end:?}", attempt.backend, attempt.id)
        };
        self.note(text);
    }

    /// Writes the record in the order of time.
    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut file = std::io::BufWriter::new(std::fs::File::create(path).expect("record.txt"));
        for (at, text) in lines {
            writeln!(file, "{at:10.1} ms  {text}").expect("record.txt");
        }
    }
}

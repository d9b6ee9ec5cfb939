//! Runs the program as a child process and collects the lines of its log.

use super::STEP_TIMEOUT;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;

/// A running program. It is killed when this is dropped, if it has not ended by then.
pub struct Program {
    child: Child,
    log: Receiver<String>,
}

impl Program {
    pub fn start(command: &mut Command) -> Program {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
        let (lines, log) = channel();
        let text = BufReader::new(child.stderr.take().expect("piped"));
        // Read to the end, so that the program never blocks on a full pipe.
        std::thread::spawn(move || text.lines().map_while(Result::ok).for_each(|line| _ = lines.send(line)));
        Program { child, log }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a log line that contains this text, and returns the line.
    pub fn line(&self, with: &str) -> String {
        let end = Instant::now() + STEP_TIMEOUT;
        let next = || self.log.recv_timeout(end.saturating_duration_since(Instant::now()));
        let mut others = Vec::new();
        loop {
            let line = next().unwrap_or_else(|_| panic!("no log line with {with}: {others:#?}"));
            if line.contains(with) {
                return line;
            }
            others.push(line);
        }
    }

    /// Returns the log lines that have not been consumed so far.
    pub fn lines(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        let (name, id) = (format!("-{name}"), self.id().to_string());
        assert!(Command::new("kill").args([name, id]).status().expect("kill runs").success());
    }

    /// Waits until the program ends.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("the program ends")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill(); // already ended in tests that wait for the exit
        let _ = self.child.wait();
    }
}

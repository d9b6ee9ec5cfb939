//! The program as a child, with the lines of its log.

use super::NEVER;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;

/// Killed when it is dropped, if it has not ended by then.
pub struct Program {
    child: Child,
    log: Receiver<String>,
}

impl Program {
    pub fn start(command: &mut Command) -> Program {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
        let (lines, log) = channel();
        let said = BufReader::new(child.stderr.take().expect("piped"));
        // Read to the end, whether or not anybody asks for it.
        std::thread::spawn(move || said.lines().map_while(Result::ok).for_each(|line| _ = lines.send(line)));
        Program { child, log }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a line of the log with this in it, and gives it.
    pub fn line(&self, with: &str) -> String {
        let end = Instant::now() + NEVER;
        let next = || self.log.recv_timeout(end.saturating_duration_since(Instant::now()));
        let mut others = Vec::new();
        loop {
            let line = next().unwrap_or_else(|_| panic!("no line with {with}: {others:#?}"));
            if line.contains(with) {
                return line;
            }
            others.push(line);
        }
    }

    /// The lines that nobody asked for so far.
    pub fn lines(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        let (name, id) = (format!("-{name}"), self.id().to_string());
        assert!(Command::new("kill").args([name, id]).status().expect("kill runs").success());
    }

    /// Waits for its end.
    pub fn ends(&mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill(); // ended already, in the tests that wait for it
        let _ = self.child.wait();
    }
}

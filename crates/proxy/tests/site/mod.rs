//! A listen address and directory shared by proxy processes that run at the same time or one after another, as in
//! a hot restart. Each process has an admin server.

#![allow(dead_code)] // no test file uses all of it

use super::scenario::program::Program;
use super::scenario::{SETTINGS, STEP_TIMEOUT, call_once, config_file, free_port, fresh, olivecart};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Instant;

/// Settings with deadlines that these tests do not exceed on any machine.
pub fn generous_settings() -> String {
    SETTINGS.replace("50000000000", "500000000000")
}

/// What the processes of a test share: the listen address, the configuration, and the temporary directory.
pub struct Site {
    pub listen: SocketAddr,
    pub config: PathBuf,
    dir: PathBuf,
}

impl Site {
    /// Creates a site with a limit of 256 descriptors, this memory limit, and a cached list of these backends.
    pub fn new(memory_mb: usize, backends: &[(&str, SocketAddr)]) -> Site {
        Site::with(&generous_settings(), memory_mb, backends)
    }

    /// Same as [`Site::new`], with other settings.
    pub fn with(settings: &str, memory_mb: usize, backends: &[(&str, SocketAddr)]) -> Site {
        Site::with_limits(settings, 256, memory_mb, backends)
    }

    /// Same as [`Site::with`], with a limit on descriptors.
    pub fn with_limits(
        settings: &str,
        sockets: usize,
        memory_mb: usize,
        backends: &[(&str, SocketAddr)],
    ) -> Site {
        let (listen, discovery) = (free_port(), free_port());
        let server = |(id, addr): &(&str, SocketAddr)| {
            format!(r#"{{"id":"{id}","addr":"{addr}","state":"ready","zone":"z","cell":1}}"#)
        };
        let servers: Vec<String> = backends.iter().map(server).collect();
        let config = config_file(&format!(
            r#"{{"listen":"{listen}","discovery":"{discovery}","limits":{{"sockets":{sockets},"memory_mb":{memory_mb}}},
            "known":{{"version":1,"full":true,"servers":[{}]}},"settings":{settings}}}"#,
            servers.join(",")
        ));
        let dir = fresh("");
        std::fs::create_dir(&dir).expect("a directory");
        Site { listen, config, dir }
    }

    pub fn start(&self) -> Process {
        let console = free_port();
        let mut program = olivecart("serve", &self.config);
        program.env("TMPDIR", &self.dir).env("EDGE_CONSOLE", console.to_string());
        Process { program: Program::start(&mut program), console }
    }

    /// Starts another process and waits until it is ready.
    pub fn start_ready(&self) -> Process {
        let process = self.start();
        process.wait_until_ready();
        process
    }

    /// Starts a process as of a build without hot restart: it has no admin server and does not share the address.
    pub fn start_without_hot_restart(&self) -> Program {
        Program::start(&mut olivecart("serve", &self.config))
    }

    pub fn socket(&self) -> PathBuf {
        self.dir.join(format!("olivecart-{}-{}.sock", self.listen.ip(), self.listen.port()))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

pub struct Process {
    pub program: Program,
    pub console: SocketAddr,
}

impl Process {
    /// Sends a request to the admin server. Returns the status line and the body, or an empty string on failure.
    pub fn admin_request(&self, first: &str, body: &str) -> String {
        let response = call_once(self.console, first, body);
        response.map(|message| message.first + "\n" + &message.body).unwrap_or_default()
    }

    pub fn wait_until(&self, description: &str, condition: impl Fn(&Process) -> bool) {
        let end = Instant::now() + STEP_TIMEOUT;
        while !condition(self) {
            assert!(
                Instant::now() < end,
                "timed out: {description}; log lines since: {:#?}",
                self.program.lines()
            );
            std::thread::yield_now();
        }
    }

    pub fn wait_until_ready(&self) {
        self.wait_until("ready", |p| p.admin_request("GET /_ready", "").starts_with("200"));
    }

    pub fn wait_for_var(&self, var: &str) {
        self.wait_until(var, |p| p.admin_request("GET /_vars", "").lines().any(|line| line == var));
    }
}

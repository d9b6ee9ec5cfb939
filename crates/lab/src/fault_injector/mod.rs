//! Injects faults into a file of endpoints: rewrites it through torn, empty, invalid and valid versions, drawn
//! from a seed.
//!
//! Every version that is not valid names only the trap: a caller that sends a request there has accepted such
//! a version. Tests of the proxy use it; it touches nothing but the one file and its temporary neighbour.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::fmt::Write;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What is done to the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FileFault {
    /// A valid version replaces it by a rename.
    Renamed,
    /// A valid version is written over it, in two pieces.
    InPlace,
    /// It ends at any byte before its end.
    Torn,
    /// It exists and has no byte.
    Empty,
    /// It names a cluster and no endpoint.
    NoEndpoints,
    /// All weights are 0.
    ZeroWeight,
    /// A name occurs twice.
    Duplicate,
    /// A directory stands in its place.
    Directory,
    /// It does not exist.
    Missing,
}

impl FileFault {
    /// All of them.
    pub const ALL: [FileFault; 9] = [
        FileFault::Renamed,
        FileFault::InPlace,
        FileFault::Torn,
        FileFault::Empty,
        FileFault::NoEndpoints,
        FileFault::ZeroWeight,
        FileFault::Duplicate,
        FileFault::Directory,
        FileFault::Missing,
    ];

    /// Whether it leaves a valid version.
    pub fn is_valid(self) -> bool {
        matches!(self, FileFault::Renamed | FileFault::InPlace)
    }
}

/// One endpoint of an [`EndpointFile`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its state, in the words of the file.
    pub state: &'static str,
}

/// The content of an endpoint file: the endpoints of one cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointFile {
    /// The cluster.
    pub cluster: String,
    /// Its endpoints.
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointFile {
    /// The text of the file, with this weight for each endpoint.
    pub fn to_toml(&self, weight: u32) -> String {
        let mut text = format!("version = 1\n[[clusters]]\nname = \"{}\"\n", self.cluster);
        for ListedEndpoint { name, address, state } in &self.endpoints {
            // Writing to a string cannot fail.
            let _ = write!(
                text,
                "[[clusters.endpoints]]\nname = \"{name}\"\naddress = \"{address}\"\nstate = \"{state}\"\n\
                 zone = \"z\"\nweight = {weight}\n"
            );
        }
        text + "[end]\n"
    }
}

/// Injects faults into one file.
pub struct FileFaultInjector {
    path: PathBuf,
    rng: Pcg64,
    trap: SocketAddr,
}

impl FileFaultInjector {
    /// An injector for the file at `path`; the same seed injects the same faults.
    pub fn new(path: impl Into<PathBuf>, seed: u64, trap: SocketAddr) -> FileFaultInjector {
        FileFaultInjector { path: path.into(), rng: Pcg64::seed_from_u64(seed), trap }
    }

    /// Injects a random fault, and returns which; a valid version has the content `valid`.
    ///
    /// # Errors
    /// The file system's.
    pub fn inject_random(&mut self, valid: &EndpointFile) -> io::Result<FileFault> {
        let fault = FileFault::ALL[self.rng.random_range(0..FileFault::ALL.len())];
        self.inject(fault, valid)?;
        Ok(fault)
    }

    /// Injects a fault; a valid version has the content `valid`.
    ///
    /// # Errors
    /// The file system's.
    pub fn inject(&mut self, fault: FileFault, valid: &EndpointFile) -> io::Result<()> {
        if self.path.is_dir() {
            fs::remove_dir(&self.path)?;
        }
        match fault {
            FileFault::Renamed => self.replace(&valid.to_toml(1)),
            FileFault::InPlace => self.overwrite_in_two_pieces(&valid.to_toml(1)),
            FileFault::Torn => {
                let trapped = self.trapped(valid);
                self.write_torn(&trapped.to_toml(1))
            }
            FileFault::Empty => fs::write(&self.path, ""),
            FileFault::NoEndpoints => {
                let without_endpoints = EndpointFile { endpoints: Vec::new(), ..valid.clone() };
                fs::write(&self.path, without_endpoints.to_toml(1))
            }
            FileFault::ZeroWeight => fs::write(&self.path, self.trapped(valid).to_toml(0)),
            FileFault::Duplicate => {
                let mut duplicated = self.trapped(valid);
                duplicated.endpoints.extend(duplicated.endpoints.first().cloned());
                fs::write(&self.path, duplicated.to_toml(1))
            }
            FileFault::Directory => {
                self.remove()?;
                fs::create_dir(&self.path)
            }
            FileFault::Missing => self.remove(),
        }
    }

    fn replace(&self, text: &str) -> io::Result<()> {
        let mut temporary = self.path.clone();
        temporary.as_mut_os_string().push(".beside");
        fs::write(&temporary, text)?;
        fs::rename(temporary, &self.path)
    }

    fn overwrite_in_two_pieces(&mut self, text: &str) -> io::Result<()> {
        let cut = self.rng.random_range(0..text.len());
        fs::write(&self.path, &text[..cut])?;
        fs::write(&self.path, text)
    }

    fn write_torn(&mut self, text: &str) -> io::Result<()> {
        let complete = text.trim_end().len();
        let cut = self.rng.random_range(0..complete);
        fs::write(&self.path, &text[..cut])
    }

    fn remove(&self) -> io::Result<()> {
        if self.path.exists() { fs::remove_file(&self.path) } else { Ok(()) }
    }

    /// The same file with the trap as every address.
    fn trapped(&self, valid: &EndpointFile) -> EndpointFile {
        let mut trapped = valid.clone();
        for endpoint in &mut trapped.endpoints {
            endpoint.address = self.trap;
            endpoint.state = "ready";
        }
        trapped
    }
}

#[cfg(test)]
mod tests;

//! Injects faults into an endpoint file: overwrites it with torn, empty, invalid and valid versions, in a
//! sequence determined by a seed.
//!
//! Every invalid version names only the decoy address: a proxy that sends a request there has accepted an
//! invalid version. Tests of the proxy use the injector. It changes only the endpoint file and a temporary
//! file next to it.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::fmt::Write;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A way to change the endpoint file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FileFault {
    /// A valid version replaces the file by a rename.
    Renamed,
    /// A valid version overwrites the file in place, in two writes.
    InPlace,
    /// The file is truncated at a random byte.
    Torn,
    /// The file is empty.
    Empty,
    /// The file names a cluster without endpoints.
    NoEndpoints,
    /// All weights are 0.
    ZeroWeight,
    /// A name occurs twice.
    Duplicate,
    /// The path is a directory.
    Directory,
    /// The file does not exist.
    Missing,
}

impl FileFault {
    /// All faults.
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

    /// Whether the file is a valid version afterwards.
    pub fn is_valid(self) -> bool {
        matches!(self, FileFault::Renamed | FileFault::InPlace)
    }
}

/// One endpoint of an [`EndpointFile`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// The name of the endpoint.
    pub name: String,
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// The state of the endpoint, as written in the file.
    pub state: &'static str,
}

/// The content of an endpoint file: the endpoints of one cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointFile {
    /// The name of the cluster.
    pub cluster: String,
    /// The endpoints of the cluster.
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointFile {
    /// The content of the file, with this weight for each endpoint.
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

/// Injects faults into one endpoint file.
pub struct FileFaultInjector {
    path: PathBuf,
    rng: Pcg64,
    decoy: SocketAddr,
}

impl FileFaultInjector {
    /// Creates an injector for the file at `path`. The same seed injects the same faults.
    pub fn new(path: impl Into<PathBuf>, seed: u64, decoy: SocketAddr) -> FileFaultInjector {
        FileFaultInjector { path: path.into(), rng: Pcg64::seed_from_u64(seed), decoy }
    }

    /// Injects a random fault and returns it. A valid version has the content `valid`.
    ///
    /// # Errors
    /// A file system operation failed.
    pub fn inject_random(&mut self, valid: &EndpointFile) -> io::Result<FileFault> {
        let fault = FileFault::ALL[self.rng.random_range(0..FileFault::ALL.len())];
        self.inject(fault, valid)?;
        Ok(fault)
    }

    /// Injects a fault. A valid version has the content `valid`.
    ///
    /// # Errors
    /// A file system operation failed.
    pub fn inject(&mut self, fault: FileFault, valid: &EndpointFile) -> io::Result<()> {
        if self.path.is_dir() {
            fs::remove_dir(&self.path)?;
        }
        match fault {
            FileFault::Renamed => self.replace(&valid.to_toml(1)),
            FileFault::InPlace => self.overwrite_in_two_pieces(&valid.to_toml(1)),
            FileFault::Torn => {
                let with_decoy = self.with_decoy(valid);
                self.write_torn(&with_decoy.to_toml(1))
            }
            FileFault::Empty => fs::write(&self.path, ""),
            FileFault::NoEndpoints => {
                let without_endpoints = EndpointFile { endpoints: Vec::new(), ..valid.clone() };
                fs::write(&self.path, without_endpoints.to_toml(1))
            }
            FileFault::ZeroWeight => fs::write(&self.path, self.with_decoy(valid).to_toml(0)),
            FileFault::Duplicate => {
                let mut duplicated = self.with_decoy(valid);
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

    /// Returns the same file with the decoy as the address of every endpoint.
    fn with_decoy(&self, valid: &EndpointFile) -> EndpointFile {
        let mut with_decoy = valid.clone();
        for endpoint in &mut with_decoy.endpoints {
            endpoint.address = self.decoy;
            endpoint.state = "ready";
        }
        with_decoy
    }
}

#[cfg(test)]
mod tests;

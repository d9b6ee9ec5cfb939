//! A file of endpoints in bad hands: rewritten through torn, empty, senseless and valid versions, by a seed.
//!
//! All that is not valid names only the trap: whoever sends a request there has served from such a version.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::fmt::Write;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What is done to the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mangling {
    /// A valid version is put in its place by a rename.
    Renamed,
    /// A valid version is written over it, in two pieces.
    InPlace,
    /// It ends at any byte before its end.
    Torn,
    /// It is there and has no byte.
    Empty,
    /// It names a cluster and no endpoint.
    NoEndpoints,
    /// All weights are 0.
    ZeroWeight,
    /// An id comes twice.
    Duplicate,
    /// A directory stands in its place.
    Directory,
    /// It is not there.
    Missing,
}

impl Mangling {
    /// All of them.
    pub const ALL: [Mangling; 9] = [
        Mangling::Renamed,
        Mangling::InPlace,
        Mangling::Torn,
        Mangling::Empty,
        Mangling::NoEndpoints,
        Mangling::ZeroWeight,
        Mangling::Duplicate,
        Mangling::Directory,
        Mangling::Missing,
    ];

    /// Whether it leaves a valid version.
    pub fn is_valid(self) -> bool {
        matches!(self, Mangling::Renamed | Mangling::InPlace)
    }
}

/// Endpoints of one cluster, by id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The cluster.
    pub cluster: String,
    /// Id, address, state of each endpoint.
    pub endpoints: Vec<(String, SocketAddr, &'static str)>,
}

impl Listed {
    /// The file that lists them, with this weight each.
    pub fn file(&self, weight: u32) -> String {
        let mut text = format!("version = 1\n[[clusters]]\nname = \"{}\"\n", self.cluster);
        for (id, address, state) in &self.endpoints {
            // Writing to a text cannot fail.
            let _ = write!(
                text,
                "[[clusters.endpoints]]\nname = \"{id}\"\naddress = \"{address}\"\nstate = \"{state}\"\n\
                 zone = \"z\"\nweight = {weight}\n"
            );
        }
        text + "[end]\n"
    }
}

/// Whoever has the file in hand.
pub struct Mangler {
    path: PathBuf,
    chance: Pcg64,
    trap: SocketAddr,
}

impl Mangler {
    /// The same seed does the same.
    pub fn new(path: impl Into<PathBuf>, seed: u64, trap: SocketAddr) -> Mangler {
        Mangler { path: path.into(), chance: Pcg64::seed_from_u64(seed), trap }
    }

    /// Does anything; where a version is valid, it lists `valid`.
    ///
    /// # Errors
    /// The file system's.
    pub fn any(&mut self, valid: &Listed) -> io::Result<Mangling> {
        let what = Mangling::ALL[self.chance.random_range(0..Mangling::ALL.len())];
        self.mangle(what, valid)?;
        Ok(what)
    }

    /// Does one thing.
    ///
    /// # Errors
    /// The file system's.
    pub fn mangle(&mut self, what: Mangling, valid: &Listed) -> io::Result<()> {
        if self.path.is_dir() {
            fs::remove_dir(&self.path)?;
        }
        match what {
            Mangling::Renamed => {
                let mut beside = self.path.clone();
                beside.as_mut_os_string().push(".beside");
                fs::write(&beside, valid.file(1))?;
                fs::rename(beside, &self.path)
            }
            Mangling::InPlace => {
                let text = valid.file(1);
                let cut = self.chance.random_range(0..text.len());
                fs::write(&self.path, &text[..cut])?;
                fs::write(&self.path, text)
            }
            Mangling::Torn => {
                let text = self.trapped(valid).file(1);
                let whole = text.trim_end().len();
                fs::write(&self.path, &text[..self.chance.random_range(0..whole)])
            }
            Mangling::Empty => fs::write(&self.path, ""),
            Mangling::NoEndpoints => {
                let none = Listed { endpoints: Vec::new(), ..valid.clone() };
                fs::write(&self.path, none.file(1))
            }
            Mangling::ZeroWeight => fs::write(&self.path, self.trapped(valid).file(0)),
            Mangling::Duplicate => {
                let mut twice = self.trapped(valid);
                twice.endpoints.extend(twice.endpoints.first().cloned());
                fs::write(&self.path, twice.file(1))
            }
            Mangling::Directory => {
                self.remove()?;
                fs::create_dir(&self.path)
            }
            Mangling::Missing => self.remove(),
        }
    }

    fn remove(&self) -> io::Result<()> {
        if self.path.exists() { fs::remove_file(&self.path) } else { Ok(()) }
    }

    /// The same with the trap as every address.
    fn trapped(&self, valid: &Listed) -> Listed {
        let mut trapped = valid.clone();
        trapped
            .endpoints
            .iter_mut()
            .for_each(|(_, address, state)| (*address, *state) = (self.trap, "ready"));
        trapped
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    #[test]
    fn the_same_seed_does_the_same_and_nothing_but_a_valid_version_reads_as_one() {
        let directory = tempfile::tempdir().expect("a directory");
        let address = |port: u16| ([127, 0, 0, 1], port).into();
        let endpoints = vec![("a".into(), address(1), "ready"), ("b".into(), address(2), "draining")];
        let valid = Listed { cluster: "cart".into(), endpoints };
        let play = |name: &str| {
            let path = directory.path().join(name);
            let mut mangler = Mangler::new(&path, 7, address(3));
            let mut done = Vec::new();
            for _ in 0..300 {
                let what = mangler.any(&valid).expect("done");
                let text = fs::read_to_string(&path).unwrap_or_default();
                assert_eq!(text == valid.file(1), what.is_valid(), "{what:?}");
                assert!(
                    what.is_valid() || !text.contains("127.0.0.1:1\""),
                    "{what:?} lists one that is not the trap"
                );
                done.push((what, text));
            }
            done
        };
        let (one, two) = (play("one"), play("two"));
        assert_eq!(one, two);
        assert_eq!(one.iter().map(|(what, _)| what).collect::<BTreeSet<_>>().len(), Mangling::ALL.len());
    }
}

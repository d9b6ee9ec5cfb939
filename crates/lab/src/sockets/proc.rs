//! Samples the resource usage of processes from /proc.

use procfs::process::Process;
use procfs::{ProcError, page_size, ticks_per_second};
use serde::Serialize;
use std::time::{Duration, Instant};

/// The resource usage of a process at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Sample {
    /// The time of the sample, in seconds since the begin.
    pub at_s: f64,
    /// CPU time of all threads so far, in seconds, with a resolution of 0.01 s.
    pub cpu_s: f64,
    /// Resident memory, in MiB.
    pub rss_mib: f64,
    /// Open file descriptors.
    pub descriptors: u64,
}

/// Samples a process.
///
/// # Errors
/// The process has ended, or /proc cannot be read.
pub fn sample(pid: u32, begin: Instant) -> Result<Sample, ProcError> {
    let process = Process::new(pid as i32)?;
    let stat = process.stat()?;
    Ok(Sample {
        at_s: begin.elapsed().as_secs_f64(),
        cpu_s: (stat.utime + stat.stime) as f64 / ticks_per_second() as f64,
        rss_mib: (stat.rss * page_size()) as f64 / (1 << 20) as f64,
        descriptors: process.fd_count()? as u64,
    })
}

/// The resource usage of one process over time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Track {
    /// The name of the process.
    pub name: String,
    /// The process id.
    pub pid: u32,
    /// Samples, oldest first.
    pub samples: Vec<Sample>,
}

impl Track {
    /// Returns the CPU time between the first and the last sample, in seconds.
    pub fn cpu_s(&self) -> f64 {
        let ends = self.samples.first().zip(self.samples.last());
        ends.map_or(0.0, |(first, last)| last.cpu_s - first.cpu_s)
    }

    /// Returns the largest sampled memory, in MiB.
    pub fn peak_mib(&self) -> f64 {
        self.samples.iter().map(|s| s.rss_mib).fold(0.0, f64::max)
    }

    /// Returns the largest sampled number of descriptors.
    pub fn peak_descriptors(&self) -> u64 {
        self.samples.iter().map(|s| s.descriptors).max().unwrap_or(0)
    }
}

/// The tracks of a changing set of processes.
#[derive(Debug)]
pub struct Tracks {
    begin: Instant,
    tracks: Vec<Track>,
}

impl Tracks {
    /// The time between two samples.
    pub const PERIOD: Duration = Duration::from_secs(1);

    /// Creates an empty set; sample times count from now.
    pub fn new() -> Tracks {
        Tracks { begin: Instant::now(), tracks: Vec::new() }
    }

    /// Samples each of these processes that still runs.
    pub fn sample_all(&mut self, of: impl IntoIterator<Item = (String, u32)>) {
        for (name, pid) in of {
            let Ok(sample) = sample(pid, self.begin) else { continue };
            match self.tracks.iter_mut().find(|t| t.pid == pid && t.name == name) {
                Some(track) => track.samples.push(sample),
                None => self.tracks.push(Track { name, pid, samples: vec![sample] }),
            }
        }
    }

    /// Returns all tracks.
    pub fn all(&self) -> &[Track] {
        &self.tracks
    }
}

impl Default for Tracks {
    fn default() -> Self {
        Tracks::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn cpu_memory_and_descriptors_of_a_process_are_sampled() {
        let (this, mut tracks) = (std::process::id(), Tracks::new());
        let sample_all = |tracks: &mut Tracks| {
            tracks.sample_all([("this".into(), this), ("missing".into(), u32::MAX / 2)])
        };
        sample_all(&mut tracks);
        let open_files: Vec<std::fs::File> =
            (0..20).map(|_| std::fs::File::open("/dev/null").unwrap()).collect();
        let mut sum = 0u64;
        while tracks.all()[0].cpu_s() < 0.05 {
            sum = (0..100_000u64).fold(sum, |sum, n| sum.wrapping_mul(31).wrapping_add(n));
            sample_all(&mut tracks);
        }
        assert_eq!((tracks.all().len(), open_files.len(), sum == 1), (1, 20, false));
        let track = &tracks.all()[0];
        assert!(track.peak_descriptors() >= track.samples[0].descriptors + 20);
        assert!(track.peak_mib() > 1.0);
    }
}

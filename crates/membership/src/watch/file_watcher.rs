//! Receives file system events for one file or directory.
//!
//! Owns the watch on the directory. The watching task lets it follow the directory before each observation.
//! It reads no files.

use super::file_system::{FileSystem, retry_interrupted};
use super::validator::Notice;
use super::{Kind, Watch};
use notify::event::{AccessKind, AccessMode};
use notify::{Event, EventKind, RecommendedWatcher, RecursiveMode, Watcher};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::sync::Notify;

#[cfg(test)]
mod tests;

/// Watches a directory. For a file, this is its parent directory: a watch on the file itself would stay on
/// the old inode when a rename replaces the file.
pub(super) struct FileWatcher {
    /// `None` if the system's limit of watchers is reached; only polling is used then.
    watcher: Option<RecommendedWatcher>,
    directory: PathBuf,
    watched: Option<DirectoryIdentity>,
}

/// Identifies a directory regardless of its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DirectoryIdentity {
    device: u64,
    inode: u64,
}

impl FileWatcher {
    /// Creates a watcher that notifies `changed` of each event that may concern the watched file. The notice,
    /// if any, contains the reason why events are unavailable.
    pub fn new(watch: &Watch, changed: Arc<Notify>) -> (FileWatcher, Option<Notice>) {
        let (directory, file_name) = match watch.kind {
            Kind::Directory => (watch.path.clone(), None),
            Kind::File => (parent_directory(&watch.path), watch.path.file_name().map(OsString::from)),
        };
        let on_event = move |event: notify::Result<Event>| {
            if event.map_or(true, |event| is_relevant(&event, file_name.as_ref())) {
                changed.notify_one();
            }
        };
        let (watcher, notice) = match notify::recommended_watcher(on_event) {
            Ok(watcher) => (Some(watcher), None),
            Err(error) => (None, Some(Notice::EventsUnavailable(error.to_string()))),
        };
        (FileWatcher { watcher, directory, watched: None }, notice)
    }

    /// Watches the directory that is currently at the path. Without this, the watch would stay on a directory
    /// that was removed or replaced, and the new directory would cause no events.
    pub fn follow_directory(&mut self, system: &impl FileSystem) {
        let Some(watcher) = &mut self.watcher else { return };
        // Without the retry, an interrupted call would end the watch until the next poll.
        let status = retry_interrupted(|| system.status(&self.directory));
        let current =
            status.ok().map(|status| DirectoryIdentity { device: status.device, inode: status.inode });
        if current == self.watched && current.is_some() {
            return;
        }
        if self.watched.take().is_some() {
            let _ = watcher.unwatch(&self.directory); // the watch may have ended with the directory
        }
        if current.is_some() && watcher.watch(&self.directory, RecursiveMode::NonRecursive).is_ok() {
            self.watched = current;
        }
    }
}

fn parent_directory(path: &Path) -> PathBuf {
    let parent = path.parent().filter(|parent| !parent.as_os_str().is_empty());
    parent.unwrap_or(Path::new(".")).to_owned()
}

/// Returns whether an event may concern the watched file. Read events are ignored, since observing the file
/// causes them.
fn is_relevant(event: &Event, file_name: Option<&OsString>) -> bool {
    let is_read = match event.kind {
        EventKind::Access(AccessKind::Close(AccessMode::Write)) => false,
        EventKind::Access(_) => true,
        _ => false,
    };
    !is_read && (event.paths.is_empty() || event.paths.iter().any(|path| may_be_file(path, file_name)))
}

fn may_be_file(path: &Path, file_name: Option<&OsString>) -> bool {
    match (path.file_name(), file_name) {
        // In a Kubernetes volume, all files are links into the directory to which the link `..data` points.
        (Some(found), Some(name)) => found == name || found.as_encoded_bytes().starts_with(b".."),
        _ => true,
    }
}

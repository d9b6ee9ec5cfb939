//! The events of the file system about one file or directory.
//!
//! Owns the watch on the directory; the watching task has it follow the directory before each look. It reads no
//! file and decides nothing.

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

/// Watches a directory: that of the file, since a watch on the file itself would follow it where a rename
/// puts another in its place.
pub(super) struct FileWatcher {
    /// None where the system has no room for one more: polling remains.
    watcher: Option<RecommendedWatcher>,
    directory: PathBuf,
    watched: Option<DirectoryIdentity>,
}

/// Tells a directory from another one at the same path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DirectoryIdentity {
    device: u64,
    inode: u64,
}

impl FileWatcher {
    /// Notifies `changed` of each event that may be about what is watched. The notice, if any, says why there
    /// will be none.
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

    /// Watches the directory that is there now. Danger: one that was removed, or moved and replaced, is watched
    /// on as what it was, and no event comes of what took its place.
    pub fn follow_directory(&mut self, system: &impl FileSystem) {
        let Some(watcher) = &mut self.watcher else { return };
        // Danger: a call that was merely interrupted would end the watch until the next poll.
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

/// Whether an event may be about the file. Danger: our own reading is an event too.
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
        // `..data` is where Kubernetes puts the directory that all files of a mount are links into.
        (Some(found), Some(name)) => found == name || found.as_encoded_bytes().starts_with(b".."),
        _ => true,
    }
}

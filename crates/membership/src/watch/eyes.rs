//! Events of the file system about one file or directory.

use super::file_system::{FileSystem, retry_interrupted};
use super::judge::Notice;
use super::{Kind, Watch};
use notify::event::{AccessKind, AccessMode};
use notify::{Event, EventKind, RecommendedWatcher, RecursiveMode, Watcher};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::sync::Notify;

/// Watches a directory: that of the file, since a watch on the file itself would follow it where a rename
/// puts another in its place.
pub(super) struct Eyes {
    /// None where the system has no room for one more: polling remains.
    watcher: Option<RecommendedWatcher>,
    directory: PathBuf,
    /// Device and inode of what is watched.
    watched: Option<(u64, u64)>,
}

#[cfg(test)]
mod tests;

impl Eyes {
    /// Tells `changed` of each event that may be about what is watched.
    pub fn new(watch: &Watch, changed: Arc<Notify>) -> (Eyes, Option<Notice>) {
        let parent = watch.path.parent().filter(|parent| !parent.as_os_str().is_empty());
        let (directory, name) = match watch.kind {
            Kind::Directory => (watch.path.clone(), None),
            Kind::File => {
                (parent.unwrap_or(Path::new(".")).to_owned(), watch.path.file_name().map(OsString::from))
            }
        };
        let heard = move |event: notify::Result<Event>| {
            if event.map_or(true, |event| matters(&event, name.as_ref())) {
                changed.notify_one();
            }
        };
        let (watcher, notice) = match notify::recommended_watcher(heard) {
            Ok(watcher) => (Some(watcher), None),
            Err(e) => (None, Some(Notice::Blind(e.to_string()))),
        };
        (Eyes { watcher, directory, watched: None }, notice)
    }

    /// Watches the directory that is there now. Danger: one that was removed, or moved and replaced, is watched
    /// on as what it was, and nothing is heard of what took its place.
    pub fn follow(&mut self, system: &impl FileSystem) {
        let Some(watcher) = &mut self.watcher else { return };
        // Danger: a call that was merely interrupted would end the watch until the next poll.
        let status = retry_interrupted(|| system.status(&self.directory));
        let there = status.ok().map(|status| (status.device, status.inode));
        if there == self.watched && there.is_some() {
            return;
        }
        if self.watched.take().is_some() {
            let _ = watcher.unwatch(&self.directory); // it may have gone by itself
        }
        if there.is_some() && watcher.watch(&self.directory, RecursiveMode::NonRecursive).is_ok() {
            self.watched = there;
        }
    }
}

/// Whether an event may be about the file. Danger: our own reading is an event too.
fn matters(event: &Event, name: Option<&OsString>) -> bool {
    let read = match event.kind {
        EventKind::Access(AccessKind::Close(AccessMode::Write)) => false,
        EventKind::Access(_) => true,
        _ => false,
    };
    // `..data` is where Kubernetes puts the directory that all files of a mount are links into.
    let is_it = |path: &PathBuf| match (path.file_name(), name) {
        (Some(found), Some(name)) => found == name || found.as_encoded_bytes().starts_with(b".."),
        _ => true,
    };
    !read && (event.paths.is_empty() || event.paths.iter().any(is_it))
}

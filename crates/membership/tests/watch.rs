//! Watched files on a real file system: the events for the catalog and the notices for operators, in order.
#![cfg(feature = "sources")]

use olivecart_membership::source::{
    EVENT_QUEUE_CAPACITY, REFETCH_QUEUE_CAPACITY, RefetchRequest, SourceEvent,
};
use olivecart_membership::watch::{Kind, Notice, Watch, parse_documented, run};
use olivecart_membership::{EndpointUpdate, Event};
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender, channel, unbounded_channel};

/// The time limit for events that must occur.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);
/// A polling interval that does not pass during a test, so that changes are detected only by events.
const NO_POLLING: Duration = Duration::from_secs(3600);

struct Watched {
    directory: tempfile::TempDir,
    events: Receiver<SourceEvent>,
    refetch_requests: Sender<RefetchRequest>,
    notices: tokio::sync::mpsc::UnboundedReceiver<Notice>,
}

impl Watched {
    fn new(name: &str, kind: Kind, poll: Duration) -> Watched {
        let directory = tempfile::tempdir().expect("a directory");
        let path = directory.path().join(name);
        Watched::at(directory, path, kind, poll)
    }

    fn at(directory: tempfile::TempDir, path: PathBuf, kind: Kind, poll: Duration) -> Watched {
        let ((event_sender, events), (refetch_requests, refetch_receiver)) =
            (channel(EVENT_QUEUE_CAPACITY), channel(REFETCH_QUEUE_CAPACITY));
        let (notice_sender, notices) = unbounded_channel();
        let watch = Watch { source: "files".into(), path, kind, poll };
        tokio::spawn(run(watch, parse_documented, event_sender, refetch_receiver, move |notice| {
            drop(notice_sender.send(notice))
        }));
        Watched { directory, events, refetch_requests, notices }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    /// Returns the next event for the catalog: the clusters with their endpoints, the kind of silence or
    /// `reconnected`.
    async fn next(&mut self) -> String {
        let received =
            tokio::time::timeout(EVENT_TIMEOUT, self.events.recv()).await.expect("in time").expect("it runs");
        match received.event {
            Event::Update { update: EndpointUpdate::FullSnapshot(clusters), .. } => {
                let describe = |c: &olivecart_membership::Cluster| {
                    let ids: Vec<_> = c.listed().iter().map(|e| e.name.as_str().to_owned()).collect();
                    format!("{}={}", c.name, ids.join(","))
                };
                clusters.iter().map(describe).collect::<Vec<_>>().join(" ")
            }
            Event::Silent { silence, .. } => silence.to_string(),
            Event::Reconnected { .. } => "reconnected".into(),
            other => panic!("{other:?}"),
        }
    }

    async fn next_notice(&mut self) -> String {
        let notice = tokio::time::timeout(EVENT_TIMEOUT, self.notices.recv()).await.expect("in time");
        notice.expect("it runs").to_string()
    }
}

fn text(clusters: &str) -> String {
    let mut text = "version = 1\n".to_owned();
    for (name, ids) in clusters.split(' ').filter_map(|c| c.split_once('=')) {
        text += &format!("[[clusters]]\nname = \"{name}\"\n");
        for (at, id) in ids.split(',').enumerate() {
            let port = at + 1;
            text += &format!("[[clusters.endpoints]]\nname = \"{id}\"\naddress = \"127.0.0.1:{port}\"\n");
        }
    }
    text + "[end]\n"
}

/// Replaces a file atomically by a rename.
fn replace(path: &Path, text: &str) {
    let temporary = path.with_extension("temporary");
    fs::write(&temporary, text).expect("written");
    fs::rename(temporary, path).expect("renamed");
}

#[tokio::test]
async fn malformed_or_missing_file_keeps_last_good_content() {
    let mut watched = Watched::new("fleet.toml", Kind::File, NO_POLLING);
    let path = watched.path("fleet.toml");
    assert_eq!(watched.next().await, "lost", "the file does not exist yet");
    replace(&path, &text("cart=a,b"));
    assert_eq!(watched.next().await, "cart=a,b");
    fs::write(&path, &text("cart=a,c")[..39]).expect("truncated");
    assert_eq!(watched.next().await, "quiet");
    fs::write(&path, text("cart=a,b")).expect("in place");
    assert_eq!(
        watched.next().await,
        "reconnected",
        "content that was reported before is no update, which would confirm quarantined changes"
    );
    fs::remove_file(&path).expect("removed");
    assert_eq!(watched.next().await, "lost");
    fs::create_dir(&path).expect("a directory in its place");
    assert_eq!(watched.next().await, "quiet");
    fs::remove_dir(&path).expect("removed");
    assert_eq!(watched.next().await, "lost");
    replace(&path, &text("cart=c"));
    assert_eq!(watched.next().await, "cart=c");
    for expected in
        ["No such file", "valid again", "no [end]", "valid again", "No such file", "is a directory"]
    {
        let notice = watched.next_notice().await;
        assert!(notice.contains(expected), "{expected}: {notice}");
    }
}

#[tokio::test]
async fn refetch_request_reports_unchanged_content() {
    let mut watched = Watched::new("fleet.toml", Kind::File, NO_POLLING);
    assert_eq!(watched.next().await, "lost");
    replace(&watched.path("fleet.toml"), &text("cart=a"));
    assert_eq!(watched.next().await, "cart=a");
    watched.refetch_requests.send(RefetchRequest { cluster: "cart".into() }).await.expect("it runs");
    assert_eq!(watched.next().await, "cart=a");
}

#[tokio::test]
async fn change_without_file_system_event_is_found_by_polling() {
    // The file is a link to another directory, while events only concern the directory of the link.
    let other_directory = tempfile::tempdir().expect("a directory");
    let target = other_directory.path().join("target.toml");
    replace(&target, &text("cart=a"));
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("fleet.toml");
    std::os::unix::fs::symlink(&target, &path).expect("a link");
    let mut watched = Watched::at(directory, path, Kind::File, Duration::from_millis(5));
    assert_eq!(watched.next().await, "cart=a");
    for id in ["b", "c", "d"] {
        // The length is the same and the change is recent, so it can only be detected by reading. The file is
        // replaced atomically, since an observation during a write would report a truncated file.
        replace(&target, &text(&format!("cart={id}")));
        assert_eq!(watched.next().await, format!("cart={id}"));
    }
}

#[tokio::test]
async fn fragments_are_merged_and_replaced_directory_is_followed() {
    let mut watched = Watched::new("fleet.d", Kind::Directory, Duration::from_millis(50));
    assert_eq!(watched.next().await, "lost");
    let directory = watched.path("fleet.d");
    let create = |directory: &Path| {
        let temporary = directory.with_extension("temporary");
        fs::create_dir(&temporary).expect("a directory");
        replace(&temporary.join("b.toml"), &text("book=a"));
        fs::write(temporary.join(".hidden.toml"), "invalid").expect("written");
        fs::write(temporary.join("notes.txt"), "invalid").expect("written");
        fs::rename(temporary, directory).expect("renamed");
    };
    create(&directory);
    assert_eq!(watched.next().await, "book=a");
    replace(&directory.join("a.toml"), &text("cart=a"));
    assert_eq!(watched.next().await, "book=a cart=a");
    replace(&directory.join("c.toml"), &text("cart=b"));
    assert_eq!(watched.next().await, "quiet", "a cluster in two files");
    fs::remove_file(directory.join("c.toml")).expect("removed");
    assert_eq!(watched.next().await, "reconnected");
    fs::rename(&directory, watched.path("old")).expect("moved away");
    assert_eq!(watched.next().await, "lost");
    create(&directory);
    assert_eq!(watched.next().await, "book=a");
    replace(&directory.join("d.toml"), &text("cart=d"));
    assert_eq!(watched.next().await, "book=a cart=d", "the new directory is watched");
}

#[tokio::test]
async fn task_ends_when_event_receiver_is_dropped() {
    let (event_sender, events) = channel(EVENT_QUEUE_CAPACITY);
    let (_refetch_requests, refetch_receiver) = channel(REFETCH_QUEUE_CAPACITY);
    let path = PathBuf::from("/nowhere/fleet.toml");
    let watch = Watch { source: "files".into(), path, kind: Kind::File, poll: NO_POLLING };
    let task = tokio::spawn(run(watch, parse_documented, event_sender, refetch_receiver, |_| {}));
    drop(events);
    tokio::time::timeout(EVENT_TIMEOUT, task).await.expect("it ends").expect("without a panic");
}

//! Watched files on a real file system: what the catalog and the operator are told, in order.
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

/// Longer than anything takes on any machine.
const NEVER: Duration = Duration::from_secs(60);
/// Longer than a test: what is seen is seen by events.
const SELDOM: Duration = Duration::from_secs(3600);

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

    /// The next thing that the catalog is told: clusters by name with their endpoints, or how it is silent.
    async fn next(&mut self) -> String {
        let received =
            tokio::time::timeout(NEVER, self.events.recv()).await.expect("in time").expect("it runs");
        match received.event {
            Event::Update { update: EndpointUpdate::FullSnapshot(clusters), .. } => {
                let said = |c: &olivecart_membership::Cluster| {
                    let ids: Vec<_> = c.listed().iter().map(|e| e.name.as_str().to_owned()).collect();
                    format!("{}={}", c.name, ids.join(","))
                };
                clusters.iter().map(said).collect::<Vec<_>>().join(" ")
            }
            Event::Silent { silence, .. } => silence.to_string(),
            Event::Reconnected { .. } => "back".into(),
            other => panic!("{other:?}"),
        }
    }

    async fn next_notice(&mut self) -> String {
        let notice = tokio::time::timeout(NEVER, self.notices.recv()).await.expect("in time");
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

fn put(path: &Path, text: &str) {
    let beside = path.with_extension("beside");
    fs::write(&beside, text).expect("written");
    fs::rename(beside, path).expect("renamed");
}

#[tokio::test]
async fn malformed_or_missing_file_keeps_last_good_content() {
    let mut watched = Watched::new("fleet.toml", Kind::File, SELDOM);
    let path = watched.path("fleet.toml");
    assert_eq!(watched.next().await, "lost", "not there yet");
    put(&path, &text("cart=a,b"));
    assert_eq!(watched.next().await, "cart=a,b");
    fs::write(&path, &text("cart=a,c")[..39]).expect("torn");
    assert_eq!(watched.next().await, "quiet");
    fs::write(&path, text("cart=a,b")).expect("in place");
    assert_eq!(
        watched.next().await,
        "back",
        "what it said before is no news, or it would confirm what is held"
    );
    fs::remove_file(&path).expect("removed");
    assert_eq!(watched.next().await, "lost");
    fs::create_dir(&path).expect("a directory in its place");
    assert_eq!(watched.next().await, "quiet");
    fs::remove_dir(&path).expect("removed");
    assert_eq!(watched.next().await, "lost");
    put(&path, &text("cart=c"));
    assert_eq!(watched.next().await, "cart=c");
    for expected in ["No such file", "good again", "no [end]", "good again", "No such file", "is a directory"]
    {
        let notice = watched.next_notice().await;
        assert!(notice.contains(expected), "{expected}: {notice}");
    }
}

#[tokio::test]
async fn refetch_request_reports_unchanged_content() {
    let mut watched = Watched::new("fleet.toml", Kind::File, SELDOM);
    assert_eq!(watched.next().await, "lost");
    put(&watched.path("fleet.toml"), &text("cart=a"));
    assert_eq!(watched.next().await, "cart=a");
    watched.refetch_requests.send(RefetchRequest { cluster: "cart".into() }).await.expect("it runs");
    assert_eq!(watched.next().await, "cart=a");
}

#[tokio::test]
async fn change_without_file_system_event_is_found_by_polling() {
    // The file is a link to elsewhere: events are only about the directory that the link is in.
    let elsewhere = tempfile::tempdir().expect("a directory");
    let target = elsewhere.path().join("target.toml");
    put(&target, &text("cart=a"));
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("fleet.toml");
    std::os::unix::fs::symlink(&target, &path).expect("a link");
    let mut watched = Watched::at(directory, path, Kind::File, Duration::from_millis(5));
    assert_eq!(watched.next().await, "cart=a");
    for id in ["b", "c", "d"] {
        // Of the same length, and soon after: only reading tells them apart. Put there whole: a look between the
        // two halves of a write would find it torn, and say so.
        put(&target, &text(&format!("cart={id}")));
        assert_eq!(watched.next().await, format!("cart={id}"));
    }
}

#[tokio::test]
async fn fragments_are_merged_and_replaced_directory_is_followed() {
    let mut watched = Watched::new("fleet.d", Kind::Directory, Duration::from_millis(50));
    assert_eq!(watched.next().await, "lost");
    let directory = watched.path("fleet.d");
    let make = |directory: &Path| {
        let beside = directory.with_extension("beside");
        fs::create_dir(&beside).expect("a directory");
        put(&beside.join("b.toml"), &text("book=a"));
        fs::write(beside.join(".hidden.toml"), "no good").expect("written");
        fs::write(beside.join("notes.txt"), "no good").expect("written");
        fs::rename(beside, directory).expect("renamed");
    };
    make(&directory);
    assert_eq!(watched.next().await, "book=a");
    put(&directory.join("a.toml"), &text("cart=a"));
    assert_eq!(watched.next().await, "book=a cart=a");
    put(&directory.join("c.toml"), &text("cart=b"));
    assert_eq!(watched.next().await, "quiet", "a cluster in two files");
    fs::remove_file(directory.join("c.toml")).expect("removed");
    assert_eq!(watched.next().await, "back");
    fs::rename(&directory, watched.path("old")).expect("moved away");
    assert_eq!(watched.next().await, "lost");
    make(&directory);
    assert_eq!(watched.next().await, "book=a");
    put(&directory.join("d.toml"), &text("cart=d"));
    assert_eq!(watched.next().await, "book=a cart=d", "the new directory is watched");
}

#[tokio::test]
async fn task_ends_when_event_receiver_is_dropped() {
    let (event_sender, events) = channel(EVENT_QUEUE_CAPACITY);
    let (_refetch_requests, refetch_receiver) = channel(REFETCH_QUEUE_CAPACITY);
    let path = PathBuf::from("/nowhere/fleet.toml");
    let watch = Watch { source: "files".into(), path, kind: Kind::File, poll: SELDOM };
    let task = tokio::spawn(run(watch, parse_documented, event_sender, refetch_receiver, |_| {}));
    drop(events);
    tokio::time::timeout(NEVER, task).await.expect("it ends").expect("without a panic");
}

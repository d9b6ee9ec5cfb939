//! The task that watches: it waits for events of the file system, for the time to poll and for the catalog's
//! requests, and has the file observed on a thread that may block. It decides nothing.

use super::file_system::{FileSystem, LocalFileSystem};
use super::file_watcher::FileWatcher;
use super::snapshot::observe;
use super::validator::{Evaluation, FileValidator, Notice, Reporting};
use super::{Parser, Watch};
use crate::source::{EventSender, RefetchReceiver, SourceEvent};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout};

#[cfg(test)]
mod tests;

/// A change has come to rest when no event has come for so long...
const SETTLE_INTERVAL: Duration = Duration::from_millis(15);
/// ...but it is not waited for longer than this: what drains must be sent nothing 500 ms after the change.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(100);

/// Watches until the receiver of the events is gone. `notify` gets what an operator should know.
pub async fn run(
    watch: Watch,
    parse: Parser,
    events: EventSender,
    mut refetch_requests: RefetchReceiver,
    mut notify: impl FnMut(Notice),
) {
    let changed = Arc::new(Notify::new());
    let (file_watcher, events_unavailable) = FileWatcher::new(&watch, changed.clone());
    events_unavailable.into_iter().for_each(&mut notify);
    let validator = FileValidator::default();
    let mut observer = Observer { system: LocalFileSystem, validator, file_watcher, parse };
    let mut trigger = Trigger::Poll;
    loop {
        let next_poll = Instant::now() + watch.poll;
        // Danger: a network file system whose server is away blocks whoever reads, for minutes.
        let observed = watch.clone();
        let blocking = tokio::task::spawn_blocking(move || {
            let evaluation = observer.observe(&observed, trigger);
            (observer, evaluation)
        });
        let Ok((returned, evaluation)) = blocking.await else { return }; // the runtime shuts down
        observer = returned;
        evaluation.notices.into_iter().for_each(&mut notify);
        if let Some(event) = evaluation.event
            && events.send(SourceEvent { source: watch.source.clone(), event }).await.is_err()
        {
            return;
        }
        let next = next_trigger(&events, &changed, next_poll, &mut refetch_requests).await;
        let Some(next) = next else { return };
        trigger = next;
    }
}

/// Why the file is to be observed next; none once the receiver of the events is gone.
async fn next_trigger(
    events: &EventSender,
    changed: &Notify,
    next_poll: Instant,
    refetch_requests: &mut RefetchReceiver,
) -> Option<Trigger> {
    tokio::select! {
        () = events.closed() => None,
        () = changed.notified() => {
            settle(changed).await;
            Some(Trigger::FileSystemEvent)
        }
        () = sleep_until(next_poll) => Some(Trigger::Poll),
        Some(_) = refetch_requests.recv() => {
            while refetch_requests.try_recv().is_ok() {} // one snapshot serves all requests
            Some(Trigger::RefetchRequest)
        }
    }
}

/// Waits until what changes has come to rest: a file is seldom written in one piece, and directories never.
async fn settle(changed: &Notify) {
    let end = Instant::now() + MAX_SETTLE_TIME;
    while Instant::now() < end && timeout(SETTLE_INTERVAL, changed.notified()).await.is_ok() {}
}

/// Why the file is observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trigger {
    /// It is time to poll: what is certainly unchanged is not read.
    Poll,
    /// The file system reports a change. Danger: the file is read whatever its times say, since the wall clock may
    /// have been set back and forth again since the last look, which nothing else shows.
    FileSystemEvent,
    /// The catalog wants what is there now, changed or not.
    RefetchRequest,
}

/// What observes the file: it goes to the thread that may block, and comes back.
struct Observer<S> {
    system: S,
    validator: FileValidator,
    file_watcher: FileWatcher,
    parse: Parser,
}

impl<S: FileSystem> Observer<S> {
    fn observe(&mut self, watch: &Watch, trigger: Trigger) -> Evaluation {
        // Before looking, so that no change falls between the two.
        self.file_watcher.follow_directory(&self.system);
        let known = self.validator.fingerprint.as_ref().filter(|_| trigger == Trigger::Poll);
        let observation = observe(&self.system, &watch.path, watch.kind, known);
        let reporting = match trigger {
            Trigger::Poll | Trigger::FileSystemEvent => Reporting::OnlyChanges,
            Trigger::RefetchRequest => Reporting::Always,
        };
        self.validator.evaluate(watch, self.parse, observation, reporting)
    }
}

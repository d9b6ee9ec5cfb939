//! The watching task: waits for file system events, the polling interval and the catalog's refetch requests,
//! and observes the file on a blocking thread.

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

/// A change is considered complete if no event has arrived for this time.
const SETTLE_INTERVAL: Duration = Duration::from_millis(15);
/// The longest time to wait for a change to be complete: a draining endpoint must not be sent new requests
/// later than 500 ms after the change.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(100);

/// Watches a file until the receiver of `events` is dropped. `notify` is called with each notice for
/// operators.
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
        // Reading from a network file system whose server is unavailable can block for minutes.
        let observed = watch.clone();
        let blocking = tokio::task::spawn_blocking(move || {
            let evaluation = observer.observe(&observed, trigger);
            (observer, evaluation)
        });
        let Ok((returned, evaluation)) = blocking.await else { return }; // the runtime is shutting down
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

/// Waits for the next reason to observe the file. Returns `None` when the receiver of the events is dropped.
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
            while refetch_requests.try_recv().is_ok() {} // one observation answers all requests
            Some(Trigger::RefetchRequest)
        }
    }
}

/// Waits until a change is complete: a file is seldom written in one call, and a directory never is.
async fn settle(changed: &Notify) {
    let end = Instant::now() + MAX_SETTLE_TIME;
    while Instant::now() < end && timeout(SETTLE_INTERVAL, changed.notified()).await.is_ok() {}
}

/// The reason for an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trigger {
    /// The polling interval has passed. The file is not read if it is known to be unchanged.
    Poll,
    /// The file system reports a change. The file is read regardless of its timestamps, since they may be
    /// unchanged if the wall clock was set back and forth again since the last observation.
    FileSystemEvent,
    /// The catalog requests the current content, changed or not.
    RefetchRequest,
}

/// The state for observing the file. It is moved to the blocking thread and back for each observation.
struct Observer<S> {
    system: S,
    validator: FileValidator,
    file_watcher: FileWatcher,
    parse: Parser,
}

impl<S: FileSystem> Observer<S> {
    fn observe(&mut self, watch: &Watch, trigger: Trigger) -> Evaluation {
        // Updated before the observation, so that no change between the two is missed.
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

//! The task that watches: events of the file system, the time to poll, questions of the catalog.

use super::eyes::Eyes;
use super::file_system::{FileSystem, LocalFileSystem};
use super::judge::{Judge, Notice, Verdict};
use super::look::look;
use super::{Parser, Watch};
use crate::source::{Asks, Heard, Sink};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout};

#[cfg(test)]
mod tests;

/// Events are waited for until none has come for so long...
const QUIET: Duration = Duration::from_millis(15);
/// ...but not beyond this: what drains must be sent nothing 500 ms after the change.
const AT_MOST: Duration = Duration::from_millis(100);

/// Watches until nobody listens to the sink any more. `tell` is told what an operator should know.
pub async fn run(watch: Watch, parse: Parser, sink: Sink, mut asks: Asks, mut tell: impl FnMut(Notice)) {
    let changed = Arc::new(Notify::new());
    let (eyes, blind) = Eyes::new(&watch, changed.clone());
    blind.into_iter().for_each(&mut tell);
    let mut hands = Hands { system: LocalFileSystem, judge: Judge::default(), eyes, parse };
    let mut trigger = Trigger::Poll;
    loop {
        let next = Instant::now() + watch.poll;
        // Danger: a network file system whose server is away blocks whoever reads, for minutes.
        let of = watch.clone();
        let looked = tokio::task::spawn_blocking(move || {
            let verdict = hands.look(&of, trigger);
            (hands, verdict)
        });
        let Ok((back, (event, notices))) = looked.await else { return }; // the runtime is going
        hands = back;
        notices.into_iter().for_each(&mut tell);
        if let Some(event) = event
            && sink.send(Heard { source: watch.source.clone(), event }).await.is_err()
        {
            return;
        }
        trigger = tokio::select! {
            () = sink.closed() => return,
            () = changed.notified() => {
                settle(&changed).await;
                Trigger::FileSystemEvent
            }
            () = sleep_until(next) => Trigger::Poll,
            Some(_) = asks.recv() => {
                while asks.try_recv().is_ok() {} // one file answers all questions
                Trigger::CatalogRequest
            }
        };
    }
}

/// Waits until what changes has come to rest: a file is seldom written in one piece, and directories never.
async fn settle(changed: &Notify) {
    let end = Instant::now() + AT_MOST;
    while Instant::now() < end && timeout(QUIET, changed.notified()).await.is_ok() {}
}

/// Why the file is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trigger {
    /// It is time to poll: what is certainly unchanged is not read.
    Poll,
    /// The file system tells of a change. Danger: it is read whatever its times say, since the wall clock may have
    /// been set back and forth again since the last look, which nothing else shows.
    FileSystemEvent,
    /// The catalog asks: what is good is told, changed or not.
    CatalogRequest,
}

/// What goes to the thread that may block, and comes back.
struct Hands<S> {
    system: S,
    judge: Judge,
    eyes: Eyes,
    parse: Parser,
}

impl<S: FileSystem> Hands<S> {
    fn look(&mut self, watch: &Watch, trigger: Trigger) -> Verdict {
        // Before looking, so that no change falls between the two.
        self.eyes.follow(&self.system);
        let known = self.judge.print.as_ref().filter(|_| trigger == Trigger::Poll);
        let look = look(&self.system, &watch.path, watch.kind, known);
        self.judge.judge(watch, self.parse, look, trigger == Trigger::CatalogRequest)
    }
}

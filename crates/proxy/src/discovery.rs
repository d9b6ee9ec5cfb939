//! Asks discovery: the whole list once, or a watch on what changes.

use crate::answer::Seen;
use crate::backends;
use crate::membership::News;
use crate::platform::registry;
use awc::http::Uri;
use bytes::BytesMut;
use futures_util::StreamExt;
use slog::{Logger, debug, info};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Longest wait for an answer to begin.
const ANSWER: Duration = Duration::from_millis(1500);
/// A watch sends at least an empty line every 2 s; one that is silent for this long is dead.
const SILENCE: Duration = Duration::from_millis(3000);
/// Largest object that is read.
const LARGEST: usize = 4 << 20;

/// Why a call to discovery ended.
#[derive(Debug, thiserror::Error)]
enum Ended {
    #[error("no connection or no answer: {0}")]
    Call(#[from] awc::error::SendRequestError),
    #[error("status {0}")]
    Status(u16),
    #[error("the answer broke off: {0}")]
    Broken(#[from] awc::error::PayloadError),
    #[error("unreadable: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("an object larger than {LARGEST} bytes")]
    TooLarge,
    #[error("no answer in time")]
    Slow,
    #[error("silence")]
    Silent,
    #[error("the watch was ended")]
    Closed,
}

/// Whoever is told what discovery says.
pub trait Subscriber {
    /// A list or a change came.
    fn news(&self, news: News<'_>);
    /// A call failed or the watch broke; what was known stays so.
    fn failed(&self);
}

/// The way to discovery.
pub struct Discovery {
    subscriber: Weak<dyn Subscriber>,
    addr: Cell<SocketAddr>,
    version: Cell<u64>,
    watch: RefCell<Option<JoinHandle<()>>>,
    refresh: RefCell<Option<JoinHandle<()>>>,
    log: Logger,
}

impl Discovery {
    /// Nothing is asked until [`watch`](Self::watch) or [`refresh`](Self::refresh).
    pub fn new(addr: SocketAddr, subscriber: Weak<dyn Subscriber>, log: Logger) -> Discovery {
        let (addr, version) = (Cell::new(addr), Cell::new(0));
        Discovery { subscriber, addr, version, watch: RefCell::default(), refresh: RefCell::default(), log }
    }

    /// Notes the version of the list that is held.
    pub fn holds(&self, version: u64) {
        self.version.set(version);
    }

    /// Begins a watch anew, or ends it.
    pub fn watch(&self, on: bool) {
        let task = on.then(|| actix_rt::spawn(watch(self.call(registry::watch(self.version.get())))));
        replace(&self.watch, task);
    }

    /// Discovery is elsewhere from now on: asks there at once for what changed after the version held.
    /// Danger: news that is still under way from the old address must not overwrite the new one's, so that
    /// whatever is out is dropped first; a task that was aborted is not polled again.
    pub fn move_to(&self, addr: SocketAddr) {
        if self.addr.replace(addr) == addr {
            return;
        }
        self.watch(true);
        if self.refresh.borrow().as_ref().is_some_and(|refresh| !refresh.is_finished()) {
            self.refresh();
        }
    }

    /// Asks for the whole list once.
    pub fn refresh(&self) {
        let task = actix_rt::spawn(refresh(self.call(registry::LIST.into())));
        replace(&self.refresh, Some(task));
    }

    fn call(&self, target: String) -> Call {
        Call { subscriber: self.subscriber.clone(), addr: self.addr.get(), target, log: self.log.clone() }
    }
}

/// Puts a task in the place of another, which ends.
fn replace(place: &RefCell<Option<JoinHandle<()>>>, task: Option<JoinHandle<()>>) {
    if let Some(old) = place.replace(task) {
        old.abort();
    }
}

/// One call, on a connection of its own.
struct Call {
    subscriber: Weak<dyn Subscriber>,
    addr: SocketAddr,
    target: String,
    log: Logger,
}

impl Call {
    async fn begin(&self) -> Result<awc::ClientResponse, Ended> {
        let client = backends::client(self.addr, ANSWER, &Rc::new(Seen::new(usize::MAX)));
        let uri =
            Uri::builder().scheme("http").authority(self.addr.to_string()).path_and_query(&*self.target);
        let request = client.get(uri.build().unwrap_or_default()).no_decompress();
        let response = timeout(ANSWER, request.send()).await.map_err(|_| Ended::Slow)??;
        match response.status().as_u16() {
            200 => Ok(response),
            other => Err(Ended::Status(other)),
        }
    }

    /// Passes on an object that came.
    fn hear(&self, text: &[u8]) -> Result<(), Ended> {
        let Some(subscriber) = self.subscriber.upgrade() else { return Ok(()) };
        subscriber.news(registry::read(text)?);
        Ok(())
    }

    /// Passes on that it ended.
    fn failed(&self, ended: &Ended) {
        info!(self.log, "discovery"; "target" => &self.target, "ended" => %ended);
        if let Some(subscriber) = self.subscriber.upgrade() {
            subscriber.failed();
        }
    }
}

async fn refresh(call: Call) {
    let done = async {
        let mut response = call.begin().await?;
        let body = timeout(SILENCE, response.body().limit(LARGEST)).await.map_err(|_| Ended::Slow)??;
        call.hear(&body)
    };
    if let Err(ended) = done.await {
        call.failed(&ended);
    }
}

/// Follows a watch to its end. The objects are lines, and a line may come in any number of pieces.
async fn watch(call: Call) {
    let follow = async {
        let mut response = call.begin().await?;
        debug!(call.log, "watching"; "target" => &call.target);
        let mut held = BytesMut::new();
        loop {
            let chunk = timeout(SILENCE, response.next()).await.map_err(|_| Ended::Silent)?;
            held.extend_from_slice(&chunk.ok_or(Ended::Closed)??);
            while let Some(end) = held.iter().position(|b| *b == b'\n') {
                let line = held.split_to(end + 1);
                if !line.iter().all(u8::is_ascii_whitespace) {
                    call.hear(&line)?;
                }
            }
            if held.len() > LARGEST {
                return Err(Ended::TooLarge);
            }
        }
    };
    let result: Result<(), Ended> = follow.await;
    if let Err(ended) = result {
        call.failed(&ended);
    }
}

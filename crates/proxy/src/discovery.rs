//! Asks discovery: the whole list once, or a watch on what changes.

use crate::answer::Seen;
use crate::backends;
use crate::driver::Driver;
use crate::platform::registry;

use awc::http::Uri;
use bytes::BytesMut;
use futures_util::StreamExt;
use olivecart_decisions::{Entry, Event, ListChange};
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

/// A list or a change of it, in the module's numbers, with the addresses that the module never sees.
pub struct News {
    /// The version it brings the list to.
    pub version: u64,
    /// The whole list.
    pub full: bool,
    /// The entries, and where each is reached; none for one that cannot be reached.
    pub entries: Vec<(Entry, Option<SocketAddr>)>,
}

/// The way to discovery.
pub struct Discovery {
    addr: Cell<SocketAddr>,
    version: Cell<u64>,
    watch: RefCell<Option<JoinHandle<()>>>,
    refresh: RefCell<Option<JoinHandle<()>>>,
    log: Logger,
}

impl Discovery {
    /// Nothing is asked until the decisions ask.
    pub fn new(addr: SocketAddr, log: Logger) -> Discovery {
        let (addr, version) = (Cell::new(addr), Cell::new(0));
        Discovery { addr, version, watch: RefCell::default(), refresh: RefCell::default(), log }
    }

    /// Notes the version of the list that is held.
    pub fn holds(&self, version: u64) {
        self.version.set(version);
    }

    /// Begins a watch anew, or ends it.
    pub fn watch(&self, driver: &Rc<Driver>, on: bool) {
        let task = on.then(|| {
            actix_rt::spawn(watch(Rc::downgrade(driver), self.call(registry::watch(self.version.get()))))
        });
        replace(&self.watch, task);
    }

    /// Discovery is elsewhere from now on: asks there at once for what changed after the version held.
    /// Danger: news that is still under way from the old address must not overwrite the new one's, so that
    /// whatever is out is dropped first; a task that was aborted is not polled again.
    pub fn move_to(&self, driver: &Rc<Driver>, addr: SocketAddr) {
        if self.addr.replace(addr) == addr {
            return;
        }
        self.watch(driver, true);
        if self.refresh.borrow().as_ref().is_some_and(|refresh| !refresh.is_finished()) {
            self.refresh(driver);
        }
    }

    /// Asks for the whole list once.
    pub fn refresh(&self, driver: &Rc<Driver>) {
        let task = actix_rt::spawn(refresh(Rc::downgrade(driver), self.call(registry::LIST.into())));
        replace(&self.refresh, Some(task));
    }

    fn call(&self, target: String) -> Call {
        Call { addr: self.addr.get(), target, log: self.log.clone() }
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
}

fn failed(driver: &Weak<Driver>, call: &Call, ended: &Ended) {
    info!(call.log, "discovery"; "target" => &call.target, "ended" => %ended);
    if let Some(driver) = driver.upgrade() {
        driver.tell(Event::List(ListChange::Failed));
    }
}

fn hear(driver: &Weak<Driver>, text: &[u8]) -> Result<(), Ended> {
    let Some(driver) = driver.upgrade() else { return Ok(()) };
    let news = registry::read(&mut driver.site.borrow_mut(), text)?;
    driver.hear(news);
    Ok(())
}

async fn refresh(driver: Weak<Driver>, call: Call) {
    let done = async {
        let mut response = call.begin().await?;
        let body = timeout(SILENCE, response.body().limit(LARGEST)).await.map_err(|_| Ended::Slow)??;
        hear(&driver, &body)
    };
    if let Err(ended) = done.await {
        failed(&driver, &call, &ended);
    }
}

/// Follows a watch to its end. The objects are lines, and a line may come in any number of pieces.
async fn watch(driver: Weak<Driver>, call: Call) {
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
                    hear(&driver, &line)?;
                }
            }
            if held.len() > LARGEST {
                return Err(Ended::TooLarge);
            }
        }
    };
    let result: Result<(), Ended> = follow.await;
    if let Err(ended) = result {
        failed(&driver, &call, &ended);
    }
}

//! Admits a call: opens its account and puts it to the decisions. The only admission of the proxy's own is
//! the limit on open requests that the settings give.

use crate::call::{Call, Verdict};
use crate::driver::Driver;
use olivecart_decisions::{Event, Request, RequestId};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// The decisions and every attempt end this long before the client stops waiting, so that what they come to
/// still reaches it in time.
const MARGIN: Duration = Duration::from_millis(6);

/// An open request. Dropped before its end, it tells the decisions that the client has gone.
pub struct Held {
    /// The time by which it must be answered, come what may.
    pub deadline: Instant,
    verdict: oneshot::Receiver<Verdict>,
    /// Closes the account when it is dropped.
    _account: Account,
}

struct Account {
    driver: Rc<Driver>,
    request: RequestId,
}

/// Why a call is not admitted.
pub enum NotAdmitted {
    /// As many are open as the settings allow.
    Full,
    /// One with its id is open.
    Twice,
}

/// Opens a call's account. Danger: a second request with
/// the id of an open one is not that client's, and to a backend would be another copy of it.
pub fn admit(driver: &Rc<Driver>, call: Call) -> Result<Held, NotAdmitted> {
    if driver.book.open_requests() >= driver.most_held {
        return Err(NotAdmitted::Full);
    }
    let until = call.deadline.checked_sub(MARGIN).unwrap_or(call.deadline);
    let (request, verdict) = driver.book.open(call.id, call.payload, until).ok_or(NotAdmitted::Twice)?;
    let account = Account { driver: driver.clone(), request };
    driver.tell(Event::Request(Request {
        tenant: call.tenant,
        retry: call.retry,
        ..Request::new(request, call.class, until.saturating_duration_since(Instant::now()).as_nanos() as u64)
    }));
    Ok(Held { deadline: call.deadline, verdict, _account: account })
}

impl Held {
    /// Waits for the end that the decisions come to.
    pub async fn verdict(&mut self) -> Verdict {
        (&mut self.verdict).await.unwrap_or(Verdict::Failed)
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        if self.driver.book.abandon(self.request) {
            self.driver.tell(Event::Aborted(self.request));
        }
    }
}

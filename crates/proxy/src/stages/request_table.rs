//! The accounts of open requests: one final verdict each, one outcome for each attempt.

use crate::call::{Answer, Payload, Verdict};
use crate::invariant::check_invariant;
use actix_http::header::HeaderValue;
use olivecart_decisions::RequestId;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;

/// One attempt as it is started.
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Its number among the request's attempts.
    pub number: u32,
    /// What is sent.
    pub payload: Rc<Payload>,
    /// When it times out.
    pub until: Instant,
    /// Its first byte is written before then, or never.
    pub start_by: Instant,
    /// Resolves when the decisions call it off.
    pub cancelled: oneshot::Receiver<()>,
}

struct Account {
    id: HeaderValue,
    payload: Rc<Payload>,
    until: Instant,
    /// Taken when the verdict is given.
    verdict: Option<oneshot::Sender<Verdict>>,
    attempts: Vec<Option<oneshot::Sender<()>>>,
    out: u32,
}

/// All accounts. One stays until the request has ended and nothing of it is out.
#[derive(Default)]
pub struct RequestTable {
    accounts: RefCell<FxHashMap<RequestId, Account>>,
    /// Those of the requests without a verdict.
    ids: RefCell<FxHashSet<HeaderValue>>,
    next: Cell<u64>,
}

impl RequestTable {
    /// Requests without a verdict.
    pub fn open_requests(&self) -> usize {
        self.ids.borrow().len()
    }

    /// Opens an account; none where one of that name has no verdict yet.
    pub fn open(
        &self,
        id: HeaderValue,
        payload: Rc<Payload>,
        until: Instant,
    ) -> Option<(RequestId, oneshot::Receiver<Verdict>)> {
        if !self.ids.borrow_mut().insert(id.clone()) {
            return None;
        }
        let (sender, verdict) = oneshot::channel();
        let request = RequestId(self.next.replace(self.next.get() + 1));
        let account = Account { id, payload, until, verdict: Some(sender), attempts: Vec::new(), out: 0 };
        self.accounts.borrow_mut().insert(request, account);
        Some((request, verdict))
    }

    /// Enters an attempt; the number it would have had where the request has ended. Also says whether it is
    /// the only one out.
    pub fn attempt(&self, request: RequestId, start_by: Instant) -> (Result<Attempt, u32>, bool) {
        let mut accounts = self.accounts.borrow_mut();
        let Some(account) = accounts.get_mut(&request) else { return (Err(0), true) };
        let (number, lone) = (account.attempts.len() as u32, account.out == 0);
        let (cancel, cancelled) = oneshot::channel();
        account.attempts.push(Some(cancel));
        account.out += 1;
        if account.verdict.is_none() {
            return (Err(number), lone);
        }
        let (payload, until) = (account.payload.clone(), account.until);
        (Ok(Attempt { request, number, payload, until, start_by, cancelled }), lone)
    }

    /// Whether a request has no verdict yet: its client waits.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.accounts.borrow().get(&request).is_some_and(|account| account.verdict.is_some())
    }

    /// Calls an attempt off.
    pub fn cancel(&self, request: RequestId, number: u32) {
        if let Some(account) = self.accounts.borrow_mut().get_mut(&request)
            && let Some(cancel) = account.attempts.get_mut(number as usize).and_then(Option::take)
        {
            let _ = cancel.send(()); // ended meanwhile; its outcome is under way
        }
    }

    /// Enters the end of an attempt, with the answer if it was served, and says whether the request has
    /// ended.
    pub fn attempt_ended(&self, request: RequestId, answer: Option<Answer>) -> bool {
        let mut accounts = self.accounts.borrow_mut();
        let Some(account) = accounts.get_mut(&request) else { return true };
        check_invariant(account.out > 0, "an attempt ends once");
        account.out = account.out.saturating_sub(1);
        drop(accounts);
        match answer {
            Some(answer) => _ = self.finish(request, Verdict::Served(answer)),
            None => self.settle(request),
        }
        self.accounts.borrow().get(&request).is_none_or(|a| a.verdict.is_none())
    }

    /// Gives the verdict. False: there was one already.
    pub fn finish(&self, request: RequestId, verdict: Verdict) -> bool {
        let mut accounts = self.accounts.borrow_mut();
        let account = accounts.get_mut(&request);
        let Some((sender, id)) = account.and_then(|a| Some((a.verdict.take()?, &a.id))) else { return false };
        self.ids.borrow_mut().remove(id);
        drop(accounts);
        let _ = sender.send(verdict); // the client has gone
        self.settle(request);
        true
    }

    /// The client does not wait any more. False: the request had ended.
    pub fn abandon(&self, request: RequestId) -> bool {
        self.finish(request, Verdict::Failed)
    }

    fn settle(&self, request: RequestId) {
        let mut accounts = self.accounts.borrow_mut();
        if accounts.get(&request).is_some_and(|a| a.verdict.is_none() && a.out == 0) {
            accounts.remove(&request);
        }
    }
}

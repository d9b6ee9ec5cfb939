//! The open requests: one verdict for each request, one outcome for each attempt.

use crate::call::{ClientCheck, EndpointResponse, Payload, Verdict};
use crate::invariant::check_invariant;
use crate::recent_ids::RecentIds;
use actix_http::header::HeaderValue;
use olivecart_decisions::RequestId;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;

/// An attempt that is about to start.
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt among the request's attempts, from 0.
    pub number: u32,
    /// What is sent to the endpoint.
    pub payload: Rc<Payload>,
    /// Whether the request is safe to repeat.
    pub is_repeatable: bool,
    /// When the attempt times out.
    pub deadline: Instant,
    /// The first byte must be written before this time, or not at all.
    pub start_by: Instant,
    /// Resolves when the balancer cancels the attempt.
    pub cancelled: oneshot::Receiver<()>,
}

struct Entry {
    id: HeaderValue,
    payload: Rc<Payload>,
    deadline: Instant,
    /// Taken when the verdict is given.
    verdict: Option<oneshot::Sender<Verdict>>,
    attempts: Vec<Option<oneshot::Sender<()>>>,
    in_flight: u32,
    client: ClientCheck,
    is_repeatable: bool,
    may_have_run: bool,
}

/// The id of a request, and whether the request is safe to repeat.
pub struct RequestKey {
    /// The client's id.
    pub id: HeaderValue,
    /// Whether a request with the same id may be executed again.
    pub is_repeatable: bool,
}

/// Whether an attempt may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// Its endpoint has surely not executed it.
    Never,
    /// It may have been executed, or may yet be.
    Possible,
}

/// All requests. An entry is kept until the request has a verdict and none of its attempts is in flight.
#[derive(Default)]
pub struct RequestTable {
    entries: RefCell<FxHashMap<RequestId, Entry>>,
    /// The ids of the requests without a verdict.
    open_ids: RefCell<FxHashSet<HeaderValue>>,
    /// The ids of requests that may have been executed.
    recent_ids: RecentIds,
    next_id: Cell<u64>,
}

impl RequestTable {
    /// The number of requests without a verdict.
    pub fn open_requests(&self) -> usize {
        self.open_ids.borrow().len()
    }

    /// The ids of requests that may have been executed.
    pub fn recent_ids(&self) -> &RecentIds {
        &self.recent_ids
    }

    /// Opens a request. Returns `None` if a request with the same id has no verdict yet, or may have been executed
    /// and must not be again.
    pub fn open(
        &self,
        key: RequestKey,
        payload: Rc<Payload>,
        deadline: Instant,
        client: ClientCheck,
    ) -> Option<(RequestId, oneshot::Receiver<Verdict>)> {
        let RequestKey { id, is_repeatable } = key;
        if self.recent_ids.contains(&id, Instant::now()) || !self.open_ids.borrow_mut().insert(id.clone()) {
            return None;
        }
        let (sender, verdict) = oneshot::channel();
        let request = RequestId(self.next_id.replace(self.next_id.get() + 1));
        let entry = Entry {
            id,
            payload,
            deadline,
            verdict: Some(sender),
            attempts: Vec::new(),
            in_flight: 0,
            client,
            is_repeatable,
            may_have_run: false,
        };
        self.entries.borrow_mut().insert(request, entry);
        Some((request, verdict))
    }

    /// Records an attempt and returns it, or only its number if the request has ended. The flag is true if no
    /// other attempt of the request is in flight.
    pub fn start_attempt(&self, request: RequestId, start_by: Instant) -> (Result<Attempt, u32>, bool) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&request) else { return (Err(0), true) };
        let (number, is_only) = (entry.attempts.len() as u32, entry.in_flight == 0);
        let (cancel, cancelled) = oneshot::channel();
        entry.attempts.push(Some(cancel));
        entry.in_flight += 1;
        if entry.verdict.is_none() {
            return (Err(number), is_only);
        }
        let Entry { deadline, is_repeatable, .. } = *entry;
        let payload = entry.payload.clone();
        if !is_repeatable {
            self.recent_ids.on_attempt(&entry.id, Instant::now());
        }
        let attempt = Attempt { request, number, payload, is_repeatable, deadline, start_by, cancelled };
        (Ok(attempt), is_only)
    }

    /// Whether a request has no verdict yet and its client waits for a response.
    pub fn is_awaited(&self, request: RequestId) -> bool {
        let entries = self.entries.borrow();
        entries.get(&request).is_some_and(|entry| entry.verdict.is_some() && !entry.client.has_left())
    }

    /// Cancels an attempt.
    pub fn cancel(&self, request: RequestId, number: u32) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&request)
            && let Some(cancel) = entry.attempts.get_mut(number as usize).and_then(Option::take)
        {
            let _ = cancel.send(()); // fails if the attempt has just ended; its outcome is reported then
        }
    }

    /// Records the end of an attempt, with its response if there is one for the client. Returns whether the
    /// request has ended.
    pub fn attempt_ended(
        &self,
        request: RequestId,
        execution: Execution,
        response: Option<EndpointResponse>,
    ) -> bool {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&request) else { return true };
        check_invariant(entry.in_flight > 0, "each attempt ends only once");
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.may_have_run |= execution == Execution::Possible;
        drop(entries);
        match response {
            Some(response) => _ = self.finish(request, Verdict::Served(response)),
            None => self.remove_if_done(request),
        }
        self.entries.borrow().get(&request).is_none_or(|entry| entry.verdict.is_none())
    }

    /// Gives the verdict on a request. Returns false if it already had one.
    pub fn finish(&self, request: RequestId, verdict: Verdict) -> bool {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&request);
        let Some((sender, id)) = entry.and_then(|e| Some((e.verdict.take()?, &e.id))) else { return false };
        self.open_ids.borrow_mut().remove(id);
        drop(entries);
        let _ = sender.send(verdict); // fails if the client has disconnected
        self.remove_if_done(request);
        true
    }

    /// Ends a request whose client no longer waits. Returns false if the request had already ended.
    pub fn abandon(&self, request: RequestId) -> bool {
        self.finish(request, Verdict::Failed)
    }

    fn remove_if_done(&self, request: RequestId) {
        let is_done = |entry: &mut Entry| entry.verdict.is_none() && entry.in_flight == 0;
        let mut entries = self.entries.borrow_mut();
        let done = entries.get_mut(&request).is_some_and(is_done).then(|| entries.remove(&request)).flatten();
        if let Some(entry) = done.filter(|entry| !entry.may_have_run) {
            self.recent_ids.on_never_executed(&entry.id, Instant::now());
        }
    }
}

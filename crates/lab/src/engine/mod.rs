//! A discrete-event engine that gives the same result on any number of threads.
//!
//! A model is a set of nodes that interact by messages alone. A message to another node takes at least the
//! model's *lookahead*; so every thread can play all events within one lookahead of the earliest for its own
//! nodes, without waiting for the other threads (conservative windows: Lubachevsky 1989, after Chandy and
//! Misra 1979). Events have a total order that depends neither on threads nor on how nodes are spread over
//! them (see [`queue::EventKey`]), each node sees its own events in that order, and a node's state follows
//! from them alone: hence the same digest whatever the number of threads.
//!
//! The model of the fleet and that of the sidecars run on it. The engine knows nothing of either.

mod barrier;
mod exchange;
mod queue;
mod worker;

use exchange::Exchange;
use olivecart_decisions::Nanos;
pub use queue::{Event, EventKey, EventQueue};
use worker::{PANIC_ELSEWHERE, Worker};

/// What the engine runs.
pub trait Model: Sync {
    /// One node; lives in one thread.
    type Node;
    /// What nodes send to each other and to themselves.
    type Message: Send;
    /// What a node tells all threads, received at the begin of the next window.
    type Broadcast: Clone + Send;
    /// What the nodes of a thread share; nothing in it may depend on which nodes these are.
    type ThreadState;
    /// What a thread's part of the run comes to.
    type ThreadOutput: Send;

    /// The number of nodes.
    fn node_count(&self) -> u32;
    /// The least time that a message to another node takes; above 0.
    fn lookahead(&self) -> Nanos;
    /// Events at or after this time are not played.
    fn end_time(&self) -> Nanos;
    /// The state of a thread at its start.
    fn thread_state(&self) -> Self::ThreadState;
    /// Creates a node, which may send its first messages.
    fn create_node(&self, id: u32, state: &mut Self::ThreadState, outbox: &mut Outbox<Self>) -> Self::Node;
    /// Plays one event.
    fn handle(
        &self,
        node: &mut Self::Node,
        now: Nanos,
        message: Self::Message,
        state: &mut Self::ThreadState,
        outbox: &mut Outbox<Self>,
    );
    /// Receives what was broadcast in the last window.
    fn receive_broadcast(&self, broadcast: Self::Broadcast, state: &mut Self::ThreadState);
    /// The number of open requests of a thread; summed over all threads, it is bounded by
    /// [`Model::max_open_requests`].
    fn open_requests(&self, state: &Self::ThreadState) -> u64;
    /// The limit of open requests.
    fn max_open_requests(&self) -> u64;
    /// The limit of pending events.
    fn max_pending_events(&self) -> u64;
    /// Ends a thread's part.
    fn finish(&self, nodes: Vec<(u32, Self::Node)>, state: Self::ThreadState) -> Self::ThreadOutput;
}

/// Why a run stopped before its end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// Memory is bounded, and this run would need more.
    #[error("at {at_ms} ms of the run {pending} events wait, more than model.most_events = {limit}: stopped")]
    TooManyEvents {
        /// When, in milliseconds.
        at_ms: u64,
        /// How many events were pending.
        pending: u64,
        /// The limit.
        limit: u64,
    },
    /// Clients have too many requests open.
    #[error(
        "at {at_ms} ms of the run {open} requests are open, more than model.most_open = {limit}: stopped"
    )]
    TooManyOpenRequests {
        /// When, in milliseconds.
        at_ms: u64,
        /// How many were open.
        open: u64,
        /// The limit.
        limit: u64,
    },
    /// A thread ended early.
    #[error("the model panicked: {0}")]
    Panic(String),
}

/// Collects what a node sends.
pub struct Outbox<M: Model + ?Sized> {
    now: Nanos,
    node: u32,
    /// How many events the node has sent before.
    sequence: u32,
    lookahead: Nanos,
    events: Vec<Event<M::Message>>,
    broadcasts: Vec<M::Broadcast>,
}

impl<M: Model + ?Sized> Outbox<M> {
    fn new(lookahead: Nanos) -> Outbox<M> {
        Outbox { now: 0, node: 0, sequence: 0, lookahead, events: Vec::new(), broadcasts: Vec::new() }
    }

    /// Sends a message to another node, to arrive at a time no earlier than the lookahead from now.
    ///
    /// Danger: one that arrives earlier could be late for its node's thread. It is delayed to the earliest
    /// time that is safe, and asserted in debug builds.
    pub fn send(&mut self, receiver: u32, at: Nanos, message: M::Message) {
        let is_own = receiver == self.node;
        debug_assert!(is_own || at >= self.now + self.lookahead, "a message outruns the lookahead");
        let earliest = if is_own { self.now } else { self.now + self.lookahead };
        let key = EventKey { at: at.max(earliest), sender: self.node, sequence: self.sequence };
        self.sequence += 1;
        self.events.push(Event { key, receiver, message });
    }

    /// Schedules a message of the node to itself, at any time from now.
    pub fn schedule(&mut self, at: Nanos, message: M::Message) {
        self.send(self.node, at, message);
    }

    /// Tells all threads something at the begin of the next window.
    pub fn broadcast(&mut self, broadcast: M::Broadcast) {
        self.broadcasts.push(broadcast);
    }
}

/// The counters that a thread publishes before each window.
struct ThreadCounters {
    /// When its next event is due.
    next_due: Nanos,
    pending_events: u64,
    open_requests: u64,
}

/// What a run came to.
pub struct RunOutcome<T> {
    /// By thread.
    pub outputs: Vec<T>,
    /// Events played.
    pub events: u64,
    /// Windows that the run was cut into.
    pub windows: u64,
}

/// Runs a model to its end on this number of threads, at least one.
pub fn run<M: Model>(model: &M, threads: usize) -> Result<RunOutcome<M::ThreadOutput>, EngineError> {
    let threads = threads.clamp(1, model.node_count().max(1) as usize);
    let exchange = Exchange::new(threads);
    let results: Vec<_> = std::thread::scope(|scope| {
        let spawn = |thread| {
            let exchange = &exchange;
            scope.spawn(move || Worker::new(model, exchange, thread, threads).run())
        };
        let handles: Vec<_> = (0..threads).map(spawn).collect();
        handles.into_iter().map(|handle| handle.join()).collect()
    });
    let mut outcome = RunOutcome { outputs: Vec::with_capacity(threads), events: 0, windows: 0 };
    let mut failure = None;
    for result in results {
        match result {
            Ok(Ok(worker)) => {
                outcome.outputs.push(worker.output);
                outcome.events += worker.events;
                outcome.windows = worker.windows;
            }
            // The thread that panicked reports the cause; the others only that one did.
            Ok(Err(EngineError::Panic(message))) if message == PANIC_ELSEWHERE => {
                failure = failure.or(Some(EngineError::Panic(message)));
            }
            Ok(Err(error)) => failure = Some(error),
            Err(_) => failure = failure.or(Some(EngineError::Panic("a thread ended".into()))),
        }
    }
    match failure {
        Some(error) => Err(error),
        None => Ok(outcome),
    }
}

#[cfg(test)]
mod tests;

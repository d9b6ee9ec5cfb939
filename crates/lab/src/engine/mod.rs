//! A discrete-event simulation engine whose results do not depend on the number of threads.
//!
//! A model is a set of nodes that interact only by messages. A message to another node takes at least the
//! model's *lookahead*. Every thread can therefore process all events of its nodes within one lookahead of
//! the earliest event without waiting for other threads (conservative windows: Lubachevsky 1989, after Chandy
//! and Misra 1979). Events have a total order that depends neither on the threads nor on the distribution of
//! nodes over them (see [`queue::EventKey`]). Each node receives its events in that order, and its state
//! depends only on them: hence the digest is the same for any number of threads.
//!
//! The model of the fleet and that of the sidecars run on the engine, which does not depend on either.

mod barrier;
mod exchange;
mod queue;
mod worker;

use exchange::Exchange;
use olivecart_decisions::Nanos;
pub use queue::{Event, EventKey, EventQueue};
use worker::{PANIC_IN_OTHER_THREAD, Worker};

/// A model that the engine runs.
pub trait Model: Sync {
    /// A node; it is owned by one thread.
    type Node;
    /// The messages that nodes send to each other and to themselves.
    type Message: Send;
    /// A broadcast of a node to all threads, received at the start of the next window.
    type Broadcast: Clone + Send;
    /// The state that the nodes of a thread share. Whatever affects nodes must not depend on which nodes the
    /// thread owns.
    type ThreadState;
    /// The output of a thread at the end of the run.
    type ThreadOutput: Send;

    /// The number of nodes.
    fn node_count(&self) -> u32;
    /// The minimum delay of a message to another node; above 0.
    fn lookahead(&self) -> Nanos;
    /// Events at or after this time are not processed.
    fn end_time(&self) -> Nanos;
    /// Creates the state of a thread.
    fn thread_state(&self) -> Self::ThreadState;
    /// Creates a node, which may already send messages.
    fn create_node(&self, id: u32, state: &mut Self::ThreadState, outbox: &mut Outbox<Self>) -> Self::Node;
    /// Handles one event of a node.
    fn handle(
        &self,
        node: &mut Self::Node,
        now: Nanos,
        message: Self::Message,
        state: &mut Self::ThreadState,
        outbox: &mut Outbox<Self>,
    );
    /// Receives a broadcast of the previous window.
    fn receive_broadcast(&self, broadcast: Self::Broadcast, state: &mut Self::ThreadState);
    /// The number of open requests of a thread. The sum over all threads is limited to
    /// [`Model::max_open_requests`].
    fn open_requests(&self, state: &Self::ThreadState) -> u64;
    /// The maximum number of open requests.
    fn max_open_requests(&self) -> u64;
    /// The maximum number of pending events.
    fn max_pending_events(&self) -> u64;
    /// Creates the output of a thread at the end of the run.
    fn finish(&self, nodes: Vec<(u32, Self::Node)>, state: Self::ThreadState) -> Self::ThreadOutput;
}

/// Why a run stopped before its end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// Too many events are pending; the limit bounds the memory of a run.
    #[error("run stopped at {at_ms} ms: {pending} pending events exceed model.most_events = {limit}")]
    TooManyEvents {
        /// The time in the run, in milliseconds.
        at_ms: u64,
        /// The number of pending events.
        pending: u64,
        /// The limit.
        limit: u64,
    },
    /// Clients have too many requests open.
    #[error("run stopped at {at_ms} ms: {open} open requests of clients exceed model.most_open = {limit}")]
    TooManyOpenRequests {
        /// The time in the run, in milliseconds.
        at_ms: u64,
        /// The number of open requests.
        open: u64,
        /// The limit.
        limit: u64,
    },
    /// The model panicked.
    #[error("the model panicked: {0}")]
    Panic(String),
}

/// Collects the messages and broadcasts that a node sends.
pub struct Outbox<M: Model + ?Sized> {
    now: Nanos,
    node: u32,
    /// The number of events that the node has sent before.
    sequence: u32,
    lookahead: Nanos,
    events: Vec<Event<M::Message>>,
    broadcasts: Vec<M::Broadcast>,
}

impl<M: Model + ?Sized> Outbox<M> {
    fn new(lookahead: Nanos) -> Outbox<M> {
        Outbox { now: 0, node: 0, sequence: 0, lookahead, events: Vec::new(), broadcasts: Vec::new() }
    }

    /// Sends a message to another node; `at` must be at least one lookahead from now.
    ///
    /// The thread of the receiver may already have processed events up to the lookahead. A message with an
    /// earlier time is therefore delayed to one lookahead from now, and panics in debug builds.
    pub fn send(&mut self, receiver: u32, at: Nanos, message: M::Message) {
        let is_own = receiver == self.node;
        debug_assert!(
            is_own || at >= self.now + self.lookahead,
            "a message arrives before the lookahead has passed"
        );
        let earliest = if is_own { self.now } else { self.now + self.lookahead };
        let key = EventKey { at: at.max(earliest), sender: self.node, sequence: self.sequence };
        self.sequence += 1;
        self.events.push(Event { key, receiver, message });
    }

    /// Schedules a message of the node to itself, now or at any later time.
    pub fn schedule(&mut self, at: Nanos, message: M::Message) {
        self.send(self.node, at, message);
    }

    /// Sends a broadcast to all threads, which receive it at the start of the next window.
    pub fn broadcast(&mut self, broadcast: M::Broadcast) {
        self.broadcasts.push(broadcast);
    }
}

/// The counters that a thread publishes before each window.
struct ThreadCounters {
    /// The time at which its next event is due.
    next_due: Nanos,
    pending_events: u64,
    open_requests: u64,
}

/// The outcome of a run.
pub struct RunOutcome<T> {
    /// The output of each thread.
    pub outputs: Vec<T>,
    /// The number of events processed.
    pub events: u64,
    /// The number of windows processed.
    pub windows: u64,
}

/// Runs a model to its end on this number of threads, but at least on one.
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
            // The thread that panicked reports the cause; the others only report that another thread
            // panicked.
            Ok(Err(EngineError::Panic(message))) if message == PANIC_IN_OTHER_THREAD => {
                failure = failure.or(Some(EngineError::Panic(message)));
            }
            Ok(Err(error)) => failure = Some(error),
            Err(_) => failure = failure.or(Some(EngineError::Panic("a worker thread panicked".into()))),
        }
    }
    match failure {
        Some(error) => Err(error),
        None => Ok(outcome),
    }
}

#[cfg(test)]
mod tests;

//! A worker thread of a run: its nodes, their event queue, and the windows that it processes.

use super::exchange::Exchange;
use super::queue::{Event, EventQueue};
use super::{EngineError, Model, Outbox, ThreadCounters};
use olivecart_decisions::Nanos;
use std::any::Any;
use std::ops::ControlFlow;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// A worker thread. It owns every node whose id modulo the number of threads is the worker's number.
pub(super) struct Worker<'a, M: Model> {
    model: &'a M,
    exchange: &'a Exchange<M>,
    thread: usize,
    threads: usize,
    nodes: Vec<M::Node>,
    /// The number of events that each node has sent.
    sent_events: Vec<u32>,
    state: M::ThreadState,
    queue: EventQueue<M::Message>,
    outbox: Outbox<M>,
    /// The events for nodes of other threads that have not been sent yet, by thread.
    outgoing: Vec<Vec<Event<M::Message>>>,
    events: u64,
    windows: u64,
}

/// The result of a worker at the end of the run.
pub(super) struct WorkerOutcome<M: Model> {
    pub(super) output: M::ThreadOutput,
    pub(super) events: u64,
    pub(super) windows: u64,
}

/// The message of the error that a worker returns because another thread broke the barrier and reports the
/// cause.
pub(super) const PANIC_IN_OTHER_THREAD: &str = "";

impl<'a, M: Model> Worker<'a, M> {
    pub(super) fn new(model: &'a M, exchange: &'a Exchange<M>, thread: usize, threads: usize) -> Self {
        let outbox = Outbox::new(model.lookahead().max(1));
        Worker {
            model,
            exchange,
            thread,
            threads,
            nodes: Vec::new(),
            sent_events: Vec::new(),
            state: model.thread_state(),
            queue: EventQueue::new(outbox.lookahead),
            outbox,
            outgoing: (0..threads).map(|_| Vec::new()).collect(),
            events: 0,
            windows: 0,
        }
    }

    /// Processes all events until the end of the run.
    pub(super) fn run(mut self) -> Result<WorkerOutcome<M>, EngineError> {
        self.catch_panic(|worker| worker.create_nodes())?;
        while self.catch_panic(|worker| worker.process_window())??.is_continue() {}
        let thread = self.thread;
        let threads = self.threads;
        let ids = (0..).map(|index: u32| (thread + index as usize * threads) as u32);
        let output = self.model.finish(ids.zip(self.nodes).collect(), self.state);
        Ok(WorkerOutcome { output, events: self.events, windows: self.windows })
    }

    /// Runs a step and breaks the barrier if it panics. Otherwise the other threads would wait at the barrier
    /// forever.
    fn catch_panic<T>(&mut self, step: impl FnOnce(&mut Self) -> T) -> Result<T, EngineError> {
        catch_unwind(AssertUnwindSafe(|| step(self))).map_err(|panic| {
            self.exchange.barrier.break_barrier();
            EngineError::Panic(panic_message(panic.as_ref()).into())
        })
    }

    fn create_nodes(&mut self) {
        for id in (self.thread as u32..self.model.node_count()).step_by(self.threads) {
            self.outbox.node = id;
            self.outbox.sequence = 0;
            self.nodes.push(self.model.create_node(id, &mut self.state, &mut self.outbox));
            self.sent_events.push(self.outbox.sequence);
            self.route_events();
        }
        self.send_outgoing();
    }

    /// Processes the events of one window. Returns `Break` at the end of the run.
    fn process_window(&mut self) -> Result<ControlFlow<()>, EngineError> {
        // After this, all threads have sent their events to the other threads.
        self.wait_for_others()?;
        self.receive();
        self.exchange.publish(
            self.thread,
            ThreadCounters {
                next_due: self.queue.next_due().unwrap_or(Nanos::MAX),
                pending_events: self.queue.len() as u64,
                open_requests: self.model.open_requests(&self.state),
            },
        );
        // After this, all threads know the due time of the earliest event.
        self.wait_for_others()?;
        let begin = self.exchange.next_due();
        if begin >= self.model.end_time() {
            return Ok(ControlFlow::Break(()));
        }
        self.check_limits(begin)?;
        self.windows += 1;
        let end = begin.saturating_add(self.outbox.lookahead).min(self.model.end_time());
        while let Some(event) = self.queue.pop_before(end) {
            self.process_event(event);
        }
        self.send_outgoing();
        Ok(ControlFlow::Continue(()))
    }

    fn wait_for_others(&self) -> Result<(), EngineError> {
        if self.exchange.barrier.wait() {
            Ok(())
        } else {
            Err(EngineError::Panic(PANIC_IN_OTHER_THREAD.into()))
        }
    }

    /// Receives the events and broadcasts of all threads.
    fn receive(&mut self) {
        for sender in 0..self.threads {
            for event in self.exchange.take_events(sender, self.thread) {
                self.queue.push(event);
            }
            for broadcast in self.exchange.take_broadcasts(sender, self.thread) {
                self.model.receive_broadcast(broadcast, &mut self.state);
            }
        }
    }

    fn check_limits(&self, now: Nanos) -> Result<(), EngineError> {
        let at_ms = now / 1_000_000;
        let pending = self.exchange.pending_events();
        let max_pending = self.model.max_pending_events();
        if pending > max_pending {
            return Err(EngineError::TooManyEvents { at_ms, pending, limit: max_pending });
        }
        let open = self.exchange.open_requests();
        let max_open = self.model.max_open_requests();
        if open > max_open {
            return Err(EngineError::TooManyOpenRequests { at_ms, open, limit: max_open });
        }
        Ok(())
    }

    fn process_event(&mut self, event: Event<M::Message>) {
        let index = event.receiver as usize / self.threads;
        self.outbox.now = event.key.at;
        self.outbox.node = event.receiver;
        self.outbox.sequence = self.sent_events[index];
        self.events += 1;
        let node = &mut self.nodes[index];
        self.model.handle(node, event.key.at, event.message, &mut self.state, &mut self.outbox);
        self.sent_events[index] = self.outbox.sequence;
        self.route_events();
    }

    /// Routes events to their threads. Those for nodes of this thread go directly to its queue, as they may
    /// be due within this window.
    fn route_events(&mut self) {
        for event in self.outbox.events.drain(..) {
            let thread = event.receiver as usize % self.threads;
            if thread == self.thread {
                self.queue.push(event);
            } else {
                self.outgoing[thread].push(event);
            }
        }
    }

    /// Sends events to the threads that own the receiving nodes, and broadcasts to all threads.
    fn send_outgoing(&mut self) {
        for (receiver, events) in self.outgoing.iter_mut().enumerate() {
            if !events.is_empty() {
                self.exchange.send_events(self.thread, receiver, events);
            }
        }
        if !self.outbox.broadcasts.is_empty() {
            for receiver in 0..self.threads {
                self.exchange.send_broadcasts(self.thread, receiver, &self.outbox.broadcasts);
            }
            self.outbox.broadcasts.clear();
        }
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let formatted = panic.downcast_ref::<String>().map(String::as_str);
    let literal = panic.downcast_ref::<&str>().copied();
    formatted.or(literal).unwrap_or("unknown cause")
}

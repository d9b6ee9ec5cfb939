//! A discrete-event engine that gives the same result on any number of threads.
//!
//! A model is a set of nodes that act on each other by messages alone. A message to another node takes at
//! least the model's *lookahead*; so all events within one lookahead of the earliest can be played by every
//! thread for its own nodes without waiting for the others (conservative windows: Lubachevsky 1989, after
//! Chandy and Misra 1979). Events have a total order that depends neither on threads nor on how nodes are
//! spread over them (see [`queue::Place`]), each node sees its own events in that order, and a node's state
//! follows from them alone: hence the same digest whatever the number of threads.

mod barrier;
mod queue;

use barrier::Barrier;
use olivecart_decisions::Nanos;
pub use queue::{Event, Place, Queue};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// What the engine plays.
pub trait Model: Sync {
    /// One node; lives in one thread.
    type Node;
    /// What nodes tell each other and themselves.
    type Message: Send;
    /// What every thread is told at the begin of the next window.
    type Post: Clone + Send;
    /// What a thread's nodes have in common; nothing in it may depend on which nodes they are.
    type Local;
    /// What is left of a thread's part.
    type Rest: Send;

    /// How many nodes there are.
    fn nodes(&self) -> u32;
    /// Least time that a message to another node takes; above 0.
    fn lookahead(&self) -> Nanos;
    /// Events at or after this time are not played.
    fn end(&self) -> Nanos;
    /// Begins a thread's part.
    fn local(&self) -> Self::Local;
    /// Makes a node, which may send its first messages.
    fn node(&self, id: u32, local: &mut Self::Local, out: &mut Outbox<Self>) -> Self::Node;
    /// Plays one event.
    fn handle(
        &self,
        node: &mut Self::Node,
        now: Nanos,
        message: Self::Message,
        local: &mut Self::Local,
        out: &mut Outbox<Self>,
    );
    /// Takes in what was posted in the last window.
    fn heard(&self, post: Self::Post, local: &mut Self::Local);
    /// A number that must stay under [`Model::most_open`], summed over all threads.
    fn open(&self, local: &Self::Local) -> u64;
    /// Most of that.
    fn most_open(&self) -> u64;
    /// Most events that may wait.
    fn most_events(&self) -> u64;
    /// Ends a thread's part.
    fn finish(&self, nodes: Vec<(u32, Self::Node)>, local: Self::Local) -> Self::Rest;
}

/// Why a run did not come to its end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// Memory is bounded, and this run would need more.
    #[error("at {at_ms} ms of the run {waiting} events wait, more than model.most_events = {most}: stopped")]
    Events {
        /// When, in milliseconds.
        at_ms: u64,
        /// How many waited.
        waiting: u64,
        /// The limit.
        most: u64,
    },
    /// Clients have too much open.
    #[error("at {at_ms} ms of the run {open} requests are open, more than model.most_open = {most}: stopped")]
    Open {
        /// When, in milliseconds.
        at_ms: u64,
        /// How many were open.
        open: u64,
        /// The limit.
        most: u64,
    },
    /// A thread ended early.
    #[error("the model panicked: {0}")]
    Panic(String),
}

/// Where a node puts what it causes.
pub struct Outbox<M: Model + ?Sized> {
    now: Nanos,
    node: u32,
    number: u32,
    lookahead: Nanos,
    events: Vec<Event<M::Message>>,
    posts: Vec<M::Post>,
}

impl<M: Model + ?Sized> Outbox<M> {
    /// Sends a message to another node, to arrive at a time no earlier than the lookahead from now.
    ///
    /// Danger: one that arrives earlier could be late for its node's thread. It is put off to the earliest
    /// time that is safe, and asserted in debug builds.
    pub fn send(&mut self, to: u32, at: Nanos, message: M::Message) {
        debug_assert!(to == self.node || at >= self.now + self.lookahead, "a message outruns the lookahead");
        let at = if to == self.node { at.max(self.now) } else { at.max(self.now + self.lookahead) };
        let place = Place { at, from: self.node, number: self.number };
        self.number += 1;
        self.events.push(Event { place, to, message });
    }

    /// Sends one to itself, at any time from now.
    pub fn wake(&mut self, at: Nanos, message: M::Message) {
        self.send(self.node, at, message);
    }

    /// Tells all threads something at the begin of the next window.
    pub fn post(&mut self, post: M::Post) {
        self.posts.push(post);
    }
}

/// What a run came to.
pub struct Played<R> {
    /// The parts of the threads.
    pub rest: Vec<R>,
    /// Events played.
    pub events: u64,
    /// Windows that the run was cut into.
    pub windows: u64,
}

/// Events on their way from one thread to another.
type Letters<M> = Mutex<Vec<Event<<M as Model>::Message>>>;

/// What the threads share.
struct Meeting<M: Model> {
    barrier: Barrier,
    /// By thread: when its next event is due; how many wait; how many requests are open.
    next: Vec<AtomicU64>,
    waiting: Vec<AtomicU64>,
    open: Vec<AtomicU64>,
    /// By thread that sends and thread that receives.
    mail: Vec<Vec<Letters<M>>>,
    /// By thread that posts and thread that hears.
    posts: Vec<Vec<Mutex<Vec<M::Post>>>>,
    /// A thread panicked: all end.
    broken: AtomicBool,
}

impl<M: Model> Meeting<M> {
    fn new(threads: usize) -> Meeting<M> {
        let numbers = || (0..threads).map(|_| AtomicU64::new(0)).collect();
        Meeting {
            barrier: Barrier::new(threads),
            next: numbers(),
            waiting: numbers(),
            open: numbers(),
            mail: (0..threads).map(|_| (0..threads).map(|_| Mutex::default()).collect()).collect(),
            posts: (0..threads).map(|_| (0..threads).map(|_| Mutex::default()).collect()).collect(),
            broken: AtomicBool::new(false),
        }
    }

    fn sum(of: &[AtomicU64]) -> u64 {
        of.iter().map(|n| n.load(Ordering::Acquire)).sum()
    }
}

/// Plays a model to its end on so many threads, at least one.
pub fn play<M: Model>(model: &M, threads: usize) -> Result<Played<M::Rest>, EngineError> {
    let threads = threads.clamp(1, model.nodes().max(1) as usize);
    let meeting = Meeting::new(threads);
    let parts: Vec<_> = std::thread::scope(|scope| {
        let part = |thread| {
            let meeting = &meeting;
            scope.spawn(move || Part::new(model, meeting, thread, threads).play())
        };
        let handles: Vec<_> = (0..threads).map(part).collect();
        handles.into_iter().map(|h| h.join()).collect()
    });
    let mut played = Played { rest: Vec::with_capacity(threads), events: 0, windows: 0 };
    let mut failed = None;
    for part in parts {
        match part {
            Ok(Ok((rest, events, windows))) => {
                played.rest.push(rest);
                played.events += events;
                played.windows = windows;
            }
            // The thread that panicked says what happened; the others only that one did.
            Ok(Err(EngineError::Panic(text))) if text.is_empty() => {
                failed = failed.or(Some(EngineError::Panic(text)));
            }
            Ok(Err(error)) => failed = Some(error),
            Err(_) => failed = failed.or(Some(EngineError::Panic("a thread ended".into()))),
        }
    }
    failed.map_or(Ok(played), Err)
}

/// One thread's part of a run.
struct Part<'a, M: Model> {
    model: &'a M,
    meeting: &'a Meeting<M>,
    thread: usize,
    threads: usize,
    nodes: Vec<M::Node>,
    /// How many events each node has caused.
    caused: Vec<u32>,
    local: M::Local,
    queue: Queue<M::Message>,
    out: Outbox<M>,
    /// By thread: what is for its nodes.
    mail: Vec<Vec<Event<M::Message>>>,
    events: u64,
    windows: u64,
}

type End<M> = Result<(<M as Model>::Rest, u64, u64), EngineError>;

impl<'a, M: Model> Part<'a, M> {
    fn new(model: &'a M, meeting: &'a Meeting<M>, thread: usize, threads: usize) -> Part<'a, M> {
        let out = Outbox {
            now: 0,
            node: 0,
            number: 0,
            lookahead: model.lookahead().max(1),
            events: Vec::new(),
            posts: Vec::new(),
        };
        let (nodes, caused, queue) = (Vec::new(), Vec::new(), Queue::default());
        let (local, mail) = (model.local(), (0..threads).map(|_| Vec::new()).collect());
        Part {
            model,
            meeting,
            thread,
            threads,
            nodes,
            caused,
            local,
            queue,
            out,
            mail,
            events: 0,
            windows: 0,
        }
    }

    fn play(mut self) -> End<M> {
        self.guarded(|part| part.make_nodes())?;
        loop {
            match self.guarded(|part| part.window())? {
                Some(Ok(())) => {}
                Some(Err(error)) => return Err(error),
                None => break,
            }
        }
        let (model, thread, threads) = (self.model, self.thread, self.threads);
        let ids = (0..).map(|i: u32| (thread + i as usize * threads) as u32);
        let rest = model.finish(ids.zip(self.nodes).collect(), self.local);
        Ok((rest, self.events, self.windows))
    }

    /// Runs a step. Danger: a thread that panics would leave the others waiting at the barrier for good.
    fn guarded<T>(&mut self, step: impl FnOnce(&mut Self) -> T) -> Result<T, EngineError> {
        match catch_unwind(AssertUnwindSafe(|| step(self))) {
            Ok(value) => Ok(value),
            Err(panic) => {
                self.meeting.broken.store(true, Ordering::Release);
                // The others are at one of the two meetings of a window.
                self.meeting.next[self.thread].store(0, Ordering::Release);
                self.meeting.barrier.wait();
                let text = panic.downcast_ref::<String>().map(String::as_str);
                let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
                Err(EngineError::Panic(text.unwrap_or("of unknown cause").into()))
            }
        }
    }

    fn make_nodes(&mut self) {
        for id in (self.thread as u32..self.model.nodes()).step_by(self.threads) {
            (self.out.node, self.out.number) = (id, 0);
            self.nodes.push(self.model.node(id, &mut self.local, &mut self.out));
            self.caused.push(self.out.number);
            self.deliver();
        }
        self.hand_over();
    }

    /// Plays one window. None: the run is over.
    fn window(&mut self) -> Option<Result<(), EngineError>> {
        let meeting = self.meeting;
        // All have handed over what they caused.
        meeting.barrier.wait();
        if meeting.broken.load(Ordering::Acquire) {
            return Some(Err(EngineError::Panic(String::new())));
        }
        for from in 0..self.threads {
            let mail = std::mem::take(&mut *lock(&meeting.mail[from][self.thread]));
            mail.into_iter().for_each(|event| self.queue.push(event));
            let posts = std::mem::take(&mut *lock(&meeting.posts[from][self.thread]));
            posts.into_iter().for_each(|post| self.model.heard(post, &mut self.local));
        }
        let next = self.queue.next_at().unwrap_or(Nanos::MAX);
        meeting.next[self.thread].store(next, Ordering::Release);
        meeting.waiting[self.thread].store(self.queue.len() as u64, Ordering::Release);
        meeting.open[self.thread].store(self.model.open(&self.local), Ordering::Release);
        // All know when the next event of anybody is due.
        meeting.barrier.wait();
        if meeting.broken.load(Ordering::Acquire) {
            return Some(Err(EngineError::Panic(String::new())));
        }
        let begin = meeting.next.iter().map(|n| n.load(Ordering::Acquire)).min().unwrap_or(Nanos::MAX);
        if begin >= self.model.end() {
            return None;
        }
        if let Err(error) = self.within_limits(begin) {
            return Some(Err(error));
        }
        self.windows += 1;
        let end = begin.saturating_add(self.out.lookahead).min(self.model.end());
        while let Some(event) = self.queue.pop_before(end) {
            self.play_one(event);
        }
        self.hand_over();
        Some(Ok(()))
    }

    fn within_limits(&self, at: Nanos) -> Result<(), EngineError> {
        let at_ms = at / 1_000_000;
        let (waiting, most) = (Meeting::<M>::sum(&self.meeting.waiting), self.model.most_events());
        if waiting > most {
            return Err(EngineError::Events { at_ms, waiting, most });
        }
        let (open, most) = (Meeting::<M>::sum(&self.meeting.open), self.model.most_open());
        if open > most {
            return Err(EngineError::Open { at_ms, open, most });
        }
        Ok(())
    }

    fn play_one(&mut self, event: Event<M::Message>) {
        let at = event.to as usize / self.threads;
        (self.out.now, self.out.node, self.out.number) = (event.place.at, event.to, self.caused[at]);
        self.events += 1;
        let node = &mut self.nodes[at];
        self.model.handle(node, event.place.at, event.message, &mut self.local, &mut self.out);
        self.caused[at] = self.out.number;
        self.deliver();
    }

    /// What is for nodes of this thread goes straight to its queue: it may be due within this window.
    fn deliver(&mut self) {
        for event in self.out.events.drain(..) {
            let to = event.to as usize % self.threads;
            if to == self.thread { self.queue.push(event) } else { self.mail[to].push(event) }
        }
    }

    /// Hands what is for other threads' nodes over to them, and posts to everybody.
    fn hand_over(&mut self) {
        for (to, events) in self.mail.iter_mut().enumerate().filter(|(_, events)| !events.is_empty()) {
            lock(&self.meeting.mail[self.thread][to]).append(events);
        }
        if !self.out.posts.is_empty() {
            for to in 0..self.threads {
                lock(&self.meeting.posts[self.thread][to]).extend(self.out.posts.iter().cloned());
            }
            self.out.posts.clear();
        }
    }
}

/// A thread that panicked while it held the lock has ended the run already.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;

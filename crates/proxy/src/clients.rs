//! Who is connected, and whose turn it is to go: when time is up, and when descriptors run short.
//!
//! A connection has a request in flight; or is owed one: its first, or the rest of one that has begun; or lies idle
//! between two; or is being closed (`closing.rs`). One with a request in flight is never cut off. The others are kept in
//! the order in which they came to be what they are, so that nothing here looks at all connections.

pub mod stream;

use crate::closing::{Closing, Event, Step};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};
pub use stream::{Connection, Stream};
use tokio::sync::Notify;

/// A request's head is there this long after its first byte, and the first one after the connection was made.
/// Danger: clients that connect and say nothing, or a byte at a time, and so hold what others need. One may take 2 s.
const HEAD: Duration = Duration::from_millis(2500);
/// Its body may take longer, but not stand still for so long.
const STILL: Duration = Duration::from_secs(2);
/// The idle timeout: a connection is kept this long between two requests.
const IDLE: Duration = Duration::from_secs(10);
/// When descriptors run short, one that has sent nothing of its request goes before an idle one after this long, and
/// where all connections are to end it is closed then...
const SLOW: Duration = Duration::from_millis(250);
/// ...and not at all before this: what an ordinary client sends is on its way.
const FRESH: Duration = Duration::from_millis(20);
/// Where idle ones are held, one of whose request nothing more has come for so long goes before them: who writes a
/// whole head within 2 s pauses for less.
const STALLED: Duration = Duration::from_secs(1);

/// Since when, and a number that tells those of one instant apart.
type Place = (Instant, u64);
type Queue = RefCell<BTreeMap<Place, Rc<Client>>>;

/// All connections from clients.
#[derive(Default)]
pub struct Clients {
    /// Those without a whole head, by when it began.
    owed: Queue,
    /// Those of them that have sent nothing, by the same.
    silent: Queue,
    /// The others of them, by when some of it came last.
    partial: Queue,
    /// Those with a body under way, by when some of it came last.
    uploads: Queue,
    /// Those that have brought a request...
    idle: Queue,
    /// ...and those that have only asked for health.
    unused: Queue,
    /// Those that are being closed, by when their client took something of what is written for it last.
    closing: Queue,
    next: Cell<u64>,
    open: Cell<usize>,
    in_flight: Cell<usize>,
    /// Idle ones end.
    retiring: Cell<bool>,
    /// Idle ones can't be replaced by their clients.
    holding: Cell<bool>,
    left: Notify,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Silent(Place),
    /// Since when, and when some of it came last.
    Partial(Place, Place),
    Uploads(Place),
    InFlight,
    Idle(Place),
    Closing(Place),
    Gone,
}

/// Whether a connection is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// It is not.
    No,
    /// Unless a request has come on it that is not read yet. Danger: it would be lost to a client that may not send it
    /// again. With when the request that is owed was due to begin, if one is.
    Unless(Option<Place>),
    /// Nothing more of it is read as a request: to the HTTP library it looks as if its client had ended it.
    Now,
}

/// One connection from a client.
pub struct Client {
    all: Rc<Clients>,
    state: Cell<State>,
    /// Has brought a request.
    used: Cell<bool>,
    /// The request in flight has come whole: what comes next is another's.
    whole: Cell<bool>,
    /// The client has closed, or the stream broke.
    ended: Cell<bool>,
    told: Notify,
    ending: Cell<Ending>,
    /// How far its close has come, once it is being closed.
    close: Cell<Option<Closing>>,
    /// Its task.
    task: RefCell<Option<Waker>>,
}

impl Clients {
    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Connections with a request in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// A new connection, owed its first request.
    pub fn enter(self: &Rc<Self>) -> Rc<Client> {
        self.open.set(self.open.get() + 1);
        let client = Rc::new(Client {
            all: self.clone(),
            state: Cell::new(State::Gone),
            used: Cell::new(false),
            whole: Cell::new(false),
            ended: Cell::new(false),
            told: Notify::new(),
            ending: Cell::new(Ending::No),
            close: Cell::new(None),
            task: RefCell::default(),
        });
        client.becomes(State::Silent(self.place()));
        client
    }

    /// A connection is closed.
    pub fn leave(&self, client: &Rc<Client>) {
        client.becomes(State::Gone);
        client.task.take();
        self.open.set(self.open.get() - 1);
        self.left.notify_one();
    }

    /// Resolves when a connection is closed.
    pub async fn one_leaves(&self) {
        self.left.notified().await;
    }

    /// Closes those whose time is up.
    pub fn expire(&self) {
        self.expire_at(Instant::now());
    }

    fn expire_at(&self, now: Instant) {
        // Where all are to end, an ordinary client's first request is still waited for.
        let silent = if self.retiring.get() { SLOW } else { HEAD };
        let times = [
            (&self.silent, silent),
            (&self.owed, HEAD),
            (&self.uploads, STILL),
            (&self.idle, IDLE),
            (&self.unused, IDLE),
        ];
        for (queue, time) in times {
            while Clients::first(queue).is_some_and(|since| now - since >= time) {
                Clients::end_first(queue);
            }
        }
        let over = |client: &Rc<Client>| client.next_step(now) == Step::Close;
        while let Some(client) = Clients::first_of(&self.closing).filter(&over) {
            client.give_up();
        }
    }

    /// Closes the one that can best be spared, if any can: who is being closed and has had time to read its answer, or
    /// who connected a while ago and has sent nothing, or else who lies idle, since its client opens another connection
    /// when it needs one, or else of whose request nothing has come for longest.
    /// Danger: an honest client may take 2 s for its request, while thousands come and send none.
    pub fn make_room(&self) {
        self.make_room_at(Instant::now());
    }

    fn make_room_at(&self, now: Instant) {
        let over = |queue, age| Clients::first(queue).is_some_and(|since| now - since >= age);
        if over(&self.closing, FRESH) {
            return Clients::first_of(&self.closing).iter().for_each(|client| client.give_up());
        }
        let idle = (&self.idle, Duration::ZERO);
        let third = if self.holding.get() { (&self.partial, STALLED) } else { idle };
        let order = [(&self.silent, SLOW), (&self.unused, Duration::ZERO), third, (&self.silent, FRESH)];
        // Danger: one that sends slowly, or that is held, cut off in a moment in which all that send nothing have
        // just come.
        let last = self.silent.borrow().is_empty().then_some([idle, (&self.partial, FRESH)]);
        if let Some((queue, _)) =
            order.into_iter().chain(last.into_iter().flatten()).find(|(queue, age)| over(queue, *age))
        {
            Clients::end_first(queue);
        }
    }

    /// From now on clients that lie idle here may find nobody else, and keep their connections as long as any other
    /// can go. Danger: a crowd that goes on connecting takes them from the clients of a proxy that is leaving.
    pub fn hold_idle(&self) {
        self.holding.set(true);
    }

    /// Idle connections end from now on, unless a request has just come on them.
    pub fn retire(&self) {
        self.retiring.set(true);
        [&self.idle, &self.unused]
            .iter()
            .for_each(|idle| idle.borrow().values().for_each(|client| client.wake()));
    }

    fn place(&self) -> Place {
        (Instant::now(), self.next.replace(self.next.get() + 1))
    }

    /// Since when the first of a queue has been in it.
    fn first(queue: &Queue) -> Option<Instant> {
        queue.borrow().first_key_value().map(|((since, _), _)| *since)
    }

    fn first_of(queue: &Queue) -> Option<Rc<Client>> {
        queue.borrow().first_key_value().map(|(_, client)| client.clone())
    }

    fn end_first(queue: &Queue) {
        if let Some(client) = Clients::first_of(queue) {
            // Danger: who sends a byte now and then would be looked at, found to have sent one, and kept for ever.
            client.ends(match client.state.get() {
                State::Silent(since) => Ending::Unless(Some(since)),
                State::Idle(_) => Ending::Unless(None),
                _ => Ending::Now,
            });
            client.wake();
        }
    }
}

impl Client {
    /// The head of its request is there, and its body is to come.
    pub fn uploads(self: &Rc<Self>) {
        self.becomes(State::Uploads(self.all.place()));
        self.used.set(true);
    }

    /// Its request is in flight: whole, or its rest is read at the pace of a backend.
    pub fn in_flight(self: &Rc<Self>, whole: bool) {
        self.becomes(State::InFlight);
        self.whole.set(whole);
    }

    /// Some of its request has come.
    fn came(self: &Rc<Self>) {
        let place = self.all.place();
        if let Ending::Unless(owed) = self.ending.get() {
            self.ending.set(Ending::No);
            self.close.set(None);
            return self.becomes(State::Partial(owed.unwrap_or(place), place));
        }
        match self.state.get() {
            State::Idle(_) => self.becomes(State::Partial(place, place)),
            State::Silent(since) | State::Partial(since, _) => self.becomes(State::Partial(since, place)),
            State::Uploads(_) => self.becomes(State::Uploads(place)),
            State::InFlight | State::Closing(_) | State::Gone => {}
        }
    }

    /// Its request is answered.
    pub fn idles(self: &Rc<Self>) {
        match (self.state.get(), self.ending.get()) {
            (State::Gone, _) => {}
            (_, Ending::Now) => self.ends(Ending::Now),
            _ => self.becomes(State::Idle(self.all.place())),
        }
    }

    /// The connection ends with the answer. What its client goes on to send is not read as a request.
    pub fn last_answer(&self) {
        self.ending.set(Ending::Now);
    }

    /// Its request was no good, and the connection ends with the answer to it.
    pub fn turned_away(self: &Rc<Self>) {
        self.ends(Ending::Now);
    }

    /// Whether nothing more of it is taken for a request.
    pub fn is_ending(&self) -> bool {
        self.ending.get() == Ending::Now
    }

    /// Whether the client has gone.
    pub fn has_gone(&self) -> bool {
        self.ended.get()
    }

    /// Resolves when the client has gone.
    pub async fn gone(&self) {
        while !self.ended.get() {
            self.told.notified().await;
        }
    }

    /// It is being closed.
    fn ends(self: &Rc<Self>, how: Ending) {
        self.ending.set(how);
        let place = self.all.place();
        if self.close.get().is_none() {
            self.close.set(Some(Closing::begin(place.0)));
        }
        self.becomes(State::Closing(place));
    }

    /// What its close is to do next.
    fn next_step(&self, now: Instant) -> Step {
        self.close.get().map_or(Step::Close, |close| close.next(now))
    }

    /// Its close has come so far.
    fn close_after(self: &Rc<Self>, event: Event) {
        if let Some(close) = self.close.get() {
            let place = self.all.place();
            self.close.set(Some(close.after(place.0, event)));
            // Danger: taken out of the queue for good, it is nobody's to cut off.
            if matches!(event, Event::Wrote | Event::HalfClosed)
                && matches!(self.state.get(), State::Closing(_))
            {
                self.becomes(State::Closing(place));
            }
        }
    }

    /// Whether it is not waited for any more.
    fn is_given_up(&self) -> bool {
        self.close.get().is_some_and(|close| close.next(Instant::now()) == Step::Close)
    }

    /// Is not waited for any more.
    fn give_up(self: &Rc<Self>) {
        self.close_after(Event::Over);
        self.becomes(State::Gone);
        self.wake();
    }

    /// The client has closed, or the stream broke.
    fn notes_end(&self) {
        self.ended.set(true);
        self.told.notify_one();
    }

    fn becomes(self: &Rc<Self>, state: State) {
        let all = &self.all;
        let idle = if self.used.get() { &all.idle } else { &all.unused };
        match self.state.replace(state) {
            State::Silent(since) => {
                all.owed.borrow_mut().remove(&since);
                all.silent.borrow_mut().remove(&since);
            }
            State::Partial(since, last) => {
                all.owed.borrow_mut().remove(&since);
                all.partial.borrow_mut().remove(&last);
            }
            State::Uploads(place) => _ = all.uploads.borrow_mut().remove(&place),
            State::Idle(place) => _ = idle.borrow_mut().remove(&place),
            State::Closing(place) => _ = all.closing.borrow_mut().remove(&place),
            State::InFlight => all.in_flight.set(all.in_flight.get() - 1),
            State::Gone => {}
        }
        match state {
            State::Silent(since) => {
                all.owed.borrow_mut().insert(since, self.clone());
                all.silent.borrow_mut().insert(since, self.clone());
            }
            State::Partial(since, last) => {
                all.owed.borrow_mut().insert(since, self.clone());
                all.partial.borrow_mut().insert(last, self.clone());
            }
            State::Uploads(place) => _ = all.uploads.borrow_mut().insert(place, self.clone()),
            State::Idle(place) => _ = idle.borrow_mut().insert(place, self.clone()),
            State::Closing(place) => _ = all.closing.borrow_mut().insert(place, self.clone()),
            State::InFlight => all.in_flight.set(all.in_flight.get() + 1),
            State::Gone => {}
        }
    }

    fn wake(&self) {
        if let Some(task) = &*self.task.borrow() {
            task.wake_by_ref();
        }
    }
}

#[cfg(test)]
mod tests;

//! Who is connected, and whose turn it is to go: when time is up, and when descriptors run short.
//!
//! A connection either has a whole request in work, or is owed one: its first, or the rest of one that has
//! begun; or it lies idle between two. One in work is never cut off. The others are kept in the order in
//! which they came to be what they are, so that nothing here looks at all connections.

use crate::wire::Tap;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A request's head is there this long after its first byte, and the first one after the connection was made.
/// Danger: clients that connect and say nothing, or a byte at a time, and so hold what others need. One may take 2 s.
const HEAD: Duration = Duration::from_millis(2500);
/// Its body may take longer, but not stand still for so long.
const STILL: Duration = Duration::from_secs(2);
/// A connection is kept this long between two requests.
const IDLE: Duration = Duration::from_secs(10);
/// When descriptors run short, one that has sent nothing of its request goes before an idle one after this long...
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
    next: Cell<u64>,
    open: Cell<usize>,
    in_work: Cell<usize>,
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
    InWork,
    Idle(Place),
    Gone,
}

/// One connection from a client.
pub struct Client {
    all: Rc<Clients>,
    state: Cell<State>,
    /// Has brought a request.
    used: Cell<bool>,
    /// The client has closed, or the stream broke.
    ended: Cell<bool>,
    told: Notify,
    /// Is to look as if its client had ended it.
    cut: Cell<bool>,
    /// Was turned away: nothing more is read from it.
    deaf: Cell<bool>,
    reader: RefCell<Option<Waker>>,
}

impl Clients {
    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Connections with a request in work.
    pub fn in_work(&self) -> usize {
        self.in_work.get()
    }

    /// A new connection, owed its first request.
    pub fn enter(self: &Rc<Self>) -> Rc<Client> {
        self.open.set(self.open.get() + 1);
        let client = Rc::new(Client {
            all: self.clone(),
            state: Cell::new(State::Gone),
            used: Cell::new(false),
            ended: Cell::new(false),
            told: Notify::new(),
            cut: Cell::new(false),
            deaf: Cell::new(false),
            reader: RefCell::default(),
        });
        client.becomes(State::Silent(self.place()));
        client
    }

    /// A connection has ended.
    pub fn leave(&self, client: &Rc<Client>) {
        client.becomes(State::Gone);
        self.open.set(self.open.get() - 1);
        self.left.notify_one();
    }

    /// Resolves when a connection has ended.
    pub async fn one_leaves(&self) {
        self.left.notified().await;
    }

    /// Cuts off those whose time is up.
    pub fn expire(&self) {
        let times = [(&self.owed, HEAD), (&self.uploads, STILL), (&self.idle, IDLE), (&self.unused, IDLE)];
        for (queue, time) in times {
            while Clients::first(queue).is_some_and(|since| since.elapsed() >= time) {
                Clients::cut_first(queue);
            }
        }
    }

    /// Cuts off the one that can best be spared, if any can: who connected a while ago and has sent nothing, or else who
    /// lies idle, since its client opens another connection when it needs one, or else of whose request nothing has come for longest.
    /// Danger: an honest client may take 2 s for its request, while thousands come and send none.
    pub fn make_room(&self) {
        self.make_room_at(Instant::now());
    }

    fn make_room_at(&self, now: Instant) {
        let over = |queue, age| Clients::first(queue).is_some_and(|since| now - since >= age);
        let idle = (&self.idle, Duration::ZERO);
        let third = if self.holding.get() { (&self.partial, STALLED) } else { idle };
        let order = [(&self.silent, SLOW), (&self.unused, Duration::ZERO), third, (&self.silent, FRESH)];
        // Danger: one that sends slowly, or that is held, cut off in a moment in which all that send nothing have
        // just come.
        let last = self.silent.borrow().is_empty().then_some([idle, (&self.partial, FRESH)]);
        if let Some((queue, _)) =
            order.into_iter().chain(last.into_iter().flatten()).find(|(queue, age)| over(queue, *age))
        {
            Clients::cut_first(queue);
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

    fn cut_first(queue: &Queue) {
        let first = queue.borrow_mut().pop_first();
        if let Some((_, client)) = first {
            client.cut.set(true);
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

    /// Its request is whole and in work, or its rest is read at the pace of a backend.
    pub fn in_work(self: &Rc<Self>) {
        self.becomes(State::InWork);
    }

    /// Some of its request has come.
    fn came(self: &Rc<Self>) {
        let place = self.all.place();
        match self.state.get() {
            State::Idle(_) => self.becomes(State::Partial(place, place)),
            State::Silent(since) | State::Partial(since, _) => self.becomes(State::Partial(since, place)),
            State::Uploads(_) => self.becomes(State::Uploads(place)),
            State::InWork | State::Gone => {}
        }
    }

    /// Its request is answered.
    pub fn idles(self: &Rc<Self>) {
        if self.state.get() != State::Gone {
            self.becomes(State::Idle(self.all.place()));
        }
    }

    /// Its request was no good, and the connection ends with the answer. What it goes on to send is not read;
    /// while it lingers for the client to read the answer, it can be cut off like one that sends nothing.
    pub fn turned_away(self: &Rc<Self>) {
        self.deaf.set(true);
        self.becomes(State::Silent(self.all.place()));
    }

    /// Resolves when the client has gone.
    pub async fn gone(&self) {
        while !self.ended.get() {
            self.told.notified().await;
        }
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
            State::InWork => all.in_work.set(all.in_work.get() - 1),
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
            State::InWork => all.in_work.set(all.in_work.get() + 1),
            State::Gone => {}
        }
    }

    fn wake(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

/// The reading end of a client's connection.
pub struct Reader(pub Rc<Client>);

impl Tap for Reader {
    fn poll_read(
        &self,
        stream: Pin<&mut TcpStream>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let client = &self.0;
        if client.cut.get() {
            return Poll::Ready(Ok(()));
        }
        if !client.deaf.get() {
            let before = buf.filled().len();
            let read = stream.poll_read(cx, buf);
            match &read {
                Poll::Ready(Ok(())) if buf.filled().len() > before => {
                    client.came();
                    return read;
                }
                Poll::Ready(_) => {
                    client.ended.set(true);
                    client.told.notify_one();
                    return read;
                }
                // Danger: closed with a request unread, it is lost to a client that may not send it again.
                Poll::Pending
                    if client.all.retiring.get() && matches!(client.state.get(), State::Idle(_)) =>
                {
                    client.cut.set(true);
                    return Poll::Ready(Ok(()));
                }
                Poll::Pending => {}
            }
        }
        client.reader.replace(Some(cx.waker().clone()));
        Poll::Pending
    }
}

#[cfg(test)]
mod tests;

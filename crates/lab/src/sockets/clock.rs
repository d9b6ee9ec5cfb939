//! Time on sockets: nanoseconds since a start, and calls that are made when they are due.

use super::held;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// The time since a start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_ms: u64,
}

impl Clock {
    /// Begins now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_ms: unix.as_millis() as u64 }
    }

    /// Nanoseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    /// A time as the runtime knows it.
    pub fn instant(&self, at: u64) -> Instant {
        self.start + Duration::from_nanos(at)
    }

    /// A time as discovery tells it: Unix time in milliseconds.
    pub fn unix_ms(&self, at: u64) -> u64 {
        self.unix_ms + at / 1_000_000
    }
}

type Call = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct State {
    calls: BTreeMap<(Instant, u64), Call>,
    next: u64,
    closed: bool,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    earlier: Condvar,
}

/// Makes calls when they are due, from a thread of its own. Danger: the runtime's timers go by the
/// millisecond, which is much of a server's work.
pub struct Alarm {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Alarm {
    /// Starts the thread.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start() -> io::Result<Alarm> {
        let shared = Arc::<Shared>::default();
        let its = shared.clone();
        let thread = std::thread::Builder::new().name("alarm".into()).spawn(move || ring(&its))?;
        Ok(Alarm { shared, thread: Some(thread) })
    }

    /// Makes a call at a time. It must be quick: those after it wait.
    pub fn at(&self, at: Instant, call: impl FnOnce() + Send + 'static) {
        let mut state = held(&self.shared.state);
        let number = state.next;
        state.next += 1;
        let first = state.calls.first_key_value().is_none_or(|((due, _), _)| at < *due);
        state.calls.insert((at, number), Box::new(call));
        drop(state);
        if first {
            self.shared.earlier.notify_one();
        }
    }

    /// Waits for a time; does not return where the thread has ended.
    pub async fn until(&self, at: Instant) {
        if at <= Instant::now() {
            return;
        }
        let (sender, due) = oneshot::channel();
        self.at(at, move || _ = sender.send(()));
        if due.await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits for a length of time.
    pub async fn wait(&self, length: Duration) {
        if !length.is_zero() {
            self.until(Instant::now() + length).await;
        }
    }
}

fn ring(shared: &Shared) {
    let mut state = held(&shared.state);
    while !state.closed {
        let now = Instant::now();
        match state.calls.first_key_value().map(|((due, _), _)| *due) {
            None => state = shared.earlier.wait(state).unwrap_or_else(|e| e.into_inner()),
            Some(due) if due > now => {
                let waited = shared.earlier.wait_timeout(state, due - now);
                state = waited.unwrap_or_else(|e| e.into_inner()).0;
            }
            Some(_) => {
                let call = state.calls.pop_first().map(|(_, call)| call);
                drop(state);
                call.into_iter().for_each(|call| call());
                state = held(&shared.state);
            }
        }
    }
}

impl Drop for Alarm {
    fn drop(&mut self) {
        let calls = {
            let mut state = held(&self.shared.state);
            state.closed = true;
            std::mem::take(&mut state.calls)
        };
        drop(calls); // not under the lock: what they hold may call back
        self.shared.earlier.notify_one();
        if let Some(thread) = self.thread.take()
            && thread.thread().id() != std::thread::current().id()
        {
            let _ = thread.join(); // it panicked in a call, which has been reported
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::mpsc::channel;

    #[test]
    fn calls_are_made_in_the_order_in_which_they_are_due_and_never_early() {
        let alarm = Alarm::start().unwrap();
        let (sender, made) = channel();
        let begin = Instant::now();
        for (number, after) in [(2, 20), (0, 1), (1, 10), (3, 20)] {
            let (due, sender) = (begin + Duration::from_millis(after), sender.clone());
            alarm.at(due, move || sender.send((number, Instant::now() >= due)).unwrap());
        }
        let all: Vec<_> = made.iter().take(4).collect();
        assert_eq!(all, [(0, true), (1, true), (2, true), (3, true)]);
    }

    #[test]
    fn what_is_not_due_at_the_end_is_dropped() {
        let alarm = Alarm::start().unwrap();
        let (sender, made) = channel::<()>();
        alarm.at(Instant::now() + Duration::from_secs(3600), move || sender.send(()).unwrap());
        drop(alarm);
        assert!(made.recv().is_err());
    }
}

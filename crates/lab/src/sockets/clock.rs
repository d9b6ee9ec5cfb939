//! A clock in nanoseconds since a start, and a timer thread that makes calls when they are due.

use super::lock;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// Measures time since a start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_ms: u64,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_ms: unix.as_millis() as u64 }
    }

    /// Returns the nanoseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    /// Converts a time of this clock to an [`Instant`].
    pub fn instant(&self, at: u64) -> Instant {
        self.start + Duration::from_nanos(at)
    }

    /// Converts a time of this clock to Unix time in milliseconds, as used by discovery.
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
    earlier_call: Condvar,
}

/// Makes calls when they are due, from its own thread. The runtime's timers have a resolution of one
/// millisecond, which is too coarse compared to a server's work per request.
pub struct Alarm {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Alarm {
    /// Starts the thread.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start() -> io::Result<Alarm> {
        let shared = Arc::<Shared>::default();
        let thread_shared = shared.clone();
        let thread =
            std::thread::Builder::new().name("alarm".into()).spawn(move || run_timer(&thread_shared))?;
        Ok(Alarm { shared, thread: Some(thread) })
    }

    /// Schedules a call. The call must be fast, because later calls wait for it.
    pub fn at(&self, at: Instant, call: impl FnOnce() + Send + 'static) {
        let mut state = lock(&self.shared.state);
        let number = state.next;
        state.next += 1;
        let first = state.calls.first_key_value().is_none_or(|((due, _), _)| at < *due);
        state.calls.insert((at, number), Box::new(call));
        drop(state);
        if first {
            self.shared.earlier_call.notify_one();
        }
    }

    /// Waits until a time. Never returns if the thread has ended.
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

    /// Waits for a duration.
    pub async fn wait(&self, length: Duration) {
        if !length.is_zero() {
            self.until(Instant::now() + length).await;
        }
    }
}

fn run_timer(shared: &Shared) {
    let mut state = lock(&shared.state);
    while !state.closed {
        let now = Instant::now();
        match state.calls.first_key_value().map(|((due, _), _)| *due) {
            None => state = shared.earlier_call.wait(state).unwrap_or_else(|e| e.into_inner()),
            Some(due) if due > now => {
                let waited = shared.earlier_call.wait_timeout(state, due - now);
                state = waited.unwrap_or_else(|e| e.into_inner()).0;
            }
            Some(_) => {
                let call = state.calls.pop_first().map(|(_, call)| call);
                drop(state);
                call.into_iter().for_each(|call| call());
                state = lock(&shared.state);
            }
        }
    }
}

impl Drop for Alarm {
    fn drop(&mut self) {
        let calls = {
            let mut state = lock(&self.shared.state);
            state.closed = true;
            std::mem::take(&mut state.calls)
        };
        drop(calls); // without the lock: captured values may schedule calls on drop
        self.shared.earlier_call.notify_one();
        if let Some(thread) = self.thread.take()
            && thread.thread().id() != std::thread::current().id()
        {
            let _ = thread.join(); // an error means that a call panicked, which has been reported
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::mpsc::channel;

    #[test]
    fn calls_are_made_in_due_order_and_never_early() {
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
    fn calls_not_due_when_the_alarm_is_dropped_are_discarded() {
        let alarm = Alarm::start().unwrap();
        let (sender, made) = channel::<()>();
        alarm.at(Instant::now() + Duration::from_secs(3600), move || sender.send(()).unwrap());
        drop(alarm);
        assert!(made.recv().is_err());
    }
}

//! Tests of a single server in virtual time.

use super::{Machine, RequestEvent, RequestSpec, Shape};
use crate::model::MachineChange;
use crate::scenario::{Kind, Rules, Span};
use crate::sockets::random::{exponential, stream};

const MS: u64 = 1_000_000;

/// A server and the events of its requests that the test has not read yet.
struct TestServer {
    machine: Machine,
    events: Vec<(u64, RequestEvent)>,
}

impl TestServer {
    fn new(kind: &str) -> TestServer {
        let kind: Kind = toml::from_str(&format!("name=\"k\"\n{kind}")).unwrap();
        let shape = Shape { kind, speed: 1.0, rules: Rules::default() };
        TestServer { machine: Machine::new(shape, stream(5, "server", 0), true), events: Vec::new() }
    }

    /// Sends a request. Both the time and the work are in milliseconds.
    fn arrive(&mut self, at: u64, work: u64) -> u64 {
        self.send(at, RequestSpec { part: work * MS, ..RequestSpec::default() })
    }

    fn send(&mut self, at: u64, spec: RequestSpec) -> u64 {
        let ticket = self.machine.arrive(at * MS, spec);
        self.events.extend(self.machine.take_events());
        ticket
    }

    /// Returns the events up to a time in milliseconds. Requests whose part is done are finished at once.
    fn events_until(&mut self, at: u64) -> Vec<(u64, RequestEvent)> {
        self.machine.advance(at * MS);
        let mut events = std::mem::take(&mut self.events);
        events.extend(self.machine.take_events());
        for (ticket, _) in events.iter().filter(|(_, event)| *event == RequestEvent::PartDone) {
            _ = self.machine.finish(at * MS, *ticket, true);
        }
        self.events.extend(self.machine.take_events());
        events
    }

    fn tally(&mut self, at: u64) -> super::Tally {
        self.machine.tally(at * MS)
    }
}

#[test]
fn requests_get_slots_and_cores_in_order_and_are_rejected_when_the_queue_is_full() {
    let mut server = TestServer::new("cores=1\nslots=2\nqueue=1");
    let tickets: Vec<u64> = (0..4).map(|_| server.arrive(0, 10)).collect();
    assert_eq!(server.events_until(9), [(tickets[3], RequestEvent::QueueFull)]);
    assert_eq!(server.events_until(10), [(tickets[0], RequestEvent::PartDone)]); // its slot goes to the third
    assert_eq!(server.machine.due(10 * MS), Some(20 * MS));
    assert_eq!(
        server.events_until(35),
        [(tickets[1], RequestEvent::PartDone), (tickets[2], RequestEvent::PartDone)]
    );
    let tally = server.tally(40);
    assert_eq!((tally.attempts, tally.turned_away, tally.peak_requests), (4, 1, 3));
    assert_eq!((tally.work, tally.wasted, tally.uptime), (30.0 * MS as f64, 0.0, 40 * MS));
}

#[test]
fn request_keeps_its_slot_while_it_waits_for_the_next_tier() {
    let mut server = TestServer::new("cores=4\nslots=1\nqueue=9");
    let first = server.arrive(0, 5);
    let second = server.arrive(0, 5);
    server.machine.advance(50 * MS);
    assert_eq!(server.machine.take_events(), [(first, RequestEvent::PartDone)]);
    assert_eq!(server.machine.finish(50 * MS, first, true), Some(true));
    assert_eq!(server.events_until(55), [(second, RequestEvent::PartDone)]);
}

#[test]
fn late_timer_does_not_slow_the_server_down() {
    let mut server = TestServer::new("cores=1\nslots=1");
    let tickets: Vec<u64> = (0..3).map(|_| server.arrive(0, 10)).collect();
    server.machine.advance(15 * MS);
    _ = server.machine.finish(15 * MS, tickets[0], true); // frees the slot
    assert_eq!(server.machine.due(15 * MS), Some(25 * MS));
    let mut server = TestServer::new("cores=1\nslots=9");
    let tickets: Vec<u64> = (0..3).map(|_| server.arrive(0, 10)).collect();
    let all = tickets.iter().map(|t| (*t, RequestEvent::PartDone)).collect::<Vec<_>>();
    assert_eq!(server.events_until(30), all); // although `advance` was not called in between
}

#[test]
fn request_that_expires_in_the_queue_costs_no_work() {
    let mut server = TestServer::new("cores=1\nslots=1");
    let first = server.arrive(0, 10);
    let over = server.send(0, RequestSpec { until: Some(9 * MS), part: 10 * MS, calls: 0 });
    let other = server.arrive(0, 10);
    assert_eq!(server.events_until(10), [(first, RequestEvent::PartDone)]);
    assert_eq!(server.events_until(20), [(over, RequestEvent::Expired), (other, RequestEvent::PartDone)]);
    assert_eq!(server.tally(20).work, 20.0 * MS as f64);
}

#[test]
fn request_waits_for_a_core_again_after_each_call() {
    let mut server = TestServer::new("cores=1\nslots=2");
    let (a, b) = (server.arrive(0, 10), server.arrive(5, 10));
    server.machine.advance(12 * MS);
    assert_eq!(server.machine.take_events(), [(a, RequestEvent::PartDone)]);
    server.machine.resume(12 * MS, a); // its call took 2 ms; b has the core until 20
    assert_eq!(server.events_until(29), [(b, RequestEvent::PartDone)]);
    assert_eq!(server.events_until(30), [(a, RequestEvent::PartDone)]);
    assert_eq!(server.machine.finish(30 * MS, a, true), None); // finished before
}

#[test]
fn canceled_request_is_removed_according_to_the_cancel_mode() {
    for (cancel, completed, wasted) in [("none", 2, 20.0), ("queued", 1, 10.0), ("running", 0, 4.0)] {
        let mut server = TestServer::new(&format!("cores=1\nslots=1\ncancel=\"{cancel}\""));
        let (running, waits) = (server.arrive(0, 10), server.arrive(0, 10));
        server.machine.cancel_request(4 * MS, waits);
        server.machine.cancel_request(4 * MS, running);
        assert_eq!(server.events_until(100).len() + server.events_until(200).len(), completed, "{cancel}");
        assert_eq!(server.tally(200).wasted, wasted * MS as f64, "{cancel}");
    }
}

#[test]
fn draining_errors_hangs_and_deaths_have_different_effects() {
    let mut server = TestServer::new("cores=1\nslots=2\nqueue=1");
    let running = server.arrive(0, 10);
    server.machine.change(MS, MachineChange::Hang(true));
    let (waits, queues, rejected) = (server.arrive(1, 1), server.arrive(1, 1), server.arrive(1, 1));
    assert_eq!(server.events_until(50), [(rejected, RequestEvent::QueueFull)]);
    server.machine.change(50 * MS, MachineChange::Hang(false));
    assert_eq!(server.events_until(60), [(running, RequestEvent::PartDone), (waits, RequestEvent::PartDone)]);
    assert_eq!(server.events_until(61), [(queues, RequestEvent::PartDone)]);

    server.machine.change(61 * MS, MachineChange::Errors(1.0));
    let failed = server.arrive(61, 1);
    server.machine.change(61 * MS, MachineChange::Errors(0.0));
    assert_eq!(server.events_until(61), [(failed, RequestEvent::Error)]);

    let works = server.arrive(61, 10);
    server.machine.change(62 * MS, MachineChange::Drain);
    let rejected = server.arrive(62, 10);
    assert_eq!(
        server.events_until(71),
        [(rejected, RequestEvent::Draining), (works, RequestEvent::PartDone)]
    );

    server.machine.start(71 * MS, true);
    server.arrive(71, 10);
    server.machine.stop(74 * MS);
    assert_eq!((server.events_until(100), server.machine.due(100 * MS)), (vec![], None));
    let tally = server.tally(100);
    assert_eq!((tally.deaths, tally.uptime), (1, 74 * MS));
    assert_eq!(tally.wasted, 3.0 * MS as f64);
}

#[test]
fn pause_delays_running_and_waiting_requests() {
    let mut server = TestServer::new("cores=1\nslots=9\npause={every=\"200ms\",length=\"50ms\"}");
    let begins = server.machine.due(0).unwrap();
    let (first, second) = (begins / MS - 5, begins / MS + 1);
    let (a, b) = (server.arrive(first, 10), server.arrive(second, 10));
    assert_eq!(server.events_until(first + 59), []);
    assert_eq!(server.events_until(first + 61), [(a, RequestEvent::PartDone)]);
    assert_eq!(server.events_until(first + 71), [(b, RequestEvent::PartDone)]);
}

#[test]
fn overload_makes_a_cold_server_fail_but_not_a_warm_one() {
    let kind = "cores=1\nslots=1\nqueue=1\ncold={from=0.1,warm_in=\"20s\"}";
    let sent = |cold: bool, work: u64| {
        let mut server = TestServer::new(kind);
        server.machine.start(0, cold);
        // The limit is 3 times what a tenth of a core can do in the window of 3 s: 0.9 s at first.
        (0..10).for_each(|n| _ = server.arrive(n, work));
        server.machine.fell_over()
    };
    assert_eq!([sent(true, 80), sent(true, 120), sent(false, 120)], [false, true, false]);
}

#[test]
fn connections_are_counted_limited_and_cost_work() {
    let mut server = TestServer::new("cores=1\nconnections={cap=2,handshake_work=\"10ms\"}");
    assert!(server.machine.connect(0) && server.machine.connect(0));
    assert!(!server.machine.connect(0));
    server.machine.disconnect(5 * MS);
    assert!(server.machine.connect(10 * MS));
    let waits = server.arrive(10, 1);
    assert_eq!(server.events_until(31), [(waits, RequestEvent::PartDone)]);
    let tally = server.tally(31);
    assert_eq!((tally.handshakes, tally.peak_connections), (3, 2));
    assert_eq!(tally.connection_time, (2 * 5 + 5 + 2 * 21) as f64 * MS as f64);
}

/// The mean time in an M/M/1 system is 1 / (service rate - arrival rate).
#[test]
fn mean_time_in_system_matches_the_mm1_formula() {
    let mut server = TestServer::new("cores=1");
    let rng = &mut stream(11, "arrivals", 0);
    let (mut now, mut arrived_at) = (0, std::collections::BTreeMap::new());
    let (mut total_time, mut left) = (0.0, 0);
    while left < 200_000 {
        let next = now + exponential(MS as f64 / 0.7, rng);
        while let Some(due) = server.machine.due(now).filter(|due| *due <= next) {
            now = due;
            server.machine.advance(now);
            for (ticket, _) in server.machine.take_events() {
                total_time += (now - arrived_at.remove(&ticket).unwrap_or(now)) as f64;
                left += 1;
                _ = server.machine.finish(now, ticket, true);
            }
        }
        now = next;
        let spec = RequestSpec { part: exponential(MS as f64, rng), ..RequestSpec::default() };
        arrived_at.insert(server.machine.arrive(now, spec), now);
    }
    let mean = total_time / f64::from(left) / MS as f64;
    assert!((mean - 1.0 / 0.3).abs() < 0.1, "{mean}");
    assert!(Span::from_nanos(now).seconds() > 200.0);
}

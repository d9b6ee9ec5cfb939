//! A server by itself, in virtual time.

use super::{Ask, Machine, Said, Shape};
use crate::model::MachineChange;
use crate::scenario::{Kind, Rules, Span};
use crate::sockets::chance::{exponential, stream};

const MS: u64 = 1_000_000;

/// A server, and what it said of the requests so far.
struct Bench {
    machine: Machine,
    said: Vec<(u64, Said)>,
}

impl Bench {
    fn new(kind: &str) -> Bench {
        let kind: Kind = toml::from_str(&format!("name=\"k\"\n{kind}")).unwrap();
        let shape = Shape { kind, speed: 1.0, rules: Rules::default() };
        Bench { machine: Machine::new(shape, stream(5, "server", 0), true), said: Vec::new() }
    }

    /// A request comes at a time, in milliseconds, with this much work.
    fn arrive(&mut self, at: u64, work: u64) -> u64 {
        self.ask(at, Ask { part: work * MS, ..Ask::default() })
    }

    fn ask(&mut self, at: u64, ask: Ask) -> u64 {
        let ticket = self.machine.arrive(at * MS, ask);
        self.said.extend(self.machine.said());
        ticket
    }

    /// What is said of requests by a time; what ran leaves at once.
    fn until(&mut self, at: u64) -> Vec<(u64, Said)> {
        self.machine.advance(at * MS);
        let mut said = std::mem::take(&mut self.said);
        said.extend(self.machine.said());
        for (ticket, _) in said.iter().filter(|(_, said)| *said == Said::Ran) {
            _ = self.machine.leave(at * MS, *ticket, true);
        }
        self.said.extend(self.machine.said());
        said
    }

    fn tally(&mut self, at: u64) -> super::Tally {
        self.machine.tally(at * MS)
    }
}

#[test]
fn requests_take_slots_and_cores_in_turn_and_the_rest_is_turned_away() {
    let mut bench = Bench::new("cores=1\nslots=2\nqueue=1");
    let tickets: Vec<u64> = (0..4).map(|_| bench.arrive(0, 10)).collect();
    assert_eq!(bench.until(9), [(tickets[3], Said::Full)]);
    assert_eq!(bench.until(10), [(tickets[0], Said::Ran)]); // and its slot goes to the third
    assert_eq!(bench.machine.due(10 * MS), Some(20 * MS));
    assert_eq!(bench.until(35), [(tickets[1], Said::Ran), (tickets[2], Said::Ran)]);
    let tally = bench.tally(40);
    assert_eq!((tally.attempts, tally.turned_away, tally.peak_requests), (4, 1, 3));
    assert_eq!((tally.work, tally.wasted, tally.uptime), (30.0 * MS as f64, 0.0, 40 * MS));
}

#[test]
fn a_request_keeps_its_slot_while_it_waits_for_the_next_tier() {
    let mut bench = Bench::new("cores=4\nslots=1\nqueue=9");
    let first = bench.arrive(0, 5);
    let second = bench.arrive(0, 5);
    bench.machine.advance(50 * MS);
    assert_eq!(bench.machine.said(), [(first, Said::Ran)]);
    assert_eq!(bench.machine.leave(50 * MS, first, true), Some(true));
    assert_eq!(bench.until(55), [(second, Said::Ran)]);
}

#[test]
fn a_late_timer_slows_nothing_down() {
    let mut bench = Bench::new("cores=1\nslots=1");
    let tickets: Vec<u64> = (0..3).map(|_| bench.arrive(0, 10)).collect();
    bench.machine.advance(15 * MS);
    _ = bench.machine.leave(15 * MS, tickets[0], true); // a slot is given back when it is
    assert_eq!(bench.machine.due(15 * MS), Some(25 * MS));
    let mut bench = Bench::new("cores=1\nslots=9");
    let tickets: Vec<u64> = (0..3).map(|_| bench.arrive(0, 10)).collect();
    let all = tickets.iter().map(|t| (*t, Said::Ran)).collect::<Vec<_>>();
    assert_eq!(bench.until(30), all); // though nobody looked before
}

#[test]
fn what_is_over_when_its_turn_comes_costs_nothing() {
    let mut bench = Bench::new("cores=1\nslots=1");
    let first = bench.arrive(0, 10);
    let over = bench.ask(0, Ask { until: Some(9 * MS), part: 10 * MS, calls: 0 });
    let other = bench.arrive(0, 10);
    assert_eq!(bench.until(10), [(first, Said::Ran)]);
    assert_eq!(bench.until(20), [(over, Said::Over), (other, Said::Ran)]);
    assert_eq!(bench.tally(20).work, 20.0 * MS as f64);
}

#[test]
fn between_its_calls_a_request_waits_for_a_core_like_others() {
    let mut bench = Bench::new("cores=1\nslots=2");
    let (a, b) = (bench.arrive(0, 10), bench.arrive(5, 10));
    bench.machine.advance(12 * MS);
    assert_eq!(bench.machine.said(), [(a, Said::Ran)]);
    bench.machine.goes_on(12 * MS, a); // its call took 2 ms; b has the core until 20
    assert_eq!(bench.until(29), [(b, Said::Ran)]);
    assert_eq!(bench.until(30), [(a, Said::Ran)]);
    assert_eq!(bench.machine.leave(30 * MS, a, true), None); // left already
}

#[test]
fn what_is_called_off_goes_as_its_kind_says() {
    for (cancel, left_done, wasted) in [("none", 2, 20.0), ("queued", 1, 10.0), ("running", 0, 4.0)] {
        let mut bench = Bench::new(&format!("cores=1\nslots=1\ncancel=\"{cancel}\""));
        let (running, waits) = (bench.arrive(0, 10), bench.arrive(0, 10));
        bench.machine.call_off(4 * MS, waits);
        bench.machine.call_off(4 * MS, running);
        assert_eq!(bench.until(100).len() + bench.until(200).len(), left_done, "{cancel}");
        assert_eq!(bench.tally(200).wasted, wasted * MS as f64, "{cancel}");
    }
}

#[test]
fn draining_failing_hanging_and_dying_are_told_apart() {
    let mut bench = Bench::new("cores=1\nslots=2\nqueue=1");
    let under_way = bench.arrive(0, 10);
    bench.machine.change(MS, MachineChange::Hang(true));
    let (waits, queues, away) = (bench.arrive(1, 1), bench.arrive(1, 1), bench.arrive(1, 1));
    assert_eq!(bench.until(50), [(away, Said::Full)]);
    bench.machine.change(50 * MS, MachineChange::Hang(false));
    assert_eq!(bench.until(60), [(under_way, Said::Ran), (waits, Said::Ran)]);
    assert_eq!(bench.until(61), [(queues, Said::Ran)]);

    bench.machine.change(61 * MS, MachineChange::Errors(1.0));
    let failed = bench.arrive(61, 1);
    bench.machine.change(61 * MS, MachineChange::Errors(0.0));
    assert_eq!(bench.until(61), [(failed, Said::Error)]);

    let works = bench.arrive(61, 10);
    bench.machine.change(62 * MS, MachineChange::Drain);
    let away = bench.arrive(62, 10);
    assert_eq!(bench.until(71), [(away, Said::Draining), (works, Said::Ran)]);

    bench.machine.start(71 * MS, true);
    bench.arrive(71, 10);
    bench.machine.stop(74 * MS);
    assert_eq!((bench.until(100), bench.machine.due(100 * MS)), (vec![], None));
    let tally = bench.tally(100);
    assert_eq!((tally.deaths, tally.uptime), (1, 74 * MS));
    assert_eq!(tally.wasted, 3.0 * MS as f64);
}

#[test]
fn a_pause_puts_off_what_runs_and_what_waits() {
    let mut bench = Bench::new("cores=1\nslots=9\npause={every=\"200ms\",length=\"50ms\"}");
    let begins = bench.machine.due(0).unwrap();
    let (first, second) = (begins / MS - 5, begins / MS + 1);
    let (a, b) = (bench.arrive(first, 10), bench.arrive(second, 10));
    assert_eq!(bench.until(first + 59), []);
    assert_eq!(bench.until(first + 61), [(a, Said::Ran)]);
    assert_eq!(bench.until(first + 71), [(b, Said::Ran)]);
}

#[test]
fn a_cold_server_that_is_sent_too_much_falls_over_and_a_warm_one_does_not() {
    let kind = "cores=1\nslots=1\nqueue=1\ncold={from=0.1,warm_in=\"20s\"}";
    let sent = |cold: bool, work: u64| {
        let mut bench = Bench::new(kind);
        bench.machine.start(0, cold);
        // The window of 3 s has room for 3 times what a tenth of a core does in it: 0.9 s at first.
        (0..10).for_each(|n| _ = bench.arrive(n, work));
        bench.machine.fell_over()
    };
    assert_eq!([sent(true, 80), sent(true, 120), sent(false, 120)], [false, true, false]);
}

#[test]
fn connections_are_counted_capped_and_cost_work() {
    let mut bench = Bench::new("cores=1\nconnections={cap=2,handshake_work=\"10ms\"}");
    assert!(bench.machine.connect(0) && bench.machine.connect(0));
    assert!(!bench.machine.connect(0));
    bench.machine.disconnect(5 * MS);
    assert!(bench.machine.connect(10 * MS));
    let waits = bench.arrive(10, 1);
    assert_eq!(bench.until(31), [(waits, Said::Ran)]);
    let tally = bench.tally(31);
    assert_eq!((tally.handshakes, tally.peak_connections), (3, 2));
    assert_eq!(tally.connection_time, (2 * 5 + 5 + 2 * 21) as f64 * MS as f64);
}

/// Mean time in an M/M/1 system: 1 / (service rate - arrival rate).
#[test]
fn the_queue_is_as_long_as_the_formula_says() {
    let mut bench = Bench::new("cores=1");
    let chance = &mut stream(11, "arrivals", 0);
    let (mut now, mut came) = (0, std::collections::BTreeMap::new());
    let (mut in_all, mut left) = (0.0, 0);
    while left < 200_000 {
        let next = now + exponential(MS as f64 / 0.7, chance);
        while let Some(due) = bench.machine.due(now).filter(|due| *due <= next) {
            now = due;
            bench.machine.advance(now);
            for (ticket, _) in bench.machine.said() {
                in_all += (now - came.remove(&ticket).unwrap_or(now)) as f64;
                left += 1;
                _ = bench.machine.leave(now, ticket, true);
            }
        }
        now = next;
        let ask = Ask { part: exponential(MS as f64, chance), ..Ask::default() };
        came.insert(bench.machine.arrive(now, ask), now);
    }
    let mean = in_all / f64::from(left) / MS as f64;
    assert!((mean - 1.0 / 0.3).abs() < 0.1, "{mean}");
    assert!(Span::from_nanos(now).seconds() > 200.0);
}

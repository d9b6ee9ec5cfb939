//! A server by itself, in virtual time.

use super::{Ask, Machine, Said, Shape};
use crate::scenario::{Kind, Rules, Span};
use crate::sockets::chance::{exponential, stream};
use crate::sockets::effects::Effects;
use crate::sockets::faults::Trouble;

const MS: u64 = 1_000_000;

/// A server, its key tables, and what it said of the requests so far.
struct Bench {
    machine: Machine,
    effects: Effects,
    said: Vec<(u64, Said)>,
}

impl Bench {
    fn new(kind: &str) -> Bench {
        let kind: Kind = toml::from_str(&format!("name=\"k\"\n{kind}")).unwrap();
        let class = r#"{"name":"x","aim":"1s","deadline":"2s","effect":"by_key","group":"cell","window":"5s",
            "work":{"dist":"fixed","mean":"1ms"}}"#;
        let shape = Shape { kind, speed: 1.0, zone: 0, cell: 0, rules: Rules::default() };
        let effects = Effects::new(&[serde_json::from_str(class).unwrap()]);
        Bench { machine: Machine::new(shape, stream(5, "server", 0)), effects, said: Vec::new() }
    }

    /// A request comes at a time, in milliseconds, with this much work.
    fn arrive(&mut self, at: u64, work: u64) -> u64 {
        self.ask(at, Ask { work: work * MS, ..Ask::default() })
    }

    fn ask(&mut self, at: u64, ask: Ask) -> u64 {
        let ticket = self.machine.arrive(at * MS, ask, &mut self.effects);
        self.said.extend(self.machine.said());
        ticket
    }

    /// What is said of requests by a time; what ran leaves at once.
    fn until(&mut self, at: u64) -> Vec<(u64, Said)> {
        self.machine.advance(at * MS, &mut self.effects);
        let mut said = std::mem::take(&mut self.said);
        said.extend(self.machine.said());
        for (ticket, _) in said.iter().filter(|(_, said)| *said == Said::Ran) {
            self.machine.leave(at * MS, *ticket, true, &mut self.effects);
        }
        self.said.extend(self.machine.said());
        said
    }

    fn tally(&mut self, at: u64) -> super::Tally {
        self.machine.tally(at * MS, &mut self.effects)
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
    bench.machine.advance(50 * MS, &mut bench.effects);
    assert_eq!(bench.machine.said(), [(first, Said::Ran)]);
    assert!(bench.machine.leave(50 * MS, first, true, &mut bench.effects));
    assert_eq!(bench.until(55), [(second, Said::Ran)]);
}

#[test]
fn a_late_timer_slows_nothing_down() {
    let mut bench = Bench::new("cores=1\nslots=1");
    let tickets: Vec<u64> = (0..3).map(|_| bench.arrive(0, 10)).collect();
    bench.machine.advance(15 * MS, &mut bench.effects);
    bench.machine.leave(15 * MS, tickets[0], true, &mut bench.effects); // a slot is given back when it is
    assert_eq!(bench.machine.due(15 * MS), Some(25 * MS));
    let mut bench = Bench::new("cores=1\nslots=9");
    let tickets: Vec<u64> = (0..3).map(|_| bench.arrive(0, 10)).collect();
    let all = tickets.iter().map(|t| (*t, Said::Ran)).collect::<Vec<_>>();
    assert_eq!(bench.until(30), all); // though nobody looked before
}

#[test]
fn what_is_over_or_known_when_its_turn_comes_costs_nothing() {
    let mut bench = Bench::new("cores=1\nslots=1");
    let key = |k: &str| Ask { key: Some(k.into()), work: 10 * MS, ..Ask::default() };
    let first = bench.ask(0, key("k"));
    let over = bench.ask(0, Ask { until: Some(9 * MS), ..key("l") });
    let repeat = bench.ask(0, key("k"));
    let other = bench.ask(0, key("m"));
    assert_eq!(bench.until(10), [(first, Said::Ran)]);
    assert_eq!(bench.until(20), [(over, Said::Over), (repeat, Said::Repeat), (other, Said::Ran)]);
    assert_eq!(bench.tally(20).work, 20.0 * MS as f64);
    assert_eq!(bench.effects.twice(), 0);
}

#[test]
fn what_is_called_off_goes_as_its_kind_says() {
    for (cancel, left_done, wasted) in [("none", 2, 20.0), ("queued", 1, 10.0), ("running", 0, 4.0)] {
        let mut bench = Bench::new(&format!("cores=1\nslots=9\ncancel=\"{cancel}\""));
        let (running, waits) = (bench.arrive(0, 10), bench.arrive(0, 10));
        bench.machine.call_off(4 * MS, waits, &mut bench.effects);
        bench.machine.call_off(4 * MS, running, &mut bench.effects);
        assert_eq!(bench.until(100).len(), left_done, "{cancel}");
        assert_eq!(bench.tally(100).wasted, wasted * MS as f64, "{cancel}");
    }
}

#[test]
fn draining_failing_hanging_and_dying_are_told_apart() {
    let mut bench = Bench::new("cores=1\nslots=9");
    let under_way = bench.arrive(0, 10);
    bench.machine.trouble(Trouble::Hang, true);
    let swallowed = bench.arrive(1, 1);
    assert_eq!(bench.until(50), []);
    assert!(!bench.machine.leave(50 * MS, under_way, true, &mut bench.effects));
    bench.machine.trouble(Trouble::Hang, false);
    assert_eq!(bench.until(60), []);
    assert!(bench.machine.call_off(60 * MS, swallowed, &mut bench.effects));

    bench.machine.trouble(Trouble::FastErrors(1.0), true);
    let failed = bench.arrive(60, 1);
    bench.machine.trouble(Trouble::FastErrors(1.0), false);
    assert_eq!(bench.until(60), [(failed, Said::Error)]);

    let works = bench.arrive(60, 10);
    bench.machine.drain();
    let away = bench.arrive(61, 10);
    assert_eq!(bench.until(70), [(away, Said::Draining), (works, Said::Ran)]);

    bench.machine.start(70 * MS, true);
    bench.arrive(70, 10);
    bench.machine.stop(74 * MS, &mut bench.effects);
    assert_eq!((bench.until(100), bench.machine.due(100 * MS)), (vec![], None));
    let tally = bench.tally(100);
    assert_eq!((tally.deaths, tally.uptime), (1, 74 * MS));
    assert_eq!(tally.wasted, 14.0 * MS as f64); // what the hang swallowed, and a part of the last
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
    let effects = &mut bench.effects;
    assert!(bench.machine.connect(0, effects) && bench.machine.connect(0, effects));
    assert!(!bench.machine.connect(0, effects));
    bench.machine.disconnect(5 * MS, effects);
    assert!(bench.machine.connect(10 * MS, effects));
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
            bench.machine.advance(now, &mut bench.effects);
            for (ticket, _) in bench.machine.said() {
                in_all += (now - came.remove(&ticket).unwrap_or(now)) as f64;
                left += 1;
                bench.machine.leave(now, ticket, true, &mut bench.effects);
            }
        }
        now = next;
        let ask = Ask { work: exponential(MS as f64, chance), ..Ask::default() };
        came.insert(bench.machine.arrive(now, ask, &mut bench.effects), now);
    }
    let mean = in_all / f64::from(left) / MS as f64;
    assert!((mean - 1.0 / 0.3).abs() < 0.1, "{mean}");
    assert!(Span::from_nanos(now).seconds() > 200.0);
}

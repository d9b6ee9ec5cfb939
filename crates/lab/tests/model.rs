//! The model held against what is known: queues with formulas, conservation, digests, and each of the
//! monitors against a policy that breaks its rule.

use olivecart_lab::run::{Options, run};
use olivecart_lab::run_result::RunResult;
use olivecart_lab::scenario::{Checked, Scenario};
use std::path::Path;

fn scenario(name: &str) -> Checked {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(name);
    Scenario::read(&path).unwrap_or_else(|problems| panic!("{problems}"))
}

fn changed(name: &str, change: impl FnOnce(&mut Scenario)) -> Checked {
    let mut scenario = scenario(name).into_inner();
    change(&mut scenario);
    Checked::new(scenario).unwrap_or_else(|problems| panic!("{problems}"))
}

fn play(scenario: &Checked, policy: &str, seed: u64, threads: usize) -> RunResult {
    let options = Options { threads, timed: false };
    run(scenario, policy, seed, options).unwrap_or_else(|error| panic!("{}: {error}", scenario.name))
}

/// Mean response time of a queue over some long runs, in units of the mean service time.
fn mean_response(name: &str, load: f64, minutes: &str, seeds: u64) -> f64 {
    let scenario = changed(name, |s| {
        s.clients.load = Some(load);
        s.length = minutes.parse().expect("a length of time");
    });
    let runs: Vec<RunResult> = std::thread::scope(|scope| {
        let each = |seed| {
            let scenario = &scenario;
            scope.spawn(move || play(scenario, "random", seed, 1))
        };
        let handles: Vec<_> = (1..=seeds).map(each).collect();
        handles.into_iter().map(|h| h.join().expect("it ends")).collect()
    });
    let (mut sum, mut count) = (0.0, 0);
    for run in &runs {
        let latency = run.classes[0].latency;
        assert_eq!(run.totals.in_time, run.totals.offered, "nothing is lost");
        assert_eq!(run.unsound, Vec::<String>::new());
        sum += latency.mean_ms * latency.count as f64;
        count += latency.count;
    }
    let network = 4.0 * 0.02; // four ways of 20 us
    let service = scenario.class[0].work.mean_s() * 1e3;
    (sum / count as f64 - network) / service
}

/// Probability that an arrival at M/M/c waits (Erlang's C formula, 1917), with c servers at a load.
fn erlang_c(c: u32, load: f64) -> f64 {
    let offered = f64::from(c) * load;
    let term = |k: u32| (1..=k).fold(1.0, |product, i| product * offered / f64::from(i));
    let waits = term(c) / (1.0 - load);
    waits / ((0..c).map(term).sum::<f64>() + waits)
}

fn agrees(name: &str, c: u32, load: f64, minutes: &str) {
    let expected = 1.0 + erlang_c(c, load) / (f64::from(c) * (1.0 - load));
    let measured = mean_response(name, load, minutes, 8);
    let off = measured / expected - 1.0;
    assert!(
        off.abs() < 0.03,
        "{name} at {load}: {measured:.3} against {expected:.3}, {:.1}% off",
        off * 100.0
    );
}

#[test]
fn one_server_agrees_with_the_formula_of_mm1() {
    agrees("mm1.toml", 1, 0.5, "10m");
    agrees("mm1.toml", 1, 0.8, "20m");
    agrees("mm1.toml", 1, 0.9, "60m");
}

#[test]
fn four_cores_agree_with_the_formula_of_mm4() {
    agrees("mm4.toml", 4, 0.5, "3m");
    agrees("mm4.toml", 4, 0.8, "8m");
    agrees("mm4.toml", 4, 0.9, "16m");
}

#[test]
fn a_closed_day_without_faults_loses_nothing() {
    let scenario = changed("calm.toml", |s| {
        s.clients.load = Some(0.1);
        s.clients.impatient = 0.0;
        s.tier.iter_mut().flat_map(|t| &mut t.kind).for_each(|k| k.error_rate = 0.0);
    });
    for &policy in olivecart_lab::policy::NAMES {
        let result = play(&scenario, policy, 3, 1);
        let t = &result.totals;
        // The decisions call off what takes many times its class's usual time, and so lose a request in
        // thousands whose work is just that heavy.
        let most = if policy == "olivecart" { t.offered / 1000 } else { 0 };
        assert!(t.refused + t.failed + t.late <= most, "{policy}: {t:?}");
        assert_eq!(t.in_time + t.refused + t.failed + t.late, t.offered);
        assert_eq!(result.unsound, Vec::<String>::new(), "{policy}");
        assert_eq!(result.breaches, Vec::new(), "{policy}");
    }
}

#[test]
fn digests_are_equal_on_any_number_of_threads() {
    for (name, policy) in
        [("three_tiers.toml", "olivecart"), ("rules.toml", "olivecart"), ("partition.toml", "oracle")]
    {
        let scenario = changed(name, |s| {
            s.length = "8s".parse().expect("a length of time");
            s.warmup = Default::default();
            s.fault.retain(|f| f.start < s.length);
        });
        let one = play(&scenario, policy, 5, 1);
        for threads in [2, 8] {
            let other = play(&scenario, policy, 5, threads);
            assert_eq!(other.digest, one.digest, "{name}, {policy}, {threads} threads");
            assert_eq!(RunResult { cost: one.cost, ..other }, one, "{name}, {policy}, {threads} threads");
        }
        assert_ne!(play(&scenario, policy, 6, 1).digest, one.digest, "another seed is another day");
    }
}

#[test]
fn every_monitor_catches_the_bug_that_is_its_own_and_is_silent_without_it() {
    let scenario = scenario("rules.toml");
    let sound = play(&scenario, "olivecart", 1, 1);
    assert_eq!(sound.breaches, Vec::new());
    assert_eq!(sound.totals.second_effects, 0);
    for (policy, rule) in [
        ("broken_sends_twice", "effect"),
        ("broken_resends_keyed", "effect"),
        ("broken_sends_to_draining", "drain"),
        ("broken_answers_twice", "answer"),
        ("broken_loses_one", "answer"),
        ("broken_answers_late", "answer"),
        ("broken_floods_cold", "cold"),
    ] {
        let result = play(&scenario, policy, 1, 1);
        let rules: Vec<&str> = result.breaches.iter().map(|b| b.rule.as_str()).collect();
        assert_eq!(rules, [rule], "{policy}");
        let breach = &result.breaches[0];
        assert!(breach.at_ms > 0.0 && breach.count > 0 && !breach.proxy.is_empty(), "{policy}: {breach:?}");
        assert!(rule == "cold" || !breach.events.is_empty(), "{policy}: no events led to it");
    }
}

#[test]
fn a_request_that_took_effect_in_two_cells_is_counted() {
    let result = play(&scenario("rules.toml"), "broken_resends_keyed", 1, 1);
    assert!(result.totals.second_effects > 0, "{:?}", result.totals);
}

/// Clients that leave early, servers that die with calls of their own out, proxies that die with requests
/// held, and both at once: every request is accounted for at every node after every event (a debug assertion
/// and a count in `unsound`), and nobody breaks a rule.
#[test]
fn deaths_and_departures_at_once_lose_no_account() {
    let fault = |kind: &str, start: &str, part: f64, tier: Option<&str>| {
        let tier = tier.map_or(String::new(), |t| format!("tier = \"{t}\"\n"));
        toml::from_str(&format!(
            "kind = \"{kind}\"\nstart = \"{start}\"\nlength = \"2s\"\npart = {part}\n{tier}"
        ))
        .expect("a fault")
    };
    let scenario = changed("three_tiers.toml", |s| {
        s.length = "14s".parse().expect("a length of time");
        s.warmup = Default::default();
        s.clients.impatient = 0.3;
        let (first, second) = (s.tier[0].name.clone(), s.tier[1].name.clone());
        s.fault = vec![
            fault("crash", "3s", 0.5, Some(&second)),
            fault("proxy_restart", "6s", 1.0, None),
            fault("crash", "9s", 0.4, Some(&first)),
            fault("proxy_restart", "9s", 1.0, None),
        ];
    });
    for seed in 1..4 {
        let result = play(&scenario, "olivecart", seed, 1);
        assert_eq!(result.unsound, Vec::<String>::new());
        assert_eq!(result.breaches, Vec::new());
        let t = &result.totals;
        assert_eq!(t.offered, t.in_time + t.late + t.refused + t.failed);
        assert!(t.failed > 0, "dead proxies fail somebody");
    }
}

#[test]
fn a_run_that_would_outgrow_its_memory_stops_and_says_so() {
    let scenario = changed("overload.toml", |s| s.model.most_open = 50);
    let error = run(&scenario, "olivecart", 1, Options::default()).expect_err("it stops").to_string();
    assert!(error.contains("model.most_open = 50"), "{error}");
    let scenario = changed("overload.toml", |s| s.model.most_events = 1000);
    let error = run(&scenario, "olivecart", 1, Options::default()).expect_err("it stops").to_string();
    assert!(error.contains("model.most_events = 1000"), "{error}");
}

//! A made-up result in which nothing is empty.

use olivecart_lab::run_result::{
    Breach, Cost, Group, Held, Latency, RunResult, SCHEMA, Second, Server, Totals, Window,
};

/// A figure between 0 and 1 that looks like chance.
fn chance(a: u64, b: u64) -> f64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&a.to_le_bytes(), b) as f64 / u64::MAX as f64
}

fn second(at: u64, seed: u64) -> Second {
    let bad = if (30..45).contains(&at) { 0.45 } else { 0.02 };
    let offered = 900 + (200.0 * chance(at, seed)) as u64;
    let refused = (offered as f64 * bad * chance(at, seed + 1)) as u64;
    let failed = refused / 4;
    let answered = if (70..73).contains(&at) { 0 } else { offered - refused - failed };
    Second {
        offered,
        in_time: answered * 9 / 10,
        late: answered / 10,
        refused,
        failed,
        worth_asked: offered as f64,
        worth_served: answered as f64 * 0.95,
        attempts: offered + refused / 2,
        attempts_all_tiers: offered * 3 + refused,
        p50_ms: if answered == 0 { 0.0 } else { 12.0 + 4.0 * chance(at, seed + 2) },
        p99_ms: if answered == 0 { 0.0 } else { 80.0 + 900.0 * bad + 30.0 * chance(at, seed + 3) },
    }
}

fn server(tier: &str, at: u64, seed: u64) -> Server {
    let capacity = 4.0 * (0.8 + 0.6 * chance(at, seed + 10));
    Server {
        name: format!("{tier}-{at}"),
        tier: tier.into(),
        zone: "a".into(),
        kind: "plain".into(),
        capacity,
        attempts: 1000,
        turned_away: at % 7,
        work_s: 100.0,
        utilization: 0.4 + 0.25 * chance(at, seed + 11) + 0.02 * capacity,
        peak_requests: 12,
        probes: 30,
        peak_connections: 9,
        deaths: u32::from(at < 2),
        fell_over: at == 3,
    }
}

fn group(name: &str, scale: f64) -> Group {
    let latency = Latency {
        count: 1000,
        mean_ms: 14.0 * scale,
        p50_ms: 11.0 * scale,
        p90_ms: 31.0 * scale,
        p99_ms: 120.0 * scale,
        p999_ms: 410.0 * scale,
        max_ms: 1900.0 * scale,
    };
    Group { name: name.into(), offered: 20_000, goodput: 0.93, refused: 410, failed: 33, latency }
}

/// The result of a seed.
pub fn full(policy: &str, seed: u64) -> RunResult {
    let window = |kind: &str, from_ms, to_ms, touched: &str| Window {
        kind: kind.into(),
        from_ms,
        to_ms,
        touched: touched.into(),
    };
    let held = |at: u64| {
        let from_ms = 30_000 + (12_000.0 * chance(at, seed + 20)) as u64;
        Held {
            proxy: format!("proxy-{}", at % 10),
            server: format!("web-{}", at % 37),
            from_ms,
            to_ms: from_ms + (15_000.0 * chance(at, seed + 21)) as u64,
            why: if at < 50 { "down".into() } else { "held".into() },
        }
    };
    let tiers = [("web", 40), ("logic", 80), ("store", 30)];
    RunResult {
        schema: SCHEMA,
        scenario: "zone loss <&>".into(),
        scenario_digest: "53a1f0c2d9e8b774".into(),
        revision: "0123abc".into(),
        policy: policy.into(),
        seed,
        digest: "9f02c66be01a77d3".into(),
        unsound: vec!["the queue of events was full at 71.2 s".into()],
        totals: Totals {
            offered: 120_000,
            in_time: 101_112,
            late: 11_201,
            refused: 6101,
            failed: 1586,
            worth_asked: 120_000.0,
            worth_served: 106_000.0,
            goodput: 0.8833,
            client_retries: 4120,
            attempts: 133_000,
            attempts_all_tiers: 402_000,
            attempts_per_request: 1.108,
            probes: 8110,
            handshakes: 2214,
            connections_per_server: 7.31,
            wasted_work: 0.0412,
            second_effects: 2,
        },
        worst_window: 0.5127,
        classes: vec![group("read", 1.0), group("search", 2.2), group("order", 0.7)],
        tenants: vec![group("small", 1.1), group("large", 0.9)],
        seconds: (0..120).map(|at| second(at, seed)).collect(),
        servers: tiers
            .iter()
            .flat_map(|&(tier, count)| (0..count).map(move |at| server(tier, at, seed)))
            .collect(),
        held: (0..200).map(held).collect(),
        faults: vec![
            window("zone_loss", 30_000, 45_000, "13 of 40 servers of web, 4 proxies"),
            window("discovery_outage", 32_000, 50_000, "discovery"),
            window("rolling_deploy", 60_000, 110_000, "all 80 servers of logic, 8 at a time"),
            window("proxy_restart", 116_000, 116_000, "2 of 10 proxies"),
        ],
        breaches: vec![Breach {
            rule: "effect".into(),
            count: 2,
            at_ms: 31_418.2,
            proxy: "proxy-7".into(),
            what: "request 4711 ran twice at web-3 and web-9".into(),
            events: vec!["31.102 s: sent to web-3".into(), "31.418 s: sent to web-9, <script>".into()],
        }],
        out_of_bounds: vec!["goodput 0.8833 is below 0.9".into()],
        cost: Cost { threads: 1, events: 9_812_331, wall_s: 8.12, policy_s: 3.3, peak_mib: 212.0 },
    }
}

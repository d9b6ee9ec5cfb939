//! Tests of layers, generated files, diffs, rollout orders and the call graph, on the valid example and on
//! generated fleets.

use olivecart_config::check::check;
use olivecart_config::diff::{Difference, TakesEffect, diff};
use olivecart_config::document::top;
use olivecart_config::explain::{explain, keys};
use olivecart_config::load::Loaded;
use olivecart_config::origin::Layer;
use olivecart_config::plan::{Budget, PlanError, plan};
use olivecart_config::report::{CODES, Severity, text};
use olivecart_config::resolve::Resolved;
use olivecart_config::write::ProxyFile;
use olivecart_config::{graph, write};
use proptest::prelude::*;
use std::path::Path;

type Files = Vec<(String, String)>;

fn example() -> Files {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/examples/fleet");
    let names = ["fleet.toml", "apps/booking.toml", "apps/records.toml", "apps/web.toml"];
    names.map(|name| (name.to_owned(), std::fs::read_to_string(root.join(name)).expect("the example"))).into()
}

/// Returns the example with some texts replaced, each of which must occur once.
fn example_with(edits: &[(&str, &str, &str)]) -> Files {
    let mut files = example();
    for (file, old, new) in edits {
        let (_, text) = files.iter_mut().find(|(name, _)| name == file).expect("a file of the example");
        assert_eq!(text.matches(old).count(), 1, "{old:?} in {file}");
        *text = text.replacen(old, new, 1);
    }
    files
}

fn load(files: &Files) -> Loaded {
    let mut loaded = Loaded::default();
    for (name, text) in files {
        loaded.add_text(name, text);
    }
    loaded
}

fn load_valid(files: &Files) -> (Loaded, Vec<Resolved>) {
    let loaded = load(files);
    let (resolved, findings) = check(&loaded, &Vec::new());
    assert_eq!(text(&findings), "");
    (loaded, resolved)
}

fn proxy_named<'a>(resolved: &'a [Resolved], name: &str) -> &'a Resolved {
    resolved.iter().find(|one| one.proxy.name == name).expect("there")
}

#[test]
fn later_layer_takes_precedence_and_every_value_has_its_origin() {
    let loaded = load(&example());
    let environment = vec![("OLIVECART_SET_MEMORY".to_owned(), "96MiB".to_owned())];
    let (resolved, findings) = check(&loaded, &environment);
    assert_eq!(text(&findings), "");
    let booking = proxy_named(&resolved, "booking");
    let of = |one: &Resolved, key: &str| one.origins[&top("settings").name(key)].layer();
    assert_eq!(of(booking, "probes"), Layer::BuiltIn);
    assert_eq!(of(booking, "attempts"), Layer::Fleet);
    assert_eq!(of(proxy_named(&resolved, "records"), "open_requests"), Layer::Tier);
    assert_eq!(of(booking, "client_connections"), Layer::Application);
    assert_eq!(of(booking, "memory"), Layer::Environment);
    assert_eq!(booking.proxy.settings.memory.expect("set").to_string(), "96MiB");
    let class = |name: &str, class: usize, key: &str| {
        let one = proxy_named(&resolved, name);
        (one.proxy.classes[class].clone(), one.origins[&top("classes").at(class).name(key)].layer())
    };
    let (view, from) = class("booking", 0, "deadline");
    assert_eq!((view.deadline.to_string(), from), ("3s".into(), Layer::Tier));
    assert_eq!(
        (view.latency_objective.to_string(), class("booking", 0, "aim").1),
        ("1s".into(), Layer::Application)
    );
    assert_eq!(class("booking", 1, "deadline").1, Layer::Fleet);
    assert_eq!(class("booking", 1, "attempt").1, Layer::BuiltIn);
}

#[test]
fn generated_files_are_valid_and_resolve_to_the_same_proxy() {
    let (loaded, resolved) = load_valid(&example());
    for one in &resolved {
        let written = write::text(one, &loaded.sources);
        assert_eq!(written, write::text(one, &loaded.sources));
        let again = vec![(format!("{}.toml", one.proxy.name), written)];
        let (_, reloaded) = load_valid(&again);
        assert_eq!(reloaded[0].proxy, one.proxy);
        for key in one.origins.keys() {
            assert!(reloaded[0].origins.contains_key(key), "{key}");
        }
    }
    let text = write::text(proxy_named(&resolved, "booking"), &loaded.sources);
    for line in [
        "client_connections = 200                # apps/booking.toml:27 (application)",
        "deadline = \"3s\"                         # fleet.toml:52 (tier)",
        "probes = true                           # built in",
    ] {
        assert!(text.lines().any(|written| written == line), "{line}\n{text}");
    }
}

#[test]
fn files_are_written_only_if_their_contents_change() {
    let place = tempfile::tempdir().expect("a directory");
    let file =
        |name: &str, contents: &str| ProxyFile { name: name.to_owned(), contents: contents.to_owned() };
    let texts = |b: &str| vec![file("a", "1\n"), file("b", b)];
    let written = |b: &str| write::files(place.path(), &texts(b)).expect("written").len();
    assert_eq!((written("2\n"), written("2\n"), written("3\n")), (2, 0, 1));
    assert_eq!(std::fs::read_to_string(place.path().join("b.toml")).expect("there"), "3\n");
    assert_eq!(std::fs::read_dir(place.path()).expect("there").count(), 2, "no temporary files are left");
    let error = write::files(&place.path().join("a.toml"), &texts("2\n")).expect_err("a file is in the way");
    assert!(error.to_string().contains("a.toml"), "{error}");
}

#[test]
fn invalid_value_inherited_by_a_thousand_applications_is_one_finding() {
    let mut files = example_with(&[("fleet.toml", "attempts = 3", "attempts = 3\nretry_after = \"9s\"")]);
    for n in 0..1000 {
        let app = format!(
            "version = 1\nkind = \"application\"\nname = \"a{n:04}\"\ntier = \"front\"\nzone = \"south\"\n\
             [inbound]\nlisten = \"0.0.0.0:8080\"\napplication = \"127.0.0.1:9080\"\n"
        );
        files.push((format!("apps/a{n:04}.toml"), app));
    }
    let (resolved, findings) = check(&load(&files), &Vec::new());
    assert_eq!((resolved.len(), findings.all().len()), (1003, 1));
    let finding = &findings.all()[0];
    assert_eq!((finding.code.id, finding.applications.len()), ("OC0205", 1003));
    assert!(finding.summary().ends_with("(in 1003 applications: a0000, a0001, a0002 and 1000 more)"));
}

#[test]
fn differences_have_time_of_effect_and_rollout_risk() {
    let (_, old) = load_valid(&example());
    let (_, new) = load_valid(&example_with(&[
        ("fleet.toml", "deadline = \"5s\"", "deadline = \"4s\""),
        ("apps/web.toml", "listen = \"127.0.0.1:7001\"", "listen = \"127.0.0.1:7011\""),
        ("apps/booking.toml", "max_requests = 200", "max_requests = 300"),
    ]));
    let all = diff(&old, &new);
    let Difference::Changed(name, edits) = &all[0] else { panic!("{all:?}") };
    let summaries: Vec<(&str, TakesEffect, bool)> = edits
        .iter()
        .map(|edit| (edit.key.as_str(), edit.takes_effect, edit.rollout_risk.is_empty()))
        .collect();
    assert_eq!(name, "booking");
    assert_eq!(
        summaries,
        [
            ("classes[pay].deadline", TakesEffect::AtRestart, false),
            ("inbound.max_requests", TakesEffect::Live, true)
        ]
    );
    let Difference::Changed(name, edits) = &all[2] else { panic!("{all:?}") };
    assert_eq!(
        (name.as_str(), edits[1].key.as_str(), edits[1].takes_effect),
        ("web", "outbound[booking].listen", TakesEffect::AtRestart)
    );
    assert_eq!(diff(&old, &old), []);
}

fn rollout_order(files: &Files, other: &Files) -> Result<Vec<String>, PlanError> {
    let ((old, before), (_, after)) = (load_valid(files), load_valid(other));
    let plan = plan(&before, &after, Budget::of(&old).expect("a fleet"))?;
    Ok(plan.steps.into_iter().map(|step| step.application).collect())
}

#[test]
fn shorter_deadline_starts_at_callees_and_longer_deadline_at_callers() {
    let short = example_with(&[("fleet.toml", "deadline = \"5s\"", "deadline = \"4s\"")]);
    assert_eq!(rollout_order(&example(), &short).expect("an order"), ["records", "booking", "web"]);
    assert_eq!(rollout_order(&short, &example()).expect("an order"), ["web", "booking", "records"]);
    assert_eq!(rollout_order(&example(), &example()).expect("an order"), Vec::<String>::new());
}

#[test]
fn pair_that_conflicts_in_either_order_has_no_plan_and_both_reasons_are_given() {
    // One deadline becomes shorter and another longer, so that either order violates a rule for one of them.
    let edits = [
        ("fleet.toml", "deadline = \"5s\"", "deadline = \"4s\""),
        ("fleet.toml", "deadline = \"6s\"", "deadline = \"7s\""),
    ];
    let Err(PlanError::PairConflict { conflict_if_first, conflict_if_second, .. }) =
        rollout_order(&example(), &example_with(&edits))
    else {
        panic!("an order")
    };
    assert!(
        conflict_if_first.contains("OC0202")
            && conflict_if_second.contains("OC0202")
            && conflict_if_first != conflict_if_second,
        "{conflict_if_first} {conflict_if_second}"
    );
    // Two applications on one machine swap ports, so that after either step both have the same port.
    let machine = |a: &str, b: &str| {
        let web = format!(
            "machine = \"m2\"\nzone = \"north\"\nadmin.listen = \"127.0.0.1:{a}\"\n\n[inbound]\nlisten = \"0.0.0.0:8081\""
        );
        let booking = format!("zone = \"south\"\nadmin.listen = \"127.0.0.1:{b}\"\n");
        example_with(&[
            (
                "apps/web.toml",
                "machine = \"m1\"\nzone = \"north\"\n\n[inbound]\nlisten = \"0.0.0.0:8080\"",
                &web,
            ),
            ("apps/web.toml", "application = \"127.0.0.1:9080\"", "application = \"127.0.0.1:9081\""),
            ("apps/booking.toml", "zone = \"south\"\n", &booking),
        ])
    };
    let Err(PlanError::PairConflict { conflict_if_first, .. }) =
        rollout_order(&machine("9911", "9912"), &machine("9912", "9911"))
    else {
        panic!("an order")
    };
    assert!(conflict_if_first.contains("OC0302"), "{conflict_if_first}");
}

#[test]
fn graph_has_attempts_per_client_request_at_each_application() {
    let (_, resolved) = load_valid(&example());
    let text = graph::text(&resolved, 2);
    assert!(text.contains("records (tier 2): up to 27 attempts per client request"), "{text}");
    assert!(text.contains("    -> records: 1.5 calls per request, up to 3 attempts each"), "{text}");
    let svg = graph::svg(&resolved, 2);
    assert_eq!((svg.matches("<rect").count(), svg.matches("marker-end").count()), (3, 2));
}

#[test]
fn every_code_and_key_is_explained() {
    for code in CODES {
        let explanation = explain(&code.id.to_lowercase()).expect("explained");
        assert!(explanation.contains(code.why) && explanation.contains(code.help), "{explanation}");
        assert!(matches!(code.severity, Severity::Error | Severity::Warning) && !code.title.is_empty());
    }
    for key in keys() {
        assert!(!key.description.is_empty(), "{} of {} has no meaning", key.path, key.kind.name());
        assert!(explain(&key.path).expect("explained").contains(&key.description));
    }
    assert!(explain("drain_grace").expect("explained").contains("at most 500ms"));
    assert_eq!(
        explain("settings.atempts").unwrap_err(),
        "there is no key \"settings.atempts\": did you mean `settings.attempts`?"
    );
    assert!(explain("OC9999").is_err());
}

/// Generates fleets of 1 to 3 tiers with 1 to 3 applications each.
fn any_fleet() -> impl Strategy<Value = Files> {
    let application =
        (any::<bool>(), 1u32..5, 0u64..3, prop::collection::vec(any::<prop::sample::Index>(), 0..3));
    let tiers = prop::collection::vec(prop::collection::vec(application, 1..4), 1..4);
    (tiers, 1u32..4, 200u64..3000, 0u64..3000).prop_map(|(tiers, attempts, aim, more)| {
        let mut fleet = format!(
            "version = 1\nkind = \"fleet\"\nname = \"f\"\n[budget]\nattempts = 200\n[[classes]]\nname = \"v\"\n\
             aim = \"{aim}ms\"\ndeadline = \"{}ms\"\neffect = \"repeatable\"\n[[classes]]\nname = \"b\"\naim = \"1s\"\n\
             deadline = \"4s\"\neffect = \"by-key\"\nwindow = \"{}ms\"\n[[sources]]\nname = \"s\"\nxds = \"h:1\"\n\
             [settings]\nattempts = {attempts}\n",
            aim + more,
            500 + more * 4
        );
        let mut files = Vec::new();
        for (t, applications) in tiers.iter().enumerate() {
            fleet += &format!("[[tiers]]\nname = \"t{t}\"\n");
            for (a, (shares, tries, machine, calls)) in applications.iter().enumerate() {
                let port = 8000 + if *shares { 0 } else { t * 10 + a };
                let mut text = format!(
                    "version = 1\nkind = \"application\"\nname = \"t{t}a{a}\"\ntier = \"t{t}\"\nmachine = \"m{machine}\"\n\
                     [inbound]\nlisten = \"0.0.0.0:{port}\"\napplication = \"127.0.0.1:{}\"\n",
                    9000 + t * 10 + a
                );
                for (c, index) in calls.iter().enumerate() {
                    // Calls any application, so that loops and calls to earlier tiers occur as well.
                    let all: Vec<String> = (0..tiers.len())
                        .flat_map(|t| (0..tiers[t].len()).map(move |a| format!("t{t}a{a}")))
                        .collect();
                    let port = 7000 + (t * 10 + a) * 10 + c;
                    text += &format!(
                        "[[calls]]\napplication = \"{}\"\nlisten = \"127.0.0.1:{port}\"\nattempts = {tries}\n",
                        index.get(&all)
                    );
                }
                files.push((format!("apps/t{t}a{a}.toml"), text));
            }
        }
        files.insert(0, ("fleet.toml".into(), fleet));
        files
    })
}

/// Returns whether a fleet is harmless. Independent of the check: walks all paths of calls.
fn is_harmless(resolved: &[Resolved]) -> bool {
    fn paths_are_harmless(
        all: &[Resolved],
        at: usize,
        path: &mut Vec<usize>,
        by_name: &dyn Fn(&str) -> Option<usize>,
    ) -> bool {
        if path.contains(&at) {
            return false;
        }
        path.push(at);
        let is_harmless = all[at].proxy.outbound.iter().all(|call| {
            let Some(to) = by_name(&call.application) else { return false };
            let has_longer_deadline = |c: &olivecart_config::types::ProxyClass| {
                let own = all[at].proxy.classes.iter().find(|own| own.name == c.name);
                own.is_none_or(|own| own.deadline < c.deadline)
            };
            !all[to].proxy.classes.iter().any(has_longer_deadline)
                && all[to].proxy.tier > all[at].proxy.tier
                && paths_are_harmless(all, to, path, by_name)
        });
        path.pop();
        is_harmless
    }
    let by_name = |name: &str| resolved.iter().position(|one| one.proxy.name == name);
    let times =
        resolved.iter().all(|one| one.proxy.classes.iter().all(|c| c.latency_objective <= c.deadline));
    let windows = resolved
        .iter()
        .all(|one| one.proxy.classes.iter().all(|c| c.window.is_none_or(|window| window > c.attempt)));
    let ports = resolved.iter().enumerate().all(|(i, one)| {
        let port = |one: &Resolved| one.proxy.inbound.as_ref().map(|inbound| inbound.listen.port());
        resolved[..i].iter().all(|other| other.machine != one.machine || port(other) != port(one))
    });
    times
        && windows
        && ports
        && (0..resolved.len()).all(|at| paths_are_harmless(resolved, at, &mut Vec::new(), &by_name))
}

fn has_connect_timeout_beyond_a_deadline(one: &Resolved) -> bool {
    let connect_timeout = one.proxy.settings.connect_timeout;
    one.proxy.classes.iter().any(|class| connect_timeout.is_some_and(|timeout| timeout >= class.deadline))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn accepted_fleets_are_harmless_and_survive_a_round_trip(files in any_fleet()) {
        let loaded = load(&files);
        let (resolved, findings) = check(&loaded, &Vec::new());
        if findings.has_errors() {
            let errors = findings.all().iter().filter(|f| f.code.severity == Severity::Error);
            for finding in errors {
                let is_expected = match finding.code.id {
                    "OC0103" | "OC0201" | "OC0204" | "OC0302" | "OC0601" | "OC0602" | "OC0605" => true,
                    // Generated deadlines begin at 200 ms, and the default connect timeout is 250 ms.
                    "OC0207" => resolved.iter().any(has_connect_timeout_beyond_a_deadline),
                    _ => false,
                };
                prop_assert!(is_expected, "{}", text(&findings));
            }
        } else {
            prop_assert!(is_harmless(&resolved));
            for one in &resolved {
                let written = write::text(one, &loaded.sources);
                let (reloaded, findings) = check(&load(&vec![("p.toml".into(), written)]), &Vec::new());
                prop_assert!(!findings.has_errors(), "{}", text(&findings));
                prop_assert_eq!(&reloaded[0].proxy, &one.proxy);
            }
        }
        // A harmful fleet is never accepted.
        if !is_harmless(&resolved) {
            prop_assert!(findings.has_errors());
        }
    }
}

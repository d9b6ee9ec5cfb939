//! Layers, the writer, differences, orders of change, the graph: on the good example, and on generated
//! fleets.

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

/// The example with some text replaced, which must be there once.
fn with(edits: &[(&str, &str, &str)]) -> Files {
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

fn good(files: &Files) -> (Loaded, Vec<Resolved>) {
    let loaded = load(files);
    let (resolved, findings) = check(&loaded, &Vec::new());
    assert_eq!(text(&findings), "");
    (loaded, resolved)
}

fn named<'a>(resolved: &'a [Resolved], name: &str) -> &'a Resolved {
    resolved.iter().find(|one| one.proxy.name == name).expect("there")
}

#[test]
fn a_later_layer_counts_and_every_value_knows_its_own() {
    let loaded = load(&example());
    let environment = vec![("OLIVECART_SET_MEMORY".to_owned(), "96MiB".to_owned())];
    let (resolved, findings) = check(&loaded, &environment);
    assert_eq!(text(&findings), "");
    let booking = named(&resolved, "booking");
    let of = |one: &Resolved, key: &str| one.origins[&top("settings").name(key)].layer();
    assert_eq!(of(booking, "probes"), Layer::BuiltIn);
    assert_eq!(of(booking, "attempts"), Layer::Fleet);
    assert_eq!(of(named(&resolved, "records"), "open_requests"), Layer::Tier);
    assert_eq!(of(booking, "client_connections"), Layer::Application);
    assert_eq!(of(booking, "memory"), Layer::Environment);
    assert_eq!(booking.proxy.settings.memory.expect("set").to_string(), "96MiB");
    let class = |name: &str, class: usize, key: &str| {
        let one = named(&resolved, name);
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
fn what_is_written_is_checked_again_and_comes_out_the_same() {
    let (loaded, resolved) = good(&example());
    for one in &resolved {
        let written = write::text(one, &loaded.sources);
        assert_eq!(written, write::text(one, &loaded.sources));
        let again = vec![(format!("{}.toml", one.proxy.name), written)];
        let (_, back) = good(&again);
        assert_eq!(back[0].proxy, one.proxy);
        for key in one.origins.keys() {
            assert!(back[0].origins.contains_key(key), "{key}");
        }
    }
    let text = write::text(named(&resolved, "booking"), &loaded.sources);
    for line in [
        "client_connections = 200                # apps/booking.toml:27 (application)",
        "deadline = \"3s\"                         # fleet.toml:52 (tier)",
        "probes = true                           # built in",
    ] {
        assert!(text.lines().any(|written| written == line), "{line}\n{text}");
    }
}

#[test]
fn files_are_replaced_whole_and_only_where_they_differ() {
    let place = tempfile::tempdir().expect("a directory");
    let file =
        |name: &str, contents: &str| ProxyFile { name: name.to_owned(), contents: contents.to_owned() };
    let texts = |b: &str| vec![file("a", "1\n"), file("b", b)];
    let written = |b: &str| write::files(place.path(), &texts(b)).expect("written").len();
    assert_eq!((written("2\n"), written("2\n"), written("3\n")), (2, 0, 1));
    assert_eq!(std::fs::read_to_string(place.path().join("b.toml")).expect("there"), "3\n");
    assert_eq!(std::fs::read_dir(place.path()).expect("there").count(), 2, "nothing is left beside them");
    let error = write::files(&place.path().join("a.toml"), &texts("2\n")).expect_err("a file is in the way");
    assert!(error.to_string().contains("a.toml"), "{error}");
}

#[test]
fn a_wrong_value_that_a_thousand_inherit_is_one_finding() {
    let mut files = with(&[("fleet.toml", "attempts = 3", "attempts = 3\nretry_after = \"9s\"")]);
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
    assert!(finding.summary().ends_with("(and so in 1003 applications: a0000, a0001, a0002 and 1000 more)"));
}

#[test]
fn differences_say_when_they_are_in_force_and_what_is_dangerous() {
    let (_, old) = good(&example());
    let (_, new) = good(&with(&[
        ("fleet.toml", "deadline = \"5s\"", "deadline = \"4s\""),
        ("apps/web.toml", "listen = \"127.0.0.1:7001\"", "listen = \"127.0.0.1:7011\""),
        ("apps/booking.toml", "max_requests = 200", "max_requests = 300"),
    ]));
    let all = diff(&old, &new);
    let Difference::Changed(name, edits) = &all[0] else { panic!("{all:?}") };
    let said: Vec<(&str, TakesEffect, bool)> = edits
        .iter()
        .map(|edit| (edit.key.as_str(), edit.takes_effect, edit.rollout_risk.is_empty()))
        .collect();
    assert_eq!(name, "booking");
    assert_eq!(
        said,
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

fn names(files: &Files, other: &Files) -> Result<Vec<String>, PlanError> {
    let ((old, before), (_, after)) = (good(files), good(other));
    let plan = plan(&before, &after, Budget::of(&old).expect("a fleet"))?;
    Ok(plan.steps.into_iter().map(|step| step.application).collect())
}

#[test]
fn a_shorter_deadline_goes_to_those_that_are_called_first_and_a_longer_one_to_callers() {
    let short = with(&[("fleet.toml", "deadline = \"5s\"", "deadline = \"4s\"")]);
    assert_eq!(names(&example(), &short).expect("an order"), ["records", "booking", "web"]);
    assert_eq!(names(&short, &example()).expect("an order"), ["web", "booking", "records"]);
    assert_eq!(names(&example(), &example()).expect("an order"), Vec::<String>::new());
}

#[test]
fn where_either_order_breaks_a_rule_there_is_none_and_it_is_said_why() {
    // One class shorter, another longer: whoever goes first is wrong about one of them.
    let edits = [
        ("fleet.toml", "deadline = \"5s\"", "deadline = \"4s\""),
        ("fleet.toml", "deadline = \"6s\"", "deadline = \"7s\""),
    ];
    let Err(PlanError::PairConflict { conflict_if_first, conflict_if_second, .. }) =
        names(&example(), &with(&edits))
    else {
        panic!("an order")
    };
    assert!(
        conflict_if_first.contains("OC0202")
            && conflict_if_second.contains("OC0202")
            && conflict_if_first != conflict_if_second,
        "{conflict_if_first} {conflict_if_second}"
    );
    // Two that swap ports on one machine: at any time one of the two ports would be both's.
    let machine = |a: &str, b: &str| {
        let web = format!(
            "machine = \"m2\"\nzone = \"north\"\nadmin.listen = \"127.0.0.1:{a}\"\n\n[inbound]\nlisten = \"0.0.0.0:8081\""
        );
        let booking = format!("zone = \"south\"\nadmin.listen = \"127.0.0.1:{b}\"\n");
        with(&[
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
        names(&machine("9911", "9912"), &machine("9912", "9911"))
    else {
        panic!("an order")
    };
    assert!(conflict_if_first.contains("OC0302"), "{conflict_if_first}");
}

#[test]
fn what_a_client_costs_at_each_application_is_in_the_graph() {
    let (_, resolved) = good(&example());
    let text = graph::text(&resolved, 2);
    assert!(text.contains("records (tier 2): up to 27 attempts for a client's request"), "{text}");
    assert!(text.contains("    -> records: 1.5 a request, up to 3 attempts"), "{text}");
    let svg = graph::svg(&resolved, 2);
    assert_eq!((svg.matches("<rect").count(), svg.matches("marker-end").count()), (3, 2));
}

#[test]
fn every_code_and_key_is_explained() {
    for code in CODES {
        let said = explain(&code.id.to_lowercase()).expect("explained");
        assert!(said.contains(code.why) && said.contains(code.help), "{said}");
        assert!(matches!(code.severity, Severity::Error | Severity::Warning) && !code.title.is_empty());
    }
    for key in keys() {
        assert!(!key.about.is_empty(), "{} of {} has no meaning", key.path, key.kind.name());
        assert!(explain(&key.path).expect("explained").contains(&key.about));
    }
    assert!(explain("drain_grace").expect("explained").contains("at most 500ms"));
    assert_eq!(
        explain("settings.atempts").unwrap_err(),
        "there is no key \"settings.atempts\": did you mean `settings.attempts`?"
    );
    assert!(explain("OC9999").is_err());
}

/// A fleet of so many tiers with some applications each, whose numbers are drawn.
fn drawn() -> impl Strategy<Value = Files> {
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
                    // Any application at all, so that loops and calls upwards come up too.
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

/// What must not be, said in another way than the check does: by walking all ways of calls.
fn is_harmless(resolved: &[Resolved]) -> bool {
    fn reaches_no_harm(
        all: &[Resolved],
        at: usize,
        way: &mut Vec<usize>,
        by_name: &dyn Fn(&str) -> Option<usize>,
    ) -> bool {
        if way.contains(&at) {
            return false;
        }
        way.push(at);
        let fine = all[at].proxy.outbound.iter().all(|call| {
            let Some(to) = by_name(&call.application) else { return false };
            let longer = |c: &olivecart_config::types::ProxyClass| {
                let own = all[at].proxy.classes.iter().find(|own| own.name == c.name);
                own.is_none_or(|own| own.deadline < c.deadline)
            };
            !all[to].proxy.classes.iter().any(longer)
                && all[to].proxy.tier > all[at].proxy.tier
                && reaches_no_harm(all, to, way, by_name)
        });
        way.pop();
        fine
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
        && (0..resolved.len()).all(|at| reaches_no_harm(resolved, at, &mut Vec::new(), &by_name))
}

fn connects_longer_than_a_deadline(one: &Resolved) -> bool {
    let connect_timeout = one.proxy.settings.connect_timeout;
    one.proxy.classes.iter().any(|class| connect_timeout.is_some_and(|timeout| timeout >= class.deadline))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_the_check_accepts_is_harmless_and_is_written_and_read_again(files in drawn()) {
        let loaded = load(&files);
        let (resolved, findings) = check(&loaded, &Vec::new());
        if findings.has_errors() {
            let errors = findings.all().iter().filter(|f| f.code.severity == Severity::Error);
            for finding in errors {
                let is_expected = match finding.code.id {
                    "OC0103" | "OC0201" | "OC0204" | "OC0302" | "OC0601" | "OC0602" | "OC0605" => true,
                    // Drawn deadlines begin at 200 ms, and the connect timeout that nobody sets is 250 ms.
                    "OC0207" => resolved.iter().any(connects_longer_than_a_deadline),
                    _ => false,
                };
                prop_assert!(is_expected, "{}", text(&findings));
            }
        } else {
            prop_assert!(is_harmless(&resolved));
            for one in &resolved {
                let written = write::text(one, &loaded.sources);
                let (back, again) = check(&load(&vec![("p.toml".into(), written)]), &Vec::new());
                prop_assert!(!again.has_errors(), "{}", text(&again));
                prop_assert_eq!(&back[0].proxy, &one.proxy);
            }
        }
        // What does harm is never accepted.
        if !is_harmless(&resolved) {
            prop_assert!(findings.has_errors());
        }
    }
}

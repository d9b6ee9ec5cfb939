//! Measures loading, checking and writing a fleet of 1,000 applications:
//! `cargo bench -p olivecart-config --bench fleet`.

use criterion::Criterion;
use olivecart_config::check::check;
use olivecart_config::load::Loaded;
use olivecart_config::write;
use std::hint::black_box;

const APPLICATION_COUNT: usize = 1000;

/// Returns ten tiers of a hundred applications, each of which calls three applications of the next tier.
fn files() -> Vec<(String, String)> {
    let mut fleet =
        "version = 1\nkind = \"fleet\"\nname = \"f\"\nzones = [\"a\", \"b\"]\n[budget]\nattempts = 1000000\n\
        [[sources]]\nname = \"s\"\nxds = \"h:1\"\n[settings]\nattempts = 1\n"
            .to_owned();
    for class in 0..5 {
        fleet += &format!(
            "[[classes]]\nname = \"c{class}\"\naim = \"1s\"\ndeadline = \"4s\"\neffect = \"by-key\"\nwindow = \"10s\"\n"
        );
    }
    let tiers = APPLICATION_COUNT / 100;
    (0..tiers).for_each(|tier| fleet += &format!("[[tiers]]\nname = \"t{tier}\"\n"));
    let mut files = vec![("fleet.toml".to_owned(), fleet)];
    for n in 0..APPLICATION_COUNT {
        let (tier, at) = (n / 100, n % 100);
        let mut text = format!(
            "version = 1\nkind = \"application\"\nname = \"a{n}\"\ntier = \"t{tier}\"\nzone = \"{}\"\n[inbound]\n\
             listen = \"0.0.0.0:8080\"\napplication = \"127.0.0.1:9080\"\n[classes.c1]\naim = \"900ms\"\n",
            if at % 2 == 0 { "a" } else { "b" }
        );
        for call in 0..if tier + 1 < tiers { 3 } else { 0 } {
            let to = (tier + 1) * 100 + (at + call * 7) % 100;
            text += &format!("[[calls]]\napplication = \"a{to}\"\nlisten = \"127.0.0.1:{}\"\n", 7001 + call);
        }
        files.push((format!("apps/a{n:04}.toml"), text));
    }
    files
}

fn load(files: &[(String, String)]) -> Loaded {
    let mut loaded = Loaded::default();
    for (name, text) in files {
        loaded.add_text(name, text);
    }
    loaded
}

fn main() {
    let mut c = Criterion::default().configure_from_args();
    let files = files();
    let loaded = load(&files);
    let (resolved, findings) = check(&loaded, &Vec::new());
    assert!(!findings.has_errors(), "{}", olivecart_config::report::text(&findings));
    let mut group = c.benchmark_group("1000 applications");
    group.sample_size(10);
    group.bench_function("read", |b| b.iter(|| black_box(load(&files))));
    group.bench_function("check", |b| b.iter(|| black_box(check(&loaded, &Vec::new()))));
    group.bench_function("write", |b| {
        b.iter(|| resolved.iter().map(|one| write::text(one, &loaded.sources).len()).sum::<usize>());
    });
    group.finish();
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find(|line| line.starts_with("VmHWM")).unwrap_or("VmHWM unknown");
    println!("{peak}");
}

//! The stand-ins and checks of the cases of the second review. `case NAME` plays one case, writes `record.txt`
//! in the current folder, and ends with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod backend;
mod cases;
mod client;
mod discovery;
mod http;
mod proxy;
mod relay;
mod world;

use std::path::Path;
use std::process::ExitCode;
use world::World;

/// What a case found.
pub enum Found {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let name = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let world = World::new();
    world.note(format!("case {name}, with the disruption: {trouble}"));
    let found = match cases::find(&name) {
        Some(case) => case(&world, trouble),
        None => Found::CouldNotRun(format!("no case {name:?}")),
    };
    let (code, text) = match found {
        Found::Held => (0, "the rule held".to_string()),
        Found::Broken(why) => (1, format!("the rule was broken: {why}")),
        Found::CouldNotRun(why) => (2, format!("the case couldn't run: {why}")),
    };
    world.note(text.clone());
    world.write(Path::new("record.txt"));
    println!("{name}: {text}");
    ExitCode::from(code)
}

//! Tells the build its revision, so that results can: `OLIVECART_REVISION` where it is set, else what git says.

use std::process::Command;

fn git(arguments: &[&str]) -> Option<String> {
    let output =
        Command::new("git").args(arguments).output().ok().filter(|output| output.status.success())?;
    Some(String::from_utf8(output.stdout).ok()?.trim().to_owned())
}

fn main() {
    println!("cargo::rerun-if-env-changed=OLIVECART_REVISION");
    let given = std::env::var("OLIVECART_REVISION").ok();
    let Some(revision) = given.or_else(|| git(&["rev-parse", "--short=12", "HEAD"])) else { return };
    // A commit moves one of these; an uncommitted change of the sources is not told.
    for name in ["HEAD", "logs/HEAD"] {
        if let Some(path) = git(&["rev-parse", "--path-format=absolute", "--git-path", name]) {
            println!("cargo::rerun-if-changed={path}");
        }
    }
    println!("cargo::rustc-env=OLIVECART_REVISION={revision}");
}

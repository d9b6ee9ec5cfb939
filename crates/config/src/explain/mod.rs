//! Explains codes and keys, and generates the reference of all of them. Used by the command line.

mod keys;

pub use keys::{DescribedKey, keys};

use crate::document::{nearest, suggestion};
use crate::report::{CODES, Code, code};
use crate::types::Kind;
use std::collections::BTreeSet;
use std::fmt::{self, Write};

/// The prefix of all codes.
const CODE_PREFIX: &str = "OC";

/// Explains a code (`OC0202`) or a key (`settings.attempts`, or its last part).
///
/// # Errors
/// Returns a message with a suggestion if the name is unknown.
pub fn explain(name: &str) -> Result<String, String> {
    if is_code(name) { explain_code(name) } else { explain_key(name) }
}

fn is_code(name: &str) -> bool {
    name.get(..CODE_PREFIX.len()).is_some_and(|prefix| prefix.eq_ignore_ascii_case(CODE_PREFIX))
}

fn explain_code(name: &str) -> Result<String, String> {
    let Some(Code { id, severity, title, why, help }) = code(name) else {
        let known = suggestion(&name.to_uppercase(), CODES.iter().map(|code| code.id));
        return Err(format!("there is no code {name:?}: {known}"));
    };
    Ok(format!("{id} ({severity}): {title}\n    why: {why}\n    help: {help}\n"))
}

fn explain_key(name: &str) -> Result<String, String> {
    let keys = keys();
    let as_last_part = format!(".{name}");
    let matches_name = |key: &&DescribedKey| key.path == name || key.path.ends_with(&as_last_part);
    let found: Vec<&DescribedKey> = keys.iter().filter(matches_name).collect();
    if found.is_empty() {
        let near = nearest_key(name, &keys).map(|near| format!(": did you mean `{near}`?"));
        return Err(format!("there is no key {name:?}{}", near.unwrap_or_default()));
    }
    let lines = found.iter().map(|key| {
        format!("{} ({} file): {}\n    {}\n", key.path, key.kind.name(), key.type_name, key.description)
    });
    Ok(lines.collect())
}

/// Returns the key, or last part of a key, that is most similar to a name.
fn nearest_key<'k>(name: &str, keys: &'k [DescribedKey]) -> Option<&'k str> {
    let paths: BTreeSet<&str> = keys.iter().map(|key| key.path.as_str()).collect();
    let last_parts: BTreeSet<&str> = paths.iter().filter_map(|path| path.rsplit('.').next()).collect();
    nearest(name, paths.into_iter().chain(last_parts))
}

/// Returns the reference of all keys and codes, in Markdown.
pub fn reference() -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let _ = write_reference(&mut out);
    out
}

fn write_reference(out: &mut String) -> fmt::Result {
    let keys = keys();
    for kind in Kind::ALL {
        write_keys(out, kind, &keys)?;
        out.push('\n');
    }
    writeln!(
        out,
        "## Codes\n\n| code | severity | finding | why it matters | how to fix it |\n| --- | --- | --- | --- | --- |"
    )?;
    for Code { id, severity, title, why, help } in CODES {
        writeln!(out, "| {id} | {severity} | {title} | {why} | {help} |")?;
    }
    Ok(())
}

fn write_keys(out: &mut String, kind: Kind, keys: &[DescribedKey]) -> fmt::Result {
    let title = match kind {
        Kind::Fleet => "## Fleet file (`kind = \"fleet\"`)",
        Kind::Application => "## Application file (`kind = \"application\"`)",
        Kind::Proxy => "## Proxy file (`kind = \"proxy\"`)",
    };
    writeln!(out, "{title}\n\n| key | type | | meaning |\n| --- | --- | --- | --- |")?;
    for DescribedKey { path, type_name, is_required, description, .. } in
        keys.iter().filter(|key| key.kind == kind)
    {
        let requirement = if *is_required { "required" } else { "" };
        writeln!(out, "| `{path}` | {type_name} | {requirement} | {description} |")?;
    }
    Ok(())
}

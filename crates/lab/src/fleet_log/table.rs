//! The counts as text.

use super::{Counts, Tier};
use std::collections::BTreeSet;
use std::fmt;

/// Widest a column's name is written.
const WIDE: usize = 24;

/// Writes one tier: its totals, its seconds, and its endpoints.
pub fn write(f: &mut fmt::Formatter, tier: &Tier) -> fmt::Result {
    let first = tier.proxies.first().map_or("", |name| name);
    writeln!(f, "tier of {first}: {} proxies, {} endpoints", tier.proxies.len(), tier.endpoints.len())?;
    let requests = tier.total("request").max(1) as f64;
    let attempts = tier.total("send") as f64 / requests;
    let connects = tier.total("connect") as f64 / requests;
    writeln!(f, "{attempts:.2} attempts and {connects:.2} new connections a request")?;
    rows(f, "second", tier.seconds.iter().map(|(second, counts)| (second.to_string(), None, counts)))?;
    let endpoints = tier.endpoints.iter().map(|(name, e)| (name.clone(), Some(e.most_out), &e.counts));
    rows(f, "endpoint", endpoints)?;
    writeln!(f)
}

fn rows<'a>(
    f: &mut fmt::Formatter,
    of: &str,
    rows: impl Iterator<Item = (String, Option<u64>, &'a Counts)>,
) -> fmt::Result {
    let rows: Vec<_> = rows.collect();
    let columns: BTreeSet<_> = rows.iter().flat_map(|(.., counts)| counts.keys()).collect();
    let width = |name: &str| name.len().clamp(6, WIDE);
    write!(f, "{of:>12}")?;
    if rows.iter().any(|(_, most, _)| most.is_some()) {
        write!(f, "  most out")?;
    }
    for column in &columns {
        write!(f, "  {column:>0$.0$}", width(column))?;
    }
    writeln!(f)?;
    for (name, most, counts) in rows {
        write!(f, "{name:>12}")?;
        if let Some(most) = most {
            write!(f, "  {most:>8}")?;
        }
        for column in &columns {
            write!(f, "  {:>1$}", counts.get(*column).unwrap_or(&0), width(column))?;
        }
        writeln!(f)?;
    }
    Ok(())
}

//! Formats the counts as tables.

use super::{Counts, Tier};
use std::collections::BTreeSet;
use std::fmt;

/// The maximum width of a column, in characters. Longer names are cut off.
const MAX_COLUMN_WIDTH: usize = 24;

/// Writes the totals of a tier, and its tables by second and by endpoint.
pub fn write(f: &mut fmt::Formatter, tier: &Tier) -> fmt::Result {
    let first = tier.proxies.first().map_or("", |name| name);
    writeln!(f, "tier of {first}: {} proxies, {} endpoints", tier.proxies.len(), tier.endpoints.len())?;
    let requests = tier.total("request").max(1) as f64;
    let attempts = tier.total("send") as f64 / requests;
    let connects = tier.total("connect") as f64 / requests;
    writeln!(f, "{attempts:.2} attempts and {connects:.2} new connections a request")?;
    write_rows(f, "second", tier.seconds.iter().map(|(second, counts)| (second.to_string(), None, counts)))?;
    let endpoints = tier
        .endpoints
        .iter()
        .map(|(name, endpoint)| (name.clone(), Some(endpoint.max_in_flight), &endpoint.counts));
    write_rows(f, "endpoint", endpoints)?;
    writeln!(f)
}

fn write_rows<'a>(
    f: &mut fmt::Formatter,
    row_label: &str,
    rows: impl Iterator<Item = (String, Option<u64>, &'a Counts)>,
) -> fmt::Result {
    let rows: Vec<_> = rows.collect();
    let columns: BTreeSet<_> = rows.iter().flat_map(|(.., counts)| counts.keys()).collect();
    let width = |name: &str| name.len().clamp(6, MAX_COLUMN_WIDTH);
    write!(f, "{row_label:>12}")?;
    if rows.iter().any(|(_, max_in_flight, _)| max_in_flight.is_some()) {
        write!(f, "  most out")?;
    }
    for column in &columns {
        write!(f, "  {column:>0$.0$}", width(column))?;
    }
    writeln!(f)?;
    for (name, max_in_flight, counts) in rows {
        write!(f, "{name:>12}")?;
        if let Some(max_in_flight) = max_in_flight {
            write!(f, "  {max_in_flight:>8}")?;
        }
        for column in &columns {
            write!(f, "  {:>1$}", counts.get(*column).unwrap_or(&0), width(column))?;
        }
        writeln!(f)?;
    }
    Ok(())
}

//! Clusters from a directory of files.

use super::problem::{Fault, FileProblem, FileProblems};
use super::read::{PlacedCluster, read};
use crate::endpoint::Cluster;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry::{Occupied, Vacant};

/// Reads fragments, each a name and a text, as one set of clusters, ordered by name. A cluster stands in
/// exactly one of them. No fragment at all is a set without clusters, of which the catalog makes its own.
///
/// # Errors
/// All that is wrong with any of them, by file; a cluster in two of them is refused with both files named.
pub fn merge_fragments(mut fragments: Vec<(String, String)>) -> Result<Vec<Cluster>, FileProblems> {
    // Directories are read in any order; what is reported must not depend on it.
    fragments.sort();
    let (mut clusters, mut problems) = (BTreeMap::new(), Vec::new());
    for (file, text) in &fragments {
        match read(file, text) {
            Ok(read) => read.into_iter().for_each(|placed| add(file, placed, &mut clusters, &mut problems)),
            Err(bad) => problems.extend(bad.into_problems()),
        }
    }
    let clusters = clusters.into_values().map(|(_, placed): (&str, PlacedCluster)| placed.cluster).collect();
    FileProblems::of(problems).map_or(Ok(clusters), Err)
}

fn add<'f>(
    file: &'f str,
    placed: PlacedCluster,
    clusters: &mut BTreeMap<String, (&'f str, PlacedCluster)>,
    problems: &mut Vec<FileProblem>,
) {
    match clusters.entry(placed.cluster.name.as_str().to_owned()) {
        Vacant(place) => _ = place.insert((file, placed)),
        Occupied(known) => {
            let PlacedCluster { key, line, column, .. } = placed;
            let (other, at) = known.get();
            let (name, place) = (known.key().clone(), format!("{other}:{}", at.line));
            let fault = Fault::Twice { what: "cluster", name, place };
            problems.push(FileProblem { file: file.to_owned(), line, column, key, fault });
        }
    }
}

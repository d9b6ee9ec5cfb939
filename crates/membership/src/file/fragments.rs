//! Merges the clusters of a directory of files.

use super::problem::{Fault, FileProblem, FileProblems};
use super::read::{PlacedCluster, read};
use crate::endpoint::Cluster;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry::{Occupied, Vacant};

/// Reads fragments, each with a file name and a text, as one set of clusters, ordered by name. Each cluster
/// must be defined in exactly one fragment. Without fragments the set is empty; the catalog decides what that
/// means.
///
/// # Errors
/// Returns all problems of all fragments, by file. A cluster that is defined in two fragments is rejected,
/// and the problem names both files.
pub fn merge_fragments(mut fragments: Vec<(String, String)>) -> Result<Vec<Cluster>, FileProblems> {
    // Directory entries have no fixed order; the reported problems must not depend on it.
    fragments.sort();
    let (mut clusters, mut problems) = (BTreeMap::new(), Vec::new());
    for (file, text) in &fragments {
        match read(file, text) {
            Ok(read) => read.into_iter().for_each(|placed| add(file, placed, &mut clusters, &mut problems)),
            Err(found) => problems.extend(found.into_problems()),
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
        Vacant(entry) => _ = entry.insert((file, placed)),
        Occupied(known) => {
            let PlacedCluster { key, line, column, .. } = placed;
            let (other, at) = known.get();
            let (name, place) = (known.key().clone(), format!("{other}:{}", at.line));
            let fault = Fault::DuplicateName { item: "cluster", name, place };
            problems.push(FileProblem { file: file.to_owned(), line, column, key, fault });
        }
    }
}

//! Starts a source of the kind that the operators' file names.

use super::sight::Notices;
use crate::operators::{Source, SourceKind, Watched};
use olivecart_membership::SourceId;
use olivecart_membership::source::{ASK_BOUND, Ask, Sink};
use olivecart_membership::watch::{self, Kind, Watch};
use tokio::sync::mpsc::{Sender, channel};

/// A source of a kind that this build does not have.
#[derive(Debug, thiserror::Error)]
#[error("source {source_name}: {kind} is not built into this program")]
pub struct NotBuilt {
    source_name: SourceId,
    kind: &'static str,
}

/// Whether all sources can be started.
///
/// # Errors
/// The first one that this build does not have.
pub fn check(sources: &[Source]) -> Result<(), NotBuilt> {
    let not_built = |source: &Source| match source.kind {
        SourceKind::File(_) | SourceKind::Directory(_) => None,
        SourceKind::Envoy(_) => Some("reading Envoy's resources from files"),
        SourceKind::Xds(_) => Some("xDS"),
    };
    let missing =
        |source: &Source| Some(NotBuilt { source_name: source.id.clone(), kind: not_built(source)? });
    sources.iter().find_map(missing).map_or(Ok(()), Err)
}

/// Starts a source that [`check`] has passed, and tells where it is asked.
pub fn start(source: Source, sink: Sink, notices: Notices) -> Sender<Ask> {
    let (asks, asked) = channel(ASK_BOUND);
    match source.kind {
        SourceKind::File(watched) => watching(source.id, watched, Kind::File, sink, asked, notices),
        SourceKind::Directory(watched) => watching(source.id, watched, Kind::Directory, sink, asked, notices),
        SourceKind::Envoy(_) | SourceKind::Xds(_) => {}
    }
    asks
}

fn watching(
    source: SourceId,
    Watched { path, poll }: Watched,
    kind: Kind,
    sink: Sink,
    asked: olivecart_membership::source::Asks,
    notices: Notices,
) {
    let tell = {
        let source = source.clone();
        move |notice| notices.note(&source, &notice)
    };
    tokio::spawn(watch::run(Watch { source, path, kind, poll }, watch::documented, sink, asked, tell));
}

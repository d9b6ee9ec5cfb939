//! The catalog's state of each source: its rank, silence and last rejection.

use crate::event::Silence;
use crate::names::SourceId;
use crate::rejection::Rejection;
use olivecart_decisions::Nanos;

/// A source's place in the order of precedence, from 0.
pub(super) type Rank = usize;

/// A source of the catalog.
#[derive(Debug)]
pub(super) struct Source {
    pub id: SourceId,
    pub silent: Option<Silent>,
    /// When the timer is due that marks its clusters as stale, if it is set.
    pub timer: Option<Nanos>,
    /// The last rejection that does not concern a known cluster.
    pub last_rejection: Option<(Nanos, Rejection)>,
}

/// The silence of a source.
#[derive(Debug)]
pub(super) struct Silent {
    pub since: Nanos,
    pub silence: Silence,
    /// Whether the silence has lasted long enough for its clusters to be stale.
    pub is_stale: bool,
}

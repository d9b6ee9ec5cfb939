//! The sources of the catalog as it knows them: their rank, silence and last rejection.

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
    /// When the catalog has asked to be woken for it.
    pub timer: Option<Nanos>,
    /// The last rejection that was about no cluster that is known.
    pub last_rejection: Option<(Nanos, Rejection)>,
}

/// A source that is silent.
#[derive(Debug)]
pub(super) struct Silent {
    pub since: Nanos,
    pub silence: Silence,
    /// For long enough that its clusters are stale.
    pub is_stale: bool,
}

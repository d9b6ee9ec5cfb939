//! The layers of an application (fleet, tier, application) and the origins of their keys.

use crate::document::{Key, top};
use crate::origin::{Layer, Origin};
use crate::types::{Application, Fleet, Tier};

/// The files that an application's proxy is resolved from.
pub(super) struct Layers<'a> {
    /// The index of the fleet's file.
    pub fleet_source: usize,
    pub fleet: &'a Fleet,
    /// The index of the application's tier in the fleet; `None` if there is no such tier.
    pub tier_index: Option<usize>,
    /// The index of the application's file.
    pub source: usize,
    pub application: &'a Application,
}

impl<'a> Layers<'a> {
    pub(super) fn new(
        fleet_source: usize,
        fleet: &'a Fleet,
        source: usize,
        application: &'a Application,
    ) -> Layers<'a> {
        let tier_index = fleet.tiers.iter().position(|tier| tier.name == application.tier);
        Layers { fleet_source, fleet, tier_index, source, application }
    }

    /// Returns the application's tier with its key in the fleet file.
    pub(super) fn tier(&self) -> Option<(Key, &'a Tier)> {
        self.tier_index.map(|index| (top("tiers").at(index), &self.fleet.tiers[index]))
    }

    pub(super) fn in_fleet(&self, key: Key) -> Origin {
        Origin::File { layer: Layer::Fleet, source: self.fleet_source, key }
    }

    pub(super) fn in_tier(&self, key: Key) -> Origin {
        Origin::File { layer: Layer::Tier, source: self.fleet_source, key }
    }

    pub(super) fn in_application(&self, key: Key) -> Origin {
        Origin::File { layer: Layer::Application, source: self.source, key }
    }
}

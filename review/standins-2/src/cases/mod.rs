//! The cases, each by its name.

use crate::Found;
use crate::world::World;
use std::sync::Arc;

mod anew;
mod copies;
mod lengths;
mod memory;
mod stuck;

pub type Case = fn(&Arc<World>, bool) -> Found;

pub fn find(name: &str) -> Option<Case> {
    Some(match name {
        "anew" => anew::play,
        "copies" => copies::play,
        "lengths" => lengths::play,
        "memory" => memory::play,
        "stuck" => stuck::play,
        _ => return None,
    })
}

/// A body that only this request's answer has.
pub fn body_of(id: &str, length: usize) -> Vec<u8> {
    id.bytes().chain([b' ']).cycle().take(length).collect()
}

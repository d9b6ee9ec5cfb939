//! Maps names to numeric ids, since the decision module knows endpoints, zones, kinds, classes and tenants by
//! id only.

use rustc_hash::FxHashMap;
use std::rc::Rc;

/// A table of names, numbered from 0 in the order in which they were added.
#[derive(Default)]
pub struct NameTable {
    ids: FxHashMap<Rc<str>, u32>,
    names: Vec<Rc<str>>,
}

impl NameTable {
    /// Creates a table of `names`, numbered in their order.
    pub(crate) fn from_names<'n>(names: impl Iterator<Item = &'n String>) -> NameTable {
        let mut table = NameTable::default();
        for name in names {
            table.intern(name);
        }
        table
    }

    /// Returns the id of a name. Adds the name if it is new.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let name: Rc<str> = name.into();
        let id = self.names.len() as u32;
        self.ids.insert(name.clone(), id);
        self.names.push(name);
        id
    }

    /// Returns the id of a name, or `None` if the table does not have it.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.ids.get(name).copied()
    }

    /// Returns all names in the order of their ids.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(|name| &**name)
    }

    /// Returns the name with this id.
    pub fn name(&self, id: u32) -> Option<&Rc<str>> {
        self.names.get(id as usize)
    }
}

//! Names and their numbers: the decisions know endpoints, zones, kinds, classes and tenants by number alone.

use rustc_hash::FxHashMap;
use std::rc::Rc;

/// A table of names that gives the next number to each new one.
#[derive(Default)]
pub struct NameTable {
    ids: FxHashMap<Rc<str>, u32>,
    names: Vec<Rc<str>>,
}

impl NameTable {
    /// A table of these names, numbered in their order.
    pub(crate) fn of<'n>(names: impl Iterator<Item = &'n String>) -> NameTable {
        let mut table = NameTable::default();
        for name in names {
            table.id(name);
        }
        table
    }

    /// The number of a name, which is new if need be.
    pub fn id(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let name: Rc<str> = name.into();
        let id = self.names.len() as u32;
        self.ids.insert(name.clone(), id);
        self.names.push(name);
        id
    }

    /// The number of a name that is known.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.ids.get(name).copied()
    }

    /// All names, in the order of their numbers.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(|name| &**name)
    }

    /// The name behind a number.
    pub fn name(&self, id: u32) -> Option<&Rc<str>> {
        self.names.get(id as usize)
    }
}

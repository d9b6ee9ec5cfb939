//! The path of keys from the top of a document to a value: `tiers[0].settings.attempts`.

use std::fmt;

/// The path from the top of a document to a value.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(Vec<Step>);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Name(String),
    Index(usize),
}

impl Key {
    /// Returns the key with a name appended.
    pub fn name(&self, name: impl Into<String>) -> Key {
        self.with(Step::Name(name.into()))
    }

    /// Returns the key with an index appended.
    pub fn at(&self, index: usize) -> Key {
        self.with(Step::Index(index))
    }

    /// Returns the key of the table or list that contains this key, or `None` at the top.
    pub fn parent(&self) -> Option<Key> {
        let (_, rest) = self.0.split_last()?;
        Some(Key(rest.to_vec()))
    }

    fn with(&self, step: Step) -> Key {
        let mut steps = self.0.clone();
        steps.push(step);
        Key(steps)
    }
}

/// A part of a table entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyPart {
    /// The key itself.
    Name,
    /// The value.
    Value,
}

/// Returns the key of a name at the top of a document.
pub fn top(name: &str) -> Key {
    Key::default().name(name)
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let bare = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
        for (i, step) in self.0.iter().enumerate() {
            let dot = if i == 0 { "" } else { "." };
            match step {
                Step::Index(index) => write!(f, "[{index}]")?,
                Step::Name(name) if !name.is_empty() && name.chars().all(bare) => write!(f, "{dot}{name}")?,
                Step::Name(name) => write!(f, "{dot}{name:?}")?,
            }
        }
        Ok(())
    }
}

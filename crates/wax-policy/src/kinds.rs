//! Kinds of tasks, numbered densely so that what is learned of pairs fits in small tables.

use std::collections::HashMap;

/// Names a kind in a [`KindTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct KindKey(pub(crate) u16);

/// The kinds known to one owner.
#[derive(Debug, Clone, Default)]
pub struct KindTable {
    names: HashMap<Box<str>, KindKey>,
}

/// Beyond this many, further kinds share the last key.
const MAX_KINDS: usize = 4_096;

impl KindTable {
    /// The key of a kind; a new one if the name is new.
    pub fn key(&mut self, name: &str) -> KindKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = KindKey(self.names.len().min(MAX_KINDS - 1) as u16);
        self.names.insert(name.into(), key);
        key
    }

    /// How many names are known.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name is known.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

//! Kinds of tasks, numbered from 0 so that tables of pairs of kinds stay small.

use std::collections::HashMap;

/// Key of a kind in a [`KindTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct KindKey(pub(crate) u16);

/// Kinds of tasks known to one owner.
#[derive(Debug, Clone, Default)]
pub struct KindTable {
    names: HashMap<Box<str>, KindKey>,
}

/// Maximum number of distinct keys; further kinds share the last one.
const MAX_KINDS: usize = 4_096;

impl KindTable {
    /// Returns the key of a kind, and assigns one to a new name.
    pub fn key(&mut self, name: &str) -> KindKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = KindKey(self.names.len().min(MAX_KINDS - 1) as u16);
        self.names.insert(name.into(), key);
        key
    }

    /// Returns the number of known names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether no name is known.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

//! The version of the settings tree that a process applies.

use crate::tree::{SettingsTree, TreeDelta};
use std::cell::RefCell;
use std::rc::Rc;
use wax_types::SettingsVersion;

/// What became of a version that arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is in force now.
    Applied(SettingsVersion),
    /// A version as great or greater is in force.
    Stale,
    /// A version between is missing; the whole tree is needed.
    Gap,
    /// It cannot be read; what was in force stays.
    Unreadable(Box<str>),
}

/// Holds the tree in force; only a greater version replaces it.
#[derive(Debug, Clone, Default)]
pub struct SettingsHolder {
    tree: Rc<RefCell<Rc<SettingsTree>>>,
}

impl SettingsHolder {
    /// The tree in force.
    pub fn tree(&self) -> Rc<SettingsTree> {
        self.tree.borrow().clone()
    }

    /// The version in force; 0 if none was applied yet.
    pub fn version(&self) -> SettingsVersion {
        self.tree.borrow().version
    }

    /// Applies a tree if its version is greater.
    pub fn apply(&self, tree: SettingsTree) -> ApplyOutcome {
        let version = tree.version;
        if version <= self.version() {
            return ApplyOutcome::Stale;
        }
        *self.tree.borrow_mut() = Rc::new(tree);
        ApplyOutcome::Applied(version)
    }

    /// Applies a delta if it makes the next version.
    pub fn apply_delta(&self, delta: &TreeDelta) -> ApplyOutcome {
        let version = self.version();
        if delta.version <= version {
            return ApplyOutcome::Stale;
        }
        if delta.version != version.next() {
            return ApplyOutcome::Gap;
        }
        let tree = self.tree().with_delta(delta);
        self.apply(tree)
    }

    /// Decodes and applies a delta that a peer sent.
    pub fn apply_delta_json(&self, bytes: &[u8]) -> ApplyOutcome {
        match serde_json::from_slice::<TreeDelta>(bytes) {
            Ok(delta) => self.apply_delta(&delta),
            Err(error) => ApplyOutcome::Unreadable(error.to_string().into()),
        }
    }

    /// Decodes and applies a tree that a peer sent.
    pub fn apply_json(&self, bytes: &[u8]) -> ApplyOutcome {
        match serde_json::from_slice::<SettingsTree>(bytes) {
            Ok(tree) => self.apply(tree),
            Err(error) => ApplyOutcome::Unreadable(error.to_string().into()),
        }
    }

    /// The tree in force as JSON, for peers.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&*self.tree()).unwrap_or_default()
    }
}

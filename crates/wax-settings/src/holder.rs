//! Holds the version of the settings tree that is in force in this process.

use crate::tree::{SettingsTree, TreeDelta};
use std::cell::RefCell;
use std::rc::Rc;
use wax_types::SettingsVersion;

/// Result of applying a received version of the settings tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The received version is in force now.
    Applied(SettingsVersion),
    /// The received version is not newer than the version in force; nothing changed.
    Stale,
    /// The delta skips at least one version; the process needs the complete tree. Nothing changed.
    Gap,
    /// The received bytes cannot be decoded, for the reason given; nothing changed.
    Unreadable(Box<str>),
}

/// Settings tree in force, shared by all clones. Only a higher version replaces the tree.
#[derive(Debug, Clone, Default)]
pub struct SettingsHolder {
    tree: Rc<RefCell<Rc<SettingsTree>>>,
}

impl SettingsHolder {
    /// Returns the tree in force.
    pub fn tree(&self) -> Rc<SettingsTree> {
        self.tree.borrow().clone()
    }

    /// Returns the version in force; 0 if no version has been applied yet.
    pub fn version(&self) -> SettingsVersion {
        self.tree.borrow().version
    }

    /// Replaces the tree in force if the version of `tree` is higher.
    pub fn apply(&self, tree: SettingsTree) -> ApplyOutcome {
        let version = tree.version;
        if version <= self.version() {
            return ApplyOutcome::Stale;
        }
        *self.tree.borrow_mut() = Rc::new(tree);
        ApplyOutcome::Applied(version)
    }

    /// Applies a delta if its version directly follows the version in force.
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

    /// Decodes a delta that a peer sent as JSON and applies it.
    pub fn apply_delta_json(&self, bytes: &[u8]) -> ApplyOutcome {
        match serde_json::from_slice::<TreeDelta>(bytes) {
            Ok(delta) => self.apply_delta(&delta),
            Err(error) => ApplyOutcome::Unreadable(error.to_string().into()),
        }
    }

    /// Decodes a tree that a peer sent as JSON and applies it.
    pub fn apply_json(&self, bytes: &[u8]) -> ApplyOutcome {
        match serde_json::from_slice::<SettingsTree>(bytes) {
            Ok(tree) => self.apply(tree),
            Err(error) => ApplyOutcome::Unreadable(error.to_string().into()),
        }
    }

    /// Encodes the tree in force as JSON for peers.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&*self.tree()).unwrap_or_default()
    }
}

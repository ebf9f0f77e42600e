//! Settings of a process (its YAML file) and of the whole system (the settings tree, which
//! operators change at run time).

mod daemon;
mod files;
mod holder;
mod node;
mod policy;
mod pool;
mod tree;

pub use daemon::{
    CoordinatorSettings, DaemonSettings, EntrySettings, LogSettings, PlatformSettings, ProcessRole,
    SidecarSettings,
};
pub use files::{SettingsFile, parse_yaml};
pub use holder::{ApplyOutcome, SettingsHolder};
pub use node::{KeyInfo, NodeSettings, TaskClass, key_table};
pub use policy::PolicySettings;
pub use pool::{PoolSettings, VmSettings};
pub use tree::{
    EffectiveSettings, NodeLevel, NodePath, SettingsTree, TreeChange, TreeDelta, ValueOrigin,
};

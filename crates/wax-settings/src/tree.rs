//! The settings tree. Its levels are organisation, team, service, and job kind or standing watch.

use crate::node::{NodeSettings, ResolvedSettings, key_table};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use wax_types::{ErrorKind, SettingsVersion, Step, WaxError};

/// Values in force at one node of the tree.
pub type EffectiveSettings = ResolvedSettings;

/// Path segment before the name of a job kind.
const KIND_SEGMENT: &str = "kinds";
/// Path segment before the name of a standing watch.
const WATCH_SEGMENT: &str = "watches";

/// Level of a node in the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeLevel {
    /// The root of the tree.
    Organisation,
    /// A team, directly below the root.
    Team,
    /// A service of a team.
    Service,
    /// A kind of batch job of a service.
    JobKind,
    /// A standing watch (long-running job) of a service.
    StandingWatch,
}

/// Path of a node: `/`, `/team`, `/team/service`, `/team/service/kinds/KIND` or
/// `/team/service/watches/WATCH`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct NodePath(Box<str>);

impl NodePath {
    /// Returns the path of the organisation.
    pub fn root() -> Self {
        Self("/".into())
    }

    /// Returns the path of a team.
    pub fn team(team: &str) -> Self {
        Self(format!("/{team}").into())
    }

    /// Returns the path of a service.
    pub fn service(team: &str, service: &str) -> Self {
        Self(format!("/{team}/{service}").into())
    }

    /// Returns the path of a job kind.
    pub fn kind(team: &str, service: &str, kind: &str) -> Self {
        Self(format!("/{team}/{service}/{KIND_SEGMENT}/{kind}").into())
    }

    /// Returns the path of a standing watch.
    pub fn watch(team: &str, service: &str, watch: &str) -> Self {
        Self(format!("/{team}/{service}/{WATCH_SEGMENT}/{watch}").into())
    }

    /// Returns the path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    fn parts(&self) -> Vec<&str> {
        self.0.split('/').filter(|part| !part.is_empty()).collect()
    }

    /// Returns the level of the node.
    pub fn level(&self) -> NodeLevel {
        let parts = self.parts();
        match parts.len() {
            0 => NodeLevel::Organisation,
            1 => NodeLevel::Team,
            2 => NodeLevel::Service,
            _ if parts[2] == KIND_SEGMENT => NodeLevel::JobKind,
            _ => NodeLevel::StandingWatch,
        }
    }

    /// Returns the path of the parent node; `None` for the root.
    pub fn parent(&self) -> Option<Self> {
        let parts = self.parts();
        match parts.len() {
            0 => None,
            1 => Some(Self::root()),
            2 => Some(Self::team(parts[0])),
            _ => Some(Self::service(parts[0], parts[1])),
        }
    }

    /// Returns the paths from the root down to this node, both included.
    pub fn lineage(&self) -> Vec<Self> {
        let mut nodes = vec![self.clone()];
        while let Some(parent) = nodes.last().and_then(Self::parent) {
            nodes.push(parent);
        }
        nodes.reverse();
        nodes
    }
}

impl fmt::Display for NodePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= 64
        && name
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-')
}

impl FromStr for NodePath {
    type Err = WaxError;

    fn from_str(text: &str) -> Result<Self, WaxError> {
        let error = |label: &str| {
            WaxError::new(ErrorKind::Invalid, Step::ReadSettings, text, label).with_help(
                "write /, /TEAM, /TEAM/SERVICE, /TEAM/SERVICE/kinds/KIND or \
                 /TEAM/SERVICE/watches/WATCH; names are a-z, 0-9 and -, at most 64",
            )
        };
        if !text.starts_with('/') {
            return Err(error("a path starts with /"));
        }
        let path = Self(text.into());
        let parts = path.parts();
        if parts.iter().any(|part| !is_valid_name(part)) {
            return Err(error("a name has characters that are not allowed"));
        }
        match parts.as_slice() {
            [] => Ok(Self::root()),
            [_] | [_, _] => Ok(Self(format!("/{}", parts.join("/")).into())),
            [_, _, segment, _] if *segment == KIND_SEGMENT || *segment == WATCH_SEGMENT => {
                Ok(Self(format!("/{}", parts.join("/")).into()))
            }
            _ => Err(error("no level of the tree has this path")),
        }
    }
}

impl TryFrom<Box<str>> for NodePath {
    type Error = WaxError;

    fn try_from(text: Box<str>) -> Result<Self, WaxError> {
        text.parse()
    }
}

impl From<NodePath> for Box<str> {
    fn from(path: NodePath) -> Self {
        path.0
    }
}

/// Value in force at a node, with the node that sets it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ValueOrigin {
    /// Name of the key.
    pub key: Box<str>,
    /// Value in force.
    pub value: Value,
    /// Node that sets the value; `None` for the built-in default.
    pub from: Option<NodePath>,
}

/// Change of one value in force between two versions of the tree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TreeChange {
    /// Node at which the value in force changes.
    pub path: NodePath,
    /// Name of the key; empty if the node itself is added or removed.
    pub key: Box<str>,
    /// Value before the change; null if the node is added.
    pub before: Value,
    /// Value after the change; null if the node is removed.
    pub after: Value,
}

/// Changes of one version relative to the version before. Deltas are kept in the log and pushed to
/// processes that have the version before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TreeDelta {
    /// Version of the tree after the delta is applied.
    pub version: SettingsVersion,
    /// Changed nodes with their new overrides; `None` for a node that is removed.
    pub nodes: Vec<(NodePath, Option<NodeSettings>)>,
    /// Author of the change.
    pub author: Box<str>,
    /// Time of the change, Unix milliseconds.
    pub at_ms: u64,
}

/// One version of the complete tree.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsTree {
    /// Version of the tree; 0 for the initial empty tree, which is never committed.
    #[serde(default)]
    pub version: SettingsVersion,
    /// Declared nodes with the values that they override.
    pub nodes: BTreeMap<NodePath, NodeSettings>,
}

impl SettingsTree {
    /// Returns whether the node is declared.
    pub fn contains(&self, path: &NodePath) -> bool {
        self.nodes.contains_key(path)
    }

    /// Returns the values in force at `path`. An undeclared node inherits all values from its
    /// declared ancestors.
    pub fn resolve(&self, path: &NodePath) -> EffectiveSettings {
        let mut settings = EffectiveSettings::default();
        for node in path.lineage() {
            if let Some(overrides) = self.nodes.get(&node) {
                settings.apply(overrides);
            }
        }
        settings
    }

    /// Returns each value in force at `path` with the node that sets it.
    pub fn explain(&self, path: &NodePath) -> Vec<ValueOrigin> {
        let lineage = path.lineage();
        key_table()
            .into_iter()
            .map(|info| {
                let found = lineage.iter().rev().find_map(|node| {
                    let overrides = serde_json::to_value(self.nodes.get(node)?).ok()?;
                    Some((overrides.get(info.key)?.clone(), node.clone()))
                });
                let (value, from) = match found {
                    Some((value, node)) => (value, Some(node)),
                    None => (info.default, None),
                };
                ValueOrigin {
                    key: info.key.into(),
                    value,
                    from,
                }
            })
            .collect()
    }

    /// Returns the names of the declared teams.
    pub fn teams(&self) -> impl Iterator<Item = &str> {
        self.nodes
            .keys()
            .filter(|path| path.level() == NodeLevel::Team)
            .map(|path| &path.as_str()[1..])
    }

    /// Sets one override, or clears it if `value` is `None`. Declares the node if it is not
    /// declared yet.
    ///
    /// # Errors
    ///
    /// The key is unknown, the value has the wrong type or is out of its bounds, or the parent is
    /// not declared. The tree may have changed if the check of the complete tree fails.
    pub fn set(
        &mut self,
        path: &NodePath,
        key: &str,
        value: Option<Value>,
    ) -> Result<(), WaxError> {
        let current = self.nodes.get(path).cloned().unwrap_or_default();
        let mut fields = serde_json::to_value(current)
            .ok()
            .and_then(|value| value.as_object().cloned())
            .unwrap_or_default();
        if !key_table().iter().any(|info| info.key == key) {
            return Err(key_error(path, key, "no such key"));
        }
        match value {
            Some(value) => fields.insert(key.into(), value),
            None => fields.remove(key),
        };
        let node: NodeSettings = serde_json::from_value(Value::Object(fields))
            .map_err(|error| key_error(path, key, error))?;
        self.nodes.insert(path.clone(), node);
        self.check()
    }

    /// Checks that the parent of each node is declared and that all values are within their bounds.
    ///
    /// # Errors
    ///
    /// Names the first node and key that violate a rule, and the rule.
    pub fn check(&self) -> Result<(), WaxError> {
        for (path, node) in &self.nodes {
            self.check_parent(path)?;
            check_bounds(path, node)?;
        }
        Ok(())
    }

    fn check_parent(&self, path: &NodePath) -> Result<(), WaxError> {
        match path.parent() {
            Some(parent) if parent != NodePath::root() && !self.contains(&parent) => {
                let text = format!("the level above, {parent}, is not declared");
                Err(
                    WaxError::new(ErrorKind::Invalid, Step::ReadSettings, path.as_str(), text)
                        .with_help("declare it first, or keep it while it has levels below it"),
                )
            }
            _ => Ok(()),
        }
    }

    /// Returns the delta that turns this tree into `next`.
    pub fn delta_to(&self, next: &Self, author: &str, at_ms: u64) -> TreeDelta {
        let mut nodes = Vec::new();
        for path in self.nodes.keys().filter(|path| !next.contains(path)) {
            nodes.push((path.clone(), None));
        }
        for (path, node) in &next.nodes {
            if self.nodes.get(path) != Some(node) {
                nodes.push((path.clone(), Some(node.clone())));
            }
        }
        TreeDelta {
            version: self.version.next(),
            nodes,
            author: author.into(),
            at_ms,
        }
    }

    /// Returns this tree with a delta applied. The caller checks that the delta belongs to the next
    /// version.
    pub fn with_delta(&self, delta: &TreeDelta) -> Self {
        let mut tree = self.clone();
        tree.version = delta.version;
        for (path, node) in &delta.nodes {
            match node {
                Some(node) => tree.nodes.insert(path.clone(), node.clone()),
                None => tree.nodes.remove(path),
            };
        }
        tree
    }

    /// Returns the changes of the values in force from this tree to `next`, for every node declared
    /// in either.
    pub fn diff(&self, next: &Self) -> Vec<TreeChange> {
        let mut paths: Vec<&NodePath> = self.nodes.keys().chain(next.nodes.keys()).collect();
        paths.sort();
        paths.dedup();
        let mut changes = Vec::new();
        for path in paths {
            match (self.contains(path), next.contains(path)) {
                (true, true) => self.diff_node(next, path, &mut changes),
                (existed, _) => changes.push(TreeChange {
                    path: path.clone(),
                    key: "".into(),
                    before: if existed {
                        Value::from("declared")
                    } else {
                        Value::Null
                    },
                    after: if existed {
                        Value::Null
                    } else {
                        Value::from("declared")
                    },
                }),
            }
        }
        changes
    }

    fn diff_node(&self, next: &Self, path: &NodePath, changes: &mut Vec<TreeChange>) {
        for (before, after) in self.explain(path).into_iter().zip(next.explain(path)) {
            if before.value != after.value {
                changes.push(TreeChange {
                    path: path.clone(),
                    key: before.key,
                    before: before.value,
                    after: after.value,
                });
            }
        }
    }
}

fn key_error(path: &NodePath, key: &str, label: impl fmt::Display) -> WaxError {
    let location = format!("{path} {key}");
    WaxError::new(ErrorKind::Invalid, Step::ReadSettings, location, label)
        .with_help("docs/SETTINGS.md lists every key with its unit and bounds")
}

fn check_bounds(path: &NodePath, node: &NodeSettings) -> Result<(), WaxError> {
    let fields = serde_json::to_value(node).unwrap_or_default();
    for info in key_table() {
        let Some(value) = fields.get(info.key).and_then(Value::as_u64) else {
            continue;
        };
        let min = info.min.unwrap_or(0);
        let max = info.max.unwrap_or(u64::MAX);
        if !(min..=max).contains(&value) {
            let text = format!("{value} is out of range, expected {min} to {max}");
            return Err(key_error(path, info.key, text));
        }
    }
    Ok(())
}

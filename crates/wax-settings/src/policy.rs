//! Limits and weights of the pool's decisions.

use serde::Deserialize;
use wax_policy::{PaceRules, PlacementRules, RuleInfo};

/// The section `policy`; each key is a number in its unit, or `off`.
#[derive(Debug, Clone, Copy, PartialEq, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// Front, as owner: where tasks start and when they are moved.
    pub place: PlacementRules,
    /// Agent: how fast the tasks that fill may work beside those that serve.
    pub pace: PaceRules,
}

impl PolicySettings {
    /// All rules with the section they stand in.
    pub fn infos(&self) -> Vec<(&'static str, RuleInfo)> {
        let place = self.place.infos().into_iter().map(|info| ("place", info));
        let pace = self.pace.infos().into_iter().map(|info| ("pace", info));
        place.chain(pace).collect()
    }
}

//! Section `policy` of the settings file: rules of placement and pacing in the pool.

use serde::Deserialize;
use wax_policy::{OrderRules, PaceRules, PlacementRules, RuleInfo};

/// Rules of the pool's decisions. Each key is a number in the unit of its rule, or `off` if the
/// rule can be switched off.
#[derive(Debug, Clone, Copy, PartialEq, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// Rules by which the owner, a front, places tasks and moves them.
    pub place: PlacementRules,
    /// Rules by which an agent throttles best-effort tasks that run on the same worker as serving
    /// tasks.
    pub pace: PaceRules,
    /// Rules for calls to workers that are not answered: agents send them again, and the owner
    /// limits starts on the workers concerned.
    pub orders: OrderRules,
}

impl PolicySettings {
    /// Returns all rules, each with the name of its section (`place`, `pace` or `orders`).
    pub fn infos(&self) -> Vec<(&'static str, RuleInfo)> {
        let place = self.place.infos().into_iter().map(|info| ("place", info));
        let pace = self.pace.infos().into_iter().map(|info| ("pace", info));
        let orders = self.orders.infos().into_iter().map(|info| ("orders", info));
        place.chain(pace).chain(orders).collect()
    }
}

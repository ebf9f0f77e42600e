//! Section `policy` of the settings file: rules of placement and pacing in the pool.

use serde::Deserialize;
use wax_policy::{OrderRules, PaceRules, PerformanceRules, PlacementRules, RuleInfo, SharingRules};

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
    /// Rules by which the owner decides which best-effort jobs begin.
    pub sharing: SharingRules,
    /// Rules by which the owner recognizes and avoids slow workers.
    pub performance: PerformanceRules,
    /// Rules for calls to workers that are not answered: agents send them again, and the owner
    /// limits starts on the workers concerned.
    pub orders: OrderRules,
}

impl PolicySettings {
    /// Returns all rules, each with the name of its section, such as `place`.
    pub fn infos(&self) -> Vec<(&'static str, RuleInfo)> {
        let sections = [
            ("place", self.place.infos()),
            ("pace", self.pace.infos()),
            ("sharing", self.sharing.infos()),
            ("performance", self.performance.infos()),
            ("orders", self.orders.infos()),
        ];
        let named = sections
            .into_iter()
            .flat_map(|(section, infos)| infos.into_iter().map(move |info| (section, info)));
        named.collect()
    }
}

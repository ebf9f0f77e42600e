//! How often an owner asks for heartbeats: the larger its pool, the fewer from each.

use crate::config_view::{ConfigReader, ConfigRules};
use std::time::Duration;

/// Agents send heartbeats no more often than this.
pub const AGENT_HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);
/// Nor more seldom: two in a row may be lost before what one has granted ends.
const MAX_AGENT_HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_000);
/// Heartbeats of agents that an owner takes in a second, while the periods allow it.
const AGENT_HEARTBEATS_PER_S: u32 = 800;
/// Fronts send heartbeats no more often than this.
pub const FRONT_HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
/// Heartbeats of fronts that an owner takes in a second, while the periods allow it.
const FRONT_HEARTBEATS_PER_S: u32 = 200;
/// The fronts that go first at a takeover watch the owner as closely as they can.
const EARLY_CANDIDATES: u32 = 8;
/// A heartbeat takes its way, and may be held up.
const TRANSIT_DIVISOR: u32 = 5;

/// The pause between two heartbeats of each of so many agents.
pub fn agent_heartbeat_period(agents: usize) -> Duration {
    period_at_rate(agents, AGENT_HEARTBEATS_PER_S)
        .clamp(AGENT_HEARTBEAT_PERIOD, MAX_AGENT_HEARTBEAT_PERIOD)
}

/// The pause between two heartbeats of one of so many fronts, which has this rank at the next takeover.
///
/// A front goes by the owner's readings of the config as long as it hears of each in time.
pub fn front_heartbeat_period(fronts: usize, rank: u32, rules: &ConfigRules) -> Duration {
    if is_early_candidate(rank) {
        return FRONT_HEARTBEAT_PERIOD;
    }
    let slack = rules.refresh_age(ConfigReader::Front) - rules.refresh_age(ConfigReader::Owner);
    let max_period = (slack - slack / TRANSIT_DIVISOR).max(FRONT_HEARTBEAT_PERIOD);
    period_at_rate(fronts, FRONT_HEARTBEATS_PER_S).clamp(FRONT_HEARTBEAT_PERIOD, max_period)
}

/// Whether a front of this rank is among those that go first at the next takeover.
pub fn is_early_candidate(rank: u32) -> bool {
    rank < EARLY_CANDIDATES
}

fn period_at_rate(peers: usize, per_second: u32) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    Duration::from_secs(1).saturating_mul(peers) / per_second
}

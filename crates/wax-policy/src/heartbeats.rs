//! How often an owner asks for heartbeats: the larger its pool, the fewer from each.

use crate::config_view::{ConfigReader, ConfigRules};
use std::time::Duration;

/// Agents send heartbeats no more often than this.
pub const AGENT_HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);
/// Nor more seldom: two in a row may be lost before what one has granted ends.
const MAX_AGENT_HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_000);
/// Heartbeats of agents that an owner takes in a second, while the periods allow it.
const AGENT_RATE: u32 = 800;
/// Fronts send heartbeats no more often than this.
pub const FRONT_HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
/// Heartbeats of fronts that an owner takes in a second, while the periods allow it.
const FRONT_RATE: u32 = 200;
/// The fronts that go first at a takeover watch the owner as closely as they can.
const WATCHERS: u32 = 8;
/// A heartbeat takes its way, and may be held up.
const WAY_SHARE: u32 = 5;

/// The pause between two heartbeats of each of so many agents.
pub fn agent_heartbeat_period(agents: usize) -> Duration {
    spread_over(agents, AGENT_RATE).clamp(AGENT_HEARTBEAT_PERIOD, MAX_AGENT_HEARTBEAT_PERIOD)
}

/// The pause between two heartbeats of one of so many fronts, which has this rank at the next takeover.
///
/// A front goes by the owner's readings of the config as long as it hears of each in time.
pub fn front_heartbeat_period(fronts: usize, rank: u32, rules: &ConfigRules) -> Duration {
    if is_early_candidate(rank) {
        return FRONT_HEARTBEAT_PERIOD;
    }
    let room = rules.refresh_age(ConfigReader::Front) - rules.refresh_age(ConfigReader::Owner);
    let longest = (room - room / WAY_SHARE).max(FRONT_HEARTBEAT_PERIOD);
    spread_over(fronts, FRONT_RATE).clamp(FRONT_HEARTBEAT_PERIOD, longest)
}

/// Whether a front of this rank is among those that go first at the next takeover.
pub fn is_early_candidate(rank: u32) -> bool {
    rank < WATCHERS
}

fn spread_over(peers: usize, rate: u32) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    Duration::from_secs(1).saturating_mul(peers) / rate
}

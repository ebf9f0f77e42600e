//! Intervals of the heartbeats that agents and fronts send to the owner. The larger the pool, the
//! longer the interval of each process.

use crate::config_view::{ConfigReader, ConfigRules};
use std::time::Duration;

/// Shortest interval between two heartbeats of an agent.
pub const AGENT_HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);
/// Longest interval between two heartbeats of an agent, so that two heartbeats in a row may be lost
/// before the grant from the last answer ends.
const MAX_AGENT_HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_000);
/// Total rate of agent heartbeats that an owner aims for; the limits on the interval take
/// precedence.
const AGENT_HEARTBEATS_PER_S: u32 = 800;
/// Shortest interval between two heartbeats of a front.
pub const FRONT_HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
/// Total rate of front heartbeats that an owner aims for; the limits on the interval take
/// precedence.
const FRONT_HEARTBEATS_PER_S: u32 = 200;
/// Number of fronts that are first in line to take over; they use the shortest interval, to notice
/// a lost owner early.
const EARLY_CANDIDATES: u32 = 8;
/// The time available for a heartbeat, divided by this number, is reserved for its transit and
/// delays.
const TRANSIT_DIVISOR: u32 = 5;

/// Returns the interval between two heartbeats of each of `agents` agents.
pub fn agent_heartbeat_period(agents: usize) -> Duration {
    period_at_rate(agents, AGENT_HEARTBEATS_PER_S)
        .clamp(AGENT_HEARTBEAT_PERIOD, MAX_AGENT_HEARTBEAT_PERIOD)
}

/// Returns the interval between two heartbeats of a front that has this rank at the next takeover,
/// in a pool of `fronts` fronts.
///
/// The interval is short enough that the front learns of each config read by the owner before it
/// would have to read the config itself.
pub fn front_heartbeat_period(fronts: usize, rank: u32, rules: &ConfigRules) -> Duration {
    if is_early_candidate(rank) {
        return FRONT_HEARTBEAT_PERIOD;
    }
    let slack = rules.refresh_age(ConfigReader::Front) - rules.refresh_age(ConfigReader::Owner);
    let max_period = (slack - slack / TRANSIT_DIVISOR).max(FRONT_HEARTBEAT_PERIOD);
    period_at_rate(fronts, FRONT_HEARTBEATS_PER_S).clamp(FRONT_HEARTBEAT_PERIOD, max_period)
}

/// Returns whether a front of this rank is among the first that try to take over.
pub fn is_early_candidate(rank: u32) -> bool {
    rank < EARLY_CANDIDATES
}

fn period_at_rate(peers: usize, per_second: u32) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    Duration::from_secs(1).saturating_mul(peers) / per_second
}

//! Rules of an agent's decisions, which change when the settings are reloaded.

use std::cell::Cell;
use wax_policy::{OrderRules, PaceRules, PerformanceRules};

/// Rules in force at an agent.
#[derive(Debug)]
pub struct AgentRules {
    /// Rules of pacing best-effort tasks.
    pub pace: Cell<PaceRules>,
    /// Rules about slow workers.
    pub performance: Cell<PerformanceRules>,
    /// Rules for calls that are not answered.
    pub orders: Cell<OrderRules>,
}

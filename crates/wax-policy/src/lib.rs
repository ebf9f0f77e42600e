//! Decisions as plain functions and small state; the present time is always an argument.

mod admission;
mod average;
mod backoff;
mod breaker;
mod config_view;
mod contact;
mod drains;
mod gate;
mod heartbeats;
mod interference;
mod kinds;
mod pace_rules;
mod place_rules;
mod placement;
mod press;
mod relief;
mod rendezvous;
mod retry;
mod routing;
mod rules;
mod sizing;
mod workday;

pub use admission::{AdmitChoice, TeamKey, TeamLimits, TeamTable};
pub use average::DecayedMean;
pub use backoff::BackoffPlan;
pub use breaker::{BreakerChoice, StoreBreaker};
pub use config_view::{ConfigReader, ConfigRules, ConfigView, ReadChoice};
pub use contact::{ContactChoice, LeaseTerms, WorkerContact};
pub use drains::{DrainRules, DrainVerdict, DrainView};
pub use gate::{GateChoice, ReleaseChoice, SlotGate};
pub use heartbeats::{AGENT_PERIOD, FRONT_PERIOD, agent_period, front_period, is_watcher};
pub use interference::{LoadBand, PairEstimate, PairTable};
pub use kinds::{KindKey, KindTable};
pub use pace_rules::PaceRules;
pub use place_rules::{ExpectedFinish, PlaceRules};
pub use placement::{
    FirmWeights, PlaceChoice, PlaceContext, PlacePolicy, RunningTask, TaskDemand, WorkerKey,
    WorkerSlot, WorkerTable,
};
pub use press::{CoreUse, LoadChange, LoadLook, PairPress, PressChoice, PressTable, WorkerPress};
pub use relief::{ReliefChoice, ReliefState, ReliefView, THROTTLED_PERCENT};
pub use rendezvous::{rank_score, top_member};
pub use retry::RetryBudget;
pub use routing::{
    AttemptEnd, RouteChoice, RoutePolicy, RouteTable, UpstreamKey, UpstreamLoad, UpstreamView,
};
pub use rules::{RuleError, RuleInfo, RuleSwitch, RuleValue, RuleWord};
pub use sizing::SizeTable;
pub use workday::WorkDay;

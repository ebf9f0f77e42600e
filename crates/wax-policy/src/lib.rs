//! Scheduling and routing decisions as functions and small state machines without I/O. The present
//! time is always an argument.

mod admission;
mod answer_times;
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
mod lease;
mod mitigation;
mod order_rules;
mod pace_rules;
mod pair_interference;
mod performance;
mod performance_rules;
mod placement;
mod placement_rules;
mod rendezvous;
mod resend;
mod retry;
mod routing;
mod rules;
mod run_times;
mod sharing;
mod silence;
mod sizing;
mod version_ages;
mod workday;

pub use admission::{AdmitChoice, TeamKey, TeamLimits, TeamTable};
pub use answer_times::AnswerTimes;
pub use average::DecayedMean;
pub use backoff::BackoffPlan;
pub use breaker::{BreakerChoice, StoreBreaker};
pub use config_view::{ConfigReader, ConfigRules, ConfigView, ReadChoice};
pub use contact::{ContactChoice, LeaseTimings, WorkerContact};
pub use drains::{DrainRules, DrainVerdict, DrainView};
pub use gate::{DequeueChoice, GateChoice, SlotGate};
pub use heartbeats::{
    AGENT_HEARTBEAT_PERIOD, FRONT_HEARTBEAT_PERIOD, agent_heartbeat_period, front_heartbeat_period,
    is_early_candidate,
};
pub use interference::{LoadBand, PairEstimate, PairTable};
pub use kinds::{KindKey, KindTable};
pub use lease::max_lease_time;
pub use mitigation::{MitigationChoice, MitigationState, MitigationView, THROTTLED_PERCENT};
pub use order_rules::OrderRules;
pub use pace_rules::PaceRules;
pub use pair_interference::{
    CoresByImage, InterferenceEstimate, InterferenceTable, LoadChange, LoadSample,
    PairInterference, WorkerInterference,
};
pub use performance::{
    ServiceWorker, SpeedCause, SpeedEstimate, SpeedFinding, SpeedObservation, SpeedVerdict,
    WorkerPerformance, is_move_worthwhile, select_slow,
};
pub use performance_rules::PerformanceRules;
pub use placement::{
    CustomerWeights, PlacementChoice, PlacementContext, PlacementPolicy, RunningTask, TaskDemand,
    WorkerCapacity, WorkerKey, WorkerTable,
};
pub use placement_rules::{ExpectedFinish, PlacementRules};
pub use rendezvous::{rank_score, top_member};
pub use resend::{ResendChoice, ResendPlan};
pub use retry::RetryBudget;
pub use routing::{
    AttemptEnd, RouteChoice, RoutePolicy, RouteTable, UpstreamKey, UpstreamLoad, UpstreamView,
};
pub use rules::{RuleError, RuleInfo, RuleSetting, RuleSwitch, RuleValue};
pub use run_times::{
    ImageRunTimes, StepRunTimes, compare_with_step, overdue_after, projected_run_time,
};
pub use sharing::{BeginChoice, BegunLoad, SharingRules};
pub use silence::SilenceClock;
pub use sizing::SizeTable;
pub use version_ages::{ExpiredVersion, VersionAges, VersionAgesSnapshot, VersionMark};
pub use workday::WorkDay;

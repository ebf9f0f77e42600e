//! Decisions as plain functions and small state; the present time is always an argument.

mod admission;
mod average;
mod backoff;
mod breaker;
mod contact;
mod gate;
mod placement;
mod rendezvous;
mod retry;
mod routing;

pub use admission::{AdmitChoice, TeamKey, TeamLimits, TeamTable};
pub use average::DecayedMean;
pub use backoff::BackoffPlan;
pub use breaker::{BreakerChoice, StoreBreaker};
pub use contact::{ContactChoice, LeaseTerms, WorkerContact};
pub use gate::{GateChoice, ReleaseChoice, SlotGate};
pub use placement::{
    PlaceChoice, PlacePolicy, RunningTask, TaskDemand, WorkerKey, WorkerSlot, WorkerTable,
};
pub use rendezvous::{rank_score, top_member};
pub use retry::RetryBudget;
pub use routing::{
    AttemptEnd, RouteChoice, RoutePolicy, RouteTable, UpstreamKey, UpstreamLoad, UpstreamView,
};

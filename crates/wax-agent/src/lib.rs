//! The agent: the process on a worker's VM that alone sends orders to this worker.
//!
//! The agent starts a run only if the worker's capacity covers it together with all runs that are
//! running, being stopped, or whose start is unanswered. It extends the worker's leases only while
//! an owner has recently confirmed its own authority.

mod boot_change;
#[cfg(test)]
mod boot_change_tests;
mod boots;
mod check_ins;
mod copies;
mod crash_log;
mod driver;
#[cfg(test)]
mod gated_worker;
mod lease;
mod orders;
#[cfg(test)]
mod orders_tests;
mod owner_link;
mod pace;
mod pending_updates;
mod process;
mod rules;
mod run_list;
#[cfg(test)]
mod run_list_tests;
mod run_table;
mod state;

pub use boots::{BootRegistry, BootReport, CandidateAction, CheckInAction};
pub use crash_log::CrashLog;
pub use lease::{LeaseClock, LeaseRules};
pub use owner_link::OwnerDirectory;
pub use pace::{BestEffortSample, PaceCause, PaceChange, PaceControl, PaceSample, ServingSample};
pub use pending_updates::PendingUpdates;
pub use process::run_agent;
pub use rules::AgentRules;
pub use run_table::{HoldUpdates, PlacementInfo, RunState, RunTable};

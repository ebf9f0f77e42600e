//! The process beside a worker: the only one that gives it orders.
//!
//! It starts only what fits beside everything that runs, is being stopped, or may begin yet, and
//! extends the worker's leases only while an owner has confirmed its authority lately.

mod boot_change;
mod boots;
mod check_ins;
mod crash_log;
mod driver;
mod lease;
mod orders;
mod owner_link;
mod pace;
mod pending_updates;
mod process;
mod run_table;
mod state;

pub use boots::{BootRegistry, BootReport, CandidateAction, CheckInAction};
pub use crash_log::CrashLog;
pub use lease::{LeaseClock, LeaseRules};
pub use owner_link::OwnerDirectory;
pub use pace::{BestEffortSample, PaceCause, PaceChange, PaceControl, PaceSample, ServingSample};
pub use pending_updates::PendingUpdates;
pub use process::run_agent;
pub use run_table::{HoldUpdates, PlacementInfo, RunState, RunTable};

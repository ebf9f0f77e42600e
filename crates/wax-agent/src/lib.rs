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
mod news;
mod orders;
mod owner_link;
mod pace;
mod process;
mod state;
mod table;

pub use boots::{BootReport, BootWatch, CandidateStep, CheckInStep};
pub use crash_log::CrashLog;
pub use lease::{LeaseClock, LeaseRules};
pub use news::GatheredNews;
pub use owner_link::OwnerDirectory;
pub use pace::{FillingSample, PaceCause, PaceChange, PaceControl, PaceSample, ServingSample};
pub use process::run_agent;
pub use table::{HoldNews, RunStand, RunTable, SeatInfo};

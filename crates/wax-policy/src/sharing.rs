//! Decides which best-effort jobs begin while there is too little capacity for all of them.
//!
//! The load that these decisions answer: more best-effort jobs arrive than can end in time. If all
//! of them run a few tasks each, they slow each other down, and hardly any job ends within its
//! objective.

use crate::rules::rule_set;

rule_set! {
    /// Rules that decide which best-effort jobs begin.
    SharingRules {
        /// Whether best-effort jobs that have begun are placed before others, and begin only as a
        /// whole.
        enabled: u32 = ("whole_jobs", "switch", 0, 0 to 1, off 0),
        /// Share of a step's waiting tasks that must find workers at once for its job to begin.
        /// Without a minimum, a job begins with the few tasks that happen to fit, and occupies
        /// capacity without a chance to end in time.
        begin_share: f64 = ("begin_share", "share", 0.7, 0 to 1, off 0),
        /// Jobs begin only while the tasks of begun jobs that wait request at most this multiple
        /// of the processors of those that run. The margin keeps a job that waits for particular
        /// workers from holding up all others.
        max_backlog: f64 = ("begin_backlog", "share", 0.25, 0 to 1000, off 1000),
    }
}

/// Processors requested by the best-effort tasks of jobs that have begun and can still end in time,
/// in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BegunLoad {
    /// Requested by tasks that wait for a worker.
    pub waiting_milli: u64,
    /// Requested by all best-effort tasks that run.
    pub running_milli: u64,
}

/// What becomes of a step whose job has not begun, after a search for workers for all its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeginChoice {
    /// The job begins with the tasks that found a worker.
    Begin,
    /// Too few tasks found a worker, so none starts.
    Postpone,
}

impl SharingRules {
    /// Returns whether the rules are in force.
    pub fn is_enabled(&self) -> bool {
        self.enabled > 0
    }

    /// Returns whether jobs may begin at this load.
    pub fn may_begin(&self, load: BegunLoad) -> bool {
        load.waiting_milli as f64 <= load.running_milli as f64 * self.max_backlog
    }

    /// Decides whether a job begins if `placeable` of the `waiting` tasks of its step found a
    /// worker.
    pub fn begin_choice(&self, placeable: usize, waiting: usize) -> BeginChoice {
        if placeable > 0 && placeable as f64 >= waiting as f64 * self.begin_share {
            BeginChoice::Begin
        } else {
            BeginChoice::Postpone
        }
    }
}

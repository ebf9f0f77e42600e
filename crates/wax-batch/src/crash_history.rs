//! What crashes of workers tell of one task that ran there.
//!
//! A run that ends with its worker is listed by nobody. Unless it is counted, a task that takes its
//! worker with it is started for ever, and all that runs beside it is lost with each start.
//!
//! A task is the cause where its runs are the only common ground: workers of several machines ended,
//! and nothing else had just started there. Machines whose workers go down and up by turns end the
//! same tasks again and again; so a task is started elsewhere next, and what counts is machines.

use std::collections::HashSet;
use std::time::Duration;
use wax_types::TimePoint;

/// A run that its worker outlived by less may have ended it at once: a worker's agent has an answer
/// each 250 ms at least, so that this is as sharp as it sees.
pub(crate) const EARLY_CRASH_LIMIT: Duration = Duration::from_millis(250);
/// A run that held out for so long says that its task ends no worker.
const PROVEN_HARMLESS_AFTER: Duration = Duration::from_secs(10);
/// How long a suspected task starts alone: until it is no longer early, and an answer later.
const SHORT_ISOLATION: Duration = EARLY_CRASH_LIMIT.saturating_mul(2);
/// Machines whose workers ended at once after a task's start, in the last case with no other start
/// near: by chance that takes two other causes, each within [`EARLY_CRASH_LIMIT`] of a start of the same task.
const EARLY_CRASH_VMS: usize = 2;
/// The same for ends that came later, where more happens by chance.
const LATE_CRASH_VMS: usize = 4;
/// Workers that ended at once, on whatever machines and whatever else started beside: the task is given
/// up, so that it is never started three times more after it has ended three workers.
const MAX_EARLY_CRASHES: usize = 4;
/// The same for all ends, if they were on so many machines and the task is not to last. On so many
/// machines it is also started alone until it has held out: without that 96 jobs that ended no worker
/// fail for 24, where tasks end workers 0.9 s after their starts (40 plays of `crash_storm`, one in 20).
const MAX_CRASHES: usize = 5;
const MANY_CRASH_VMS: usize = 3;
/// For so long after a crash a task does not go back to a machine whose worker has ended under it, if
/// there is any other: its worker is back empty, and draws what waits. Without it workers end 938 times for
/// 824 (40 played storms of `crash_storm`, one job in 20), and 2 jobs of 8,000 fail for workers that flap.
const VM_AVOIDANCE: Duration = Duration::from_secs(3);

/// A task's part in a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// It has held out for long.
    Beside,
    /// It may be the cause; the more often, the more alone it is started.
    Suspected,
    /// It is the cause: it is not started again.
    GivenUp,
}

/// One crash, for all runs in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CrashContext<'a> {
    /// The worker's machine.
    pub(crate) vm: &'a str,
    /// Whether a worker of the same machine had crashed a moment before.
    pub(crate) repeated: bool,
}

/// One run in a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunInCrash {
    /// The number of the run.
    pub(crate) run: u64,
    /// For how long it surely ran.
    pub(crate) min_run_time: Duration,
    /// Whether no other run began about as late or later.
    pub(crate) is_only_recent_start: bool,
    /// How many machines have workers for the task.
    pub(crate) vms: usize,
    /// Whether the task lasts until its job is cancelled.
    pub(crate) long_running: bool,
}

/// A run that ended with its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRun {
    /// The number of the run.
    pub run: u64,
    /// The worker's machine.
    pub vm: Box<str>,
    /// Whether the worker ended at once after the start.
    pub early: bool,
}

/// Runs of a task that ended with their workers, since it last held out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashHistory {
    /// Each run once.
    pub runs: Vec<CrashedRun>,
    /// When the last one was told.
    pub(crate) last_reported: TimePoint,
}

impl CrashHistory {
    /// How many workers have ended under the task.
    pub fn crashes(&self) -> usize {
        self.runs.len()
    }

    /// Whether nothing is known against the task.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// The highest run that is counted.
    pub(crate) fn last_run(&self) -> u64 {
        let runs = self.runs.iter().map(|crashed| crashed.run);
        runs.max().unwrap_or(0)
    }

    /// Whether a worker of this machine has ended under the task.
    pub(crate) fn names(&self, vm: &str) -> bool {
        self.runs.iter().any(|crashed| *crashed.vm == *vm)
    }

    /// Whether the task is to start on machines only under which no worker has ended.
    pub(crate) fn avoids_vms(&self, now: TimePoint) -> bool {
        !self.is_empty() && now.since(self.last_reported) < VM_AVOIDANCE
    }

    fn early(&self) -> impl Iterator<Item = &CrashedRun> {
        self.runs.iter().filter(|crashed| crashed.early)
    }

    /// Counts a run that ended with its worker, once, however often it is told.
    pub(crate) fn update(
        &mut self,
        crashed: RunInCrash,
        context: CrashContext<'_>,
        now: TimePoint,
    ) -> CrashVerdict {
        if self.runs.iter().any(|earlier| earlier.run == crashed.run) {
            // Told again: what followed from it is done.
            return CrashVerdict::Suspected;
        }
        let early = crashed.min_run_time < EARLY_CRASH_LIMIT;
        // What a run shows clears those before it only: it may be told late, or again.
        if crashed.min_run_time >= PROVEN_HARMLESS_AFTER {
            self.runs.retain(|earlier| earlier.run > crashed.run);
            return CrashVerdict::Beside;
        }
        if !early {
            // A start that its worker outlived: it was not the start that ended those before.
            let before = self
                .runs
                .iter_mut()
                .filter(|earlier| earlier.run < crashed.run);
            before.for_each(|earlier| earlier.early = false);
        }
        self.runs.push(CrashedRun {
            run: crashed.run,
            vm: context.vm.into(),
            early,
        });
        self.last_reported = now;
        self.verdict(crashed, context.repeated, early)
    }

    fn verdict(&self, crashed: RunInCrash, repeated: bool, early: bool) -> CrashVerdict {
        // A service with fewer machines than that cannot show more.
        let enough = |vms: usize, most: usize| vms >= most.min(crashed.vms);
        let vms = count_vms(self.runs.iter());
        // A machine that crashed a moment before, too, says less.
        let needed = EARLY_CRASH_VMS + usize::from(repeated);
        let proven_early = early
            && self.early().count() >= needed
            && enough(count_vms(self.early()), EARLY_CRASH_VMS);
        let proven_late = self.crashes() >= LATE_CRASH_VMS && enough(vms, LATE_CRASH_VMS);
        // A lasting task meets more crashes of others in its life than one that ends.
        let too_many = self.early().count() >= MAX_EARLY_CRASHES
            || !crashed.long_running
                && self.crashes() >= MAX_CRASHES
                && enough(vms, MANY_CRASH_VMS);
        match crashed.is_only_recent_start && (proven_early || proven_late) || too_many {
            true => CrashVerdict::GivenUp,
            false => CrashVerdict::Suspected,
        }
    }

    /// How long a start of the task must have its worker to itself; `None` if it need not. A lasting
    /// task never keeps a worker for long: many would queue for the few that may be kept.
    pub(crate) fn isolation(&self, long_running: bool) -> Option<Duration> {
        if !long_running && count_vms(self.runs.iter()) >= MANY_CRASH_VMS {
            Some(PROVEN_HARMLESS_AFTER)
        } else if self.early().next().is_some() {
            Some(SHORT_ISOLATION)
        } else {
            None
        }
    }
}

fn count_vms<'a>(runs: impl Iterator<Item = &'a CrashedRun>) -> usize {
    let vms: HashSet<&str> = runs.map(|crashed| &*crashed.vm).collect();
    vms.len()
}

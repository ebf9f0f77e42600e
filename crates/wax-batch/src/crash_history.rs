//! Crash attribution for one task: decides from the crashes of its workers whether the task causes
//! them.
//!
//! No worker reports the end of a run that ended in the crash of the worker itself. Without
//! counting such runs, a task that crashes its worker would be restarted forever, and every restart
//! would also lose the other runs on that worker.
//!
//! A task is taken as the cause if its runs are all that the crashes have in common: workers on
//! several VMs crashed, and no other run had just started there. A VM whose worker crashes and
//! restarts repeatedly hits the same tasks again and again. The task is therefore started elsewhere
//! next, and VMs are counted rather than crashes.

use std::collections::HashSet;
use std::time::Duration;
use wax_types::TimePoint;

/// A worker that crashes within this time after the start of a run may have been crashed by the
/// start. Agents receive an answer from each worker at least every 250 ms, so a shorter time cannot
/// be told apart.
pub(crate) const EARLY_CRASH_LIMIT: Duration = Duration::from_millis(250);
/// A run that has lasted this long shows that its task does not crash workers.
const PROVEN_HARMLESS_AFTER: Duration = Duration::from_secs(10);
/// Time after the start of a suspected task for which nothing else starts on its worker: until a
/// crash would no longer count as early, and one more answer interval.
const SHORT_ISOLATION_TIME: Duration = EARLY_CRASH_LIMIT.saturating_mul(2);
/// Number of VMs with an early crash after a start of the task that proves it to be the cause, if
/// no other run had just started at the last crash. To occur by chance, two other causes would each
/// have to fall within [`EARLY_CRASH_LIMIT`] of a start of the same task.
const EARLY_CRASH_VMS: usize = 2;
/// Number of VMs that proves the task to be the cause if the crashes came later, where coincidences
/// are more likely.
const LATE_CRASH_VMS: usize = 4;
/// Number of early crashes, on any VMs and with any other starts at the same time, after which the
/// task is given up. Without this limit a task that has already crashed three workers could be
/// started three or more times again.
const MAX_EARLY_CRASHES: usize = 4;
/// Number of crashes, early or not, after which a task that is not long-running is given up, if
/// they occurred on [`MANY_CRASH_VMS`] VMs. With crashes on that many VMs the task is also isolated
/// until [`PROVEN_HARMLESS_AFTER`]. Without this isolation 96 instead of 24 jobs that crash no
/// worker fail in 40 runs of `crash_storm` in which one job in 20 crashes its worker 0.9 s after a
/// start.
const MAX_CRASHES: usize = 5;
const MANY_CRASH_VMS: usize = 3;
/// Time after a crash for which a task avoids VMs on which a worker crashed under it, if other VMs
/// exist. The restarted worker is empty and would attract all waiting tasks. Without this rule 938
/// instead of 824 workers crash in 40 runs of `crash_storm` with one crashing job in 20, and 2 of
/// 8,000 jobs fail because of workers that restart repeatedly.
const VM_AVOIDANCE_TIME: Duration = Duration::from_secs(3);

/// Part of a task in a crash of its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The run had lasted long enough to show that the task is not the cause.
    Beside,
    /// The task may be the cause. The more crashes it has had, the longer nothing else starts on
    /// its worker after its next start.
    Suspected,
    /// The task is the cause and is not started again.
    GivenUp,
}

/// Circumstances of a crash that all affected runs share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CrashContext<'a> {
    /// VM of the crashed worker.
    pub(crate) vm: &'a str,
    /// Whether a worker on the same VM had crashed shortly before.
    pub(crate) repeated: bool,
}

/// Circumstances of a crash for one affected run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunInCrash {
    /// Number of the run.
    pub(crate) run: u64,
    /// Lower bound on the run time at the crash.
    pub(crate) min_run_time: Duration,
    /// Whether no other affected run started at about the same time or later.
    pub(crate) is_only_recent_start: bool,
    /// Number of workers of the task's service, each on its own VM.
    pub(crate) service_vms: usize,
    /// Whether the task is long-running.
    pub(crate) long_running: bool,
}

/// Run that ended in a crash of its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRun {
    /// Number of the run.
    pub run: u64,
    /// VM of the worker.
    pub vm: Box<str>,
    /// Whether the worker crashed so soon after the start that the start may have been the cause.
    pub early: bool,
}

/// Runs of a task that ended in a crash of their worker, since a run of it last proved harmless.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashHistory {
    /// The runs, each listed once.
    pub runs: Vec<CrashedRun>,
    /// Time at which the last of the runs was reported.
    pub(crate) last_reported: TimePoint,
}

impl CrashHistory {
    /// Returns the number of workers that crashed under the task.
    pub fn crash_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether no crash counts against the task.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the highest run number in the list; 0 if it is empty.
    pub(crate) fn last_run(&self) -> u64 {
        let runs = self.runs.iter().map(|crashed| crashed.run);
        runs.max().unwrap_or(0)
    }

    /// Returns whether a worker on this VM crashed under the task.
    pub(crate) fn includes_vm(&self, vm: &str) -> bool {
        self.runs.iter().any(|crashed| *crashed.vm == *vm)
    }

    /// Returns whether the task should currently only start on VMs on which no worker has crashed
    /// under it.
    pub(crate) fn avoids_vms(&self, now: TimePoint) -> bool {
        !self.is_empty() && now.since(self.last_reported) < VM_AVOIDANCE_TIME
    }

    fn early_crashes(&self) -> impl Iterator<Item = &CrashedRun> {
        self.runs.iter().filter(|crashed| crashed.early)
    }

    /// Records a run that ended in a crash of its worker. A run counts once, however often it is
    /// reported.
    pub(crate) fn record(
        &mut self,
        crashed: RunInCrash,
        context: CrashContext<'_>,
        now: TimePoint,
    ) -> CrashVerdict {
        if self.runs.iter().any(|earlier| earlier.run == crashed.run) {
            // Repeated report: the verdict on this run has already been applied.
            return CrashVerdict::Suspected;
        }
        let early = crashed.min_run_time < EARLY_CRASH_LIMIT;
        // A run only clears earlier runs, because its report may be delayed or repeated.
        if crashed.min_run_time >= PROVEN_HARMLESS_AFTER {
            self.runs.retain(|earlier| earlier.run > crashed.run);
            return CrashVerdict::Beside;
        }
        if !early {
            // The worker survived the start of this run, so the starts before it did not cause the
            // earlier crashes.
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
        // A service with fewer VMs than required cannot provide more evidence.
        let enough = |vms: usize, required: usize| vms >= required.min(crashed.service_vms);
        let vms = count_vms(self.runs.iter());
        // A VM with another crash shortly before is weaker evidence, so one more early crash is
        // required.
        let needed = EARLY_CRASH_VMS + usize::from(repeated);
        let proven_early = early
            && self.early_crashes().count() >= needed
            && enough(count_vms(self.early_crashes()), EARLY_CRASH_VMS);
        let proven_late = self.crash_count() >= LATE_CRASH_VMS && enough(vms, LATE_CRASH_VMS);
        // A long-running task is hit by more crashes of other causes in its lifetime than a task
        // that ends.
        let too_many = self.early_crashes().count() >= MAX_EARLY_CRASHES
            || !crashed.long_running
                && self.crash_count() >= MAX_CRASHES
                && enough(vms, MANY_CRASH_VMS);
        match crashed.is_only_recent_start && (proven_early || proven_late) || too_many {
            true => CrashVerdict::GivenUp,
            false => CrashVerdict::Suspected,
        }
    }

    /// Returns for how long nothing else may start on the task's worker after its next start;
    /// `None` if the start need not be isolated. Long-running tasks are only isolated briefly:
    /// otherwise many of them would queue for the few workers that may be isolated.
    pub(crate) fn isolation(&self, long_running: bool) -> Option<Duration> {
        if !long_running && count_vms(self.runs.iter()) >= MANY_CRASH_VMS {
            Some(PROVEN_HARMLESS_AFTER)
        } else if self.early_crashes().next().is_some() {
            Some(SHORT_ISOLATION_TIME)
        } else {
            None
        }
    }
}

fn count_vms<'a>(runs: impl Iterator<Item = &'a CrashedRun>) -> usize {
    let vms: HashSet<&str> = runs.map(|crashed| &*crashed.vm).collect();
    vms.len()
}

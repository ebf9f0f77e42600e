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
pub(crate) const EARLY: Duration = Duration::from_millis(250);
/// A run that held out for so long says that its task ends no worker.
const HELD_OUT: Duration = Duration::from_secs(10);
/// How long a suspected task starts alone: until it is no longer early, and an answer later.
const SHORT_TRIAL: Duration = EARLY.saturating_mul(2);
/// Machines whose workers ended at once after a task's start, in the last case with no other start
/// near: by chance that takes two other causes, each within [`EARLY`] of a start of the same task.
const PROVEN_EARLY: usize = 2;
/// The same for ends that came later, where more happens by chance.
const PROVEN_LATE: usize = 4;
/// Workers that ended at once, on whatever machines and whatever else started beside: the task is given
/// up, so that it is never started three times more after it has ended three workers.
const MOST_EARLY: usize = 4;
/// The same for all ends, if they were on so many machines and the task is not to last. On so many
/// machines it is also started alone until it has held out: without that 96 jobs that ended no worker
/// fail for 24, where tasks end workers 0.9 s after their starts (40 plays of `crash_storm`, one in 20).
const MOST_CRASHES: usize = 5;
const DANGEROUS: usize = 3;
/// For so long after a crash a task does not go back to a machine whose worker has ended under it, if
/// there is any other: its worker is back empty, and draws what waits. Without it workers end 938 times for
/// 824 (40 played storms of `crash_storm`, one job in 20), and 2 jobs of 8,000 fail for workers that flap.
const AVOID_FOR: Duration = Duration::from_secs(3);

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
pub(crate) struct CrashScene<'a> {
    /// The worker's machine.
    pub(crate) machine: &'a str,
    /// Whether a worker of the same machine had crashed a moment before.
    pub(crate) again: bool,
}

/// One run in a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CrashPart {
    /// The number of the run.
    pub(crate) run: u64,
    /// For how long it surely ran.
    pub(crate) ran: Duration,
    /// Whether no other run began about as late or later.
    pub(crate) alone: bool,
    /// How many machines have workers for the task.
    pub(crate) machines: usize,
    /// Whether the task lasts until its job is cancelled.
    pub(crate) lasts: bool,
}

/// A run that ended with its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRun {
    /// The number of the run.
    pub run: u64,
    /// The worker's machine.
    pub machine: Box<str>,
    /// Whether the worker ended at once after the start.
    pub early: bool,
}

/// Runs of a task that ended with their workers, since it last held out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashBlame {
    /// Each run once.
    pub runs: Vec<CrashedRun>,
    /// When the last one was told.
    pub(crate) told: TimePoint,
}

impl CrashBlame {
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
        let runs = self.runs.iter().map(|known| known.run);
        runs.max().unwrap_or(0)
    }

    /// Whether a worker of this machine has ended under the task.
    pub(crate) fn names(&self, machine: &str) -> bool {
        self.runs.iter().any(|known| *known.machine == *machine)
    }

    /// Whether the task is to start on machines only under which no worker has ended.
    pub(crate) fn avoids(&self, now: TimePoint) -> bool {
        !self.is_empty() && now.since(self.told) < AVOID_FOR
    }

    fn early(&self) -> impl Iterator<Item = &CrashedRun> {
        self.runs.iter().filter(|known| known.early)
    }

    /// Counts a run that ended with its worker, once, however often it is told.
    pub(crate) fn note(
        &mut self,
        part: CrashPart,
        scene: CrashScene<'_>,
        now: TimePoint,
    ) -> CrashVerdict {
        if self.runs.iter().any(|known| known.run == part.run) {
            // Told again: what followed from it is done.
            return CrashVerdict::Suspected;
        }
        let early = part.ran < EARLY;
        // What a run shows clears those before it only: it may be told late, or again.
        if part.ran >= HELD_OUT {
            self.runs.retain(|known| known.run > part.run);
            return CrashVerdict::Beside;
        }
        if !early {
            // A start that its worker outlived: it was not the start that ended those before.
            let before = self.runs.iter_mut().filter(|known| known.run < part.run);
            before.for_each(|known| known.early = false);
        }
        self.runs.push(CrashedRun {
            run: part.run,
            machine: scene.machine.into(),
            early,
        });
        self.told = now;
        self.verdict(part, scene.again, early)
    }

    fn verdict(&self, part: CrashPart, again: bool, early: bool) -> CrashVerdict {
        // A service with fewer machines than that cannot show more.
        let enough = |machines: usize, most: usize| machines >= most.min(part.machines);
        let machines = count_machines(self.runs.iter());
        // A machine that crashed a moment before, too, says less.
        let needed = PROVEN_EARLY + usize::from(again);
        let proven_early = early
            && self.early().count() >= needed
            && enough(count_machines(self.early()), PROVEN_EARLY);
        let proven_late = self.crashes() >= PROVEN_LATE && enough(machines, PROVEN_LATE);
        // A lasting task meets more crashes of others in its life than one that ends.
        let endless = self.early().count() >= MOST_EARLY
            || !part.lasts && self.crashes() >= MOST_CRASHES && enough(machines, DANGEROUS);
        match part.alone && (proven_early || proven_late) || endless {
            true => CrashVerdict::GivenUp,
            false => CrashVerdict::Suspected,
        }
    }

    /// How long a start of the task must have its worker to itself; `None` if it need not. A lasting
    /// task never keeps a worker for long: many would queue for the few that may be kept.
    pub(crate) fn trial(&self, lasts: bool) -> Option<Duration> {
        if !lasts && count_machines(self.runs.iter()) >= DANGEROUS {
            Some(HELD_OUT)
        } else if self.early().next().is_some() {
            Some(SHORT_TRIAL)
        } else {
            None
        }
    }
}

fn count_machines<'a>(runs: impl Iterator<Item = &'a CrashedRun>) -> usize {
    let machines: HashSet<&str> = runs.map(|known| &*known.machine).collect();
    machines.len()
}

//! Runs of tasks on one worker: progress, leases, checkpoints and usage reports.

use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};
use wax_platform::{StartReply, StartRequest, TaskReport, TaskRunId, TaskRunStatus, UsageReport};
use wax_types::{ResourceVector, ShardEpoch, TaskEpoch, TaskId, wall_clock_ms};

/// Maximum number of usage reports in one reply to a renewal.
const MAX_USAGE_REPORTS: usize = 200;

/// Behaviour of a task, decoded from the job's input.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub(crate) struct TaskInput {
    /// Run time at full speed, milliseconds.
    pub(crate) work_ms: u64,
    /// Whether the run fails immediately.
    pub(crate) fail: bool,
    /// Processor use of the task without a limit, thousandths of a core; `None` if equal to its
    /// reserved size.
    pub(crate) true_cpu_milli: Option<u32>,
}

impl Default for TaskInput {
    fn default() -> Self {
        Self {
            work_ms: 100,
            fail: false,
            true_cpu_milli: None,
        }
    }
}

/// Faults of a worker. `POST /faults` replaces all of them; fields that the request omits are
/// reset.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct WorkerFaults {
    /// Every run fails immediately.
    pub(crate) fail_all: bool,
    /// Delay of usage reports, milliseconds.
    pub(crate) usage_lag_ms: u64,
    /// Acknowledged usage reports are sent again, and all reports are in reverse order.
    pub(crate) usage_repeat: bool,
    /// Calls are answered with 503, as if the worker were unreachable.
    pub(crate) cut: bool,
    /// Delay of start orders, milliseconds.
    pub(crate) start_delay_ms: u64,
}

#[derive(Debug)]
pub(crate) struct RunState {
    pub(crate) run_id: TaskRunId,
    pub(crate) size: ResourceVector,
    pub(crate) input: TaskInput,
    /// Work done before `since`, milliseconds at full speed.
    done_ms: f64,
    /// Time of the last change of `speed`.
    since: Instant,
    /// Progress relative to full speed, from 0 to 1.
    speed: f64,
    lease_end: Instant,
    pub(crate) status: TaskRunStatus,
    pub(crate) checkpoint: Option<Box<str>>,
    /// Number of the current usage interval.
    interval: u32,
    interval_start: Instant,
    interval_start_ms: u64,
}

impl RunState {
    /// Returns the work done until `now`, milliseconds at full speed. A run makes no progress after
    /// its lease has expired.
    pub(crate) fn progress_ms(&self, now: Instant) -> f64 {
        let elapsed = now
            .min(self.lease_end)
            .saturating_duration_since(self.since);
        self.done_ms + elapsed.as_secs_f64() * 1_000.0 * self.speed
    }

    pub(crate) fn set_speed(&mut self, now: Instant, speed: f64) {
        self.done_ms = self.progress_ms(now);
        self.since = now;
        self.speed = speed;
    }
}

/// Returns the speed of a run. A task whose size is below its actual use runs slower in proportion.
fn initial_speed(request: &StartRequest, input: &TaskInput) -> f64 {
    let needed = input.true_cpu_milli.unwrap_or(request.size.cpu_milli);
    (f64::from(request.size.cpu_milli) / f64::from(needed.max(1))).min(1.0)
}

/// Audit record of one run on this worker.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct AuditLine {
    pub(crate) task: TaskId,
    pub(crate) epoch: TaskEpoch,
    pub(crate) start_ms: u64,
    /// End of the run, Unix milliseconds; `None` while the task runs.
    pub(crate) end_ms: Option<u64>,
    pub(crate) resumed_from: Option<Box<str>>,
    pub(crate) cpu_milli_seconds: u64,
}

/// Action that the caller of [`RunTable::advance`] must perform.
#[derive(Debug, PartialEq)]
pub(crate) enum RunAction {
    /// Write the result object of the run, then call [`RunTable::end`].
    WriteResult(TaskRunId),
}

/// Runs of one worker.
#[derive(Debug)]
pub(crate) struct RunTable {
    capacity: ResourceVector,
    usage_period: Duration,
    runs: HashMap<TaskId, RunState>,
    /// Usage reports that are not acknowledged, with the time from which they are sent.
    usage: VecDeque<(Instant, UsageReport)>,
    /// Acknowledged usage reports, kept for the fault `usage_repeat`.
    acknowledged: VecDeque<UsageReport>,
    sequence: u64,
    pub(crate) faults: WorkerFaults,
    pub(crate) audit: Vec<AuditLine>,
    /// Largest amount by which the running tasks have exceeded the capacity, in any resource.
    pub(crate) max_overload: u64,
    /// Highest stopped epoch of each task. Starts of this epoch and earlier ones are refused.
    fenced: HashMap<TaskId, TaskEpoch>,
    pub(crate) boot: u64,
    /// Highest epoch of an owner that has called this worker.
    owner: ShardEpoch,
    /// Start of the worker's clock.
    origin: Instant,
}

impl RunTable {
    pub(crate) fn new(capacity: ResourceVector, usage_period: Duration) -> Self {
        Self {
            capacity,
            usage_period,
            runs: HashMap::new(),
            usage: VecDeque::new(),
            acknowledged: VecDeque::new(),
            sequence: 0,
            faults: WorkerFaults::default(),
            audit: Vec::new(),
            max_overload: 0,
            fenced: HashMap::new(),
            boot: fastrand::u64(1..),
            owner: ShardEpoch::default(),
            origin: Instant::now(),
        }
    }

    pub(crate) fn clock_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.origin).as_millis() as u64
    }

    /// Records the epoch of a calling owner. Returns whether no owner with a higher epoch has
    /// called.
    pub(crate) fn accept_owner(&mut self, owner: ShardEpoch) -> bool {
        self.owner = self.owner.max(owner);
        owner == self.owner
    }

    /// Fences an epoch of a task: starts of this epoch or an earlier one are refused from now on.
    pub(crate) fn fence(&mut self, run_id: TaskRunId) {
        let epoch = self.fenced.entry(run_id.task).or_default();
        *epoch = run_id.epoch.max(*epoch);
    }

    pub(crate) fn start(
        &mut self,
        now: Instant,
        request: &StartRequest,
        done_ms: f64,
    ) -> StartReply {
        if self.clock_ms(now) > request.valid_until_ms {
            return StartReply::Late;
        }
        let fenced = self.fenced.get(&request.run_id.task).copied();
        if fenced.is_some_and(|epoch| epoch >= request.run_id.epoch) {
            return StartReply::Fenced;
        }
        if let Some(run) = self.runs.get(&request.run_id.task) {
            if run.run_id.epoch == request.run_id.epoch {
                return StartReply::Already;
            }
            if run.run_id.epoch > request.run_id.epoch {
                return StartReply::Fenced;
            }
            if run.status == TaskRunStatus::Running {
                return StartReply::Refused("an earlier epoch still runs".into());
            }
        }
        let input: TaskInput = serde_json::from_value(request.input.clone()).unwrap_or_default();
        let run = RunState {
            run_id: request.run_id,
            size: request.size,
            input: input.clone(),
            done_ms,
            since: now,
            speed: initial_speed(request, &input),
            lease_end: now + Duration::from_millis(request.lease_ms),
            status: TaskRunStatus::Running,
            checkpoint: request.checkpoint.clone(),
            interval: 0,
            interval_start: now,
            interval_start_ms: wall_clock_ms(),
        };
        self.audit.push(AuditLine {
            task: request.run_id.task,
            epoch: request.run_id.epoch,
            start_ms: wall_clock_ms(),
            end_ms: None,
            resumed_from: request.checkpoint.clone(),
            cpu_milli_seconds: 0,
        });
        self.runs.insert(request.run_id.task, run);
        self.record_overload();
        StartReply::Started
    }

    /// Updates `max_overload` with the current overload.
    fn record_overload(&mut self) {
        let load = self
            .runs
            .values()
            .filter(|run| run.status == TaskRunStatus::Running)
            .fold(ResourceVector::ZERO, |sum, run| {
                sum.checked_add(run.size).unwrap_or(sum)
            });
        let excess = load.saturating_sub(self.capacity);
        let overload = u64::from(
            excess
                .cpu_milli
                .max(excess.memory_mib)
                .max(excess.accelerators),
        );
        self.max_overload = self.max_overload.max(overload);
    }

    pub(crate) fn get(&self, run_id: TaskRunId) -> Option<&RunState> {
        self.runs
            .get(&run_id.task)
            .filter(|run| run.run_id.epoch == run_id.epoch)
    }

    pub(crate) fn get_mut(&mut self, run_id: TaskRunId) -> Option<&mut RunState> {
        self.runs
            .get_mut(&run_id.task)
            .filter(|run| run.run_id.epoch == run_id.epoch)
    }

    pub(crate) fn renew(&mut self, now: Instant, run_ids: &[TaskRunId], lease_ms: u64) {
        for run_id in run_ids {
            if let Some(run) = self.get_mut(*run_id)
                && run.status == TaskRunStatus::Running
                && now < run.lease_end
            {
                run.lease_end = now + Duration::from_millis(lease_ms);
            }
        }
    }

    pub(crate) fn forget(&mut self, run_ids: &[TaskRunId]) {
        for run_id in run_ids {
            if self
                .get(*run_id)
                .is_some_and(|run| run.status != TaskRunStatus::Running)
            {
                self.runs.remove(&run_id.task);
            }
        }
    }

    pub(crate) fn reports(&self) -> Vec<TaskReport> {
        self.runs
            .values()
            .map(|run| TaskReport {
                run_id: run.run_id,
                run: run.status.clone(),
            })
            .collect()
    }

    /// Ends a run at `now` with an outcome, and closes its last usage interval. Does nothing if the
    /// run is not running.
    pub(crate) fn end(&mut self, now: Instant, run_id: TaskRunId, outcome: TaskRunStatus) {
        if self
            .get(run_id)
            .is_none_or(|run| run.status != TaskRunStatus::Running)
        {
            return;
        }
        self.close_interval(now, run_id);
        // `now` may be in the past: a lease that expired while this process was suspended ended the
        // run then.
        let end = wall_clock_ms() - now.elapsed().as_millis() as u64;
        if let Some(run) = self.get_mut(run_id) {
            run.status = outcome;
        }
        if let Some(line) = self
            .audit
            .iter_mut()
            .rfind(|line| line.task == run_id.task && line.epoch == run_id.epoch)
        {
            line.end_ms = Some(end);
        }
    }

    /// Advances all runs to `now`: ends runs whose lease has expired or that fail, closes usage
    /// intervals, and returns the actions for runs that have finished their work.
    pub(crate) fn advance(&mut self, now: Instant) -> Vec<RunAction> {
        let running: Vec<TaskRunId> = self
            .runs
            .values()
            .filter(|run| run.status == TaskRunStatus::Running)
            .map(|run| run.run_id)
            .collect();
        let mut actions = Vec::new();
        for run_id in running {
            let Some(run) = self.get(run_id) else {
                continue;
            };
            let expired = now >= run.lease_end;
            let lease_end = run.lease_end;
            let finished = run.progress_ms(now) >= run.input.work_ms as f64;
            let failed = run.input.fail || self.faults.fail_all;
            let due = now.saturating_duration_since(run.interval_start) >= self.usage_period;
            let checkpoint = run.checkpoint.clone();
            if expired {
                self.end(lease_end, run_id, TaskRunStatus::Stopped(checkpoint));
            } else if failed {
                self.end(
                    now,
                    run_id,
                    TaskRunStatus::Failed("the task exited with status 1".into()),
                );
            } else if finished {
                actions.push(RunAction::WriteResult(run_id));
            } else if due {
                self.close_interval(now, run_id);
            }
        }
        actions
    }

    fn close_interval(&mut self, now: Instant, run_id: TaskRunId) {
        let sequence = self.sequence + 1;
        let boot = self.boot;
        let lag = Duration::from_millis(self.faults.usage_lag_ms);
        let Some(run) = self.get_mut(run_id) else {
            return;
        };
        let length = now.saturating_duration_since(run.interval_start);
        let length_ms = length.as_millis() as u32;
        let cpu = u64::from(run.size.cpu_milli) * u64::from(length_ms) / 1_000;
        let report = UsageReport {
            sequence,
            boot,
            run_id,
            interval: run.interval,
            start_ms: run.interval_start_ms,
            length_ms,
            cpu_milli_seconds: cpu,
            memory_mib_seconds: u64::from(run.size.memory_mib) * u64::from(length_ms) / 1_000,
            accelerator_ms: u64::from(run.size.accelerators) * u64::from(length_ms),
            peak_cpu_milli: run.input.true_cpu_milli.unwrap_or(run.size.cpu_milli),
            peak_memory_mib: run.size.memory_mib,
            slowdown_percent: 100,
        };
        run.interval += 1;
        run.interval_start += Duration::from_millis(u64::from(length_ms));
        run.interval_start_ms += u64::from(length_ms);
        self.sequence = sequence;
        self.usage.push_back((now + lag, report));
        if let Some(line) = self
            .audit
            .iter_mut()
            .rfind(|line| line.task == run_id.task && line.epoch == run_id.epoch)
        {
            line.cpu_milli_seconds += cpu;
        }
    }

    /// Returns the usage reports that are due. Reports up to the sequence number `through` are
    /// acknowledged and not returned again, except with the fault `usage_repeat`.
    pub(crate) fn take_usage(&mut self, now: Instant, through: u64) -> Vec<UsageReport> {
        while self
            .usage
            .front()
            .is_some_and(|(_, report)| report.sequence <= through)
        {
            if let Some((_, report)) = self.usage.pop_front() {
                self.acknowledged.push_back(report);
            }
        }
        while self.acknowledged.len() > MAX_USAGE_REPORTS {
            self.acknowledged.pop_front();
        }
        let due = self
            .usage
            .iter()
            .take_while(|(due, _)| *due <= now)
            .map(|(_, report)| report.clone())
            .take(MAX_USAGE_REPORTS);
        if self.faults.usage_repeat {
            let mut all: Vec<UsageReport> = self.acknowledged.iter().cloned().chain(due).collect();
            all.reverse();
            return all;
        }
        due.collect()
    }
}

//! Runs on a worker of the users' platform: their leases, their ends, and a history that tests
//! audit.

use crate::args::SiteWorkerOptions;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Order to start or stop a run; `spec` is empty in a stop order.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct RunOrder {
    task: String,
    run: u64,
    spec: String,
    deadline_ms: u64,
    fencing_token: u64,
    checkpoint: String,
    percent: u32,
}

impl RunOrder {
    /// Returns the task and the number of its run.
    pub(crate) fn run_key(&self) -> (String, u64) {
        (self.task.clone(), self.run)
    }
}

/// Behaviour of the tasks of a job, decoded from the job's spec.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
struct TaskWork {
    /// Run time of a task, milliseconds.
    ms: u64,
    /// Size of a task, thousandths of a core. The worker records an event when its runs exceed its
    /// capacity.
    cpu: u32,
    /// Size of a task, mebibytes of memory.
    mem: u32,
    /// Whether a task fails at its end.
    fail: bool,
    /// Index of a task that crashes its worker; `None` for no crash.
    crash: Option<u32>,
    /// Time from the start of that task to the crash, milliseconds.
    crash_ms: u64,
}

impl TaskWork {
    /// Returns the time from the start of a task until it crashes the worker, milliseconds; `None`
    /// if the task does not crash the worker.
    fn crash_delay_ms(&self, task: &str) -> Option<u64> {
        let index = task.rsplit('.').next()?.parse().ok()?;
        (self.crash == Some(index)).then_some(self.crash_ms)
    }
}

impl Default for TaskWork {
    fn default() -> Self {
        Self {
            ms: 50,
            cpu: 1_000,
            mem: 100,
            fail: false,
            crash: None,
            crash_ms: 10,
        }
    }
}

/// A running task.
#[derive(Debug)]
struct RunRecord {
    run: u64,
    work: TaskWork,
    /// Start of the run on the worker's clock, milliseconds.
    began_ms: u64,
    /// Time by which slowness of the worker has delayed the run so far, milliseconds.
    delay_ms: f64,
}

impl RunRecord {
    /// Returns the time for which the run has worked at full speed, milliseconds.
    fn worked_ms(&self, clock_ms: u64) -> u64 {
        clock_ms.saturating_sub(self.began_ms + self.delay_ms as u64)
    }
}

/// Reply to an order. `reason` is set if the order was refused.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct OrderAnswer {
    clock_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) reason: Option<&'static str>,
}

/// End of a run as a hold reports it: number of the end, task, run, outcome, checkpoint.
type EndRecord = (u64, String, u64, &'static str, String);

/// Longest lease that the worker grants, milliseconds. A longer one is shortened.
const MAX_LEASE_MS: u64 = 10_000;
/// Largest number of ends in one reply to a hold.
const MAX_LISTED_ENDS: usize = 500;

/// All runs of a worker, running and ended.
#[derive(Debug)]
pub(crate) struct SiteRuns {
    created_at: Instant,
    /// Value of the worker's clock at `created_at`, milliseconds.
    clock_ms: u64,
    /// Start time that the worker reports, Unix milliseconds.
    started_ms: u64,
    cpu_milli: u32,
    memory_mb: u32,
    running: BTreeMap<String, RunRecord>,
    ends: Vec<EndRecord>,
    ended: u64,
    /// Highest run number of each task that was stopped or has ended on this worker. Lower and
    /// equal runs are not started any more.
    highest_closed_runs: HashMap<String, u64>,
    /// Highest fencing token received.
    token: u64,
    /// End of the lease on the worker's clock, milliseconds.
    lease_ms: u64,
    /// Last pace that was ordered for each task, in percent.
    paces: BTreeMap<String, u32>,
    history: Vec<Value>,
}

impl SiteRuns {
    pub(crate) fn new(options: &SiteWorkerOptions) -> Self {
        Self {
            created_at: Instant::now(),
            clock_ms: options.clock_ms,
            started_ms: options.started_ms.unwrap_or_else(|| unix_time_us() / 1_000),
            cpu_milli: options.cpu_milli,
            memory_mb: options.memory_mb,
            running: BTreeMap::new(),
            ends: Vec::new(),
            ended: 0,
            highest_closed_runs: HashMap::new(),
            token: 0,
            lease_ms: 0,
            paces: BTreeMap::new(),
            history: Vec::new(),
        }
    }

    pub(crate) fn clock_ms(&self) -> u64 {
        self.clock_ms + self.created_at.elapsed().as_millis() as u64
    }

    pub(crate) fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// Returns the highest fencing token received.
    pub(crate) fn token(&self) -> u64 {
        self.token
    }

    /// Returns the number of runs that have ended.
    pub(crate) fn ended(&self) -> u64 {
        self.ended
    }

    pub(crate) fn history(&self) -> &Vec<Value> {
        &self.history
    }

    pub(crate) fn answer(&self, reason: Option<&'static str>) -> OrderAnswer {
        OrderAnswer {
            clock_ms: self.clock_ms(),
            reason,
        }
    }

    /// Records the fencing token of an order. Returns whether the order is accepted, which requires
    /// that no higher token has been received.
    fn accept_token(&mut self, token: u64) -> bool {
        let is_accepted = token >= self.token;
        self.token = self.token.max(token);
        is_accepted
    }

    /// Extends the lease. It is never shortened.
    fn extend_lease(&mut self, until_ms: u64) {
        let latest_ms = self.clock_ms() + MAX_LEASE_MS;
        self.lease_ms = self.lease_ms.max(until_ms.min(latest_ms));
    }

    fn record_event(&mut self, what: &str, task: &str, run: u64) {
        self.history
            .push(json!({ "what": what, "task": task, "run": run, "at": unix_time_us() }));
    }

    pub(crate) fn start(&mut self, order: RunOrder) -> OrderAnswer {
        if !self.accept_token(order.fencing_token) {
            return self.answer(Some("fence"));
        }
        let is_closed = self
            .highest_closed_runs
            .get(&order.task)
            .is_some_and(|highest| order.run <= *highest);
        if let Some(record) = self.running.get(&order.task)
            && record.run == order.run
        {
            return self.answer(None);
        }
        if is_closed || self.running.contains_key(&order.task) {
            return self.answer(Some("old"));
        }
        if order.deadline_ms <= self.clock_ms() {
            return self.answer(Some("late"));
        }
        self.extend_lease(order.deadline_ms);
        let work: TaskWork = serde_json::from_str(&order.spec).unwrap_or_default();
        let record = RunRecord {
            run: order.run,
            work,
            began_ms: self.clock_ms(),
            delay_ms: 0.0,
        };
        self.running.insert(order.task.clone(), record);
        let cpu: u32 = self.running.values().map(|record| record.work.cpu).sum();
        let memory: u32 = self.running.values().map(|record| record.work.mem).sum();
        self.record_event("start", &order.task, order.run);
        if cpu > self.cpu_milli || memory > self.memory_mb {
            self.record_event("over", &order.task, order.run);
        }
        self.answer(None)
    }

    pub(crate) fn stop(&mut self, order: RunOrder) -> OrderAnswer {
        if !self.accept_token(order.fencing_token) {
            return self.answer(Some("fence"));
        }
        if self
            .running
            .get(&order.task)
            .is_some_and(|record| record.run == order.run)
        {
            self.end_run(&order.task, "stopped");
        }
        let highest = self.highest_closed_runs.entry(order.task).or_default();
        *highest = (*highest).max(order.run);
        self.answer(None)
    }

    /// Records the pace of a task. The stand-in does not throttle runs.
    pub(crate) fn pace(&mut self, order: RunOrder) -> OrderAnswer {
        if !self.accept_token(order.fencing_token) {
            return self.answer(Some("fence"));
        }
        self.paces.insert(order.task, order.percent);
        self.answer(None)
    }

    /// Returns the last pace that was ordered for each task, in percent.
    pub(crate) fn paces(&self) -> &BTreeMap<String, u32> {
        &self.paces
    }

    pub(crate) fn hold(&mut self, token: u64, until_ms: Option<u64>, cursor: u64) -> OrderAnswer {
        if !self.accept_token(token) {
            return self.answer(Some("fence"));
        }
        self.extend_lease(until_ms.unwrap_or(0));
        let acknowledged: Vec<EndRecord> = self
            .ends
            .iter()
            .filter(|end| end.0 <= cursor)
            .cloned()
            .collect();
        for end in acknowledged {
            self.record_event("ack", &end.1, end.2);
        }
        self.ends.retain(|end| end.0 > cursor);
        self.answer(None)
    }

    /// Delays all runs that have worked for `elapsed_ms` at a `slow_times` lower speed.
    pub(crate) fn delay_runs(&mut self, elapsed_ms: u64, slow_times: f64) {
        let delay_ms = elapsed_ms as f64 * (1.0 - 1.0 / slow_times);
        for record in self.running.values_mut() {
            record.delay_ms += delay_ms;
        }
    }

    /// Ends runs that have finished their work at `now` on the worker's clock, and all runs once the
    /// lease has expired. With `fail`, finished runs end as failed.
    pub(crate) fn end_finished_runs(&mut self, now: u64, fail: bool) {
        let expired = now > self.lease_ms;
        let finished: Vec<(String, &'static str)> = self
            .running
            .iter()
            .filter_map(|(task, record)| {
                let done = record.worked_ms(now) >= record.work.ms;
                match (done, expired) {
                    (true, _) if fail || record.work.fail => Some((task.clone(), "failed")),
                    (true, _) => Some((task.clone(), "done")),
                    (false, true) => Some((task.clone(), "lapsed")),
                    (false, false) => None,
                }
            })
            .collect();
        for (task, outcome) in finished {
            self.end_run(&task, outcome);
        }
    }

    /// Returns whether a running task crashes the worker now. If so, all running tasks are recorded
    /// as killed.
    pub(crate) fn check_crash(&mut self) -> bool {
        let now = self.clock_ms();
        let crashes = |(task, record): (&String, &RunRecord)| {
            let after = record.work.crash_delay_ms(task);
            after.is_some_and(|after| now >= record.began_ms + after)
        };
        if !self.running.iter().any(crashes) {
            return false;
        }
        for (task, record) in std::mem::take(&mut self.running) {
            self.record_event("killed", &task, record.run);
        }
        true
    }

    fn end_run(&mut self, task: &str, outcome: &'static str) {
        let Some(record) = self.running.remove(task) else {
            return;
        };
        self.ended += 1;
        self.ends.push((
            self.ended,
            task.to_owned(),
            record.run,
            outcome,
            String::new(),
        ));
        let highest = self.highest_closed_runs.entry(task.to_owned()).or_default();
        *highest = (*highest).max(record.run);
        self.record_event(outcome, task, record.run);
    }

    /// Returns the reply to a hold: the running tasks, and the first ends that are not acknowledged
    /// yet.
    pub(crate) fn hold_reply(&self) -> Value {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, record)| {
                let worked_ms = record.worked_ms(self.clock_ms());
                let percent = (worked_ms * 100 / record.work.ms.max(1)).min(100);
                json!([task, record.run, "", percent, record.work.cpu])
            })
            .collect();
        let ends = &self.ends[..self.ends.len().min(MAX_LISTED_ENDS)];
        json!({ "clockMs": self.clock_ms(), "born": self.started_ms, "running": running, "finished": ends })
    }
}

fn unix_time_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_micros() as u64)
}

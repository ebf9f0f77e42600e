//! The runs of a worker of the users' platform: leases, ends, and a history for audits.

use crate::args::SiteWorkerOptions;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// An order to a worker; a stop has no `spec`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct RunOrder {
    task: String,
    run: u64,
    spec: String,
    deadline_ms: u64,
    fencing_token: u64,
    checkpoint: String,
}

/// What a job's text says of its tasks.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
struct TaskWork {
    /// How long a task works, milliseconds.
    ms: u64,
    /// What it takes; the worker checks that it is not given more than it has.
    cpu: u32,
    mem: u32,
    /// Whether it fails at its end.
    fail: bool,
    /// The task of this index takes its worker with it, so long after its start.
    crash: Option<u32>,
    crash_ms: u64,
}

impl TaskWork {
    /// When the worker ends by this task, counted from its start, milliseconds.
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

#[derive(Debug)]
struct RunRecord {
    run: u64,
    work: TaskWork,
    began_ms: u64,
}

/// Answer to an order.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct OrderAnswer {
    clock_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) reason: Option<&'static str>,
}

type EndRecord = (u64, String, u64, &'static str, String);

/// All runs.
#[derive(Debug)]
pub(crate) struct SiteRuns {
    created_at: Instant,
    /// What the clock showed then, milliseconds.
    clock_ms: u64,
    /// When it says that it started, Unix milliseconds.
    started_ms: u64,
    cpu_milli: u32,
    memory_mb: u32,
    running: BTreeMap<String, RunRecord>,
    ends: Vec<EndRecord>,
    ended: u64,
    /// The highest run of a task that was stopped or has ended here.
    highest_closed_runs: HashMap<String, u64>,
    token: u64,
    lease_ms: u64,
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
            history: Vec::new(),
        }
    }

    pub(crate) fn clock_ms(&self) -> u64 {
        self.clock_ms + self.created_at.elapsed().as_millis() as u64
    }

    pub(crate) fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// The highest fencing token that it has seen.
    pub(crate) fn token(&self) -> u64 {
        self.token
    }

    /// How many ends there were.
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

    fn fence(&mut self, token: u64) -> bool {
        let passes = token >= self.token;
        self.token = self.token.max(token);
        passes
    }

    fn record_event(&mut self, what: &str, task: &str, run: u64) {
        self.history
            .push(json!({ "what": what, "task": task, "run": run, "at": unix_time_us() }));
    }

    pub(crate) fn start(&mut self, order: RunOrder) -> OrderAnswer {
        if !self.fence(order.fencing_token) {
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
        self.lease_ms = self.lease_ms.max(order.deadline_ms);
        let work: TaskWork = serde_json::from_str(&order.spec).unwrap_or_default();
        let record = RunRecord {
            run: order.run,
            work,
            began_ms: self.clock_ms(),
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
        if !self.fence(order.fencing_token) {
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

    pub(crate) fn hold(&mut self, token: u64, until_ms: Option<u64>, cursor: u64) -> OrderAnswer {
        if !self.fence(token) {
            return self.answer(Some("fence"));
        }
        self.lease_ms = self.lease_ms.max(until_ms.unwrap_or(0));
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

    /// Ends what is done, and everything once the lease has lapsed.
    pub(crate) fn tick(&mut self, fail: bool) {
        let now = self.clock_ms();
        let expired = now > self.lease_ms;
        let finished: Vec<(String, &'static str)> = self
            .running
            .iter()
            .filter_map(|(task, record)| {
                let done = now >= record.began_ms + record.work.ms;
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

    /// Whether a task that runs takes the worker with it now; all that runs is then noted as killed.
    pub(crate) fn crash(&mut self) -> bool {
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

    /// Both lists, as a hold answers them.
    pub(crate) fn lists(&self) -> Value {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, record)| {
                let elapsed_ms = self.clock_ms() - record.began_ms;
                let percent = (elapsed_ms * 100 / record.work.ms.max(1)).min(100);
                json!([task, record.run, "", percent, record.work.cpu])
            })
            .collect();
        json!({ "clockMs": self.clock_ms(), "born": self.started_ms, "running": running, "finished": self.ends })
    }
}

fn unix_time_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_micros() as u64)
}

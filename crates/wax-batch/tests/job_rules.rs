//! Rules that apply to a job while its queue, or the whole config, is not known to the owner.

mod support;

use std::rc::Rc;
use support::*;
use wax_batch::{
    JobName, JobOutcome, JobProgress, JobRow, JobScheduler, JobSpec, QueueConfig, QueueRules,
    RunEndKind, RunId, StoredProgress, WorkerKey,
};
use wax_policy::PlacementRules;

/// Version of the config without queues that is in force in most tests.
const DROPPED_VERSION: u64 = 5;

fn config_without_queues() -> QueueConfig {
    QueueConfig {
        version: DROPPED_VERSION,
        queues: Vec::new(),
        ..config(2)
    }
}

fn one_task() -> JobSpec {
    spec(vec![step(1, 1_000)])
}

/// Owner of the second term, with the config that it has when it loads the jobs.
struct NextOwner {
    scheduler: JobScheduler,
    worker: WorkerKey,
    ends: u64,
}

impl NextOwner {
    fn new(config: Option<QueueConfig>) -> Self {
        let mut scheduler = JobScheduler::new(2, PlacementRules::default());
        if let Some(config) = config {
            scheduler.set_config(config.into(), unix_ms(0));
        }
        scheduler.mark_all_reconciled();
        let worker = worker(&mut scheduler, "w", 8_000);
        Self {
            scheduler,
            worker,
            ends: 0,
        }
    }

    /// Loads a job that was accepted in the first term with these rules, if its row has them.
    fn load(&mut self, max_attempts: Option<u32>, failed_runs: &[u64]) {
        let mut row = JobRow::new(
            &one_task(),
            &queue_rules(max_attempts.unwrap_or(2)),
            unix_ms(0),
            1,
        );
        row.epoch = 1;
        if max_attempts.is_none() {
            row.rules = None;
        }
        let stored = stored_failures(failed_runs);
        self.scheduler
            .add_job(JobName(7), row, Some(&stored), &clocks(0));
    }

    /// Places the task and lets its run fail, once for each of these times in milliseconds. Returns
    /// the number of starts.
    fn fail_runs(&mut self, times: impl IntoIterator<Item = u64>) -> usize {
        let mut starts = 0;
        for millis in times {
            for order in self.scheduler.place(at(millis)) {
                starts += 1;
                self.fail(order.run_id, millis);
            }
        }
        starts
    }

    fn fail(&mut self, run_id: RunId, millis: u64) {
        self.ends += 1;
        let end = end(self.ends, run_id, RunEndKind::Failed);
        self.scheduler
            .record_end(self.worker, &end, at(millis), unix_ms(millis));
    }

    fn outcome(&mut self) -> JobOutcome {
        store_all(&mut self.scheduler);
        let info = self.scheduler.job_info(JobName(7));
        info.expect("the job is known").outcome
    }
}

/// Returns stored progress with these failed runs of the only task.
fn stored_failures(runs: &[u64]) -> StoredProgress {
    if runs.is_empty() {
        return StoredProgress::default();
    }
    let mut scheduler = scheduler(1);
    let config = config(runs.len() as u32 + 1);
    scheduler.set_config(config.into(), unix_ms(0));
    let worker = worker(&mut scheduler, "w", 8_000);
    add_job(&mut scheduler, 7, 1, &one_task(), None);
    for (number, run) in (1..).zip(runs) {
        let end = end(number, run_id(7, 0, 0, *run), RunEndKind::Failed);
        scheduler.record_end(worker, &end, at(0), unix_ms(0));
    }
    let stored: Vec<(JobName, JobProgress)> = store_all(&mut scheduler);
    StoredProgress {
        progress: stored[0].1.clone(),
        version: 1,
        ..Default::default()
    }
}

/// Names cases of a job whose tasks fail at each try: the config of the next owner, the `maxAttempts`
/// in the job's row, its failed runs in the store, and the expected starts and outcome.
macro_rules! failing_job_tests {
    ($($name:ident: $config:expr, $row:expr, $failed:expr => $starts:expr, $outcome:ident;)*) => {
        $(
            /// Guards against an owner that makes up the rules of a queue that it does not know.
            #[test]
            fn $name() {
                let mut owner = NextOwner::new($config);
                owner.load($row, &$failed);
                let starts = owner.fail_runs((0..10).map(|nth| nth * 1_500));
                assert_eq!((starts, owner.outcome()), ($starts, JobOutcome::$outcome));
            }
        )*
    };
}

failing_job_tests! {
    a_dropped_queue_with_four_attempts_keeps_them:
        Some(config_without_queues()), Some(4), [] => 4, Failed;
    a_dropped_queue_with_one_attempt_keeps_it:
        Some(config_without_queues()), Some(1), [] => 1, Failed;
    stored_failures_count_for_a_dropped_queue:
        Some(config_without_queues()), Some(4), [1, 2] => 2, Failed;
    a_queue_in_the_config_replaces_the_rules_at_acceptance:
        Some(config(3)), Some(2), [] => 3, Failed;
    a_job_of_a_later_config_keeps_the_rules_at_acceptance:
        Some(QueueConfig { version: 0, ..config(3) }), Some(2), [] => 2, Failed;
    without_a_config_only_a_task_without_failures_starts:
        None, Some(4), [] => 1, Open;
    without_a_config_a_task_with_a_failure_waits:
        None, Some(4), [1] => 0, Open;
    without_rules_only_a_task_without_failures_starts:
        Some(config_without_queues()), None, [] => 1, Open;
    without_rules_a_task_with_a_failure_waits:
        Some(config_without_queues()), None, [1] => 0, Open;
    a_lower_limit_fails_a_job_that_has_used_it_up:
        Some(config(2)), Some(4), [1, 2] => 0, Failed;
}

/// Guards against a job that waits for ever, or exceeds its attempts, after its config has arrived.
#[test]
fn a_job_continues_under_the_rules_of_the_config_that_arrives() {
    let mut owner = NextOwner::new(None);
    owner.load(Some(2), &[1]);
    assert_eq!(owner.fail_runs([0]), 0);
    assert_eq!(owner.scheduler.jobs_without_rules(), 1);
    owner.scheduler.set_config(config(3).into(), unix_ms(100));
    assert_eq!(owner.scheduler.jobs_without_rules(), 0);
    assert_eq!(owner.fail_runs((1..10).map(|nth| nth * 1_500)), 2);
    assert_eq!(owner.outcome(), JobOutcome::Failed);
}

/// Guards against a failed job that stays open because its limit was not known when it was reached.
#[test]
fn a_job_fails_when_the_config_shows_that_its_attempts_are_used_up() {
    let mut owner = NextOwner::new(None);
    owner.load(Some(4), &[1, 2]);
    assert_eq!(owner.outcome(), JobOutcome::Open);
    owner.scheduler.set_config(config(2).into(), unix_ms(100));
    assert_eq!(owner.outcome(), JobOutcome::Failed);
}

/// Guards against a queue that comes back with another service, whose tasks would start on workers
/// of the former one.
#[test]
fn a_queue_that_comes_back_with_another_service_uses_it() {
    let mut owner = NextOwner::new(Some(config_without_queues()));
    owner.load(Some(2), &[]);
    let back = QueueRules {
        service: "other".into(),
        ..(*config(2).queues[0]).clone()
    };
    let back = QueueConfig {
        version: DROPPED_VERSION + 1,
        queues: vec![Rc::new(back)],
        ..config(2)
    };
    owner.scheduler.set_config(back.into(), unix_ms(100));
    assert!(owner.scheduler.place(at(100)).is_empty());
}

/// Guards against tasks of an advised queue that start without a ticket, which workers refuse.
#[test]
fn a_job_of_a_dropped_queue_still_asks_for_advice() {
    let mut advised = queue_rules(2);
    let mut queue = (*advised.rules).clone();
    queue.advice = Some(wax_batch::AdviceRules {
        decision_ms: 20.0,
        per_worker_ms: 1.5,
        validity_ms: 3_000,
    });
    advised.rules = queue.into();
    let mut owner = NextOwner::new(Some(config_without_queues()));
    let row = JobRow::new(&one_task(), &advised, unix_ms(0), 1);
    owner.scheduler.add_job(JobName(7), row, None, &clocks(0));
    assert!(owner.scheduler.place(at(0)).is_empty());
    assert!(owner.scheduler.next_advice_request(at(0)).is_some());
}

/// Guards against rules that get lost in the row.
#[test]
fn a_row_returns_the_rules_at_acceptance() {
    let accepted = queue_rules(4);
    let row = JobRow::new(&one_task(), &accepted, unix_ms(0), 1);
    let read = row.rules_at_acceptance().expect("the row has rules");
    assert_eq!(read.version, accepted.version);
    let expected = QueueRules {
        host: "".into(),
        prefix: "".into(),
        timeout_ms: 0,
        ..(*accepted.rules).clone()
    };
    assert_eq!(*read.rules, expected);
}

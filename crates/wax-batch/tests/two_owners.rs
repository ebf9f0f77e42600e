//! Two owners that act at the same time, as the former one is cut off from the store: random orders
//! of takeovers, moves of agents, ends of runs and reports, with the schedulers of the product.

mod support;

use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use support::*;
use wax_batch::{
    JobScheduler, JobSpec, RunEnd, RunEndKind, RunId, StepSpec, TaskName, UnreconciledRuns,
    WorkerKey,
};

const JOB: u64 = 7;
const WORKERS: usize = 4;
/// Number of random orders of each job.
const SEEDS: u64 = 3_000;
/// Number of events of one order.
const EVENTS: usize = 120;

/// A worker, and what its agent has reported of it.
#[derive(Debug, Default)]
struct FakeWorker {
    /// Index of the owner to which the agent is linked.
    owner: usize,
    running: BTreeSet<RunId>,
    ends: Vec<RunEnd>,
    /// Number of ends that the agent has reported on its link.
    reported: usize,
}

/// The schedulers of two terms, and workers whose agents move from the first owner to the second.
struct Pool {
    spec: JobSpec,
    /// The owners with their keys of the workers.
    owners: Vec<(JobScheduler, BTreeMap<usize, WorkerKey>)>,
    workers: Vec<FakeWorker>,
    done: BTreeSet<TaskName>,
    millis: u64,
}

impl Pool {
    fn new(spec: JobSpec) -> Self {
        let mut pool = Self {
            spec,
            owners: Vec::new(),
            workers: (0..WORKERS).map(|_| FakeWorker::default()).collect(),
            done: BTreeSet::new(),
            millis: 0,
        };
        pool.begin_term();
        pool.owners[0].0.mark_all_reconciled();
        for number in 0..WORKERS {
            pool.link(number, 0);
        }
        pool
    }

    /// Begins the next term. The former owner has stored no progress.
    fn begin_term(&mut self) {
        let epoch = self.owners.len() as u64 + 1;
        let mut scheduler = JobScheduler::new(epoch, Default::default());
        scheduler.set_config(config(2).into());
        scheduler.set_unreconciled(UnreconciledRuns::Any);
        add_job(&mut scheduler, JOB, 1, &self.spec, None);
        self.owners.push((scheduler, BTreeMap::new()));
    }

    /// Links an agent to an owner, which gets the worker's run list.
    fn link(&mut self, number: usize, owner: usize) {
        if let Some((former, keys)) = self.owners.get_mut(self.workers[number].owner)
            && let Some(key) = keys.get(&number)
        {
            former.set_worker_reachable(*key, false);
        }
        let worker = &mut self.workers[number];
        worker.owner = owner;
        worker.reported = worker.ends.len();
        let runs: Vec<_> = worker.running.iter().copied().map(running).collect();
        let (scheduler, keys) = &mut self.owners[owner];
        let key = support::worker(scheduler, &format!("w{number}"), 16_000);
        keys.insert(number, key);
        let (now, now_ms) = (at(self.millis), unix_ms(self.millis));
        scheduler.reconcile_worker(key, &runs, &worker.ends, now, now_ms);
        if keys.len() == WORKERS {
            scheduler.mark_all_reconciled();
        }
    }

    /// Reports the ends on a worker that its agent has not reported yet.
    fn report(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        let (scheduler, keys) = &mut self.owners[worker.owner];
        for end in &worker.ends[worker.reported..] {
            let (now, now_ms) = (at(self.millis), unix_ms(self.millis));
            scheduler.record_end(keys[&number], end, now, now_ms);
        }
        worker.reported = worker.ends.len();
    }

    /// Carries out the orders of an owner.
    fn dispatch(&mut self, owner: usize) {
        let (scheduler, keys) = &mut self.owners[owner];
        let number_of = |key: WorkerKey| {
            let found = keys.iter().find(|(_, known)| **known == key);
            *found.expect("the worker must be known").0
        };
        let mut starts = Vec::new();
        for order in scheduler.place(at(self.millis)) {
            scheduler.record_start(order.worker, order.run_id, at(self.millis));
            starts.push((number_of(order.worker), order.run_id));
        }
        let stops = scheduler.take_stops().into_iter();
        let stops: Vec<_> = stops
            .map(|stop| (number_of(stop.worker), stop.run_id))
            .collect();
        for (number, run_id) in stops {
            if self.workers[number].owner == owner {
                self.end_run(number, run_id, RunEndKind::Stopped);
            }
        }
        for (number, run_id) in starts {
            self.check_start(run_id);
            assert_eq!(
                self.workers[number].owner, owner,
                "an order of the former owner"
            );
            self.workers[number].running.insert(run_id);
        }
    }

    fn check_start(&self, run_id: RunId) {
        let task = run_id.task;
        let others = self.workers.iter().flat_map(|worker| &worker.running);
        let is_running = others.filter(|run| run.task == task).count() > 0;
        assert!(!is_running, "{task} is started while it runs");
        assert!(
            !self.done.contains(&task),
            "{task} is started after its end"
        );
    }

    fn end_run(&mut self, number: usize, run_id: RunId, kind: RunEndKind) {
        let worker = &mut self.workers[number];
        if worker.running.remove(&run_id) {
            let count = worker.ends.len() as u64;
            worker.ends.push(end(count + 1, run_id, kind));
        }
    }

    /// Ends a run on a worker; the members of a gang end together.
    fn end_one(&mut self, rng: &mut Rng) {
        let all = |pool: &Self| -> Vec<(usize, RunId)> {
            let workers = pool.workers.iter().enumerate();
            workers
                .flat_map(|(number, worker)| worker.running.iter().map(move |run| (number, *run)))
                .collect()
        };
        let running = all(self);
        let Some((number, run_id)) = rng.choice(running.iter().copied()) else {
            return;
        };
        let step = &self.spec.steps[usize::from(run_id.task.step)];
        let kind = match rng.u8(..8) {
            0 => RunEndKind::Failed,
            _ => RunEndKind::Done,
        };
        let is_member = |run: &RunId| run.task.step == run_id.task.step && run.run == run_id.run;
        let members: Vec<_> = running.iter().filter(|(_, run)| is_member(run)).collect();
        if !step.gang {
            self.end_run(number, run_id, kind);
            self.done
                .extend((kind == RunEndKind::Done).then_some(run_id.task));
        } else if kind == RunEndKind::Failed {
            for (member, run) in members {
                let is_cause = *run == run_id;
                let kind = if is_cause { kind } else { RunEndKind::Broken };
                self.end_run(*member, *run, kind);
            }
        } else if members.len() == step.count as usize {
            for (member, run) in members {
                self.end_run(*member, *run, kind);
                self.done.insert(run.task);
            }
        }
    }

    fn play(&mut self, rng: &mut Rng) {
        for _ in 0..EVENTS {
            self.millis += rng.u64(1..400);
            let number = rng.usize(..WORKERS);
            match rng.u8(..8) {
                0 if self.owners.len() == 1 => self.begin_term(),
                1 if self.owners.len() == 2 && self.workers[number].owner == 0 => {
                    self.link(number, 1);
                }
                2 | 3 => self.end_one(rng),
                4 | 5 => self.report(number),
                _ => self.dispatch(rng.usize(..self.owners.len())),
            }
        }
    }
}

fn gang(count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        max_per_worker: 1,
        ..step(count, 1_000)
    }
}

fn after(earlier: &[u16], step: StepSpec) -> StepSpec {
    StepSpec {
        after: earlier.into(),
        ..step
    }
}

/// Defines one test per row: the steps of the job.
macro_rules! no_second_run {
    ($($name:ident: $($step:expr),+;)*) => {
        $(
            /// Guards against a task that two owners start, as each opens its step.
            #[test]
            fn $name() {
                for seed in 0..SEEDS {
                    // The seed of a failed case is on the last line before the panic.
                    println!("seed {seed}");
                    let mut pool = Pool::new(spec(vec![$($step),+]));
                    pool.play(&mut Rng::with_seed(seed));
                }
            }
        )*
    };
}

no_second_run! {
    no_task_after_a_gang_runs_twice: gang(3), after(&[0], step(3, 1_000));
    no_task_after_plain_tasks_runs_twice: step(3, 1_000), after(&[0], step(3, 1_000));
    no_gang_after_a_gang_runs_twice: gang(2), after(&[0], gang(2)), after(&[1], step(2, 1_000));
    no_task_after_two_steps_runs_twice:
        gang(2), step(2, 1_000), after(&[0, 1], step(2, 1_000)), after(&[2], gang(3));
    no_task_after_one_of_two_steps_runs_twice:
        gang(2), step(1, 1_000), after(&[0], step(2, 1_000)), after(&[1], step(2, 1_000));
}

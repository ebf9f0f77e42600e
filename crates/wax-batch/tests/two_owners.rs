//! Two owners that act at the same time, as the former one is cut off from the store: random orders
//! of takeovers, moves and losses of agents, ends of runs and reports, with the schedulers of the
//! product.

mod support;

use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use support::*;
use wax_batch::{
    EndPage, JobScheduler, JobSpec, RunEnd, RunEndKind, RunId, StepSpec, TaskName,
    UnreconciledRuns, WorkerKey,
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
    /// Index of the owner to which the agent is or was linked last.
    owner: usize,
    /// Whether the agent has a link.
    is_linked: bool,
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
    /// Tasks with a run that has ended `done`, unless the leases of its worker have lapsed since: such
    /// an end need not count.
    done: BTreeSet<TaskName>,
    /// Workers whose runs of earlier terms the second owner knows.
    settled: BTreeSet<usize>,
    /// Whether the validity of the first term is over.
    is_first_over: bool,
    millis: u64,
    /// What has happened, for the message of a failure.
    events: Vec<String>,
}

impl Pool {
    fn new(spec: JobSpec) -> Self {
        let mut pool = Self {
            spec,
            owners: Vec::new(),
            workers: (0..WORKERS).map(|_| FakeWorker::default()).collect(),
            done: BTreeSet::new(),
            settled: BTreeSet::new(),
            is_first_over: false,
            millis: 0,
            events: Vec::new(),
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
        scheduler.set_config(config(2).into(), unix_ms(0));
        scheduler.set_unreconciled(UnreconciledRuns::Any);
        add_job(&mut scheduler, JOB, 1, &self.spec, None);
        self.owners.push((scheduler, BTreeMap::new()));
    }

    /// Links an agent to an owner, which gets the worker's run list.
    fn link(&mut self, number: usize, owner: usize) {
        self.unlink(number);
        self.note(format!("{number} links to owner {owner}"));
        let worker = &mut self.workers[number];
        worker.owner = owner;
        worker.is_linked = true;
        worker.reported = worker.ends.len();
        let runs: Vec<_> = worker.running.iter().copied().map(running).collect();
        let (now, now_ms) = (at(self.millis), unix_ms(self.millis));
        let (scheduler, keys) = &mut self.owners[owner];
        let key = *keys
            .entry(number)
            .or_insert_with(|| support::worker(scheduler, &format!("w{number}"), 16_000));
        scheduler.set_worker_reachable(key, true);
        scheduler.reconcile_worker(key, &runs, &EndPage::all(&worker.ends), now, now_ms);
        if owner == 1 {
            self.settle(number);
        }
    }

    /// Ends the link of an agent.
    fn unlink(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        worker.is_linked = false;
        let (scheduler, keys) = &mut self.owners[worker.owner];
        if let Some(key) = keys.get(&number) {
            scheduler.set_worker_reachable(*key, false);
        }
    }

    fn settle(&mut self, number: usize) {
        self.settled.insert(number);
        if self.settled.len() == WORKERS {
            self.owners[1].0.mark_all_reconciled();
        }
    }

    /// All leases on a worker without a link lapse, and then its owner takes its runs as ended. The
    /// second owner waits until the first one has stopped as well.
    fn lapse(&mut self, number: usize) {
        if self.workers[number].is_linked {
            return;
        }
        self.note(format!("leases on {number} lapse"));
        let running = std::mem::take(&mut self.workers[number].running);
        for run_id in running {
            self.workers[number].running.insert(run_id);
            self.end_run(number, run_id, RunEndKind::Lapsed);
        }
        let worker = &self.workers[number];
        for end in &worker.ends {
            // No owner stores progress, so none of these ends was acknowledged before the lapse.
            self.done.remove(&end.run_id.task);
        }
        let (now, now_ms) = (at(self.millis), unix_ms(self.millis));
        let (scheduler, keys) = &mut self.owners[worker.owner];
        if let Some(key) = keys.remove(&number) {
            scheduler.remove_lost_worker(key, now, now_ms);
        }
        if self.is_first_over && self.owners.len() == 2 {
            self.settle(number);
        }
    }

    /// Reports the ends on a worker that its agent has not reported yet.
    fn report(&mut self, number: usize) {
        self.note(format!("{number} reports"));
        let worker = &mut self.workers[number];
        if !worker.is_linked {
            return;
        }
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
            found.map(|(number, _)| *number)
        };
        let mut starts = Vec::new();
        for order in scheduler.place(at(self.millis)) {
            scheduler.record_start(order.worker, order.run_id, at(self.millis));
            let number = number_of(order.worker).expect("the worker must be known");
            starts.push((number, order.run_id));
        }
        // Stops for a worker that was removed meanwhile go nowhere.
        let stops = scheduler.take_stops().into_iter();
        let stops: Vec<_> = stops
            .filter_map(|stop| Some((number_of(stop.worker)?, stop.run_id)))
            .collect();
        for (number, run_id) in stops {
            if self.workers[number].owner == owner && self.workers[number].is_linked {
                self.end_run(number, run_id, RunEndKind::Stopped);
            }
        }
        for (number, run_id) in starts {
            self.note(format!("owner {owner} starts {run_id:?} on {number}"));
            self.check_start(run_id);
            let worker = &self.workers[number];
            let is_linked = worker.is_linked && worker.owner == owner;
            assert!(is_linked, "an order to an agent without a link");
            self.workers[number].running.insert(run_id);
        }
    }

    fn note(&mut self, event: String) {
        self.events.push(event);
    }

    fn check_start(&self, run_id: RunId) {
        let task = run_id.task;
        let others = self.workers.iter().flat_map(|worker| &worker.running);
        let is_running = others.filter(|run| run.task == task).count() > 0;
        let events = self.events.join("\n");
        assert!(!is_running, "{task} is started while it runs\n{events}");
        assert!(
            !self.done.contains(&task),
            "{task} is started after its end\n{events}"
        );
    }

    fn end_run(&mut self, number: usize, run_id: RunId, kind: RunEndKind) {
        let worker = &mut self.workers[number];
        if worker.running.remove(&run_id) {
            let count = worker.ends.len() as u64;
            worker.ends.push(end(count + 1, run_id, kind));
            self.note(format!("{run_id:?} on {number} ends {kind:?}"));
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
            match rng.u8(..14) {
                0 if self.owners.len() == 1 => self.begin_term(),
                1 if self.owners.len() == 2 => self.link(number, 1),
                2 => self.unlink(number),
                // An agent never links to an earlier term again.
                3 if !self.is_first_over && self.workers[number].owner == 0 => self.link(number, 0),
                4 => self.lapse(number),
                5 if self.owners.len() == 2 && rng.u8(..8) == 0 => self.is_first_over = true,
                6 | 7 => self.end_one(rng),
                8..=10 => self.report(number),
                _ => {
                    let owner = rng.usize(..self.owners.len());
                    if owner == 1 || !self.is_first_over {
                        self.dispatch(owner);
                    }
                }
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

//! Which task starts where.

use crate::book::{JobBook, StartOrder, StepAt, TaskAt};
use crate::life::TaskStand;
use crate::names::RunMark;
use crate::place_rules::FillPatience;
use crate::rank::JobRank;
use crate::spec::StepSpec;
use crate::worker::{WorkerKey, WorkerState};
use std::collections::BTreeMap;
use wax_types::TimePoint;

/// Why a step's task could, or could not, be placed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceChoice {
    /// Here.
    Worker(WorkerKey),
    /// No worker has room now.
    NoRoom,
}

/// What the tasks of one step ask of a worker.
struct StepAsk<'a> {
    step: &'a StepSpec,
    service: &'a str,
    /// The step's rank among what waits; see [`JobRank`].
    hope: u8,
    /// Whether most of the service's processors are not booked.
    calm: bool,
    /// The rack to be preferred: that of the data, or of the step's other tasks.
    rack: Option<Box<str>>,
}

impl JobBook {
    /// Places what can be placed now, the most urgent first.
    pub fn place(&mut self, now: TimePoint) -> Vec<StartOrder> {
        let mut ranked: Vec<(JobRank, StepAt)> = Vec::with_capacity(self.ready.len());
        for at in &self.ready {
            let job = &self.jobs[at.job];
            if !self.settled && job.epoch < self.epoch {
                continue;
            }
            ranked.push((JobRank::new(job, at.occurrence, at.step, now), *at));
        }
        ranked.sort_unstable();
        let mut orders = Vec::new();
        for (rank, at) in ranked {
            self.place_step(at, rank.hope, now, &mut orders);
        }
        orders
    }

    fn place_step(&mut self, at: StepAt, hope: u8, now: TimePoint, orders: &mut Vec<StartOrder>) {
        let job = &self.jobs[at.job];
        let spec = job.spec.clone();
        let service = job.queue.service.clone();
        let step = &spec.steps[usize::from(at.step)];
        let Some(occurrence) = job.occurrences.get(&at.occurrence) else {
            return;
        };
        let life = &occurrence.steps[usize::from(at.step)];
        let waiting: Vec<u32> = (0..)
            .zip(&life.tasks)
            .filter(|(_, task)| matches!(task.stand, TaskStand::Waiting))
            .map(|(index, _)| index)
            .collect();
        let gang_waits = step.gang && waiting.len() < step.count as usize;
        if waiting.is_empty() || gang_waits {
            return;
        }
        let ask = StepAsk {
            step,
            service: &service,
            hope: if step.gang { 0 } else { hope },
            calm: step.fills && !step.gang && self.is_calm(&service),
            rack: self.wanted_rack(at, step, &service, now),
        };
        if step.gang {
            self.place_gang(at, &ask, now, orders);
            return;
        }
        for index in waiting {
            let task = TaskAt { step: at, index };
            match self.choose(task, &ask, now) {
                PlaceChoice::Worker(worker) => orders.push(self.order(task, worker, None, now)),
                PlaceChoice::NoRoom => return,
            }
        }
    }

    /// Seats all members or none.
    fn place_gang(
        &mut self,
        at: StepAt,
        ask: &StepAsk<'_>,
        now: TimePoint,
        orders: &mut Vec<StartOrder>,
    ) {
        let count = ask.step.count;
        let last_run = self.last_run(at);
        let run = self.next_run(&self.jobs[at.job], last_run);
        let mut members = Vec::with_capacity(count as usize);
        for index in 0..count {
            let task = TaskAt { step: at, index };
            match self.choose(task, ask, now) {
                PlaceChoice::Worker(worker) => {
                    members.push(self.order(task, worker, Some(run), now))
                }
                PlaceChoice::NoRoom => {
                    for member in members {
                        self.take_back(at, &member, now);
                    }
                    return;
                }
            }
        }
        orders.extend(members);
    }

    fn last_run(&self, at: StepAt) -> u64 {
        let tasks = self.jobs[at.job]
            .occurrences
            .get(&at.occurrence)
            .map(|occurrence| &occurrence.steps[usize::from(at.step)].tasks);
        tasks
            .into_iter()
            .flatten()
            .map(|task| task.last_run)
            .max()
            .unwrap_or(0)
    }

    /// Undoes a seat whose order was not given out.
    fn take_back(&mut self, at: StepAt, order: &StartOrder, now: TimePoint) {
        let task = TaskAt {
            step: at,
            index: order.mark.task.index,
        };
        self.free_run(order.worker, order.mark);
        self.unseat(task, order.worker, now);
    }

    /// Whether most of a service's processors are not booked.
    fn is_calm(&self, service: &str) -> bool {
        let workers = self.workers.values();
        let ready = workers.filter(|worker| {
            *worker.view.service == *service && worker.view.state == WorkerState::Ready
        });
        let (booked, all) = ready.fold((0.0, 0.0), |(booked, all), worker| {
            let capacity = f64::from(worker.view.capacity.cpu_milli);
            (booked + f64::from(worker.booked.cpu_milli), all + capacity)
        });
        booked < all * self.rules.calm_use
    }

    /// The rack that a step's tasks would rather be on.
    fn wanted_rack(
        &self,
        at: StepAt,
        step: &StepSpec,
        service: &str,
        now: TimePoint,
    ) -> Option<Box<str>> {
        if step.data_rack.is_some() || !step.one_rack {
            return step.data_rack.clone();
        }
        let placed = self.rack_of_placed(at);
        placed.or_else(|| self.rack_with_room(step, service, now))
    }

    /// The rack on which most tasks of a step are.
    fn rack_of_placed(&self, at: StepAt) -> Option<Box<str>> {
        let occurrence = self.jobs.get(at.job)?.occurrences.get(&at.occurrence)?;
        let mut racks: BTreeMap<&str, u32> = BTreeMap::new();
        for (worker, tasks) in &occurrence.steps[usize::from(at.step)].spread {
            let worker = self.workers.get(*worker).filter(|_| *tasks > 0);
            if let Some(rack) = worker.and_then(|worker| worker.view.rack.as_deref()) {
                *racks.entry(rack).or_default() += tasks;
            }
        }
        let most = racks.into_iter().max_by_key(|(_, tasks)| *tasks);
        most.map(|(rack, _)| rack.into())
    }

    /// The rack that holds most tasks of a step.
    fn rack_with_room(&self, step: &StepSpec, service: &str, now: TimePoint) -> Option<Box<str>> {
        let most_here = match step.most_per_worker {
            0 => u32::MAX,
            most => most,
        };
        let mut racks: BTreeMap<&str, u32> = BTreeMap::new();
        for worker in self.workers.values() {
            let Some(rack) = worker.view.rack.as_deref() else {
                continue;
            };
            if worker.takes(service, step, now) {
                let fits = step.booked().times_in(worker.room()).min(most_here);
                let held = racks.entry(rack).or_default();
                *held = held.saturating_add(fits);
            }
        }
        let most = racks.into_iter().max_by_key(|(_, held)| *held);
        most.map(|(rack, _)| rack.into())
    }

    fn choose(&mut self, at: TaskAt, ask: &StepAsk<'_>, now: TimePoint) -> PlaceChoice {
        let step = ask.step;
        let job = &self.jobs[at.step.job];
        let Some(occurrence) = job.occurrences.get(&at.step.occurrence) else {
            return PlaceChoice::NoRoom;
        };
        let life = &occurrence.steps[usize::from(at.step.step)];
        let shuns = life.tasks[at.index as usize].shuns;
        let patience = self.rules.patience(job, life, ask.calm, now);
        let fill_limit = match patience {
            FillPatience::Careful | FillPatience::Late | FillPatience::Any => {
                self.rules.fill_limit(ask.hope)
            }
            FillPatience::Starved => f64::INFINITY,
        };
        let most = if step.most_per_worker == 0 {
            u32::MAX
        } else {
            step.most_per_worker
        };
        let advised = job.queue.advice.is_some();
        let mut best: Option<(f64, WorkerKey)> = None;
        for (key, worker) in &self.workers {
            let here = life.spread.get(&key).copied().unwrap_or(0);
            if here >= most || !worker.has_room(ask.service, step, (fill_limit, &self.rules), now) {
                continue;
            }
            let least_pace = self.rules.least_pace(patience);
            if !worker.bears(step, least_pace, &self.pairs, &self.rules) {
                continue;
            }
            if advised && self.ticket(at.step, key, now).is_none() {
                continue;
            }
            let mut cost = worker.cost(step, ask.rack.as_deref(), &self.pairs, &self.rules);
            match shuns {
                Some((shunned, until)) if shunned == key && now < until => continue,
                Some((shunned, _)) if shunned == key => cost += self.rules.shun_cost,
                _ => {}
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map_or(PlaceChoice::NoRoom, |(_, key)| PlaceChoice::Worker(key))
    }

    fn order(
        &mut self,
        at: TaskAt,
        worker: WorkerKey,
        run: Option<u64>,
        now: TimePoint,
    ) -> StartOrder {
        let job = &self.jobs[at.step.job];
        let spec = job.spec.clone();
        let occurrence = &job.occurrences[&at.step.occurrence];
        let task = &occurrence.steps[usize::from(at.step.step)].tasks[at.index as usize];
        let checkpoint = task.checkpoint.clone();
        let ticket = self.ticket(at.step, worker, now).unwrap_or_default();
        let run = run.unwrap_or_else(|| self.next_run(job, task.last_run));
        self.seat(at, worker, run, false, now);
        StartOrder {
            worker,
            mark: RunMark {
                task: self.task_name(at),
                run,
            },
            spec,
            checkpoint,
            ticket,
        }
    }
}

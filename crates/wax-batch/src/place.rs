//! Which task starts where.

use crate::book::{JobBook, StartOrder, StepAt, TaskAt, WorkerLife};
use crate::life::{JobLife, StepLife, TaskStand};
use crate::names::RunMark;
use crate::rank::JobRank;
use crate::spec::{StepSpec, TaskSize};
use crate::worker::{WorkerKey, WorkerState};
use std::time::Duration;
use wax_policy::{PressChoice, PressTable};
use wax_types::TimePoint;

/// What placement assumes of workers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlaceRules {
    /// The share of its processors that a lasting task uses on average.
    pub lasting_use: f64,
    /// Tasks that fill may ask for this many times the processors that are left to them: those
    /// of jobs that can make their objective, that are late but count, that count no more. What
    /// counts less leaves room to what comes next.
    pub fill_limits: [f64; 3],
    /// Cost of a worker on another rack than the data, in shares of a worker's processors.
    pub far_cost: f64,
    /// Cost of the worker on which the task failed last.
    pub shun_cost: f64,
    /// Cost of a worker that has just started.
    pub cold_cost: f64,
    /// Cost of a worker on which the task would stand still; less for each share of its pace.
    pub pace_cost: f64,
    /// Cost of a worker whose serving tasks would bear nothing more.
    pub press_cost: f64,
    /// A task that fills waits for a worker that leaves it this pace ..
    pub careful_pace: f64,
    /// .. for this long; then for one that leaves it ..
    pub fill_patience: Duration,
    /// .. this pace, until ..
    pub late_pace: f64,
    /// .. it takes any.
    pub last_patience: Duration,
    /// A service of which less than this share of the processors is booked is calm: there each
    /// job counts as old, since nothing else excuses that it stands still.
    pub calm_use: f64,
    /// A job of this age counts as old.
    pub old_age: Duration,
    /// An old job of which nothing has run for this long gets one task placed, however full it is.
    pub starvation: Duration,
    /// A run without progress for this long is moved, if another worker bears it.
    pub stall: Duration,
    /// The same as a share of its estimated time.
    pub stall_share: f64,
    /// At most this many runs are moved at once.
    pub most_moves: usize,
    /// A press of a core that is surely below this is none.
    pub no_press: f64,
    /// Cost of lasting tasks of other images on the worker.
    pub stranger_cost: f64,
    /// Cost of a worker without lasting tasks, for one that lasts.
    pub open_cost: f64,
}

impl Default for PlaceRules {
    fn default() -> Self {
        Self {
            lasting_use: 0.5,
            fill_limits: [1.2, 1.0, 0.6],
            far_cost: 0.5,
            shun_cost: 2.0,
            cold_cost: 0.3,
            pace_cost: 4.0,
            press_cost: 1.0,
            careful_pace: 0.8,
            fill_patience: Duration::from_millis(4_000),
            late_pace: 0.4,
            last_patience: Duration::from_millis(12_000),
            calm_use: 0.6,
            old_age: Duration::from_millis(10_000),
            starvation: Duration::from_millis(1_200),
            stall: Duration::from_millis(1_000),
            stall_share: 0.25,
            most_moves: 6,
            no_press: 0.05,
            stranger_cost: 1.0,
            open_cost: 3.0,
        }
    }
}

/// What a task that fills puts up with by now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FillPatience {
    /// It waits for a worker with processors to spare that bears it.
    Careful,
    /// It waits for one that lets it work at all.
    Late,
    /// It takes any worker with processors to spare.
    Any,
    /// Its job must go on somewhere.
    Starved,
}

impl PlaceRules {
    /// How much of a worker's spare processors may be asked for by jobs of this hope.
    pub(crate) fn fill_limit(&self, hope: u8) -> f64 {
        self.fill_limits[usize::from(hope).min(self.fill_limits.len() - 1)]
    }

    fn patience(&self, job: &JobLife, step: &StepLife, calm: bool, now: TimePoint) -> FillPatience {
        let waited = now.since(step.since);
        let old = calm || now.since(job.accepted) >= self.old_age;
        if old && waited >= self.starvation && !job.has_placed() {
            FillPatience::Starved
        } else if waited < self.fill_patience {
            FillPatience::Careful
        } else if waited < self.last_patience {
            FillPatience::Late
        } else {
            FillPatience::Any
        }
    }

    fn least_pace(&self, patience: FillPatience) -> f64 {
        match patience {
            FillPatience::Careful => self.careful_pace,
            FillPatience::Late => self.late_pace,
            FillPatience::Any | FillPatience::Starved => 0.0,
        }
    }
}

/// Why a step's task could, or could not, be placed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceChoice {
    /// Here.
    Worker(WorkerKey),
    /// No worker has room now.
    NoRoom,
}

impl WorkerLife {
    /// What is not booked.
    pub fn room(&self) -> TaskSize {
        self.view.capacity.minus(self.booked)
    }

    fn takes(&self, service: &str, step: &StepSpec, now: TimePoint) -> bool {
        let label = step.label.as_ref();
        *self.view.service == *service
            && self.view.state == WorkerState::Ready
            && self.reachable
            && now >= self.shunned_until
            && label.is_none_or(|label| self.view.labels.contains(label))
    }

    /// Whether one more task of the step fits here now; `fill_limit` bounds what fills ask for.
    pub(crate) fn has_room(
        &self,
        service: &str,
        step: &StepSpec,
        (fill_limit, rules): (f64, &PlaceRules),
        now: TimePoint,
    ) -> bool {
        let left = self.fill_room_milli(fill_limit, rules);
        self.takes(service, step, now)
            && step.booked().fits(self.room())
            && (!step.fills || left >= f64::from(step.size.cpu_milli))
    }

    /// Thousandths of a core that are left to tasks that fill.
    fn fill_room_milli(&self, fill_limit: f64, rules: &PlaceRules) -> f64 {
        let lasting = f64::from(self.lasting_milli);
        let batch = f64::from(self.booked.cpu_milli) - lasting;
        let left = f64::from(self.view.capacity.cpu_milli) - batch - lasting * rules.lasting_use;
        left * fill_limit - f64::from(self.filling_milli)
    }

    /// How one more task of the step would fare beside what serves here.
    pub(crate) fn press_choice(
        &self,
        step: &StepSpec,
        pairs: &PressTable,
        rules: &PlaceRules,
    ) -> PressChoice {
        let cpu_milli = step.size.cpu_milli;
        self.press
            .choice(pairs, &step.image, cpu_milli, rules.no_press)
    }

    /// Whether one more task of the step would work here at this pace at least.
    pub(crate) fn bears(
        &self,
        step: &StepSpec,
        least_pace: f64,
        pairs: &PressTable,
        rules: &PlaceRules,
    ) -> bool {
        !step.fills || self.press_choice(step, pairs, rules).pace >= least_pace
    }

    /// The share of lasting runs here that are of another image.
    fn strangers(&self, image: &str) -> f64 {
        let serving = self.press.serving();
        let all: u32 = serving.values().sum();
        let own = serving.get(image).copied().unwrap_or(0);
        f64::from(all - own) / f64::from(all.max(1))
    }

    /// The cost of one more task of the step, in shares of the worker's processors.
    fn cost(&self, step: &StepSpec, pairs: &PressTable, rules: &PlaceRules) -> f64 {
        let capacity = f64::from(self.view.capacity.cpu_milli.max(1));
        let used = f64::from(self.booked.cpu_milli)
            - f64::from(self.lasting_milli) * (1.0 - rules.lasting_use)
            + f64::from(self.filling_milli);
        let mut cost = (used + f64::from(step.size.cpu_milli)) / capacity;
        if step.data_rack.is_some() && step.data_rack != self.view.rack {
            cost += rules.far_cost;
        }
        if step.fills {
            let choice = self.press_choice(step, pairs, rules);
            cost += rules.pace_cost * (1.0 - choice.pace) + rules.press_cost * choice.taken;
        }
        if step.lasts {
            // Lasting tasks of one image keep together, and fill a worker before they open another:
            // so other workers are left to what presses on the image.
            cost = 1.0 - cost + rules.stranger_cost * self.strangers(&step.image);
            if self.press.serving().is_empty() {
                cost += rules.open_cost;
            }
        }
        if self.view.cold_ms > 0 {
            cost += rules.cold_cost;
        }
        cost
    }
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
        if step.gang {
            if waiting.len() == step.count as usize {
                self.place_gang(at, &service, step, now, orders);
            }
            return;
        }
        let calm = step.fills && self.is_calm(&service);
        for index in waiting {
            let task = TaskAt { step: at, index };
            match self.choose(task, hope, &service, step, calm, now) {
                PlaceChoice::Worker(worker) => orders.push(self.order(task, worker, None, now)),
                PlaceChoice::NoRoom => return,
            }
        }
    }

    /// Seats all members or none.
    fn place_gang(
        &mut self,
        at: StepAt,
        service: &str,
        step: &StepSpec,
        now: TimePoint,
        orders: &mut Vec<StartOrder>,
    ) {
        let last_run = self.last_run(at);
        let run = self.next_run(&self.jobs[at.job], last_run);
        let mut members = Vec::with_capacity(step.count as usize);
        for index in 0..step.count {
            let task = TaskAt { step: at, index };
            match self.choose(task, 0, service, step, false, now) {
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

    fn choose(
        &mut self,
        at: TaskAt,
        hope: u8,
        service: &str,
        step: &StepSpec,
        calm: bool,
        now: TimePoint,
    ) -> PlaceChoice {
        let job = &self.jobs[at.step.job];
        let Some(occurrence) = job.occurrences.get(&at.step.occurrence) else {
            return PlaceChoice::NoRoom;
        };
        let life = &occurrence.steps[usize::from(at.step.step)];
        let shuns = life.tasks[at.index as usize].shuns;
        let patience = self.rules.patience(job, life, calm, now);
        let fill_limit = match patience {
            FillPatience::Careful | FillPatience::Late | FillPatience::Any => {
                self.rules.fill_limit(hope)
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
            if here >= most || !worker.has_room(service, step, (fill_limit, &self.rules), now) {
                continue;
            }
            let least_pace = self.rules.least_pace(patience);
            if !worker.bears(step, least_pace, &self.pairs, &self.rules) {
                continue;
            }
            if advised && self.ticket(at.step, key, now).is_none() {
                continue;
            }
            let mut cost = worker.cost(step, &self.pairs, &self.rules);
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

//! Which task starts where.

use crate::book::{JobBook, StartOrder, StepAt, TaskAt, WorkerLife};
use crate::life::TaskLife;
use crate::names::RunMark;
use crate::offers::StepOffers;
use crate::patience::FillPatience;
use crate::rank::JobRank;
use crate::spec::StepSpec;
use crate::unheard::StepClearance;
use crate::why::{PlaceReason, StepWait, WaitReason};
use crate::worker::{WorkerKey, WorkerState};
use std::collections::BTreeMap;
use std::time::Duration;
use wax_policy::ExpectedFinish;
use wax_types::TimePoint;

/// Of a larger pool only so many workers are asked if they offer enough. Without that each step of a job would cost
/// as much as the pool is large, and a pool of twice the size four times as much.
const ENOUGH_ASKED: usize = 256;
/// How far apart the workers are with which two steps in a row begin; a prime, so that all take their turn.
const FIRST_STEP: usize = 101;
/// Offers that leave a choice for each task of a step.
const OFFERS_PER_TASK: usize = 2;
/// A step that fits nowhere on a large pool is looked at again after this for each worker that was asked.
const PAUSE_PER_WORKER: Duration = Duration::from_micros(25);

/// The same step is not told more often to wait, whatever the reason.
const TELL_PAUSE: Duration = Duration::from_secs(1);

/// Where a step's task can be placed now, or why nowhere.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlaceChoice {
    /// Here.
    Worker(ChosenWorker),
    /// Nowhere.
    Wait(WaitReason),
}

/// The best worker for a task, and what made it so.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChosenWorker {
    /// The worker.
    pub key: WorkerKey,
    /// See [`PlaceReason`].
    pub cost: f64,
    /// See [`PlaceReason`].
    pub next_cost: Option<f64>,
    /// See [`PlaceReason`].
    pub pace: f64,
}

/// What the tasks of one step ask of a worker.
struct StepAsk<'a> {
    step: &'a StepSpec,
    service: &'a str,
    /// The step's rank among what waits.
    rank: JobRank,
    /// How much of what is left to tasks that fill it may ask for.
    fill_limit: f64,
    /// How long its tasks have waited.
    waited: Duration,
    /// Whether most of the service's processors are not booked.
    calm: bool,
    /// The worker that is asked first, by its position in the book.
    first: usize,
    /// With so many offers no more workers of a large pool are asked.
    enough_offers: usize,
    /// The rack to be preferred: that of the data, or of the step's other tasks.
    rack: Option<Box<str>>,
}

impl StepAsk<'_> {
    /// Whether the tasks do as well on one worker as on another with the same room: not all need be asked then.
    fn takes_any(&self) -> bool {
        let step = self.step;
        self.rack.is_none() && step.label.is_none() && !step.lasts && !step.gang
    }
}

/// A task that has failed, or under which workers have ended.
struct SpecialTask<'a> {
    at: TaskAt,
    life: &'a TaskLife,
    is_suspected: bool,
    /// Whether it starts on machines only under which no worker has ended.
    avoids: bool,
}

impl SpecialTask<'_> {
    /// Whether it may not go back to this worker yet.
    fn is_shunned(&self, key: WorkerKey, now: TimePoint) -> bool {
        let shuns = self.life.shuns;
        shuns.is_some_and(|(shunned, until)| shunned == key && now < until)
    }
}

impl JobBook {
    /// Places what can be placed now, the most urgent first.
    pub fn place(&mut self, now: TimePoint) -> Vec<StartOrder> {
        let mut ranked: Vec<(JobRank, StepAt)> = Vec::with_capacity(self.ready.len());
        for at in &self.ready {
            if !self.has_cleared(*at, now) {
                continue;
            }
            let job = &self.jobs[at.job];
            ranked.push((JobRank::new(job, at.occurrence, at.step, now), *at));
        }
        ranked.sort_unstable();
        let mut orders = Vec::new();
        for (rank, at) in ranked {
            self.place_step(at, rank, now, &mut orders);
        }
        orders
    }

    /// When a step that fitted nowhere is to be looked at again, if that is sooner than `limit`.
    pub fn next_look(&self, now: TimePoint, limit: Duration) -> Duration {
        let steps = self.ready.iter().filter_map(|at| self.step_life(*at));
        let looks = steps.filter_map(|step| step.look_at);
        let next = looks.filter(|at| *at > now).min();
        next.map_or(limit, |at| at.since(now).min(limit))
    }

    /// Steps begin with different workers, so that those in front are not asked more often.
    fn next_first(&mut self) -> usize {
        self.first_asked = self.first_asked.wrapping_add(FIRST_STEP);
        self.first_asked
    }

    /// Notes that a step's tasks fit nowhere. On a small pool it is looked at with the next change.
    fn pause_step(&mut self, at: StepAt, now: TimePoint) {
        let workers = self.workers.len();
        if workers <= ENOUGH_ASKED {
            return;
        }
        let pause = PAUSE_PER_WORKER.saturating_mul(workers as u32);
        let job = self.jobs.get_mut(at.job);
        let occurrence = job.and_then(|job| job.occurrences.get_mut(&at.occurrence));
        if let Some(occurrence) = occurrence {
            occurrence.steps[usize::from(at.step)].look_at = Some(now + pause);
        }
    }

    /// Whether any waiting task of a step may be started, and is to be looked at now.
    fn has_cleared(&self, at: StepAt, now: TimePoint) -> bool {
        let Some(step) = self.step_life(at) else {
            return false;
        };
        if step.look_at.is_some_and(|at| now < at) {
            return false;
        }
        match self.clearance(at, step) {
            StepClearance::All => true,
            some => step
                .tasks
                .iter()
                .any(|task| task.is_waiting() && some.covers(task)),
        }
    }

    fn place_step(
        &mut self,
        at: StepAt,
        rank: JobRank,
        now: TimePoint,
        orders: &mut Vec<StartOrder>,
    ) {
        let job = &self.jobs[at.job];
        let spec = job.spec.clone();
        let service = job.queue.service.clone();
        let step = &spec.steps[usize::from(at.step)];
        let Some(occurrence) = job.occurrences.get(&at.occurrence) else {
            return;
        };
        let life = &occurrence.steps[usize::from(at.step)];
        let clearance = self.clearance(at, life);
        let tasks = (0..).zip(&life.tasks);
        let waiting = tasks.filter(|(_, task)| task.is_waiting() && clearance.covers(task));
        // Those under which workers have ended come last: they may have to wait where others need not.
        let (others, blamed): (Vec<_>, Vec<_>) =
            waiting.partition(|(_, task)| task.blame.is_empty());
        let free = others.len();
        let waiting: Vec<u32> = others
            .into_iter()
            .chain(blamed)
            .map(|(index, _)| index)
            .collect();
        let gang_waits = step.gang && waiting.len() < step.count as usize;
        if waiting.is_empty() || gang_waits {
            return;
        }
        let ask = StepAsk {
            step,
            service: &service,
            rank,
            fill_limit: self.rules.best_effort_limit(if step.gang {
                ExpectedFinish::InTime
            } else {
                rank.finish
            }),
            waited: now.since(life.since),
            calm: step.fills && !step.gang && self.is_calm(&service),
            rack: self.wanted_rack(at, step, &service, now),
            first: self.next_first(),
            enough_offers: waiting.len().saturating_mul(OFFERS_PER_TASK),
        };
        if step.gang {
            self.place_gang(at, &ask, now, orders);
            return;
        }
        let mut known = None;
        for (nth, index) in waiting.into_iter().enumerate() {
            let task = TaskAt { step: at, index };
            match self.choose(task, &ask, &mut known, now) {
                PlaceChoice::Worker(chosen) => {
                    orders.push(self.order(task, chosen, &ask, None, now));
                    self.note_placed(at, &ask, &mut known, chosen.key, now);
                }
                PlaceChoice::Wait(reason) => {
                    self.note_wait(task, &ask, reason, now);
                    if nth < free {
                        self.pause_step(at, now);
                        return;
                    }
                }
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
        let mut known = None;
        for index in 0..count {
            let task = TaskAt { step: at, index };
            match self.choose(task, ask, &mut known, now) {
                PlaceChoice::Worker(chosen) => {
                    members.push(self.order(task, chosen, ask, Some(run), now));
                    self.note_placed(at, ask, &mut known, chosen.key, now);
                }
                PlaceChoice::Wait(reason) => {
                    let reason = match members.is_empty() {
                        true => reason,
                        false => WaitReason::Gang,
                    };
                    for member in members {
                        self.take_back(at, &member, now);
                    }
                    self.note_wait(task, ask, reason, now);
                    self.pause_step(at, now);
                    return;
                }
            }
        }
        orders.extend(members);
    }

    /// Notes why a step's tasks wait, if that is news.
    fn note_wait(&mut self, at: TaskAt, ask: &StepAsk<'_>, reason: WaitReason, now: TimePoint) {
        let task = self.task_name(at);
        let Some(occurrence) = self.jobs[at.step.job]
            .occurrences
            .get_mut(&at.step.occurrence)
        else {
            return;
        };
        let life = &mut occurrence.steps[usize::from(at.step.step)];
        let told = life.told_wait;
        if told.is_some_and(|(last, when)| last == reason || now.since(when) < TELL_PAUSE) {
            return;
        }
        life.told_wait = Some((reason, now));
        self.waits.push(StepWait {
            task,
            waiting: life.waiting,
            waited: ask.waited,
            reason,
        });
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
            *worker.view.service == *service
                && worker.view.state == WorkerState::Ready
                && !worker.drained
        });
        let (booked, all) = ready.fold((0.0, 0.0), |(booked, all), worker| {
            let capacity = f64::from(worker.view.capacity.cpu_milli);
            (booked + f64::from(worker.booked.cpu_milli), all + capacity)
        });
        booked < all * self.rules.low_use
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

    fn choose(
        &mut self,
        at: TaskAt,
        ask: &StepAsk<'_>,
        known: &mut Option<(FillPatience, StepOffers)>,
        now: TimePoint,
    ) -> PlaceChoice {
        let Some(patience) = self.patience(at.step, ask, now) else {
            return PlaceChoice::Wait(WaitReason::NoWorker);
        };
        let Some(task) = self.task(at) else {
            return PlaceChoice::Wait(WaitReason::NoWorker);
        };
        if task.shuns.is_some() || !task.blame.is_empty() {
            return self.choose_for_itself(at, ask, patience, now);
        }
        let mut offers = match known.take().filter(|(of, _)| *of == patience) {
            Some((_, offers)) => offers,
            None => self.ask_workers(None, at.step, ask, patience, now),
        };
        let mut best = offers.best();
        if best.is_err() && !offers.is_whole() {
            offers = self.ask_workers(None, at.step, ask, patience, now);
            best = offers.best();
        }
        debug_assert!(
            self.workers.len() > ENOUGH_ASKED
                || best == self.ask_workers(None, at.step, ask, patience, now).best(),
            "a worker has changed unseen"
        );
        *known = Some((patience, offers));
        match best {
            Ok(best) => {
                let worker = &self.workers[best.worker];
                PlaceChoice::Worker(ChosenWorker {
                    key: best.worker,
                    cost: best.cost,
                    next_cost: best.next_cost,
                    pace: worker.pace_for(ask.step, &self.pairs, &self.rules),
                })
            }
            Err(reason) => PlaceChoice::Wait(reason),
        }
    }

    /// A task of a step was placed on a worker: what it takes for the next one has changed.
    fn note_placed(
        &self,
        at: StepAt,
        ask: &StepAsk<'_>,
        known: &mut Option<(FillPatience, StepOffers)>,
        placed: WorkerKey,
        now: TimePoint,
    ) {
        let Some((patience, offers)) = known else {
            return;
        };
        let position = self.workers.keys().position(|key| key == placed);
        if let (Some(position), Some(worker)) = (position, self.workers.get(placed)) {
            let answer = self.offer(None, at, (placed, worker), ask, *patience, now);
            offers.changed(placed, position, answer);
        }
    }

    fn patience(&self, at: StepAt, ask: &StepAsk<'_>, now: TimePoint) -> Option<FillPatience> {
        let job = self.jobs.get(at.job)?;
        let life = self.step_life(at)?;
        Some(FillPatience::of(&self.rules, job, life, ask.calm, now))
    }

    fn task(&self, at: TaskAt) -> Option<&TaskLife> {
        self.step_life(at.step)?.tasks.get(at.index as usize)
    }

    fn ask_workers(
        &self,
        special: Option<&SpecialTask<'_>>,
        at: StepAt,
        ask: &StepAsk<'_>,
        patience: FillPatience,
        now: TimePoint,
    ) -> StepOffers {
        let answer = |(position, (key, worker)): (usize, (WorkerKey, &WorkerLife))| {
            self.workers_asked.update(|count| count + 1);
            let answer = self.offer(special, at, (key, worker), ask, patience, now);
            (position, key, answer)
        };
        let workers = self.workers.iter().enumerate();
        if special.is_some() || !ask.takes_any() {
            return StepOffers::ask(workers.map(answer), usize::MAX, usize::MAX);
        }
        let first = ask.first % self.workers.len().max(1);
        let from_first = workers.clone().skip(first).chain(workers.take(first));
        StepOffers::ask(from_first.map(answer), ENOUGH_ASKED, ask.enough_offers)
    }

    /// What a worker takes for a task of the step, or why it takes none. `special` is set for a task that
    /// has failed, or under which workers have ended.
    fn offer(
        &self,
        special: Option<&SpecialTask<'_>>,
        at: StepAt,
        (key, worker): (WorkerKey, &WorkerLife),
        ask: &StepAsk<'_>,
        patience: FillPatience,
        now: TimePoint,
    ) -> Result<f64, WaitReason> {
        let step = ask.step;
        let fill_limit = match patience {
            FillPatience::Careful | FillPatience::Late | FillPatience::Any => ask.fill_limit,
            FillPatience::Starved => f64::INFINITY,
        };
        if let Some(obstacle) = worker.obstacle(ask.service, step, (fill_limit, &self.rules), now) {
            return Err(obstacle);
        }
        let most = match step.most_per_worker {
            0 => u32::MAX,
            most => most,
        };
        let life = self.step_life(at).ok_or(WaitReason::NoWorker)?;
        if life.spread.get(&key).copied().unwrap_or(0) >= most {
            return Err(WaitReason::Spread);
        }
        if special.is_some_and(|task| task.avoids && task.life.blame.names(&worker.machine)) {
            return Err(WaitReason::FailedThere);
        }
        if worker.is_kept_from(special.map(|task| task.at), now) {
            return Err(WaitReason::Trial);
        }
        if !worker.bears(
            step,
            patience.least_pace(&self.rules),
            &self.pairs,
            &self.rules,
        ) {
            return Err(WaitReason::Interference);
        }
        let is_advised = self.jobs[at.job].queue.advice.is_some();
        if is_advised && self.ticket(at, key, now).is_none() {
            return Err(WaitReason::Advice);
        }
        let cost = worker.cost(step, ask.rack.as_deref(), &self.pairs, &self.rules);
        match special {
            None => Ok(cost),
            Some(task) if task.is_shunned(key, now) => Err(WaitReason::FailedThere),
            Some(task) => Ok(cost + self.special_cost(task, key, worker, now)),
        }
    }

    /// What it costs beside [`WorkerLife::cost`] to place a task that has failed, or under which workers have
    /// ended.
    fn special_cost(
        &self,
        task: &SpecialTask<'_>,
        key: WorkerKey,
        worker: &WorkerLife,
        now: TimePoint,
    ) -> f64 {
        let mut cost = 0.0;
        if task.life.shuns.is_some_and(|(shunned, _)| shunned == key) {
            cost += self.rules.failed_worker_cost;
        }
        if !task.life.blame.is_empty() {
            let crashed = self.crashed.get(&worker.machine).copied();
            cost += worker.blame_cost(task.at, task.is_suspected, crashed, now);
        }
        cost
    }

    /// Chooses for a task that is not like the others of its step: all workers are asked for it alone.
    fn choose_for_itself(
        &mut self,
        at: TaskAt,
        ask: &StepAsk<'_>,
        patience: FillPatience,
        now: TimePoint,
    ) -> PlaceChoice {
        let is_suspected = self.trial_of(at).is_some();
        if is_suspected && self.trials_are_full(at, ask.service, now) {
            return PlaceChoice::Wait(WaitReason::Trial);
        }
        let Some(life) = self.task(at) else {
            return PlaceChoice::Wait(WaitReason::NoWorker);
        };
        let task = SpecialTask {
            at,
            life,
            is_suspected,
            avoids: self.avoids_machines(&life.blame, ask.service, now),
        };
        let mut offers = self.ask_workers(Some(&task), at.step, ask, patience, now);
        let best = match offers.best() {
            Ok(best) => best,
            Err(reason) => return PlaceChoice::Wait(reason),
        };
        if is_suspected && !self.reserve_trial(at, best.worker, now) {
            return PlaceChoice::Wait(WaitReason::Trial);
        }
        PlaceChoice::Worker(ChosenWorker {
            key: best.worker,
            cost: best.cost,
            next_cost: best.next_cost,
            pace: self.workers[best.worker].pace_for(ask.step, &self.pairs, &self.rules),
        })
    }

    fn order(
        &mut self,
        at: TaskAt,
        chosen: ChosenWorker,
        ask: &StepAsk<'_>,
        run: Option<u64>,
        now: TimePoint,
    ) -> StartOrder {
        let worker = chosen.key;
        let heard_at = self.workers.get(worker).map(|worker| worker.heard_at);
        let reason = PlaceReason {
            waited: ask.waited,
            rank: ask.rank,
            cost: chosen.cost,
            next_cost: chosen.next_cost,
            pace: chosen.pace,
            view_age: now.since(heard_at.unwrap_or_default()),
        };
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
            reason,
        }
    }
}

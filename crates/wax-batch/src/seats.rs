//! Seats of tasks on workers: what is booked where, and the state of single tasks.

use crate::book::{JobBook, RUNS_PER_TERM, RunSeat, StepAt, TaskAt};
use crate::life::{JobLife, OccurrenceLife, TaskLife, TaskSeat, TaskStand};
use crate::names::{RunMark, TaskName};
use crate::worker::WorkerKey;
use wax_types::TimePoint;

impl JobBook {
    pub(crate) fn task_name(&self, at: TaskAt) -> TaskName {
        TaskName {
            job: self.jobs[at.step.job].name,
            occurrence: at.step.occurrence,
            step: at.step.step,
            index: at.index,
        }
    }

    /// The task of a name, if its job is known and open; makes room for its state.
    pub(crate) fn task_at(&mut self, name: TaskName, now: TimePoint) -> Option<TaskAt> {
        let key = *self.names.get(&name.job)?;
        let job = &mut self.jobs[key];
        if job.is_over() {
            return None;
        }
        let spec = job.spec.clone();
        let step_spec = spec.steps.get(usize::from(name.step))?;
        let known = job
            .occurrences
            .keys()
            .next()
            .copied()
            .unwrap_or(job.next_occurrence);
        if name.index >= step_spec.count
            || name.occurrence >= spec.occurrences()
            || name.occurrence < known
        {
            return None;
        }
        while job.next_occurrence <= name.occurrence {
            let occurrence = OccurrenceLife::new(&spec, now);
            job.occurrences.insert(job.next_occurrence, occurrence);
            job.next_occurrence += 1;
        }
        let occurrence = job.occurrences.get_mut(&name.occurrence)?;
        let step = &mut occurrence.steps[usize::from(name.step)];
        if step.is_done(step_spec) {
            return None;
        }
        if step.tasks.is_empty() {
            step.tasks = vec![TaskLife::default(); step_spec.count as usize];
            step.waiting = step_spec.count;
        }
        Some(TaskAt {
            step: StepAt {
                job: key,
                occurrence: name.occurrence,
                step: name.step,
            },
            index: name.index,
        })
    }

    pub(crate) fn task_mut(&mut self, at: TaskAt) -> Option<&mut TaskLife> {
        let job = self.jobs.get_mut(at.step.job)?;
        let occurrence = job.occurrences.get_mut(&at.step.occurrence)?;
        let step = occurrence.steps.get_mut(usize::from(at.step.step))?;
        step.tasks.get_mut(at.index as usize)
    }

    /// The number of a task's next start.
    pub(crate) fn next_run(&self, job: &JobLife, last_run: u64) -> u64 {
        let floor = self.epoch.saturating_sub(job.epoch) * RUNS_PER_TERM;
        last_run.max(floor) + 1
    }

    /// Seats a task on a worker: books its size and notes where it is.
    pub(crate) fn seat(
        &mut self,
        at: TaskAt,
        worker: WorkerKey,
        run: u64,
        running: bool,
        now: TimePoint,
    ) {
        let job = &mut self.jobs[at.step.job];
        let spec = job.spec.clone();
        let step_spec = &spec.steps[usize::from(at.step.step)];
        let Some(occurrence) = job.occurrences.get_mut(&at.step.occurrence) else {
            return;
        };
        let step = &mut occurrence.steps[usize::from(at.step.step)];
        let task = &mut step.tasks[at.index as usize];
        if matches!(task.stand, TaskStand::Waiting) {
            step.waiting -= 1;
        }
        task.last_run = task.last_run.max(run);
        task.stand = TaskStand::Placed(TaskSeat {
            worker,
            run,
            since: now,
            running,
            stopping: false,
            percent: 0,
            moved: now,
        });
        *step.spread.entry(worker).or_default() += 1;
        if running {
            job.begun = true;
        }
        if step.waiting == 0 {
            step.told_wait = None;
            self.ready.remove(&at.step);
        }
        let mark = RunMark {
            task: self.task_name(at),
            run,
        };
        let seat = RunSeat {
            task: Some(at),
            booked: step_spec.booked(),
            filling_milli: if step_spec.fills {
                step_spec.size.cpu_milli
            } else {
                0
            },
            lasting_milli: if step_spec.lasts {
                step_spec.size.cpu_milli
            } else {
                0
            },
            lasts: step_spec.lasts,
        };
        if let Some(life) = self.workers.get_mut(worker) {
            if step_spec.lasts {
                life.press.add_serving(&step_spec.image);
            }
            if step_spec.fills {
                let cpu_milli = step_spec.size.cpu_milli;
                life.press.add_best_effort(&step_spec.image, cpu_milli);
            }
        }
        self.book_run(worker, mark, seat);
        if !running {
            self.note_start(worker, mark, self.trial_of(at), now);
        }
    }

    pub(crate) fn book_run(&mut self, worker: WorkerKey, mark: RunMark, seat: RunSeat) {
        if let Some(life) = self.workers.get_mut(worker) {
            life.booked = life.booked.plus(seat.booked);
            life.filling_milli += seat.filling_milli;
            life.lasting_milli += seat.lasting_milli;
            life.runs.insert(mark, seat);
        }
    }

    /// Frees what a run booked; says which task it was of.
    pub(crate) fn free_run(&mut self, worker: WorkerKey, mark: RunMark) -> Option<RunSeat> {
        let life = self.workers.get_mut(worker)?;
        let seat = life.runs.remove(&mark)?;
        life.booked = life.booked.minus(seat.booked);
        life.filling_milli = life.filling_milli.saturating_sub(seat.filling_milli);
        life.lasting_milli = life.lasting_milli.saturating_sub(seat.lasting_milli);
        if let Some(at) = seat.task
            && let Some(job) = self.jobs.get(at.step.job)
        {
            let image = &job.spec.steps[usize::from(at.step.step)].image;
            if seat.lasts {
                life.press.remove_serving(image);
            }
            if seat.filling_milli > 0 {
                life.press.remove_best_effort(image, seat.filling_milli);
            }
        }
        Some(seat)
    }
}

//! Places tasks on workers, reserves and releases the resources of their runs, and looks up tasks.

use crate::names::{RunId, TaskName};
use crate::records::{JobRecord, OccurrenceRecord, TaskPlacement, TaskRecord, TaskState};
use crate::scheduler::{JobScheduler, RUNS_PER_TERM, RunReservation, StepRef, TaskRef};
use crate::worker::WorkerKey;
use wax_types::TimePoint;

impl JobScheduler {
    pub(crate) fn task_name(&self, task_ref: TaskRef) -> TaskName {
        TaskName {
            job: self.jobs[task_ref.step.job].name,
            occurrence: task_ref.step.occurrence,
            step: task_ref.step.step,
            index: task_ref.index,
        }
    }

    /// Returns the reference to a named task, if its job is open and the task can still run.
    /// Creates the state of its occurrence and step if necessary.
    pub(crate) fn resolve_task(&mut self, name: TaskName, now: TimePoint) -> Option<TaskRef> {
        let key = *self.names.get(&name.job)?;
        let job = &mut self.jobs[key];
        if job.is_over() {
            return None;
        }
        let spec = job.spec.clone();
        let step_spec = spec.steps.get(usize::from(name.step))?;
        let is_done = name.occurrence < job.next_occurrence
            && !job.occurrences.contains_key(&name.occurrence);
        if name.index >= step_spec.count || name.occurrence >= spec.occurrence_count() || is_done {
            return None;
        }
        while job.next_occurrence <= name.occurrence {
            let occurrence = OccurrenceRecord::new(&spec, now);
            job.occurrences.insert(job.next_occurrence, occurrence);
            job.next_occurrence += 1;
        }
        let occurrence = job.occurrences.get_mut(&name.occurrence)?;
        let step = &mut occurrence.steps[usize::from(name.step)];
        if step.is_done(step_spec) {
            return None;
        }
        if step.tasks.is_empty() {
            step.tasks = vec![TaskRecord::default(); step_spec.count as usize];
            step.waiting = step_spec.count;
        }
        Some(TaskRef {
            step: StepRef {
                job: key,
                occurrence: name.occurrence,
                step: name.step,
            },
            index: name.index,
        })
    }

    pub(crate) fn task_mut(&mut self, task_ref: TaskRef) -> Option<&mut TaskRecord> {
        let job = self.jobs.get_mut(task_ref.step.job)?;
        let occurrence = job.occurrences.get_mut(&task_ref.step.occurrence)?;
        let step = occurrence.steps.get_mut(usize::from(task_ref.step.step))?;
        step.tasks.get_mut(task_ref.index as usize)
    }

    /// Returns the number of a task's next start.
    pub(crate) fn next_run(&self, job: &JobRecord, last_run: u64) -> u64 {
        last_run.max(self.last_earlier_run(job)).saturating_add(1)
    }

    /// Returns the highest possible number of a run of an earlier term; 0 for a job of this term.
    pub(crate) fn last_earlier_run(&self, job: &JobRecord) -> u64 {
        let terms = self.epoch.saturating_sub(job.epoch);
        terms.saturating_mul(RUNS_PER_TERM)
    }

    /// Places a task on a worker: reserves its resources there and records the placement.
    pub(crate) fn reserve_task(
        &mut self,
        task_ref: TaskRef,
        worker: WorkerKey,
        run: u64,
        running: bool,
        now: TimePoint,
    ) {
        let job = &mut self.jobs[task_ref.step.job];
        let spec = job.spec.clone();
        let step_spec = &spec.steps[usize::from(task_ref.step.step)];
        let Some(occurrence) = job.occurrences.get_mut(&task_ref.step.occurrence) else {
            return;
        };
        let step = &mut occurrence.steps[usize::from(task_ref.step.step)];
        let task = &mut step.tasks[task_ref.index as usize];
        if matches!(task.state, TaskState::Waiting) {
            step.waiting -= 1;
        }
        task.last_run = task.last_run.max(run);
        task.state = TaskState::Placed(TaskPlacement {
            worker,
            run,
            sent_at: now,
            running,
            stop_ordered: false,
            percent: 0,
            progressed_at: now,
            working: false,
            adopted: running,
        });
        *step.spread.entry(worker).or_default() += 1;
        if running {
            job.started = true;
            occurrence.begun = true;
        }
        if step.waiting == 0 {
            step.reported_wait = None;
            self.ready_steps.remove(&task_ref.step);
        }
        let run_id = RunId {
            task: self.task_name(task_ref),
            run,
        };
        let reservation = RunReservation {
            task: Some(task_ref),
            reserved: step_spec.reserved(),
            best_effort_milli: if step_spec.best_effort {
                step_spec.size.cpu_milli
            } else {
                0
            },
            long_running_milli: if step_spec.long_running {
                step_spec.size.cpu_milli
            } else {
                0
            },
            long_running: step_spec.long_running,
        };
        if let Some(record) = self.workers.get_mut(worker) {
            if step_spec.long_running {
                record.interference.add_serving(&step_spec.image);
            }
            if step_spec.best_effort {
                let cpu_milli = step_spec.size.cpu_milli;
                record
                    .interference
                    .add_best_effort(&step_spec.image, cpu_milli);
            }
        }
        self.reserve_run(worker, run_id, reservation);
        if !running {
            self.record_last_start(worker, run_id, self.isolation_of(task_ref), now);
        }
    }

    pub(crate) fn reserve_run(
        &mut self,
        worker: WorkerKey,
        run_id: RunId,
        reservation: RunReservation,
    ) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.reserved = record.reserved.plus(reservation.reserved);
            record.best_effort_milli += reservation.best_effort_milli;
            record.long_running_milli += reservation.long_running_milli;
            record.runs.insert(run_id, reservation);
        }
    }

    /// Releases and returns the reservation of a run.
    pub(crate) fn release_run(
        &mut self,
        worker: WorkerKey,
        run_id: RunId,
    ) -> Option<RunReservation> {
        let record = self.workers.get_mut(worker)?;
        let reservation = record.runs.remove(&run_id)?;
        record.reserved = record.reserved.minus(reservation.reserved);
        record.best_effort_milli = record
            .best_effort_milli
            .saturating_sub(reservation.best_effort_milli);
        record.long_running_milli = record
            .long_running_milli
            .saturating_sub(reservation.long_running_milli);
        if let Some(task_ref) = reservation.task
            && let Some(job) = self.jobs.get(task_ref.step.job)
        {
            let image = &job.spec.steps[usize::from(task_ref.step.step)].image;
            if reservation.long_running {
                record.interference.remove_serving(image);
            }
            if reservation.best_effort_milli > 0 {
                record
                    .interference
                    .remove_best_effort(image, reservation.best_effort_milli);
            }
        }
        Some(reservation)
    }
}

//! Life cycle of a run: start, change of speed, end, stop and loss.

use super::*;

impl ReplayRun {
    pub(super) fn start_run(
        &mut self,
        now: TimePoint,
        task: TaskId,
        worker: usize,
        demand: TaskDemand,
        remaining: Duration,
    ) {
        self.dequeue(task);
        let due_today = !self.world.options.day.is_around_the_clock()
            && self.world.options.day.ends_today(now, remaining)
            && !self.world.options.day.ends_today(now, remaining * 2);
        let record = self.batch.tasks.get_mut(&task).expect("the task is known");
        let started = now + START_DELAY;
        let protection = EVICTION_PROTECTION * record.evictions.min(10);
        let running = RunningTask {
            task,
            kind: demand.kind,
            size: demand.size,
            urgent: demand.urgent,
            evictable: !demand.urgent,
            saved_at: started,
            protected_until: started + protection,
            due_today,
        };
        record.state = TaskState::Running(worker);
        record.reserved = demand.size;
        record.progress_at = started;
        record.unsaved = Duration::ZERO;
        record.throttle = 1.0;
        record.stopping = false;
        record.next_checkpoint = started + CHECKPOINT_PERIOD;
        if demand.urgent {
            self.batch.urgent_start.add(started.since(record.submitted));
        }
        let key = self.batch.keys[worker];
        self.batch.table.reserve(key, running);
        self.batch.running.entry(worker).or_default().insert(task);
        self.record_overallocation(worker);
        self.replan_run_ends(now, worker);
    }

    pub(super) fn record_overallocation(&mut self, worker: usize) {
        let Some(slot) = self.batch.table.get(self.batch.keys[worker]) else {
            return;
        };
        let reserved: u64 = slot
            .tasks()
            .iter()
            .map(|task| u64::from(task.size.cpu_milli))
            .sum();
        let over = reserved.saturating_sub(slot.capacity().cpu_milli.into());
        self.batch.max_overallocation_milli = self.batch.max_overallocation_milli.max(over);
    }

    /// Records the progress of all tasks on a worker and plans the ends of their runs again. Called
    /// when the set of tasks, a throttle or a fault has changed their speed.
    pub(super) fn replan_run_ends(&mut self, now: TimePoint, worker: usize) {
        let tasks: Vec<TaskId> = self
            .batch
            .running
            .get(&worker)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        let failing = self.world.workers[worker].fails;
        for task in tasks {
            self.record_progress(now, task);
            let record = &self.batch.tasks[&task];
            let kind = &self.world.kinds[record.kind];
            let reserved_share =
                f64::from(record.reserved.cpu_milli) / f64::from(kind.true_cpu_milli.max(1));
            let excess = self.excess_on_worker(worker, kind.key, Some(task));
            let speed = reserved_share.min(1.0) * record.throttle / (1.0 + excess);
            let record = self.batch.tasks.get_mut(&task).expect("the task is known");
            record.speed = speed;
            record.generation += 1;
            let remaining = record.work.saturating_sub(record.saved + record.unsaved);
            let begin = now.max(record.progress_at);
            let end = if failing {
                begin + FAILURE_DETECTION_DELAY
            } else {
                begin + remaining.div_f64(speed.max(1e-6))
            };
            let event = ReplayEvent::RunEnds(task, record.generation);
            self.world.queue.push(end, event);
        }
    }

    /// Records the work that a task has done since its progress was last recorded.
    pub(super) fn record_progress(&mut self, now: TimePoint, task: TaskId) {
        let record = self.batch.tasks.get_mut(&task).expect("the task is known");
        if now > record.progress_at {
            record.unsaved += now.since(record.progress_at).mul_f64(record.speed);
            record.progress_at = now;
        }
        if now >= record.next_checkpoint {
            record.saved += record.unsaved;
            record.unsaved = Duration::ZERO;
            record.next_checkpoint = now + CHECKPOINT_PERIOD;
        }
    }

    pub(crate) fn handle_run_end(&mut self, now: TimePoint, task: TaskId, generation: u64) {
        let record = &self.batch.tasks[&task];
        let TaskState::Running(worker) = record.state else {
            return;
        };
        if record.generation != generation || self.world.workers[worker].down {
            return;
        }
        self.record_progress(now, task);
        let failing = self.world.workers[worker].fails;
        let attempts = self.world.kinds[self.batch.tasks[&task].kind].attempts;
        let record = self.batch.tasks.get_mut(&task).expect("the task is known");
        if failing {
            record.failures += 1;
            record.failed_on.insert(worker);
            record.state = if record.failures >= attempts {
                TaskState::Failed
            } else {
                TaskState::Waiting
            };
            let waits = record.state == TaskState::Waiting;
            self.remove_run(now, task, worker);
            self.record_failure(now, worker);
            if waits {
                self.enqueue(now, task);
            }
        } else {
            record.state = TaskState::Done;
            self.batch.records[worker].failures = 0;
            self.remove_run(now, task, worker);
        }
        self.batch.rows += 2;
        self.batch.commits += 1;
    }

    pub(super) fn record_failure(&mut self, now: TimePoint, worker: usize) {
        let record = &mut self.batch.records[worker];
        record.failures += 1;
        if record.failures >= FAILURES_TO_QUARANTINE {
            record.quarantined_until = now + QUARANTINE_DURATION;
            record.failures = FAILURES_TO_QUARANTINE - 1;
        }
    }

    /// Releases the reservation of a run that has left its worker.
    pub(super) fn remove_run(&mut self, now: TimePoint, task: TaskId, worker: usize) {
        let key = self.batch.keys[worker];
        self.batch.table.release(key, task);
        if let Some(tasks) = self.batch.running.get_mut(&worker) {
            tasks.remove(&task);
        }
        self.replan_run_ends(now, worker);
    }

    /// Orders a run to write a checkpoint and stop.
    pub(super) fn begin_stop(&mut self, now: TimePoint, task: TaskId) {
        let Some(record) = self.batch.tasks.get_mut(&task) else {
            return;
        };
        if record.stopping || !matches!(record.state, TaskState::Running(_)) {
            return;
        }
        record.stopping = true;
        let event = ReplayEvent::StopDone(task, record.evictions.into());
        self.world.queue.push(now + STOP_DELAY, event);
    }

    pub(crate) fn finish_stop(&mut self, now: TimePoint, task: TaskId, evictions: u64) {
        let record = &self.batch.tasks[&task];
        let TaskState::Running(worker) = record.state else {
            return;
        };
        if u64::from(record.evictions) != evictions || !record.stopping {
            return;
        }
        self.record_progress(now, task);
        let record = self.batch.tasks.get_mut(&task).expect("the task is known");
        // Work done while the checkpoint was being written is lost and must be repeated.
        let repeated = STOP_DELAY.mul_f64(record.speed).min(record.unsaved);
        record.saved += record.unsaved.saturating_sub(repeated);
        record.unsaved = Duration::ZERO;
        record.state = TaskState::Waiting;
        record.evictions += 1;
        record.generation += 1;
        self.batch.evictions += 1;
        self.batch.lost_work += repeated;
        self.batch.rows += 2;
        self.batch.commits += 1;
        self.remove_run(now, task, worker);
        self.enqueue(now, task);
    }

    pub(crate) fn cancel_jobs(&mut self, now: TimePoint, cancel: usize) {
        let wave = self.world.cancels[cancel];
        let open: Vec<TaskId> = self
            .batch
            .tasks
            .iter()
            .filter(|(_, record)| record.kind == wave.kind)
            .filter(|(_, record)| {
                matches!(record.state, TaskState::Waiting | TaskState::Running(_))
            })
            .map(|(task, _)| *task)
            .collect();
        for task in open {
            if self.world.rng.u32(0..100) >= wave.percent {
                continue;
            }
            let record = self.batch.tasks.get_mut(&task).expect("the task is known");
            let state = record.state;
            record.state = TaskState::Cancelled;
            record.generation += 1;
            self.dequeue(task);
            if let TaskState::Running(worker) = state {
                self.remove_run(now, task, worker);
            }
        }
    }

    /// Puts the tasks of a lost worker back into the queue once its leases have expired.
    pub(crate) fn requeue_lost_tasks(&mut self, now: TimePoint, worker: usize) {
        let tasks = self.batch.running.remove(&worker).unwrap_or_default();
        for task in tasks {
            self.record_progress(now, task);
            let record = self.batch.tasks.get_mut(&task).expect("the task is known");
            self.batch.lost_work += record.unsaved;
            record.unsaved = Duration::ZERO;
            record.state = TaskState::Waiting;
            record.generation += 1;
            record.stopping = false;
            let key = self.batch.keys[worker];
            self.batch.table.release(key, task);
            self.enqueue(now, task);
        }
    }
}

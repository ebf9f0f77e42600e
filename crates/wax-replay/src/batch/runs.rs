//! The life of a run: start, speed, end, stop, loss.

use super::*;

impl ReplayRun {
    pub(super) fn start(
        &mut self,
        now: TimePoint,
        task: TaskId,
        worker: usize,
        demand: TaskDemand,
        left: Duration,
    ) {
        self.dequeue(task);
        let due_today = !self.world.options.day.is_around_the_clock()
            && self.world.options.day.ends_today(now, left)
            && !self.world.options.day.ends_today(now, left * 2);
        let record = self.batch.tasks.get_mut(&task).expect("the task is known");
        let started = now + START_DELAY;
        let safe = EVICTED_SPAN * record.evictions.min(10);
        let running = RunningTask {
            task,
            kind: demand.kind,
            size: demand.size,
            urgent: demand.urgent,
            evictable: !demand.urgent,
            saved_at: started,
            protected_until: started + safe,
            due_today,
        };
        record.stand = TaskStand::Running(worker);
        record.reserved = demand.size;
        record.since = started;
        record.fresh = Duration::ZERO;
        record.throttle = 1.0;
        record.stopping = false;
        record.next_checkpoint = started + CHECKPOINT_PERIOD;
        if demand.urgent {
            self.batch.urgent_start.add(started.since(record.submitted));
        }
        let key = self.batch.keys[worker];
        self.batch.table.reserve(key, running);
        self.batch.running.entry(worker).or_default().insert(task);
        self.note_over(worker);
        self.respeed(now, worker);
    }

    pub(super) fn note_over(&mut self, worker: usize) {
        let Some(slot) = self.batch.table.get(self.batch.keys[worker]) else {
            return;
        };
        let reserved: u64 = slot
            .tasks()
            .iter()
            .map(|task| u64::from(task.size.cpu_milli))
            .sum();
        let over = reserved.saturating_sub(slot.capacity().cpu_milli.into());
        self.batch.worst_over = self.batch.worst_over.max(over);
    }

    /// Counts the work done so far and plans the ends anew: the set of tasks has changed.
    pub(super) fn respeed(&mut self, now: TimePoint, worker: usize) {
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
            self.settle(now, task);
            let record = &self.batch.tasks[&task];
            let kind = &self.world.kinds[record.kind];
            let enough =
                f64::from(record.reserved.cpu_milli) / f64::from(kind.true_cpu_milli.max(1));
            let excess = self.excess_of(worker, kind.key, Some(task));
            let speed = enough.min(1.0) * record.throttle / (1.0 + excess);
            let record = self.batch.tasks.get_mut(&task).expect("the task is known");
            record.speed = speed;
            record.generation += 1;
            let left = record.work.saturating_sub(record.saved + record.fresh);
            let begin = now.max(record.since);
            let end = if failing {
                begin + FAIL_DELAY
            } else {
                begin + left.div_f64(speed.max(1e-6))
            };
            let event = ReplayEvent::RunEnds(task, record.generation);
            self.world.queue.push(end, event);
        }
    }

    /// Counts the work that a task did since it was last counted.
    pub(super) fn settle(&mut self, now: TimePoint, task: TaskId) {
        let record = self.batch.tasks.get_mut(&task).expect("the task is known");
        if now > record.since {
            record.fresh += now.since(record.since).mul_f64(record.speed);
            record.since = now;
        }
        if now >= record.next_checkpoint {
            record.saved += record.fresh;
            record.fresh = Duration::ZERO;
            record.next_checkpoint = now + CHECKPOINT_PERIOD;
        }
    }

    pub(crate) fn run_ends(&mut self, now: TimePoint, task: TaskId, generation: u64) {
        let record = &self.batch.tasks[&task];
        let TaskStand::Running(worker) = record.stand else {
            return;
        };
        if record.generation != generation || self.world.workers[worker].down {
            return;
        }
        self.settle(now, task);
        let failing = self.world.workers[worker].fails;
        let attempts = self.world.kinds[self.batch.tasks[&task].kind].attempts;
        let record = self.batch.tasks.get_mut(&task).expect("the task is known");
        if failing {
            record.failures += 1;
            record.failed_on.insert(worker);
            record.stand = if record.failures >= attempts {
                TaskStand::Failed
            } else {
                TaskStand::Waiting
            };
            let waits = record.stand == TaskStand::Waiting;
            self.leave(now, task, worker);
            self.note_failure(now, worker);
            if waits {
                self.enqueue(now, task);
            }
        } else {
            record.stand = TaskStand::Done;
            self.batch.records[worker].failures = 0;
            self.leave(now, task, worker);
        }
        self.batch.rows += 2;
        self.batch.commits += 1;
    }

    pub(super) fn note_failure(&mut self, now: TimePoint, worker: usize) {
        let record = &mut self.batch.records[worker];
        record.failures += 1;
        if record.failures >= FAILURES_TO_QUARANTINE {
            record.quarantined_until = now + QUARANTINE_SPAN;
            record.failures = FAILURES_TO_QUARANTINE - 1;
        }
    }

    /// A run has left its worker.
    pub(super) fn leave(&mut self, now: TimePoint, task: TaskId, worker: usize) {
        let key = self.batch.keys[worker];
        self.batch.table.release(key, task);
        if let Some(tasks) = self.batch.running.get_mut(&worker) {
            tasks.remove(&task);
        }
        self.respeed(now, worker);
    }

    /// Begins to stop a run, with a checkpoint.
    pub(super) fn stop(&mut self, now: TimePoint, task: TaskId) {
        let Some(record) = self.batch.tasks.get_mut(&task) else {
            return;
        };
        if record.stopping || !matches!(record.stand, TaskStand::Running(_)) {
            return;
        }
        record.stopping = true;
        let event = ReplayEvent::StopDone(task, record.evictions.into());
        self.world.queue.push(now + STOP_DELAY, event);
    }

    pub(crate) fn stop_done(&mut self, now: TimePoint, task: TaskId, evictions: u64) {
        let record = &self.batch.tasks[&task];
        let TaskStand::Running(worker) = record.stand else {
            return;
        };
        if u64::from(record.evictions) != evictions || !record.stopping {
            return;
        }
        self.settle(now, task);
        let record = self.batch.tasks.get_mut(&task).expect("the task is known");
        // What the run did while its checkpoint was written is done again.
        let repeated = STOP_DELAY.mul_f64(record.speed).min(record.fresh);
        record.saved += record.fresh.saturating_sub(repeated);
        record.fresh = Duration::ZERO;
        record.stand = TaskStand::Waiting;
        record.evictions += 1;
        record.generation += 1;
        self.batch.evictions += 1;
        self.batch.lost += repeated;
        self.batch.rows += 2;
        self.batch.commits += 1;
        self.leave(now, task, worker);
        self.enqueue(now, task);
    }

    pub(crate) fn cancel_wave(&mut self, now: TimePoint, cancel: usize) {
        let truth = self.world.cancels[cancel];
        let open: Vec<TaskId> = self
            .batch
            .tasks
            .iter()
            .filter(|(_, record)| record.kind == truth.kind)
            .filter(|(_, record)| {
                matches!(record.stand, TaskStand::Waiting | TaskStand::Running(_))
            })
            .map(|(task, _)| *task)
            .collect();
        for task in open {
            if self.world.rng.u32(0..100) >= truth.percent {
                continue;
            }
            let record = self.batch.tasks.get_mut(&task).expect("the task is known");
            let stand = record.stand;
            record.stand = TaskStand::Cancelled;
            record.generation += 1;
            self.dequeue(task);
            if let TaskStand::Running(worker) = stand {
                self.leave(now, task, worker);
            }
        }
    }

    /// A worker is gone: its tasks wait again once their leases have lapsed.
    pub(crate) fn lose_worker(&mut self, now: TimePoint, worker: usize) {
        let tasks = self.batch.running.remove(&worker).unwrap_or_default();
        for task in tasks {
            self.settle(now, task);
            let record = self.batch.tasks.get_mut(&task).expect("the task is known");
            self.batch.lost += record.fresh;
            record.fresh = Duration::ZERO;
            record.stand = TaskStand::Waiting;
            record.generation += 1;
            record.stopping = false;
            let key = self.batch.keys[worker];
            self.batch.table.release(key, task);
            self.enqueue(now, task);
        }
    }
}

//! Delayed usage samples: learning of task sizes and interference, and mitigation of interference.

use super::*;

impl ReplayRun {
    pub(crate) fn measure_usage(&mut self, now: TimePoint) {
        let mut samples = Vec::new();
        for worker in 0..self.world.workers.len() {
            if self.world.workers[worker].down {
                continue;
            }
            let Some(slot) = self.batch.table.get(self.batch.keys[worker]) else {
                continue;
            };
            let band = slot.load_band();
            for running in slot.tasks() {
                let record = self.batch.tasks.get(&running.task);
                let own = record.map(|_| running.task);
                let excess = self.excess_on_worker(worker, running.kind, own);
                let kind = record.map(|record| &self.world.kinds[record.kind]);
                let others = slot.tasks().iter().filter(|task| task.task != running.task);
                samples.push(UsageSample {
                    worker,
                    task: own,
                    kind: running.kind,
                    declared: kind.map_or(running.size, |kind| kind.declared),
                    used_cpu_milli: kind.map_or(running.size.cpu_milli, |kind| kind.true_cpu_milli),
                    excess,
                    neighbours: others.map(|task| task.kind).collect(),
                    band,
                });
            }
        }
        let index = self.batch.usage.len();
        self.batch.usage.push(Some(UsageBatch { samples }));
        let arrival = now + self.world.options.usage_lag;
        self.world
            .queue
            .push(arrival, ReplayEvent::UsageArrives(index));
    }

    pub(crate) fn apply_usage(&mut self, now: TimePoint, index: usize) {
        let Some(batch) = self.batch.usage[index].take() else {
            return;
        };
        if !self.world.policy.learns() {
            return;
        }
        for sample in &batch.samples {
            let batch = &mut self.batch;
            batch
                .pairs
                .learn(sample.kind, &sample.neighbours, sample.band, sample.excess);
            if sample.task.is_some() {
                let used =
                    ResourceVector::new(sample.used_cpu_milli, sample.declared.memory_mib, 0);
                batch.sizes.learn(sample.kind, sample.declared, used);
            }
        }
        for worker in 0..self.world.workers.len() {
            self.mitigate(now, worker, &batch.samples);
        }
    }

    /// Throttles, restores or evicts one neighbour of the latency-critical task that is slowed down
    /// most on a worker.
    pub(super) fn mitigate(&mut self, now: TimePoint, worker: usize, samples: &[UsageSample]) {
        let Some(slot) = self.batch.table.get(self.batch.keys[worker]) else {
            return;
        };
        let worst = slot
            .tasks()
            .iter()
            .filter(|task| task.urgent)
            .filter_map(|task| {
                let sample = samples
                    .iter()
                    .filter(|sample| sample.worker == worker && sample.kind == task.kind)
                    .max_by(|a, b| a.excess.total_cmp(&b.excess))?;
                Some((*task, sample.excess))
            })
            .max_by(|(_, a), (_, b)| a.total_cmp(b));
        let Some((victim, excess)) = worst else {
            return;
        };
        let weights = self.world.options.weights;
        let mitigation = &mut self.batch.records[worker].mitigation;
        let view = MitigationView {
            worker: slot,
            affected: &victim,
            excess,
            pairs: &self.batch.pairs,
            weights,
        };
        let choice = mitigation.decide(now, view);
        match choice {
            MitigationChoice::Keep => {}
            MitigationChoice::Throttle(task) => {
                self.set_throttle(now, worker, task, f64::from(THROTTLED_PERCENT) / 100.0);
            }
            MitigationChoice::Restore(task) => self.set_throttle(now, worker, task, 1.0),
            MitigationChoice::Evict(task) => self.begin_stop(now, task),
        }
    }

    pub(super) fn set_throttle(&mut self, now: TimePoint, worker: usize, task: TaskId, share: f64) {
        if !self.batch.tasks.contains_key(&task) {
            return;
        }
        self.record_progress(now, task);
        if let Some(record) = self.batch.tasks.get_mut(&task) {
            record.throttle = share;
        }
        self.replan_run_ends(now, worker);
    }

    pub(crate) fn replan_worker(&mut self, now: TimePoint, worker: usize) {
        self.replan_run_ends(now, worker);
    }
}

//! Late usage: what is learned from it, and relief of noisy neighbours.

use super::*;

impl ReplayRun {
    pub(crate) fn measure_usage(&mut self, now: TimePoint) {
        let mut reports = Vec::new();
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
                let excess = self.excess_of(worker, running.kind, own);
                let kind = record.map(|record| &self.world.kinds[record.kind]);
                let others = slot.tasks().iter().filter(|task| task.task != running.task);
                reports.push(UsageNote {
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
        self.batch.usage.push(Some(UsageBatch { reports }));
        let arrival = now + self.world.options.usage_lag;
        self.world
            .queue
            .push(arrival, ReplayEvent::UsageArrives(index));
    }

    pub(crate) fn usage_arrives(&mut self, now: TimePoint, index: usize) {
        let Some(batch) = self.batch.usage[index].take() else {
            return;
        };
        if !self.world.policy.learns() {
            return;
        }
        for note in &batch.reports {
            let batch = &mut self.batch;
            batch
                .pairs
                .learn(note.kind, &note.neighbours, note.band, note.excess);
            if note.task.is_some() {
                let used = ResourceVector::new(note.used_cpu_milli, note.declared.memory_mib, 0);
                batch.sizes.learn(note.kind, note.declared, used);
            }
        }
        for worker in 0..self.world.workers.len() {
            self.relieve(now, worker, &batch.reports);
        }
    }

    /// Throttles, restores or evicts one neighbour of a slowed latency-critical task.
    pub(super) fn relieve(&mut self, now: TimePoint, worker: usize, reports: &[UsageNote]) {
        let Some(slot) = self.batch.table.get(self.batch.keys[worker]) else {
            return;
        };
        let worst = slot
            .tasks()
            .iter()
            .filter(|task| task.urgent)
            .filter_map(|task| {
                let note = reports
                    .iter()
                    .filter(|note| note.worker == worker && note.kind == task.kind)
                    .max_by(|a, b| a.excess.total_cmp(&b.excess))?;
                Some((*task, note.excess))
            })
            .max_by(|(_, a), (_, b)| a.total_cmp(b));
        let Some((victim, excess)) = worst else {
            return;
        };
        let weights = self.world.options.weights;
        let relief = &mut self.batch.records[worker].relief;
        let view = MitigationView {
            worker: slot,
            affected: &victim,
            excess,
            pairs: &self.batch.pairs,
            weights,
        };
        let choice = relief.decide(now, view);
        match choice {
            MitigationChoice::Keep => {}
            MitigationChoice::Throttle(task) => {
                self.set_throttle(now, worker, task, f64::from(THROTTLED_PERCENT) / 100.0);
            }
            MitigationChoice::Restore(task) => self.set_throttle(now, worker, task, 1.0),
            MitigationChoice::Evict(task) => self.stop(now, task),
        }
    }

    pub(super) fn set_throttle(&mut self, now: TimePoint, worker: usize, task: TaskId, share: f64) {
        if !self.batch.tasks.contains_key(&task) {
            return;
        }
        self.settle(now, task);
        if let Some(record) = self.batch.tasks.get_mut(&task) {
            record.throttle = share;
        }
        self.respeed(now, worker);
    }

    pub(crate) fn respeed_worker(&mut self, now: TimePoint, worker: usize) {
        self.respeed(now, worker);
    }
}

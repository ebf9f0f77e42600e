//! Reports of the batch tasks and the urgent tasks of a replay.

use super::*;

impl ReplayRun {
    pub(crate) fn batch_report(&mut self, now: TimePoint) -> BatchReport {
        let running: Vec<TaskId> = self.batch.running.values().flatten().copied().collect();
        for task in running {
            self.record_progress(now, task);
        }
        let records = self.batch.tasks.values();
        let batch: Vec<&TaskRecord> = records
            .filter(|record| !self.world.kinds[record.kind].urgent)
            .collect();
        let count = |state: TaskState| {
            let matching = batch.iter().filter(|record| record.state == state);
            matching.count() as u64
        };
        let millis = |span: Duration| span.as_millis() as u64;
        BatchReport {
            tasks: batch.len() as u64,
            done: count(TaskState::Done),
            failed: count(TaskState::Failed),
            cancelled: count(TaskState::Cancelled),
            work_done_ms: batch
                .iter()
                .filter(|record| record.state == TaskState::Done)
                .map(|record| millis(record.work))
                .sum(),
            work_open_ms: batch
                .iter()
                .filter(|record| record.state != TaskState::Done)
                .map(|record| millis(record.saved + record.unsaved))
                .sum(),
            evictions: self.batch.evictions,
            lost_work_ms: millis(self.batch.lost_work),
        }
    }

    pub(crate) fn urgent_report(&self) -> UrgentReport {
        UrgentReport {
            tasks: self.batch.urgent_tasks,
            started: self.batch.urgent_start.len(),
            p50_ms: self.batch.urgent_start.quantile(0.5) / 1_000,
            max_ms: self.batch.urgent_start.max() / 1_000,
        }
    }
}

//! Changes of jobs that must be written to the store.

use crate::progress::JobOutcome;
use crate::records::JobRecord;
use crate::scheduler::{JobKey, JobScheduler, ProgressUpdate};
use wax_types::TimePoint;

impl JobScheduler {
    /// Returns the pending changes of at most `max_jobs` jobs.
    pub fn take_updates(&mut self, max_jobs: usize) -> Vec<ProgressUpdate> {
        let keys: Vec<JobKey> = self.dirty.iter().take(max_jobs).copied().collect();
        let mut updates = Vec::with_capacity(keys.len());
        for key in keys {
            self.dirty.remove(&key);
            if let Some(job) = self.jobs.get(key) {
                updates.push(ProgressUpdate {
                    job: key,
                    name: job.name,
                    changes: job.changes,
                    progress: job.progress(),
                });
            }
        }
        updates
    }

    /// Returns whether any changes must be written to the store.
    pub fn has_updates(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Returns whether the end of a job is among the pending changes. Callers only see an end after
    /// it is stored.
    pub fn has_urgent_updates(&self) -> bool {
        let is_over = |key: &JobKey| self.jobs.get(*key).is_some_and(JobRecord::is_over);
        self.dirty.iter().any(is_over)
    }

    /// Records that the updates are stored in rows of this version.
    pub fn confirm_updates(&mut self, updates: &[ProgressUpdate], version: u64, now: TimePoint) {
        for update in updates {
            if let Some(job) = self.jobs.get_mut(update.job) {
                job.stored_changes = job.stored_changes.max(update.changes);
                job.stored_outcome = update.progress.outcome();
                if job.stored_outcome != JobOutcome::Open {
                    job.end_version.get_or_insert(version);
                    job.end_stored_at.get_or_insert(now);
                }
            }
        }
    }

    /// Marks the jobs of updates that failed to reach the store as changed again.
    pub fn requeue_updates(&mut self, updates: &[ProgressUpdate]) {
        self.dirty.extend(updates.iter().map(|update| update.job));
    }
}

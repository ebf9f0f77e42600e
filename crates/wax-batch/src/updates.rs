//! What the store must learn of the book, and what it has.

use crate::records::JobRecord;
use crate::scheduler::{JobKey, JobScheduler, ProgressUpdate};

impl JobScheduler {
    /// Changes for the store, `most` jobs at a time.
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

    /// Whether the store must learn anything.
    pub fn has_updates(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Whether a job waits to be shown as ended.
    pub fn has_urgent_updates(&self) -> bool {
        let is_over = |key: &JobKey| self.jobs.get(*key).is_some_and(JobRecord::is_over);
        self.dirty.iter().any(is_over)
    }

    /// The store has these notes.
    pub fn confirm_updates(&mut self, updates: &[ProgressUpdate]) {
        for update in updates {
            if let Some(job) = self.jobs.get_mut(update.job) {
                job.stored_changes = job.stored_changes.max(update.changes);
                job.stored_outcome = update.progress.outcome();
            }
        }
    }

    /// These notes did not reach the store; they are due again.
    pub fn requeue_updates(&mut self, updates: &[ProgressUpdate]) {
        self.dirty.extend(updates.iter().map(|update| update.job));
    }
}

//! Changes of jobs that must be written to the store.

use crate::progress::JobOutcome;
use crate::records::JobRecord;
use crate::scheduler::{JobKey, JobScheduler, ProgressUpdate};
use wax_types::TimePoint;

impl JobScheduler {
    /// Returns the pending changes of at most `max_jobs` jobs. The rest of an update that was written
    /// in part goes first, and its job has no other update until it is stored.
    pub fn take_updates(&mut self, max_jobs: usize) -> Vec<ProgressUpdate> {
        let begun = self.begun_updates.len().min(max_jobs);
        let mut updates: Vec<ProgressUpdate> = self.begun_updates.drain(..begun).collect();
        let left = max_jobs - begun;
        let is_begun = |key: &&JobKey| {
            let mut begun = updates.iter().chain(&self.begun_updates);
            begun.any(|update| update.job == **key)
        };
        let dirty = self.dirty.iter().filter(|key| !is_begun(key));
        let keys: Vec<JobKey> = dirty.take(left).copied().collect();
        for key in keys {
            self.dirty.remove(&key);
            if let Some(job) = self.jobs.get(key) {
                updates.push(update_of(key, job));
            }
        }
        updates
    }

    /// Returns whether any changes must be written to the store.
    pub fn has_updates(&self) -> bool {
        !self.dirty.is_empty() || !self.begun_updates.is_empty()
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
            self.confirm_rows(update, version, now);
            if let Some(job) = self.jobs.get_mut(update.job) {
                job.stored_changes = job.stored_changes.max(update.changes);
            }
        }
    }

    /// Records that the rows of `written` are stored in this version, and that `rest` of the same
    /// update is to be stored next.
    pub fn confirm_part(
        &mut self,
        written: &ProgressUpdate,
        rest: ProgressUpdate,
        version: u64,
        now: TimePoint,
    ) {
        self.confirm_rows(written, version, now);
        self.begun_updates.push_back(rest);
    }

    fn confirm_rows(&mut self, update: &ProgressUpdate, version: u64, now: TimePoint) {
        let Some(job) = self.jobs.get_mut(update.job) else {
            return;
        };
        for change in &update.rows {
            match &change.value {
                Some(value) => job.stored_rows.insert(change.row, value.clone()),
                None => job.stored_rows.remove(&change.row),
            };
        }
        if update.has_head() {
            job.stored_outcome = update.progress.outcome();
            if job.stored_outcome != JobOutcome::Open {
                job.end_version.get_or_insert(version);
                job.end_stored_at.get_or_insert(now);
            }
        }
    }

    /// Marks the jobs of updates that failed to reach the store as changed again.
    pub fn requeue_updates(&mut self, updates: &[ProgressUpdate]) {
        self.dirty.extend(updates.iter().map(|update| update.job));
    }

    /// Makes updates that had no room in a transaction pending again. A begun one stays as it is, so
    /// that its last rows are written however often the first ones change.
    pub fn postpone_updates(&mut self, updates: Vec<ProgressUpdate>) {
        for update in updates {
            if update.is_begun {
                self.begun_updates.push_back(update);
            } else {
                self.dirty.insert(update.job);
            }
        }
    }

    /// Ends a job of which the store takes no progress. Its end needs the head row only, which then
    /// has a few bytes. Returns whether the job was open.
    pub fn fail_unstorable(&mut self, key: JobKey, reason: &str, now_ms: u64) -> bool {
        let is_open = self.jobs.get(key).is_some_and(|job| !job.is_over());
        if is_open {
            self.end_job(key, JobOutcome::Failed, Some(reason.into()), now_ms);
        }
        is_open
    }
}

fn update_of(key: JobKey, job: &JobRecord) -> ProgressUpdate {
    let encoded = job.encode_progress();
    ProgressUpdate {
        job: key,
        name: job.name,
        changes: job.changes,
        rows: encoded.changes_from(&job.stored_rows),
        omitted_crashes: encoded.omitted_crashes,
        oversized: encoded.oversized,
        is_begun: false,
        progress: encoded.head,
    }
}

//! What the store must learn of the book, and what it has.

use crate::book::{BookNote, JobBook, JobKey};
use crate::life::JobLife;

impl JobBook {
    /// Changes for the store, `most` jobs at a time.
    pub fn take_notes(&mut self, most: usize) -> Vec<BookNote> {
        let keys: Vec<JobKey> = self.dirty.iter().take(most).copied().collect();
        let mut notes = Vec::with_capacity(keys.len());
        for key in keys {
            self.dirty.remove(&key);
            if let Some(job) = self.jobs.get(key) {
                notes.push(BookNote {
                    job: key,
                    name: job.name,
                    changes: job.changes,
                    progress: job.progress(),
                });
            }
        }
        notes
    }

    /// Whether the store must learn anything.
    pub fn has_notes(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Whether a job waits to be shown as ended.
    pub fn has_urgent_notes(&self) -> bool {
        let over = |key: &JobKey| self.jobs.get(*key).is_some_and(JobLife::is_over);
        self.dirty.iter().any(over)
    }

    /// The store has these notes.
    pub fn notes_stored(&mut self, notes: &[BookNote]) {
        for note in notes {
            if let Some(job) = self.jobs.get_mut(note.job) {
                job.stored_changes = job.stored_changes.max(note.changes);
                job.stored_outcome = note.progress.outcome();
            }
        }
    }

    /// These notes did not reach the store; they are due again.
    pub fn notes_failed(&mut self, notes: &[BookNote]) {
        self.dirty.extend(notes.iter().map(|note| note.job));
    }
}

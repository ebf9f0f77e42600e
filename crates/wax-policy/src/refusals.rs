//! Remembers which jobs were refused, so that their callers are served first.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use wax_types::TimePoint;

/// Maximum number of jobs that are remembered: 20 submissions per second for 200 s.
const MAX_JOBS: usize = 4_096;
/// Age after which a refusal is forgotten; callers have given up by then.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Time for which a transaction without an answer may still take effect.
const MAX_EFFECT_DELAY: Duration = Duration::from_secs(15);

/// Refusals of one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobRefusals {
    /// When the job was first refused.
    pub first_at: TimePoint,
    /// Number of refusals.
    pub count: u32,
}

/// Bounded table of refused jobs, in the order of their first refusals.
#[derive(Debug, Default)]
pub struct RefusalTable {
    jobs: HashMap<u64, JobRefusals>,
    order: VecDeque<(TimePoint, u64)>,
    /// Jobs whose last transaction may still take effect, in the order of recording.
    unresolved: VecDeque<(TimePoint, u64)>,
}

impl RefusalTable {
    /// Returns the refusals of a job; `None` if none is remembered.
    pub fn get(&self, job: u64) -> Option<JobRefusals> {
        self.jobs.get(&job).copied()
    }

    /// Records a refusal; returns how often the job was refused before.
    pub fn record(&mut self, job: u64, now: TimePoint) -> u32 {
        self.evict(now);
        let refusals = self.jobs.entry(job).or_insert(JobRefusals {
            first_at: now,
            count: 0,
        });
        if refusals.count == 0 {
            self.order.push_back((now, job));
        }
        refusals.count += 1;
        refusals.count - 1
    }

    /// Records that it is not known whether a job is stored.
    pub fn record_unresolved(&mut self, job: u64, now: TimePoint) {
        while let Some((at, _)) = self.unresolved.front()
            && (now.since(*at) >= MAX_EFFECT_DELAY || self.unresolved.len() >= MAX_JOBS)
        {
            self.unresolved.pop_front();
        }
        self.unresolved.push_back((now, job));
    }

    /// Returns whether an earlier transaction may still store the job, so that its caller must not
    /// be told that it is not accepted.
    pub fn is_unresolved(&self, job: u64, now: TimePoint) -> bool {
        let mut unresolved = self.unresolved.iter();
        unresolved.any(|(at, other)| *other == job && now.since(*at) < MAX_EFFECT_DELAY)
    }

    /// Removes a job that was accepted.
    pub fn remove(&mut self, job: u64) {
        self.jobs.remove(&job);
        self.unresolved.retain(|(_, other)| *other != job);
    }

    /// Returns the number of remembered jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether no job is remembered.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    fn evict(&mut self, now: TimePoint) {
        while let Some(&(first_at, job)) = self.order.front() {
            let is_current = self
                .jobs
                .get(&job)
                .is_some_and(|refusals| refusals.first_at == first_at);
            let is_old = now.since(first_at) >= MAX_AGE || self.order.len() >= MAX_JOBS;
            if is_current && !is_old {
                return;
            }
            if is_current {
                self.jobs.remove(&job);
            }
            self.order.pop_front();
        }
    }
}

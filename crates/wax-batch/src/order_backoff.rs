//! Limits starts on workers that leave them unanswered: one unresolved start at a time, with
//! exponential back-off between these starts, until the worker answers one.

use crate::names::RunId;
use crate::scheduler::{JobScheduler, RunReservation};
use crate::worker::WorkerKey;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wax_policy::OrderRules;
use wax_types::TimePoint;

/// Limit of the starts on one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StartLimit {
    /// Number of consecutive starts without an answer; 0 if starts are not limited.
    pub unanswered: u32,
    /// Time until which the worker gets no start.
    pub until: TimePoint,
    /// Time from which the worker gets any number of starts again. Without it, a gang that needs
    /// several places on the worker could wait for ever.
    expires_at: TimePoint,
    /// Start that was ordered last under the limit.
    trial: Option<RunId>,
}

impl StartLimit {
    /// Returns whether the worker has left starts unanswered since its last answer to one.
    pub fn is_active(&self) -> bool {
        self.unanswered > 0
    }

    /// Returns whether starts are limited and the limit has not expired.
    pub(crate) fn is_in_force(&self, now: TimePoint) -> bool {
        self.is_active() && now < self.expires_at
    }

    /// Returns whether the worker with these `runs` may get a start now. The last start under the
    /// limit is unresolved while the worker has its run: an answer ends the limit.
    pub(crate) fn allows_start(
        &self,
        runs: &HashMap<RunId, RunReservation>,
        now: TimePoint,
    ) -> bool {
        let is_resolved = self.trial.is_none_or(|run_id| !runs.contains_key(&run_id));
        !self.is_in_force(now) || (now >= self.until && is_resolved)
    }

    /// Records that the start of a run was not answered. Of several starts that were ordered before
    /// the limit, only the first counts: they were lost at the same time.
    fn note_unanswered(&mut self, run_id: RunId, now: TimePoint, rules: &OrderRules) {
        if self.is_active() && self.trial != Some(run_id) {
            return;
        }
        let doublings = self.unanswered.min(MAX_DOUBLINGS);
        let backoff = rules.first_backoff.saturating_mul(1 << doublings);
        self.unanswered = self.unanswered.saturating_add(1);
        self.until = now + backoff.min(rules.max_backoff);
        self.expires_at = self.until + rules.max_backoff;
    }
}

/// Bounds the exponent of the back-off, far above the one at which the maximum applies.
const MAX_DOUBLINGS: u32 = 16;

/// Rules of the limits, and the workers whose starts are limited.
#[derive(Debug, Clone, Default)]
pub(crate) struct StartLimits {
    rules: OrderRules,
    limited: BTreeSet<WorkerKey>,
}

impl JobScheduler {
    /// Replaces the rules for workers that leave starts unanswered.
    pub fn set_order_rules(&mut self, rules: OrderRules) {
        self.start_limits.rules = rules;
        if !rules.is_enabled() {
            for worker in std::mem::take(&mut self.start_limits.limited) {
                self.lift_start_limit(worker);
            }
        }
    }

    /// Returns the limit of the starts on a worker; `None` if they are not limited.
    pub fn start_limit(&self, worker: WorkerKey) -> Option<StartLimit> {
        let limit = self.workers.get(worker)?.start_limit;
        limit.is_active().then_some(limit)
    }

    /// Records that a start was not answered. Returns whether the starts on the worker are limited;
    /// they are not if the rules are off.
    pub(crate) fn note_start_unanswered(
        &mut self,
        worker: WorkerKey,
        run_id: RunId,
        now: TimePoint,
    ) -> bool {
        let rules = self.start_limits.rules;
        if !rules.is_enabled() {
            return false;
        }
        if let Some(record) = self.workers.get_mut(worker) {
            record.start_limit.note_unanswered(run_id, now, &rules);
            self.start_limits.limited.insert(worker);
        }
        true
    }

    /// Records that a start was ordered.
    pub(crate) fn note_start_ordered(&mut self, worker: WorkerKey, run_id: RunId) {
        if let Some(record) = self.workers.get_mut(worker)
            && record.start_limit.is_active()
        {
            record.start_limit.trial = Some(run_id);
        }
    }

    /// Records that the worker has answered a start.
    pub(crate) fn note_start_answered(&mut self, worker: WorkerKey) {
        self.start_limits.limited.remove(&worker);
        self.lift_start_limit(worker);
    }

    /// Records that a run is known to run: if it is the last start under a limit, the limit ends.
    pub(crate) fn note_run_listed(&mut self, worker: WorkerKey, run_id: RunId) {
        let limit = self.workers.get(worker).map(|record| record.start_limit);
        if limit.is_some_and(|limit| limit.trial == Some(run_id)) {
            self.note_start_answered(worker);
        }
    }

    fn lift_start_limit(&mut self, worker: WorkerKey) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.start_limit = StartLimit::default();
        }
    }

    /// Lifts limits where more than the permitted share of a service's ready workers is limited,
    /// first those of the workers with the fewest unanswered starts. If most workers leave starts
    /// unanswered, limits would only keep tasks from the workers that answer some of them.
    pub(crate) fn lift_excess_start_limits(&mut self) {
        let workers = &self.workers;
        self.start_limits
            .limited
            .retain(|worker| workers.contains_key(*worker));
        if self.start_limits.limited.is_empty() {
            return;
        }
        let mut ready: BTreeMap<&str, usize> = BTreeMap::new();
        for record in self.workers.values().filter(|record| record.is_ready()) {
            *ready.entry(&record.view.service).or_default() += 1;
        }
        let mut limited: BTreeMap<&str, Vec<(u32, WorkerKey)>> = BTreeMap::new();
        for key in &self.start_limits.limited {
            let record = &self.workers[*key];
            if record.is_ready() {
                let entry = (record.start_limit.unanswered, *key);
                limited.entry(&record.view.service).or_default().push(entry);
            }
        }
        let share = self.start_limits.rules.max_limited_share;
        let mut lifted = Vec::new();
        for (service, mut entries) in limited {
            let permitted = (ready[service] as f64 * share) as usize;
            entries.sort_unstable();
            let excess = entries.len().saturating_sub(permitted);
            lifted.extend(entries.iter().take(excess).map(|(_, key)| *key));
        }
        for worker in lifted {
            self.note_start_answered(worker);
        }
    }
}

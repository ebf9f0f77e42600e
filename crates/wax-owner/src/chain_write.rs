//! Builds one transaction of the write chain within the store's limits.

use crate::owner_term::OwnerTerm;
use crate::roster::AgentUpdate;
use crate::rows::{
    AgentRow, HeartbeatRow, OwnerRow, VersionAgesRow, agent_key, cancel_key, heartbeat_key,
    interference_key, job_key, owner_key, progress_key, progress_row_key, version_ages_key,
};
use crate::shared::PoolShared;
use platform::{MAX_TX_BYTES, MAX_TX_ENTRIES, RowWrite, TxRequest, base64_length};
use prost::Message;
use std::time::Duration;
use wax_batch::{JobName, JobScheduler, ProgressUpdate, RowChange as ProgressChange};
use wax_trace::{Counter, count};
use wax_types::wall_clock_ms;

/// Largest number of progress rows in one transaction.
const PROGRESS_ROWS_PER_TX: usize = 32;
/// Largest number of agents whose rows go into one transaction.
const AGENTS_PER_TX: usize = 32;
/// Largest number of jobs whose rows are removed in one transaction.
const REMOVED_JOBS_PER_TX: usize = 8;
/// Rows of one ended job: the job, its cancel request and the head of its progress.
const ROWS_PER_JOB: usize = 3;
/// Entries of a transaction besides progress, agents and removed jobs: two conditions, the
/// heartbeat row, the interference row, the row of version ages and the owner's row.
const OTHER_ENTRIES: usize = 6;
/// The store always refuses a transaction that exceeds its limit on entries.
const _: () = assert!(
    OTHER_ENTRIES + PROGRESS_ROWS_PER_TX + AGENTS_PER_TX + ROWS_PER_JOB * REMOVED_JOBS_PER_TX
        <= MAX_TX_ENTRIES
);
/// Encoded bytes of progress in one transaction; the other half is left for the other rows.
const PROGRESS_BYTES: usize = MAX_TX_BYTES / 2;
/// Shortest time between two writes of the interference row, which is added to a transaction that
/// is sent anyway.
const INTERFERENCE_WRITE_PERIOD: Duration = Duration::from_secs(3);

/// Limits on the items of one transaction; reduced after the store has refused one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ChainLimits {
    progress_rows: usize,
    agents: usize,
    /// Whether the transaction has a single item besides the heartbeat, so that a refusal shows
    /// which one the store does not take.
    is_single: bool,
}

impl Default for ChainLimits {
    fn default() -> Self {
        Self {
            progress_rows: PROGRESS_ROWS_PER_TX,
            agents: AGENTS_PER_TX,
            is_single: false,
        }
    }
}

impl ChainLimits {
    /// Returns the limits after a transaction that the store accepted.
    pub(crate) fn grow(self) -> Self {
        Self {
            progress_rows: (self.progress_rows * 2).clamp(1, PROGRESS_ROWS_PER_TX),
            agents: (self.agents * 2).clamp(1, AGENTS_PER_TX),
            is_single: false,
        }
    }

    /// Returns the limits after a transaction with this content that the store refused.
    fn shrink(progress_rows: usize, agents: usize) -> Self {
        Self {
            progress_rows: (progress_rows / 2).max(1),
            agents: (agents / 2).max(1),
            is_single: progress_rows <= 1 && agents <= 1,
        }
    }
}

/// One transaction of the write chain and the updates that it contains.
pub(crate) struct ChainWrite {
    pub(crate) tx: TxRequest,
    /// Progress that the transaction contains, and the rest of it that has no room.
    pub(crate) updates: Vec<(ProgressUpdate, Option<ProgressUpdate>)>,
    pub(crate) agents: Vec<(Box<str>, AgentUpdate)>,
    pub(crate) removed_jobs: Vec<JobName>,
    pub(crate) has_version_ages: bool,
    pub(crate) releases: bool,
}

impl ChainWrite {
    /// Builds transaction number `count` of the term from the pending updates.
    pub(crate) fn next(
        shared: &PoolShared,
        term: &OwnerTerm,
        heartbeat_version: u64,
        count: u64,
        limits: ChainLimits,
    ) -> Self {
        let epoch = term.epoch;
        let mut tx = TxRequest {
            expect: vec![
                (owner_key(), term.owner_version.get()),
                (heartbeat_key(), heartbeat_version),
            ],
            ..Default::default()
        };
        put(&mut tx, heartbeat_key(), &HeartbeatRow { epoch, count });
        let updates = put_progress(&mut tx, term, limits.progress_rows);
        let is_full = limits.is_single && !updates.is_empty();
        let agents = if is_full {
            Vec::new()
        } else {
            put_agents(&mut tx, term, limits.agents)
        };
        let mut has_version_ages = false;
        let mut removed_jobs = Vec::new();
        if !limits.is_single {
            put_interference(&mut tx, shared, term);
            has_version_ages = put_version_ages(&mut tx, term);
            removed_jobs = remove_ended_jobs(&mut tx, term);
        }
        let is_whole = updates.iter().all(|(_, rest)| rest.is_none());
        let releases =
            term.releasing.is_raised() && is_whole && !term.scheduler.borrow().has_updates();
        if releases {
            let row = OwnerRow {
                released: true,
                ..term.owner_row.clone()
            };
            put(&mut tx, owner_key(), &row);
        }
        debug_assert!(
            tx.is_within_limits(),
            "{} entries, {} bytes",
            tx.entry_count(),
            tx.max_body_bytes()
        );
        Self {
            tx,
            updates,
            agents,
            removed_jobs,
            has_version_ages,
            releases,
        }
    }

    /// Makes the updates of a refused transaction pending again, with smaller limits for the next
    /// one. If the store refuses a single row, its job fails, so that all others are still written
    /// and acknowledged.
    pub(crate) fn requeue(self, term: &OwnerTerm, limits: ChainLimits, now_ms: u64) -> ChainLimits {
        let mut scheduler = term.scheduler.borrow_mut();
        if !limits.is_single {
            let updates: Vec<ProgressUpdate> =
                self.updates.into_iter().map(|(update, _)| update).collect();
            let rows = updates.iter().map(|update| update.rows.len()).sum();
            scheduler.requeue_updates(&updates);
            let agents = self.agents.len();
            term.agents.borrow_mut().updates_failed(self.agents);
            return ChainLimits::shrink(rows, agents);
        }
        let refused = self.updates.iter().map(|(update, _)| update);
        for update in refused.filter(|update| !update.rows.is_empty()) {
            fail_unstorable(
                &mut scheduler,
                update,
                "the store refuses its progress",
                now_ms,
            );
        }
        for (node, _) in &self.agents {
            tracing::error!(agent = %node, "could not store the row of an agent");
        }
        ChainLimits::default()
    }
}

/// Fails a job whose progress cannot be stored. If it has ended already, nothing is left to do until
/// it changes.
fn fail_unstorable(
    scheduler: &mut JobScheduler,
    update: &ProgressUpdate,
    reason: &str,
    now_ms: u64,
) {
    let is_failed = scheduler.fail_unstorable(update.job, reason, now_ms);
    count(Counter::JobsUnstorable);
    tracing::error!(
        job = %update.name,
        is_failed,
        oversized = update.oversized,
        reason,
        "could not store the progress of a job"
    );
}

/// Adds as many rows as fit; the rest stays pending. Returns each update with its rest.
fn put_progress(
    tx: &mut TxRequest,
    term: &OwnerTerm,
    limit: usize,
) -> Vec<(ProgressUpdate, Option<ProgressUpdate>)> {
    let mut scheduler = term.scheduler.borrow_mut();
    let mut room = ProgressRoom {
        rows: limit,
        bytes: PROGRESS_BYTES,
    };
    let mut updates = Vec::new();
    let mut postponed = Vec::new();
    for mut update in scheduler.take_updates(limit) {
        log_omissions(&update);
        if update.oversized.is_some() {
            let reason = "its progress is too large for the store";
            fail_unstorable(&mut scheduler, &update, reason, wall_clock_ms());
            continue;
        }
        let fitting = room.take(&update.rows, updates.is_empty());
        if fitting == 0 && !update.rows.is_empty() {
            postponed.push(update);
            continue;
        }
        let rest = update.split_off(fitting);
        put_rows(tx, &update);
        updates.push((update, rest));
    }
    scheduler.postpone_updates(postponed);
    updates
}

/// Room that is left for progress in a transaction.
struct ProgressRoom {
    rows: usize,
    bytes: usize,
}

impl ProgressRoom {
    /// Takes room for the first rows; returns how many have room. At least one row of the first
    /// update has.
    fn take(&mut self, rows: &[ProgressChange], is_first: bool) -> usize {
        let mut taken = 0;
        for change in rows.iter().take(self.rows) {
            let length = change
                .value
                .as_ref()
                .map_or(0, |value| base64_length(value.len()));
            if length > self.bytes && !(is_first && taken == 0) {
                break;
            }
            self.bytes = self.bytes.saturating_sub(length);
            taken += 1;
        }
        self.rows -= taken;
        taken
    }
}

fn put_rows(tx: &mut TxRequest, update: &ProgressUpdate) {
    for change in &update.rows {
        let key = progress_row_key(update.name, change.row);
        match &change.value {
            Some(value) => tx.writes.push(RowWrite {
                key,
                value: value.to_vec(),
            }),
            None => tx.remove.push(key),
        }
    }
}

fn log_omissions(update: &ProgressUpdate) {
    if update.omitted_crashes > 0 {
        tracing::warn!(job = %update.name, omitted = update.omitted_crashes, "crashes under a job's tasks have no room in its progress");
    }
}

fn put_agents(tx: &mut TxRequest, term: &OwnerTerm, limit: usize) -> Vec<(Box<str>, AgentUpdate)> {
    let agents = term.agents.borrow_mut().take_updates(limit);
    for (node, update) in &agents {
        match agent_row(node, update) {
            Some(row) => put(tx, agent_key(node), &row),
            None => tx.remove.push(agent_key(node)),
        }
    }
    agents
}

/// Returns the content of an agent's row; `None` if the row is to be removed.
fn agent_row(node: &str, update: &AgentUpdate) -> Option<AgentRow> {
    match update {
        AgentUpdate::Linked { boot } => Some(AgentRow::linked(node, boot)),
        AgentUpdate::Unlinked { boot, jobs } => Some(AgentRow {
            unlinked: true,
            jobs: jobs.iter().map(|job| job.0).collect(),
            ..AgentRow::linked(node, boot)
        }),
        AgentUpdate::Removed => None,
    }
}

fn put_interference(tx: &mut TxRequest, shared: &PoolShared, term: &OwnerTerm) {
    let now = shared.now();
    if term.interference_unstored.get()
        && now.since(term.interference_stored_at.get()) >= INTERFERENCE_WRITE_PERIOD
    {
        term.interference_unstored.set(false);
        term.interference_stored_at.set(now);
        put(tx, interference_key(), &term.interference_snapshot());
    }
}

/// Adds the row of version ages if it has a new mark; returns whether it has.
fn put_version_ages(tx: &mut TxRequest, term: &OwnerTerm) -> bool {
    let ages = term.version_ages.borrow();
    let has_mark = ages.has_unstored_mark();
    if has_mark {
        let row = VersionAgesRow::from(ages.snapshot());
        put(tx, version_ages_key(), &row);
    }
    has_mark
}

fn remove_ended_jobs(tx: &mut TxRequest, term: &OwnerTerm) -> Vec<JobName> {
    let expired = term.version_ages.borrow().expired_version();
    let removed_jobs = term
        .scheduler
        .borrow()
        .removable_jobs(expired, REMOVED_JOBS_PER_TX);
    for job in &removed_jobs {
        tx.remove
            .extend([job_key(*job), cancel_key(*job), progress_key(*job)]);
    }
    removed_jobs
}

fn put(tx: &mut TxRequest, key: platform::RowKey, row: &impl Message) {
    let value = row.encode_to_vec();
    tx.writes.push(RowWrite { key, value });
}

//! Builds one transaction of the write chain within the store's limits.

use crate::owner_term::OwnerTerm;
use crate::roster::AgentUpdate;
use crate::rows::{
    AgentRow, HeartbeatRow, OwnerRow, VersionAgesRow, agent_key, cancel_key, heartbeat_key,
    interference_key, job_key, owner_key, progress_key, version_ages_key,
};
use crate::shared::PoolShared;
use platform::{MAX_TX_BYTES, MAX_TX_ENTRIES, RowWrite, TxRequest, base64_length};
use prost::Message;
use std::time::Duration;
use wax_batch::{JobName, ProgressUpdate};

/// Largest number of jobs whose progress goes into one transaction.
const JOBS_PER_TX: usize = 32;
/// Largest number of agents whose rows go into one transaction.
const AGENTS_PER_TX: usize = 32;
/// Largest number of jobs whose rows are removed in one transaction.
const REMOVED_JOBS_PER_TX: usize = 8;
/// Rows of one job: the job, its cancel request and its progress.
const ROWS_PER_JOB: usize = 3;
/// Entries of a transaction besides progress, agents and removed jobs: two conditions, the
/// heartbeat row, the interference row, the row of version ages and the owner's row.
const OTHER_ENTRIES: usize = 6;
/// The store always refuses a transaction that exceeds its limit on entries.
const _: () = assert!(
    OTHER_ENTRIES + JOBS_PER_TX + AGENTS_PER_TX + ROWS_PER_JOB * REMOVED_JOBS_PER_TX
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
    updates: usize,
    agents: usize,
}

impl Default for ChainLimits {
    fn default() -> Self {
        Self {
            updates: JOBS_PER_TX,
            agents: AGENTS_PER_TX,
        }
    }
}

impl ChainLimits {
    /// Returns the limits after a transaction that the store accepted.
    pub(crate) fn grow(self) -> Self {
        Self {
            updates: (self.updates * 2).clamp(1, JOBS_PER_TX),
            agents: (self.agents * 2).clamp(1, AGENTS_PER_TX),
        }
    }

    fn shrink(self) -> Self {
        Self {
            updates: self.updates / 2,
            agents: self.agents / 2,
        }
    }
}

/// One transaction of the write chain and the updates that it contains.
pub(crate) struct ChainWrite {
    pub(crate) tx: TxRequest,
    pub(crate) updates: Vec<ProgressUpdate>,
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
        let updates = put_progress(&mut tx, term, limits.updates);
        let agents = put_agents(&mut tx, term, limits.agents);
        put_interference(&mut tx, shared, term);
        let has_version_ages = put_version_ages(&mut tx, term);
        let removed_jobs = remove_ended_jobs(&mut tx, term);
        let releases = term.releasing.is_raised() && !term.scheduler.borrow().has_updates();
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
    /// one. An update that was refused alone is dropped, so that others are still written; it
    /// becomes pending again when it changes.
    pub(crate) fn requeue(self, term: &OwnerTerm, limits: ChainLimits) -> ChainLimits {
        if self.updates.len() > 1 || self.agents.len() > 1 {
            term.scheduler.borrow_mut().requeue_updates(&self.updates);
            term.agents.borrow_mut().updates_failed(self.agents);
            return limits.shrink();
        }
        for update in &self.updates {
            tracing::error!(job = %update.name, "could not store the progress of a job");
        }
        for (node, _) in &self.agents {
            tracing::error!(agent = %node, "could not store the row of an agent");
        }
        ChainLimits::default()
    }
}

/// Adds as much progress as fits; the rest stays pending.
fn put_progress(tx: &mut TxRequest, term: &OwnerTerm, limit: usize) -> Vec<ProgressUpdate> {
    let mut scheduler = term.scheduler.borrow_mut();
    let mut updates = scheduler.take_updates(limit);
    let mut bytes = 0;
    let fitting = updates.iter().take_while(|update| {
        let is_first = bytes == 0;
        bytes += base64_length(update.progress.encoded_len());
        is_first || bytes <= PROGRESS_BYTES
    });
    let fitting = fitting.count();
    let rest = updates.split_off(fitting);
    scheduler.requeue_updates(&rest);
    for update in &updates {
        put(tx, progress_key(update.name), &update.progress);
    }
    updates
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

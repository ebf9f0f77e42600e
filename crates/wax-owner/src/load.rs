//! Loads the shard's jobs and agents from the store at a takeover.

use crate::owner_term::OwnerTerm;
use crate::rows::{
    AGENT_TABLE, AgentRow, CANCEL_SUFFIX, JOB_TABLE, OwnerRow, PART, PROGRESS_TABLE,
    VersionAgesRow, interference_key, owner_key, parse_progress_key, version_ages_key,
};
use crate::shared::PoolShared;
use compio::time::sleep;
use platform::StoredRow;
use prost::Message;
use std::collections::HashMap;
use std::time::Duration;
use wax_batch::{
    JobName, JobProgress, JobRow, OwnerClocks, PartProgress, ProgressRow, StoredProgress,
};
use wax_trace::{Latency, record_latency};
use wax_types::{TimePoint, WaxError, wall_clock_ms};
use wax_wire::InterferenceUpdate;

/// Timeout for one page of a read.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Reads all rows of the shard; returns the store version after which to follow the jobs.
pub(crate) async fn load_shard(shared: &PoolShared, term: &OwnerTerm) -> Result<u64, WaxError> {
    let (agents, _) = shared
        .store
        .read_all(AGENT_TABLE, PART, PAGE_TIMEOUT)
        .await?;
    let (progress, _) = shared
        .store
        .read_all(PROGRESS_TABLE, PART, PAGE_TIMEOUT)
        .await?;
    let (jobs, version) = shared.store.read_all(JOB_TABLE, PART, PAGE_TIMEOUT).await?;
    shared.store_answered_at.set(shared.now());
    load_interference(shared, term).await;
    load_version_ages(shared, term).await?;
    let expiry = shared
        .timeouts
        .expiry_of_unreported(term.former_owner_ended);
    let expires_at = term.began_at + expiry;
    for row in &agents {
        add_agent(shared, term, row, expires_at);
    }
    let progress = decode_progress(&progress);
    let later_term = add_jobs(shared, term, &jobs, &progress);
    end_if_begun(shared, term, later_term).await;
    record_latency(Latency::Load, shared.now().since(term.began_at));
    tracing::info!(
        epoch = term.epoch,
        jobs = jobs.len(),
        agents = agents.len(),
        without_rules = term.scheduler.borrow().jobs_without_rules(),
        "shard loaded"
    );
    Ok(version)
}

/// Loads the interference estimates of the former owner; without them, all are learned again.
async fn load_interference(shared: &PoolShared, term: &OwnerTerm) {
    let row = match shared
        .store
        .read_row(&interference_key(), PAGE_TIMEOUT)
        .await
    {
        Ok(Some(row)) => row,
        Ok(None) => return,
        Err(error) => {
            tracing::warn!(%error, "could not read the interference estimates");
            return;
        }
    };
    match InterferenceUpdate::decode(&*row.value) {
        Ok(update) => {
            let mut scheduler = term.scheduler.borrow_mut();
            for pair in &update.pairs {
                let (serving, best_effort) = (&pair.serving, &pair.best_effort);
                if !scheduler.restore_interference(serving, best_effort, pair.interference()) {
                    tracing::error!(%serving, %best_effort, "skipped an interference estimate that is out of range");
                }
            }
        }
        Err(error) => tracing::error!(%error, "could not decode the interference row"),
    }
}

/// Loads the ages of the store's versions as the former owner knew them.
async fn load_version_ages(shared: &PoolShared, term: &OwnerTerm) -> Result<(), WaxError> {
    let row = shared
        .store
        .read_row(&version_ages_key(), PAGE_TIMEOUT)
        .await?;
    let Some(row) = row else {
        return Ok(());
    };
    let is_restored = match VersionAgesRow::decode(&*row.value) {
        Ok(row) => term.version_ages.borrow_mut().restore(row.into()),
        Err(error) => {
            tracing::error!(%error, "could not decode the ages of the store's versions");
            false
        }
    };
    if !is_restored {
        // Ended jobs are then kept for longer, never for a shorter time.
        tracing::warn!(
            epoch = term.epoch,
            "the ages of all ended jobs are counted from now on"
        );
    }
    Ok(())
}

/// Adds an agent from its row. If the row cannot be decoded, any run may be on the agent's worker.
fn add_agent(shared: &PoolShared, term: &OwnerTerm, row: &StoredRow, expires_at: TimePoint) {
    let agent = AgentRow::decode(&*row.value).unwrap_or_else(|error| {
        tracing::error!(%error, key = %row.key.key, "could not decode the row of an agent");
        AgentRow::default()
    });
    let ended_boots = shared.ended_boots.borrow();
    term.agents
        .borrow_mut()
        .load(&row.key.key, &agent, expires_at, &ended_boots);
}

fn decode_progress(rows: &[StoredRow]) -> HashMap<JobName, StoredProgress> {
    let mut progress: HashMap<JobName, StoredProgress> = HashMap::with_capacity(rows.len());
    for row in rows {
        if add_progress_row(&mut progress, row).is_none() {
            tracing::error!(key = %row.key.key, "could not decode a progress row");
        }
    }
    progress
}

/// Adds one row; returns `None` if it is malformed.
fn add_progress_row(
    progress: &mut HashMap<JobName, StoredProgress>,
    row: &StoredRow,
) -> Option<()> {
    let (name, progress_row) = parse_progress_key(&row.key.key)?;
    match progress_row {
        ProgressRow::Head => {
            let head = JobProgress::decode(&*row.value).ok()?;
            let stored = progress.entry(name).or_default();
            (stored.progress, stored.version) = (head, row.version);
        }
        ProgressRow::Part(number) => {
            let part = PartProgress::decode(&*row.value).ok()?;
            progress.entry(name).or_default().parts.insert(number, part);
        }
    }
    Some(())
}

/// Adds rows of the job table, including cancel requests, to the scheduler. Jobs of later terms are
/// left out; returns the latest of these terms, for [`end_if_begun`].
pub(crate) fn add_jobs(
    shared: &PoolShared,
    term: &OwnerTerm,
    rows: &[StoredRow],
    progress: &HashMap<JobName, StoredProgress>,
) -> Option<u64> {
    let clocks = OwnerClocks {
        now: shared.now(),
        wall_ms: wall_clock_ms(),
        store_time: shared.store.now(),
    };
    let mut scheduler = term.scheduler.borrow_mut();
    let mut cancels = Vec::new();
    let mut later_term = None;
    for row in rows {
        if let Some(name) = row.key.key.strip_suffix(CANCEL_SUFFIX) {
            cancels.extend(name.parse::<JobName>().ok());
            continue;
        }
        let key = &row.key.key;
        match (key.parse::<JobName>(), JobRow::decode(&*row.value)) {
            (Ok(_), Ok(value)) if value.epoch > term.epoch => {
                tracing::error!(%key, epoch = value.epoch, "left out a job of a later term");
                later_term = later_term.max(Some(value.epoch));
            }
            (Ok(name), Ok(value)) => match value.validate() {
                Ok(()) => scheduler.add_job(name, value, progress.get(&name), &clocks),
                Err(error) => tracing::error!(%key, %error, "skipped a job row"),
            },
            _ => tracing::error!(%key, "could not decode a job row"),
        }
    }
    for name in cancels {
        scheduler.cancel(name, clocks.wall_ms);
    }
    later_term
}

/// Ends the term if a later one has begun. Fronts store a job with the number of the term in the
/// owner's row, so that a job of a term that this row does not know comes from another writer.
pub(crate) async fn end_if_begun(shared: &PoolShared, term: &OwnerTerm, later_term: Option<u64>) {
    let Some(epoch) = later_term else {
        return;
    };
    let owner = loop {
        match shared.store.read_row(&owner_key(), PAGE_TIMEOUT).await {
            Ok(row) => break row,
            Err(error) => {
                tracing::warn!(%error, "could not read the owner's row");
                sleep(RETRY_DELAY).await;
            }
        }
    };
    let owner = owner.and_then(|row| OwnerRow::decode(&*row.value).ok());
    match owner {
        Some(owner) if owner.epoch <= term.epoch => {
            tracing::error!(epoch, "no such term has begun; its jobs are skipped");
        }
        _ => term.end("a job was accepted in a later term"),
    }
}

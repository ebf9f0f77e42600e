//! Writes the owner's pending updates as a chain of conditional transactions. Each transaction
//! builds on the one before and renews the term.

use crate::chain_write::{ChainLimits, ChainWrite};
use crate::front_relay::transact_via_front;
use crate::owner_term::OwnerTerm;
use crate::rows::{HeartbeatRow, heartbeat_key};
use crate::shared::PoolShared;
use crate::tx_resolution::{TxResolution, transact};
use compio::time::{sleep, timeout};
use futures_util::future::{Either, select};
use platform::{StoredRow, TxCommit};
use prost::Message;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{JobOutcome, ProgressUpdate};
use wax_trace::{Counter, Latency, count, count_many, record_latency};
use wax_types::{TimePoint, wall_clock_ms};

/// Deadline of one transaction, after which it is sent again if the term has not ended.
const TX_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Delay after a refused transaction, before a smaller one is sent.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay that lets urgent updates share a transaction.
const URGENT_WRITE_DELAY: Duration = Duration::from_millis(8);

enum WriteResult {
    Stored(TxCommit),
    TermLost,
    /// The store refuses the transaction regardless of its conditions.
    Refused,
}

/// Writes until the term has ended.
pub(crate) async fn write_chain(
    shared: Rc<PoolShared>,
    term: Rc<OwnerTerm>,
    mut heartbeat_version: u64,
) {
    let mut number = 0_u64;
    let mut limits = ChainLimits::default();
    let mut is_refused = false;
    loop {
        // All ends wait until the row that the store refuses is found.
        if !std::mem::take(&mut is_refused) {
            wait_for_updates(&shared, &term).await;
        }
        if term.ended.is_raised() {
            return;
        }
        number += 1;
        let write = ChainWrite::next(&shared, &term, heartbeat_version, number, limits);
        let sent_at = shared.now();
        match send_write(&shared, &term, &write, number).await {
            WriteResult::TermLost => {
                term.end("another owner has written to the shard");
                return;
            }
            WriteResult::Refused => {
                limits = write.requeue(&term, limits, wall_clock_ms());
                is_refused = true;
                sleep(REFUSED_RETRY_DELAY).await;
            }
            WriteResult::Stored(commit) => {
                limits = limits.grow();
                if write.has_version_ages {
                    term.version_ages.borrow_mut().mark_stored();
                }
                record_version_age(&term, heartbeat_version, commit);
                heartbeat_version = commit.version;
                count_write(&write, shared.now().since(sent_at));
                term.confirmed_at.set(sent_at);
                shared.store_answered_at.set(shared.now());
                log_ended_jobs(&shared, &term, &write);
                log_removed_jobs(&shared, &term, &write);
                let releases = write.releases;
                mark_stored(&shared, &term, write, commit.version);
                if releases {
                    term.end("let go");
                    return;
                }
            }
        }
    }
}

/// Waits until there is something to write or the term must be renewed.
async fn wait_for_updates(shared: &PoolShared, term: &OwnerTerm) {
    let began_at = shared.now();
    loop {
        let listener = term.write.listen();
        if term.ended.is_raised() || term.releasing.is_raised() {
            return;
        }
        let waited = shared.now().since(began_at);
        let due = next_write_delay(shared, term);
        if waited >= due {
            return;
        }
        // Either a change or the timeout ends the wait; the loop checks again.
        let _ = timeout(due - waited, listener).await;
    }
}

fn next_write_delay(shared: &PoolShared, term: &OwnerTerm) -> Duration {
    let scheduler = term.scheduler.borrow();
    if scheduler.has_urgent_updates() || term.agents.borrow().has_updates() {
        URGENT_WRITE_DELAY
    } else if scheduler.has_updates() {
        shared.timeouts.flush_period
    } else {
        shared.timeouts.heartbeat_period
    }
}

/// Sends one transaction until the store has it, refuses it, or the term is lost.
async fn send_write(
    shared: &PoolShared,
    term: &OwnerTerm,
    write: &ChainWrite,
    number: u64,
) -> WriteResult {
    loop {
        let deadline = shared.now() + TX_TIMEOUT;
        let direct = pin!(transact(&shared.store, shared.clock, &write.tx, deadline));
        let via_front = pin!(transact_via_front(shared, term, &write.tx));
        let resolution = match select(direct, via_front).await {
            Either::Left((resolution, _)) => {
                term.write_relayed.set(false);
                resolution
            }
            Either::Right(((resolution, store_is_healthy), _)) => {
                count(Counter::ChainRelayed);
                term.write_relayed.set(true);
                if store_is_healthy && !term.releasing.is_raised() {
                    tracing::warn!(
                        epoch = term.epoch,
                        "releasing the shard because the store answers a front but not this owner"
                    );
                    term.release();
                }
                resolution
            }
        };
        match resolution {
            TxResolution::Committed(commit) => return WriteResult::Stored(commit),
            TxResolution::Conflict(rows) => return resolve_conflict(term, &rows, number),
            TxResolution::Refused(error) => {
                wax_trace::count(Counter::ChainRefused);
                tracing::error!(%error, entries = write.tx.entry_count(), bytes = write.tx.max_body_bytes(), "the store refused a transaction");
                return WriteResult::Refused;
            }
            TxResolution::NotSent(error) | TxResolution::Unknown(error) => {
                tracing::error!(%error, "the store has not answered before the deadline");
            }
        }
        if term.ended.is_raised() {
            return WriteResult::TermLost;
        }
    }
}

/// Decides whether a conflict was caused by this owner's own write, whose answer was lost, or by
/// another owner.
fn resolve_conflict(term: &OwnerTerm, rows: &[StoredRow], count: u64) -> WriteResult {
    let heartbeat = rows.iter().find(|row| row.key == heartbeat_key());
    let ours = heartbeat.and_then(|row| {
        let heartbeat = HeartbeatRow::decode(&*row.value).ok()?;
        let is_ours = heartbeat.epoch == term.epoch && heartbeat.count == count;
        is_ours.then_some(TxCommit {
            version: row.version,
            answered_at: None,
        })
    });
    ours.map_or(WriteResult::TermLost, WriteResult::Stored)
}

fn count_write(write: &ChainWrite, took: Duration) {
    count(Counter::ChainWrites);
    record_latency(Latency::ChainWrite, took);
    count_many(Counter::JobsEnded, ended_jobs(write).count() as u64);
    count_many(Counter::EndedJobsRemoved, write.removed_jobs.len() as u64);
}

/// Returns the updates by which callers see jobs as ended.
fn ended_jobs(write: &ChainWrite) -> impl Iterator<Item = &ProgressUpdate> {
    let updates = write.updates.iter().map(|(update, _)| update);
    updates.filter(|update| update.has_head() && update.progress.outcome() != JobOutcome::Open)
}

/// Logs one line for each job that callers see as ended from now on.
fn log_ended_jobs(shared: &PoolShared, term: &OwnerTerm, write: &ChainWrite) {
    let scheduler = term.scheduler.borrow();
    for update in ended_jobs(write) {
        let outcome = update.progress.outcome();
        let Some(job) = scheduler.job(update.name) else {
            continue;
        };
        tracing::info!(
            job = %update.name,
            queue = %job.rules.queue(),
            ?outcome,
            age_ms = shared.now().since(job.accepted).as_millis() as u64,
            reason = job.reason.as_deref(),
            "job ended"
        );
    }
}

/// Logs one line for each ended job whose state callers can no longer read.
fn log_removed_jobs(shared: &PoolShared, term: &OwnerTerm, write: &ChainWrite) {
    let scheduler = term.scheduler.borrow();
    for name in &write.removed_jobs {
        let Some(job) = scheduler.job(*name) else {
            continue;
        };
        let stored_for = job.end_stored_at.map(|at| shared.now().since(at));
        tracing::info!(
            job = %name,
            by_wall_clock_ms = wall_clock_ms().saturating_sub(job.ended_ms),
            in_term_ms = stored_for.map(|age| age.as_millis() as u64),
            "ended job removed"
        );
    }
}

/// Records the store's clock at the answer to a transaction. `known` is the version of the
/// transaction before it, which was written before this one was sent.
fn record_version_age(term: &OwnerTerm, known: u64, commit: TxCommit) {
    // Until all is loaded, the ages that the former owner has stored may be missing.
    if let Some(answered_at) = commit.answered_at.filter(|_| term.loaded.is_raised()) {
        term.version_ages.borrow_mut().record(known, answered_at);
    }
}

fn mark_stored(shared: &PoolShared, term: &OwnerTerm, write: ChainWrite, version: u64) {
    let mut scheduler = term.scheduler.borrow_mut();
    for (update, rest) in write.updates {
        match rest {
            Some(rest) => scheduler.confirm_part(&update, rest, version, shared.now()),
            None => scheduler.confirm_updates(&[update], version, shared.now()),
        }
    }
    for job in &write.removed_jobs {
        scheduler.remove_job(*job);
    }
    drop(scheduler);
    term.agents.borrow_mut().updates_stored(&write.agents);
    term.dispatch.notify(usize::MAX);
}

/// Returns how long ago the last confirmed transaction of the term was sent.
pub(crate) fn store_silence(term: &OwnerTerm, now: TimePoint) -> Duration {
    now.since(term.confirmed_at.get())
}

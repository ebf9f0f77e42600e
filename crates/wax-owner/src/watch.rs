//! Watches which front owns the shard, and takes over when there is no owner.

use crate::advice::query_advisor;
use crate::candidates::{CandidateRank, OwnerFitness};
use crate::dispatch::dispatch_orders;
use crate::job_feed::follow_jobs;
use crate::owner_term::OwnerTerm;
use crate::rows::{HeartbeatRow, OWNER_TABLE, OwnerRow, PART, heartbeat_key, owner_key};
use crate::shared::{KnownOwner, PoolShared};
use crate::takeover_delay::{best_known_fitness, wait_takeover_delay};
use crate::tx_resolution::{TxResolution, transact};
use crate::waves::report_waves;
use crate::writer::write_chain;
use compio::runtime::spawn;
use compio::time::{sleep, timeout};
use platform::{AdviceClient, FeedReply, RowChange, RowWrite, StoredRow, TxRequest};
use prost::Message;
use std::rc::Rc;
use std::time::Duration;
use wax_http::ShutdownSignal;
use wax_trace::{Counter, FailureStreak, count};
use wax_types::{TimePoint, WaxError};

/// Longest time for which the store holds a feed request without a change.
const FEED_WAIT: Duration = Duration::from_secs(10);
/// Timeout for one page of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay after a failure, plus up to as much again at random.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval between two checks of the owner.
const CHECK_PERIOD: Duration = Duration::from_millis(150);
/// The heartbeat row is not read if the last contact with an owner that reaches the store was
/// within this time.
const OWNER_MAX_SILENCE: Duration = Duration::from_millis(450);
/// Timeout for the transaction of a takeover.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Watches the owner and takes over when necessary until `shutdown`, then releases the term if this
/// process has one.
pub async fn run_ownership(shared: Rc<PoolShared>, shutdown: ShutdownSignal) {
    spawn(follow_owner(shared.clone())).detach();
    let mut watch = HeartbeatWatch::default();
    let streak = FailureStreak::new("heartbeat of the owner");
    while !shutdown.is_raised() {
        if let Some(term) = shared.current_term() {
            hold_term(&shared, &term, &shutdown).await;
            watch = HeartbeatWatch::default();
            continue;
        }
        match check_owner(&shared, &mut watch).await {
            Ok(OwnerCheck::TakeOver(heartbeat)) => {
                if wait_takeover_delay(&shared).await {
                    take_over(&shared, heartbeat).await;
                }
            }
            Ok(OwnerCheck::Wait) => {
                streak.record_success();
                wait_next_check(&shared).await;
            }
            Err(error) => {
                streak.record_failure(&error);
                sleep(RETRY_DELAY + RETRY_DELAY.mul_f64(fastrand::f64())).await;
            }
        }
    }
}

async fn wait_next_check(shared: &PoolShared) {
    let listener = shared.owner_changed.listen();
    // Either a change of the owner's row or the timeout ends the wait; the caller checks again.
    let _ = timeout(CHECK_PERIOD, listener).await;
}

async fn hold_term(shared: &PoolShared, term: &Rc<OwnerTerm>, shutdown: &ShutdownSignal) {
    {
        let ended = std::pin::pin!(term.ended.wait());
        let stop = std::pin::pin!(shutdown.wait());
        futures_util::future::select(ended, stop).await;
    }
    if !term.ended.is_raised() {
        term.release();
        term.ended.wait().await;
    }
    if term.releasing.is_raised() {
        // The term was released for another front to take over, so all others go first.
        let best_fitness = best_known_fitness(shared);
        shared.rank.set(Some(CandidateRank::last(best_fitness)));
    }
    shared.term.borrow_mut().take();
}

/// Follows the owner's row for the life of the process.
async fn follow_owner(shared: Rc<PoolShared>) {
    let streak = FailureStreak::new("feed of owners");
    loop {
        if let Err(error) = follow_owner_once(&shared, &streak).await {
            streak.record_failure(&error);
            sleep(RETRY_DELAY + RETRY_DELAY.mul_f64(fastrand::f64())).await;
        }
    }
}

/// Reads the owner's row; returns the store's version at that moment.
async fn read_owner(shared: &PoolShared) -> Result<u64, WaxError> {
    let (rows, version) = shared
        .store
        .read_all(OWNER_TABLE, PART, READ_TIMEOUT)
        .await?;
    for row in &rows {
        record_owner(shared, row);
    }
    Ok(version)
}

async fn follow_owner_once(shared: &PoolShared, streak: &FailureStreak) -> Result<(), WaxError> {
    let mut after = read_owner(shared).await?;
    streak.record_success();
    loop {
        match shared.store.follow(OWNER_TABLE, after, FEED_WAIT).await? {
            FeedReply::Forgotten => return Ok(()),
            FeedReply::Changes(changes, version) => {
                after = version;
                for change in changes {
                    if let RowChange::Written(row) = change {
                        record_owner(shared, &row);
                    }
                }
            }
        }
    }
}

/// Decodes the owner's row and records the owner. Other rows of its table are skipped.
pub(crate) fn record_owner(shared: &PoolShared, row: &StoredRow) {
    if row.key != owner_key() {
        tracing::error!(part = %row.key.part, key = %row.key.key, "skipped a row beside the owner's");
        return;
    }
    match OwnerRow::decode(&*row.value) {
        Ok(owner) => shared.offer_owner(KnownOwner {
            epoch: owner.epoch,
            address: owner.address.parse().ok(),
            row_version: row.version,
            released: owner.released,
            best_fitness: OwnerFitness(owner.best_fitness),
        }),
        Err(error) => tracing::error!(%error, "could not decode the owner's row"),
    }
}

/// Records the owner from the rows of a conflict; returns whether the owner's row is among them.
pub fn record_owner_row(shared: &PoolShared, rows: &[StoredRow]) -> bool {
    let row = rows.iter().find(|row| row.key == owner_key());
    if let Some(row) = row {
        record_owner(shared, row);
    }
    row.is_some()
}

/// The last version of the heartbeat row and the time since when it has been unchanged.
#[derive(Debug, Default)]
struct HeartbeatWatch {
    seen: Option<(u64, TimePoint)>,
}

impl HeartbeatWatch {
    /// Records a version that was read; returns since when it has been unchanged.
    fn record(&mut self, version: u64, read_at: TimePoint) -> TimePoint {
        match self.seen {
            Some((known, since)) if known == version => since,
            _ => {
                self.seen = Some((version, read_at));
                read_at
            }
        }
    }
}

enum OwnerCheck {
    /// The shard has no owner: take over from this version of the heartbeat row.
    TakeOver(u64),
    /// The shard has an owner or may have one.
    Wait,
}

async fn check_owner(
    shared: &PoolShared,
    watch: &mut HeartbeatWatch,
) -> Result<OwnerCheck, WaxError> {
    let now = shared.now();
    let max_silence = shared.allowed_silence(OWNER_MAX_SILENCE);
    let known = shared.owner.borrow().clone();
    // The owner has released the shard, was an earlier process at this process's address, or
    // refuses connections. In the last case it may still act.
    let is_unowned = known
        .as_ref()
        .is_some_and(|owner| has_ended(shared, owner) || shared.refused_epoch.get() == owner.epoch);
    if known.is_some() && !is_unowned && now.since(shared.owner_contact_at.get()) < max_silence {
        watch.seen = None;
        return Ok(OwnerCheck::Wait);
    }
    let row = shared
        .store
        .read_row(&heartbeat_key(), READ_TIMEOUT)
        .await?;
    shared.store_answered_at.set(shared.now());
    let row = row.as_ref();
    let version = row.map_or(0, |row| row.version);
    if row.is_some_and(|row| is_of_later_term(shared, row)) {
        // The feed should have reported the new owner. On a silent connection it fails only after
        // 11.5 s, so the row is read directly.
        read_owner(shared).await?;
        if !row.is_some_and(|row| is_of_later_term(shared, row)) {
            return Ok(OwnerCheck::Wait);
        }
    }
    let since = watch.record(version, now);
    let is_linked = now.since(shared.link_contact_at.get()) < max_silence;
    let limit = match is_linked {
        true => shared.timeouts.takeover_if_reachable,
        false => shared.timeouts.takeover_if_unreachable,
    };
    let is_silent = shared.now().since(since) >= limit;
    if is_unowned || is_silent || (known.is_none() && version == 0) {
        return Ok(OwnerCheck::TakeOver(version));
    }
    Ok(OwnerCheck::Wait)
}

/// Returns whether a heartbeat row belongs to a later term than the owner known to this process.
fn is_of_later_term(shared: &PoolShared, row: &StoredRow) -> bool {
    match HeartbeatRow::decode(&*row.value) {
        Ok(heartbeat) => heartbeat.epoch > shared.owner_epoch(),
        Err(error) => {
            tracing::error!(%error, "could not decode the heartbeat row");
            false
        }
    }
}

/// Returns whether an owner is known to have stopped acting: it has released the shard, or it was
/// an earlier process at this process's address.
fn has_ended(shared: &PoolShared, owner: &KnownOwner) -> bool {
    owner.released || owner.address == Some(shared.address)
}

async fn take_over(shared: &Rc<PoolShared>, heartbeat_version: u64) {
    let known = shared.owner.borrow().clone();
    let row = OwnerRow {
        epoch: known.as_ref().map_or(0, |owner| owner.epoch) + 1,
        address: shared.address.to_string(),
        node: shared.node.to_string(),
        released: false,
        nonce: fastrand::u64(1..),
        best_fitness: best_known_fitness(shared).0,
    };
    let heartbeat = HeartbeatRow {
        epoch: row.epoch,
        count: 0,
    };
    let owner_version = known.as_ref().map_or(0, |owner| owner.row_version);
    let tx = TxRequest {
        expect: vec![
            (owner_key(), owner_version),
            (heartbeat_key(), heartbeat_version),
        ],
        writes: vec![
            RowWrite {
                key: owner_key(),
                value: row.encode_to_vec(),
            },
            RowWrite {
                key: heartbeat_key(),
                value: heartbeat.encode_to_vec(),
            },
        ],
        remove: Vec::new(),
    };
    let sent_at = shared.now();
    let version = match transact(&shared.store, shared.clock, &tx, sent_at + TAKEOVER_TIMEOUT).await
    {
        TxResolution::Committed(commit) => commit.version,
        TxResolution::Conflict(rows) => match find_own_row(shared, &rows, row.nonce) {
            Some(version) => version,
            None => return,
        },
        TxResolution::NotSent(error)
        | TxResolution::Unknown(error)
        | TxResolution::Refused(error) => {
            tracing::warn!(%error, epoch = row.epoch, "takeover failed or got no answer");
            return;
        }
    };
    count(Counter::TermsBegun);
    tracing::info!(epoch = row.epoch, "took over the shard");
    let former_owner_ended = known.as_ref().is_none_or(|owner| has_ended(shared, owner));
    begin_term(shared, row, version, sent_at, former_owner_ended);
}

/// Returns the version of the owner's row if this process wrote it: a conflict may be with its own
/// write whose answer was lost.
fn find_own_row(shared: &PoolShared, rows: &[StoredRow], nonce: u64) -> Option<u64> {
    let row = rows.iter().find(|row| row.key == owner_key())?;
    record_owner(shared, row);
    let owner = OwnerRow::decode(&*row.value).ok()?;
    (owner.nonce == nonce).then_some(row.version)
}

fn begin_term(
    shared: &Rc<PoolShared>,
    row: OwnerRow,
    version: u64,
    sent_at: TimePoint,
    former_owner_ended: bool,
) {
    shared.offer_owner(KnownOwner {
        epoch: row.epoch,
        address: Some(shared.address),
        row_version: version,
        released: false,
        best_fitness: OwnerFitness(row.best_fitness),
    });
    let term = Rc::new(OwnerTerm::new(
        shared,
        row,
        version,
        sent_at,
        former_owner_ended,
    ));
    *shared.term.borrow_mut() = Some(term.clone());
    spawn(write_chain(shared.clone(), term.clone(), version)).detach();
    spawn(follow_jobs(shared.clone(), term.clone())).detach();
    spawn(dispatch_orders(shared.clone(), term.clone())).detach();
    // Fronts rely on what the owner reads. Until now this process may have relied on the former
    // owner's reports, so it must read the operator's rows itself.
    shared.read_schedule_changed.notify(usize::MAX);
    spawn(report_waves(shared.clone(), term.clone())).detach();
    if let Some(advisor) = shared.advisor {
        spawn(query_advisor(
            shared.clone(),
            term,
            AdviceClient::new(advisor),
        ))
        .detach();
    }
}

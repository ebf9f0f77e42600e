//! Watches who owns the shard, and takes over when nobody does.

use crate::advice::ask_advisor;
use crate::candidates::{CandidateRank, OwnerFitness};
use crate::dispatch::dispatch_orders;
use crate::fate::{TxFate, transact};
use crate::job_feed::follow_jobs;
use crate::rows::{BEAT_TABLE, BeatRow, OWNER_TABLE, OwnerRow, PART, beat_key, owner_key};
use crate::shared::{KnownOwner, PoolShared};
use crate::tenure::Tenure;
use crate::turn::{best_known, wait_turn};
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

/// How long the store may wait for a change before it answers.
const FEED_WAIT: Duration = Duration::from_secs(10);
/// Longest time for a read.
const READ_LIMIT: Duration = Duration::from_millis(1_000);
/// After a failure, with as much again at random.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Between two looks at a beat that may have stopped.
const LOOK_PERIOD: Duration = Duration::from_millis(150);
/// An owner heard this lately needs no look at its beat.
const HEARD_LATELY: Duration = Duration::from_millis(450);
/// A takeover is tried for this long.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(3);

/// Watches and takes over until `shutdown`, then lets go.
pub async fn keep_ownership(shared: Rc<PoolShared>, shutdown: ShutdownSignal) {
    spawn(follow_owner(shared.clone())).detach();
    let mut watch = BeatWatch::default();
    let streak = FailureStreak::new("beat of the owner");
    while !shutdown.is_raised() {
        if let Some(tenure) = shared.current_tenure() {
            hold_tenure(&shared, &tenure, &shutdown).await;
            watch = BeatWatch::default();
            continue;
        }
        match look(&shared, &mut watch).await {
            Ok(Look::TakeOver(beat)) => {
                if wait_turn(&shared).await {
                    take_over(&shared, beat).await;
                }
            }
            Ok(Look::Wait) => {
                streak.succeed();
                wait_look(&shared).await;
            }
            Err(error) => {
                streak.fail(&error);
                sleep(RETRY_PAUSE + RETRY_PAUSE.mul_f64(fastrand::f64())).await;
            }
        }
    }
}

async fn wait_look(shared: &PoolShared) {
    let listener = shared.owner_changed.listen();
    // Either the owner's row has changed or the period is over; both lead to another look.
    let _ = timeout(LOOK_PERIOD, listener).await;
}

async fn hold_tenure(shared: &PoolShared, tenure: &Rc<Tenure>, shutdown: &ShutdownSignal) {
    {
        let over = std::pin::pin!(tenure.over.wait());
        let stop = std::pin::pin!(shutdown.wait());
        futures_util::future::select(over, stop).await;
    }
    if !tenure.over.is_raised() {
        tenure.let_go();
        tenure.over.wait().await;
    }
    if tenure.letting_go.is_raised() {
        // It has let go for another to own: all others go first.
        let best = best_known(shared);
        shared.rank.set(Some(CandidateRank::last(best)));
    }
    shared.tenure.borrow_mut().take();
}

/// Follows the owner's row for the life of the process.
async fn follow_owner(shared: Rc<PoolShared>) {
    let streak = FailureStreak::new("feed of owners");
    loop {
        if let Err(error) = follow_owner_once(&shared, &streak).await {
            streak.fail(&error);
            sleep(RETRY_PAUSE + RETRY_PAUSE.mul_f64(fastrand::f64())).await;
        }
    }
}

/// Reads the owner's row; returns the store's version at that moment.
async fn read_owner(shared: &PoolShared) -> Result<u64, WaxError> {
    let (rows, version) = shared.store.read_all(OWNER_TABLE, PART, READ_LIMIT).await?;
    for row in &rows {
        note_owner(shared, row);
    }
    Ok(version)
}

async fn follow_owner_once(shared: &PoolShared, streak: &FailureStreak) -> Result<(), WaxError> {
    let mut after = read_owner(shared).await?;
    streak.succeed();
    loop {
        match shared.store.follow(OWNER_TABLE, after, FEED_WAIT).await? {
            FeedReply::Forgotten => return Ok(()),
            FeedReply::Changes(changes, version) => {
                after = version;
                for change in changes {
                    if let RowChange::Written(row) = change {
                        note_owner(shared, &row);
                    }
                }
            }
        }
    }
}

/// Notes the owner's row.
pub(crate) fn note_owner(shared: &PoolShared, row: &StoredRow) {
    match OwnerRow::decode(&*row.value) {
        Ok(owner) => shared.offer_owner(KnownOwner {
            epoch: owner.epoch,
            address: owner.address.parse().ok(),
            row_version: row.version,
            released: owner.released,
            best: OwnerFitness(owner.best),
        }),
        Err(error) => tracing::error!(%error, "the owner's row does not decode"),
    }
}

/// Takes the owner's row from the answer to a conflict; says whether there is one.
pub fn note_owner_row(shared: &PoolShared, rows: &[StoredRow]) -> bool {
    let row = rows.iter().find(|row| row.key == owner_key());
    if let Some(row) = row {
        note_owner(shared, row);
    }
    row.is_some()
}

/// The beat as this process has seen it.
#[derive(Debug, Default)]
struct BeatWatch {
    seen: Option<(u64, TimePoint)>,
}

impl BeatWatch {
    /// Notes a version that was read; says since when it has stood still.
    fn note(&mut self, version: u64, asked: TimePoint) -> TimePoint {
        match self.seen {
            Some((known, since)) if known == version => since,
            _ => {
                self.seen = Some((version, asked));
                asked
            }
        }
    }
}

enum Look {
    /// Nobody owns: take over from this version of the beat.
    TakeOver(u64),
    /// Somebody owns, or may.
    Wait,
}

async fn look(shared: &PoolShared, watch: &mut BeatWatch) -> Result<Look, WaxError> {
    let now = shared.now();
    let lately = shared.heard_within(HEARD_LATELY);
    let known = shared.owner.borrow().clone();
    // An earlier process at this address is surely dead, and a released term has no owner.
    let free = known.as_ref().is_some_and(|owner| {
        acts_no_more(shared, owner) || shared.owner_refused.get() == owner.epoch
    });
    if known.is_some() && !free && now.since(shared.owner_heard.get()) < lately {
        watch.seen = None;
        return Ok(Look::Wait);
    }
    let page = shared
        .store
        .read(BEAT_TABLE, PART, "", "", READ_LIMIT)
        .await?;
    shared.store_heard.set(shared.now());
    let row = page.rows.iter().find(|row| row.key == beat_key());
    let version = row.map_or(0, |row| row.version);
    if row.is_some_and(|row| is_of_later_term(shared, row)) {
        // The feed would have told of its owner: on a silent connection it does so after 11.5 s.
        read_owner(shared).await?;
        if !row.is_some_and(|row| is_of_later_term(shared, row)) {
            return Ok(Look::Wait);
        }
    }
    let since = watch.note(version, now);
    let lives = now.since(shared.link_heard.get()) < lately;
    let span = match lives {
        true => shared.spans.patience,
        false => shared.spans.silence,
    };
    let silent = shared.now().since(since) >= span;
    if free || silent || (known.is_none() && version == 0) {
        return Ok(Look::TakeOver(version));
    }
    Ok(Look::Wait)
}

/// Whether a beat is of a later term than that of the owner which this process knows.
fn is_of_later_term(shared: &PoolShared, row: &StoredRow) -> bool {
    match BeatRow::decode(&*row.value) {
        Ok(beat) => beat.epoch > shared.owner_epoch(),
        Err(error) => {
            tracing::error!(%error, "the beat row does not decode");
            false
        }
    }
}

/// Whether an owner has let go, or was an earlier process at this address, which is surely dead.
fn acts_no_more(shared: &PoolShared, owner: &KnownOwner) -> bool {
    owner.released || owner.address == Some(shared.address)
}

async fn take_over(shared: &Rc<PoolShared>, beat_version: u64) {
    let known = shared.owner.borrow().clone();
    let row = OwnerRow {
        epoch: known.as_ref().map_or(0, |owner| owner.epoch) + 1,
        address: shared.address.to_string(),
        node: shared.node.to_string(),
        released: false,
        nonce: fastrand::u64(1..),
        best: best_known(shared).0,
    };
    let beat = BeatRow {
        epoch: row.epoch,
        count: 0,
    };
    let owner_version = known.as_ref().map_or(0, |owner| owner.row_version);
    let tx = TxRequest {
        expect: vec![(owner_key(), owner_version), (beat_key(), beat_version)],
        writes: vec![
            RowWrite {
                key: owner_key(),
                value: row.encode_to_vec(),
            },
            RowWrite {
                key: beat_key(),
                value: beat.encode_to_vec(),
            },
        ],
        remove: Vec::new(),
    };
    let sent = shared.now();
    let version = match transact(&shared.store, shared.clock, &tx, sent + TAKEOVER_LIMIT).await {
        TxFate::Committed(version) => version,
        TxFate::Conflict(rows) => match own_row(shared, &rows, row.nonce) {
            Some(version) => version,
            None => return,
        },
        TxFate::NotSent(error) | TxFate::Unknown(error) | TxFate::Refused(error) => {
            tracing::warn!(%error, epoch = row.epoch, "takeover without an answer");
            return;
        }
    };
    count(Counter::TermsBegun);
    tracing::info!(epoch = row.epoch, "took over the shard");
    let after_release = known
        .as_ref()
        .is_none_or(|owner| acts_no_more(shared, owner));
    begin_tenure(shared, row, version, sent, after_release);
}

/// After a lost answer the conflict may be with our own write.
fn own_row(shared: &PoolShared, rows: &[StoredRow], nonce: u64) -> Option<u64> {
    let row = rows.iter().find(|row| row.key == owner_key())?;
    note_owner(shared, row);
    let owner = OwnerRow::decode(&*row.value).ok()?;
    (owner.nonce == nonce).then_some(row.version)
}

fn begin_tenure(
    shared: &Rc<PoolShared>,
    row: OwnerRow,
    version: u64,
    sent: TimePoint,
    after_release: bool,
) {
    shared.offer_owner(KnownOwner {
        epoch: row.epoch,
        address: Some(shared.address),
        row_version: version,
        released: false,
        best: OwnerFitness(row.best),
    });
    let tenure = Rc::new(Tenure::new(shared, row, version, sent, after_release));
    *shared.tenure.borrow_mut() = Some(tenure.clone());
    spawn(write_chain(shared.clone(), tenure.clone(), version)).detach();
    spawn(follow_jobs(shared.clone(), tenure.clone())).detach();
    spawn(dispatch_orders(shared.clone(), tenure.clone())).detach();
    // Others go by what the owner reads; until now it may have gone by what it was told.
    shared.read_sooner.notify(usize::MAX);
    spawn(report_waves(shared.clone(), tenure.clone())).detach();
    if let Some(advisor) = shared.advisor {
        spawn(ask_advisor(
            shared.clone(),
            tenure,
            AdviceClient::new(advisor),
        ))
        .detach();
    }
}

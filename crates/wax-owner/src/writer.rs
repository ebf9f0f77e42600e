//! Writes what the owner has taken note of: one chain of transactions, each of which also renews
//! the term.

use crate::chain::{ChainItem, ItemLimits};
use crate::fate::{TxFate, transact};
use crate::front_way::send_by_front;
use crate::rows::{BeatRow, beat_key};
use crate::shared::PoolShared;
use crate::tenure::Tenure;
use compio::time::{sleep, timeout};
use futures_util::future::{Either, select};
use platform::StoredRow;
use prost::Message;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wax_batch::JobOutcome;
use wax_trace::{Counter, Latency, count, count_many, note_latency};
use wax_types::TimePoint;

/// A transaction is tried for this long before the store is looked at anew.
const TX_PATIENCE: Duration = Duration::from_secs(3_600);
/// After a transaction that the store does not take, before a smaller one.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);
/// Urgent notes wait this long for company.
const URGENT_PAUSE: Duration = Duration::from_millis(8);

enum ChainStep {
    Stored(u64),
    Lost,
    /// The store takes no such transaction.
    Refused,
}

/// Writes until the term ends.
pub(crate) async fn write_chain(shared: Rc<PoolShared>, tenure: Rc<Tenure>, mut beat_version: u64) {
    let mut number = 0_u64;
    let mut limits = ItemLimits::default();
    loop {
        wait_work(&shared, &tenure).await;
        if tenure.over.is_raised() {
            return;
        }
        number += 1;
        let item = ChainItem::next(&shared, &tenure, beat_version, number, limits);
        let sent = shared.now();
        match send_item(&shared, &tenure, &item, number).await {
            ChainStep::Lost => {
                tenure.end("another owner has written");
                return;
            }
            ChainStep::Refused => {
                limits = item.put_back(&tenure, limits);
                sleep(REFUSED_PAUSE).await;
            }
            ChainStep::Stored(version) => {
                limits = limits.grow();
                beat_version = version;
                count_item(&item, shared.now().since(sent));
                tenure.confirmed.set(sent);
                shared.store_heard.set(shared.now());
                log_ended(&shared, &tenure, &item);
                note_stored(&tenure, &item);
                if item.releases {
                    tenure.end("let go");
                    return;
                }
            }
        }
    }
}

/// Waits until there is something to write, or the term must be renewed.
async fn wait_work(shared: &PoolShared, tenure: &Tenure) {
    let began = shared.now();
    loop {
        let listener = tenure.write.listen();
        if tenure.over.is_raised() || tenure.letting_go.is_raised() {
            return;
        }
        let waited = shared.now().since(began);
        let due = due_in(shared, tenure);
        if waited >= due {
            return;
        }
        // Either a change or the time; both lead to another look.
        let _ = timeout(due - waited, listener).await;
    }
}

fn due_in(shared: &PoolShared, tenure: &Tenure) -> Duration {
    let book = tenure.book.borrow();
    if book.has_urgent_notes() || tenure.agents.borrow().has_notes() {
        URGENT_PAUSE
    } else if book.has_notes() {
        shared.spans.flush
    } else {
        shared.spans.beat
    }
}

/// Sends one transaction until it is in the store or the term is lost.
async fn send_item(
    shared: &PoolShared,
    tenure: &Tenure,
    item: &ChainItem,
    number: u64,
) -> ChainStep {
    loop {
        let deadline = shared.now() + TX_PATIENCE;
        let direct = pin!(transact(&shared.store, shared.clock, &item.tx, deadline));
        let by_front = pin!(send_by_front(shared, tenure, &item.tx));
        let fate = match select(direct, by_front).await {
            Either::Left((fate, _)) => {
                tenure.store_turns_away.set(false);
                fate
            }
            Either::Right(((fate, serves_others), _)) => {
                count(Counter::ChainRelayed);
                tenure.store_turns_away.set(true);
                if serves_others && !tenure.letting_go.is_raised() {
                    tracing::warn!(
                        epoch = tenure.epoch,
                        "the store serves a front and not this owner: the shard is handed over"
                    );
                    tenure.let_go();
                }
                fate
            }
        };
        match fate {
            TxFate::Committed(version) => return ChainStep::Stored(version),
            TxFate::Conflict(rows) => return settle(tenure, &rows, number),
            TxFate::Refused(error) => {
                wax_trace::count(Counter::ChainRefused);
                tracing::error!(%error, entries = item.tx.entry_count(), bytes = item.tx.max_body_bytes(), "the store takes no such transaction");
                return ChainStep::Refused;
            }
            TxFate::NotSent(error) | TxFate::Unknown(error) => {
                tracing::error!(%error, "the store has not answered for very long");
            }
        }
        if tenure.over.is_raised() {
            return ChainStep::Lost;
        }
    }
}

/// A conflict is our own write with a lost answer, or another owner's.
fn settle(tenure: &Tenure, rows: &[StoredRow], count: u64) -> ChainStep {
    let beat = rows.iter().find(|row| row.key == beat_key());
    let ours = beat.and_then(|row| {
        let beat = BeatRow::decode(&*row.value).ok()?;
        (beat.epoch == tenure.epoch && beat.count == count).then_some(row.version)
    });
    ours.map_or(ChainStep::Lost, ChainStep::Stored)
}

fn count_item(item: &ChainItem, took: Duration) {
    count(Counter::ChainWrites);
    note_latency(Latency::ChainWrite, took);
    let ended = item
        .notes
        .iter()
        .filter(|note| note.progress.outcome() != JobOutcome::Open);
    count_many(Counter::JobsEnded, ended.count() as u64);
}

/// One line for each job that is shown as ended from now on.
fn log_ended(shared: &PoolShared, tenure: &Tenure, item: &ChainItem) {
    let book = tenure.book.borrow();
    for note in &item.notes {
        let outcome = note.progress.outcome();
        let Some(job) = book.job(note.name).filter(|_| outcome != JobOutcome::Open) else {
            continue;
        };
        tracing::info!(
            job = %note.name,
            queue = %job.queue.name,
            ?outcome,
            age_ms = shared.now().since(job.accepted).as_millis() as u64,
            reason = job.reason.as_deref(),
            "job ended"
        );
    }
}

fn note_stored(tenure: &Tenure, item: &ChainItem) {
    let mut book = tenure.book.borrow_mut();
    book.notes_stored(&item.notes);
    for job in &item.forgotten {
        book.forget(*job);
    }
    drop(book);
    tenure.agents.borrow_mut().notes_stored(&item.agents);
    tenure.dispatch.notify(usize::MAX);
}

/// When a transaction of the term was last known to be in force.
pub(crate) fn silent_for(tenure: &Tenure, now: TimePoint) -> Duration {
    now.since(tenure.confirmed.get())
}

//! Writes what the owner has taken note of: one chain of transactions, each of which also renews
//! the term.

use crate::fate::{TxFate, transact};
use crate::rows::{
    AgentRow, BeatRow, OwnerRow, agent_key, beat_key, cancel_key, job_key, owner_key, press_key,
    progress_key,
};
use crate::shared::PoolShared;
use crate::tenure::{RowStand, Tenure};
use compio::time::timeout;
use platform::{RowWrite, StoredRow, TxRequest};
use prost::Message;
use std::rc::Rc;
use std::time::Duration;
use wax_batch::{BookNote, JobName, JobOutcome};
use wax_trace::{Counter, Latency, count, count_many, note_latency};
use wax_types::{TimePoint, wall_clock_ms};

/// Jobs whose progress goes into one transaction.
const NOTES_PER_TX: usize = 40;
/// Jobs whose rows are removed in one transaction, three rows each.
const FORGET_PER_TX: usize = 8;
/// A transaction is tried for this long before the store is looked at anew.
const TX_PATIENCE: Duration = Duration::from_secs(3_600);
/// What is known of pairs of images is written this often, with what is written anyway.
const PRESS_PERIOD: Duration = Duration::from_secs(3);
/// Urgent notes wait this long for company.
const URGENT_PAUSE: Duration = Duration::from_millis(8);

/// One transaction of the chain and what it carries.
struct ChainItem {
    tx: TxRequest,
    notes: Vec<BookNote>,
    agents: Vec<(Box<str>, bool)>,
    forgotten: Vec<JobName>,
    releases: bool,
}

enum ChainStep {
    Stored(u64),
    Lost,
}

/// Writes until the term ends.
pub(crate) async fn write_chain(shared: Rc<PoolShared>, tenure: Rc<Tenure>, mut beat_version: u64) {
    let mut number = 0_u64;
    loop {
        wait_work(&shared, &tenure).await;
        if tenure.over.is_raised() {
            return;
        }
        number += 1;
        let item = next_item(&shared, &tenure, beat_version, number);
        let sent = shared.now();
        match send_item(&shared, &tenure, &item, number).await {
            ChainStep::Lost => {
                tenure.end("another owner has written");
                return;
            }
            ChainStep::Stored(version) => {
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
    if book.has_urgent_notes() || !tenure.agent_rows.borrow().is_empty() {
        URGENT_PAUSE
    } else if book.has_notes() {
        shared.spans.flush
    } else {
        shared.spans.beat
    }
}

fn next_item(shared: &PoolShared, tenure: &Tenure, beat_version: u64, count: u64) -> ChainItem {
    let epoch = tenure.epoch;
    let mut tx = TxRequest {
        expect: vec![
            (owner_key(), tenure.owner_version.get()),
            (beat_key(), beat_version),
        ],
        ..Default::default()
    };
    put(&mut tx, beat_key(), &BeatRow { epoch, count });
    let notes = tenure.book.borrow_mut().take_notes(NOTES_PER_TX);
    for note in &notes {
        put(&mut tx, progress_key(note.name), &note.progress);
    }
    let agents: Vec<(Box<str>, bool)> = tenure.agent_rows.borrow_mut().drain().collect();
    for (node, keep) in &agents {
        let row = AgentRow {
            node: node.to_string(),
        };
        if *keep {
            put(&mut tx, agent_key(node), &row);
        } else {
            tx.remove.push(agent_key(node));
        }
    }
    if tenure.press_unstored.get() && shared.now().since(tenure.press_stored.get()) >= PRESS_PERIOD
    {
        tenure.press_unstored.set(false);
        tenure.press_stored.set(shared.now());
        put(&mut tx, press_key(), &tenure.all_presses());
    }
    let before_ms = wall_clock_ms().saturating_sub(shared.keep_ended.as_millis() as u64);
    let forgotten = tenure.book.borrow().forgettable(before_ms, FORGET_PER_TX);
    for job in &forgotten {
        tx.remove
            .extend([job_key(*job), cancel_key(*job), progress_key(*job)]);
    }
    let releases = tenure.letting_go.is_raised() && !tenure.book.borrow().has_notes();
    if releases {
        let row = OwnerRow {
            released: true,
            ..tenure.owner_row.clone()
        };
        put(&mut tx, owner_key(), &row);
    }
    ChainItem {
        tx,
        notes,
        agents,
        forgotten,
        releases,
    }
}

fn put(tx: &mut TxRequest, key: platform::RowKey, row: &impl Message) {
    let value = row.encode_to_vec();
    tx.writes.push(RowWrite { key, value });
}

/// Sends one transaction until it is in the store or the term is lost.
async fn send_item(
    shared: &PoolShared,
    tenure: &Tenure,
    item: &ChainItem,
    count: u64,
) -> ChainStep {
    loop {
        let deadline = shared.now() + TX_PATIENCE;
        match transact(&shared.store, shared.clock, &item.tx, deadline).await {
            TxFate::Committed(version) => return ChainStep::Stored(version),
            TxFate::Conflict(rows) => return settle(tenure, &rows, count),
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
    let mut agents = tenure.agents.borrow_mut();
    for (node, keep) in &item.agents {
        if let Some(agent) = agents.get_mut(node).filter(|_| *keep) {
            agent.row = RowStand::Stored;
        }
    }
    drop(agents);
    tenure.rows_stored.notify(usize::MAX);
    tenure.dispatch.notify(usize::MAX);
}

/// When a transaction of the term was last known to be in force.
pub(crate) fn silent_for(tenure: &Tenure, now: TimePoint) -> Duration {
    now.since(tenure.confirmed.get())
}

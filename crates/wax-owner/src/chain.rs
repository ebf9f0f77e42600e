//! One transaction of the chain: what it carries, within the store's bounds.

use crate::roster::AgentNote;
use crate::rows::{
    AgentRow, BeatRow, OwnerRow, agent_key, beat_key, cancel_key, job_key, owner_key, press_key,
    progress_key,
};
use crate::shared::PoolShared;
use crate::tenure::Tenure;
use platform::{MAX_TX_BYTES, MAX_TX_ENTRIES, RowWrite, TxRequest, base64_length};
use prost::Message;
use std::time::Duration;
use wax_batch::{BookNote, JobName};
use wax_types::wall_clock_ms;

/// Jobs whose progress goes into one transaction.
const NOTES_PER_TX: usize = 32;
/// Agents whose rows go into one transaction.
const AGENTS_PER_TX: usize = 32;
/// Jobs whose rows are removed in one transaction.
const FORGET_PER_TX: usize = 8;
/// Rows of one job: its own, its cancel, its progress.
const ROWS_PER_JOB: usize = 3;
/// Entries of each transaction beside the above: both conditions, the beat, presses, the owner.
const OTHER_ENTRIES: usize = 5;
/// Above the store's bound a transaction is refused for ever.
const _: () = assert!(
    OTHER_ENTRIES + NOTES_PER_TX + AGENTS_PER_TX + ROWS_PER_JOB * FORGET_PER_TX <= MAX_TX_ENTRIES
);
/// Bytes of progress in one transaction, as encoded; the other half is left to all else.
const PROGRESS_BYTES: usize = MAX_TX_BYTES / 2;
/// What is known of pairs of images is written this often, with what is written anyway.
const PRESS_PERIOD: Duration = Duration::from_secs(3);

/// How much goes into one transaction: less after the store has refused one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ItemLimits {
    notes: usize,
    agents: usize,
}

impl Default for ItemLimits {
    fn default() -> Self {
        Self {
            notes: NOTES_PER_TX,
            agents: AGENTS_PER_TX,
        }
    }
}

impl ItemLimits {
    /// After a transaction that was taken.
    pub(crate) fn grow(self) -> Self {
        Self {
            notes: (self.notes * 2).clamp(1, NOTES_PER_TX),
            agents: (self.agents * 2).clamp(1, AGENTS_PER_TX),
        }
    }

    fn shrink(self) -> Self {
        Self {
            notes: self.notes / 2,
            agents: self.agents / 2,
        }
    }
}

/// One transaction of the chain and what it carries.
pub(crate) struct ChainItem {
    pub(crate) tx: TxRequest,
    pub(crate) notes: Vec<BookNote>,
    pub(crate) agents: Vec<(Box<str>, AgentNote)>,
    pub(crate) forgotten: Vec<JobName>,
    pub(crate) releases: bool,
}

impl ChainItem {
    /// Gathers what is to be written, number `count` of the term.
    pub(crate) fn next(
        shared: &PoolShared,
        tenure: &Tenure,
        beat_version: u64,
        count: u64,
        limits: ItemLimits,
    ) -> Self {
        let epoch = tenure.epoch;
        let mut tx = TxRequest {
            expect: vec![
                (owner_key(), tenure.owner_version.get()),
                (beat_key(), beat_version),
            ],
            ..Default::default()
        };
        put(&mut tx, beat_key(), &BeatRow { epoch, count });
        let notes = put_progress(&mut tx, tenure, limits.notes);
        let agents = put_agents(&mut tx, tenure, limits.agents);
        put_presses(&mut tx, shared, tenure);
        let forgotten = remove_forgotten(&mut tx, shared, tenure);
        let releases = tenure.letting_go.is_raised() && !tenure.book.borrow().has_notes();
        if releases {
            let row = OwnerRow {
                released: true,
                ..tenure.owner_row.clone()
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
            notes,
            agents,
            forgotten,
            releases,
        }
    }

    /// The store takes no such transaction: what it carried is due again, in smaller parts. What is
    /// refused by itself is given up, so that the rest goes on; it is due anew when it changes.
    pub(crate) fn put_back(self, tenure: &Tenure, limits: ItemLimits) -> ItemLimits {
        if self.notes.len() > 1 || self.agents.len() > 1 {
            tenure.book.borrow_mut().notes_failed(&self.notes);
            tenure.agents.borrow_mut().notes_failed(self.agents);
            return limits.shrink();
        }
        for note in &self.notes {
            tracing::error!(job = %note.name, "its progress is not stored");
        }
        for (node, _) in &self.agents {
            tracing::error!(agent = %node, "its row is not stored");
        }
        ItemLimits::default()
    }
}

/// Progress of jobs, as much as fits; the rest is due again.
fn put_progress(tx: &mut TxRequest, tenure: &Tenure, most: usize) -> Vec<BookNote> {
    let mut book = tenure.book.borrow_mut();
    let mut notes = book.take_notes(most);
    let mut bytes = 0;
    let fitting = notes.iter().take_while(|note| {
        let is_first = bytes == 0;
        bytes += base64_length(note.progress.encoded_len());
        is_first || bytes <= PROGRESS_BYTES
    });
    let fitting = fitting.count();
    let rest = notes.split_off(fitting);
    book.notes_failed(&rest);
    for note in &notes {
        put(tx, progress_key(note.name), &note.progress);
    }
    notes
}

fn put_agents(tx: &mut TxRequest, tenure: &Tenure, most: usize) -> Vec<(Box<str>, AgentNote)> {
    let agents = tenure.agents.borrow_mut().take_notes(most);
    for (node, note) in &agents {
        match agent_row(node, note) {
            Some(row) => put(tx, agent_key(node), &row),
            None => tx.remove.push(agent_key(node)),
        }
    }
    agents
}

/// What an agent's row is to hold; `None` if it is to go.
fn agent_row(node: &str, note: &AgentNote) -> Option<AgentRow> {
    match note {
        AgentNote::Linked { boot } => Some(AgentRow::linked(node, boot)),
        AgentNote::Unlinked { boot, jobs } => Some(AgentRow {
            unlinked: true,
            jobs: jobs.iter().map(|job| job.0).collect(),
            ..AgentRow::linked(node, boot)
        }),
        AgentNote::Gone => None,
    }
}

fn put_presses(tx: &mut TxRequest, shared: &PoolShared, tenure: &Tenure) {
    let now = shared.now();
    if tenure.press_unstored.get() && now.since(tenure.press_stored.get()) >= PRESS_PERIOD {
        tenure.press_unstored.set(false);
        tenure.press_stored.set(now);
        put(tx, press_key(), &tenure.all_presses());
    }
}

fn remove_forgotten(tx: &mut TxRequest, shared: &PoolShared, tenure: &Tenure) -> Vec<JobName> {
    let before_ms = wall_clock_ms().saturating_sub(shared.keep_ended.as_millis() as u64);
    let forgotten = tenure.book.borrow().forgettable(before_ms, FORGET_PER_TX);
    for job in &forgotten {
        tx.remove
            .extend([job_key(*job), cancel_key(*job), progress_key(*job)]);
    }
    forgotten
}

fn put(tx: &mut TxRequest, key: platform::RowKey, row: &impl Message) {
    let value = row.encode_to_vec();
    tx.writes.push(RowWrite { key, value });
}

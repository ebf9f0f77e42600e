//! Writes the usage reports of the workers to the ledger. Reports arrive after the usage and may be
//! repeated; a report is acknowledged to its worker once it is stored.

use crate::rows::{JobRow, job_key};
use crate::shard::ShardShared;
use crate::shard_state::ShardState;
use compio::time::sleep;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use wax_ledger::{LedgerEntry, day_number, write_segment};
use wax_platform::UsageReport;
use wax_trace::{Counter, count, count_many};
use wax_types::{JobId, WaxError, WorkerId, wall_clock_ms};

/// Interval between two ledger segments of one shard.
const SEGMENT_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of entries in one segment.
const MAX_SEGMENT_ENTRIES: usize = 2_000;
/// Maximum number of jobs whose accounts are cached; a full cache is cleared.
const MAX_ACCOUNTS: usize = 4_096;

/// Team, service and kind that a job's usage is charged to.
#[derive(Debug, Clone)]
struct JobAccount {
    team: Box<str>,
    service: Box<str>,
    kind: Box<str>,
}

/// Usage reports of one shard that are not stored yet.
///
/// Reports are identified by worker, boot of the worker, and sequence number.
#[derive(Debug, Default)]
pub(crate) struct LedgerFeed {
    pending: BTreeMap<(WorkerId, u64, u64), UsageReport>,
    /// For each boot of a worker, the sequence number up to which all reports are stored.
    stored: HashMap<(WorkerId, u64), u64>,
    accounts: HashMap<JobId, JobAccount>,
}

impl LedgerFeed {
    /// Adds the reports of one renewal. Reports may arrive in any order and more than once.
    pub(crate) fn add_reports(
        &mut self,
        state: &ShardState,
        worker: &WorkerId,
        reports: Vec<UsageReport>,
    ) {
        for report in reports {
            self.record_account(state, &report);
            let stored = self.stored.get(&(worker.clone(), report.boot)).copied();
            if report.sequence <= stored.unwrap_or(0) {
                count(Counter::UsageRepeated);
                continue;
            }
            let key = (worker.clone(), report.boot, report.sequence);
            self.pending.insert(key, report);
        }
    }

    /// Returns whether a report is neither stored nor pending.
    pub(crate) fn is_new(&self, worker: &WorkerId, report: &UsageReport) -> bool {
        let stored = self.stored.get(&(worker.clone(), report.boot)).copied();
        let key = (worker.clone(), report.boot, report.sequence);
        report.sequence > stored.unwrap_or(0) && !self.pending.contains_key(&key)
    }

    fn record_account(&mut self, state: &ShardState, report: &UsageReport) {
        let job = report.run_id.task.job;
        if self.accounts.contains_key(&job) {
            return;
        }
        if let Some(part) = state.part_of(report.run_id.task) {
            let spec = &part.row.spec;
            let account = JobAccount {
                team: spec.team.clone(),
                service: spec.service.clone(),
                kind: spec.kind.clone(),
            };
            self.insert_account(job, account);
        }
    }

    fn insert_account(&mut self, job: JobId, account: JobAccount) {
        if self.accounts.len() >= MAX_ACCOUNTS {
            self.accounts.clear();
        }
        self.accounts.insert(job, account);
    }

    fn unknown_jobs(&self) -> Vec<JobId> {
        let mut jobs: Vec<JobId> = self
            .pending
            .values()
            .map(|report| report.run_id.task.job)
            .filter(|job| !self.accounts.contains_key(job))
            .collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }

    /// Returns the pending reports for the next segment. Reports of jobs without a known account are
    /// left out.
    fn next_batch(&self) -> Vec<((WorkerId, u64, u64), UsageReport)> {
        self.pending
            .iter()
            .filter(|(_, report)| self.accounts.contains_key(&report.run_id.task.job))
            .take(MAX_SEGMENT_ENTRIES)
            .map(|(key, report)| (key.clone(), report.clone()))
            .collect()
    }

    fn entries(&self, batch: &[((WorkerId, u64, u64), UsageReport)]) -> Vec<LedgerEntry> {
        batch
            .iter()
            .filter_map(|(_, report)| {
                let account = self.accounts.get(&report.run_id.task.job)?;
                let entry = LedgerEntry::from_report(
                    report,
                    &account.team,
                    &account.service,
                    &account.kind,
                );
                Some(entry)
            })
            .collect()
    }

    /// Removes a stored batch from the pending reports. Returns, for each boot of a worker in the
    /// batch, the sequence number up to which all reports are stored.
    fn mark_stored(
        &mut self,
        batch: &[((WorkerId, u64, u64), UsageReport)],
    ) -> HashMap<(WorkerId, u64), u64> {
        for (key, _) in batch {
            self.pending.remove(key);
        }
        let mut stored_through = HashMap::new();
        for ((worker, boot, sequence), _) in batch {
            let highest = stored_through.entry((worker.clone(), *boot)).or_insert(0);
            *highest = (*highest).max(*sequence);
        }
        for (key, sequence) in &mut stored_through {
            // An earlier report may still be pending and must not be acknowledged.
            let first_pending = self
                .pending
                .keys()
                .find(|(worker, boot, _)| *worker == key.0 && *boot == key.1)
                .map(|(_, _, sequence)| *sequence);
            if let Some(first_pending) = first_pending {
                *sequence = (*sequence).min(first_pending.saturating_sub(1));
            }
            let stored = self.stored.entry(key.clone()).or_default();
            *stored = (*stored).max(*sequence);
            *sequence = *stored;
        }
        stored_through
    }
}

/// Stores the pending reports every [`SEGMENT_PERIOD`] while the term is active and the shard has
/// workers.
pub(crate) async fn run_usage_writer(shared: Rc<ShardShared>) {
    while shared.is_term_active() && !shared.state.borrow().workers.is_empty() {
        sleep(SEGMENT_PERIOD).await;
        if let Err(error) = store_next_batch(&shared).await {
            tracing::debug!(%error, "usage reports were not stored; they stay pending");
        }
    }
}

async fn store_next_batch(shared: &ShardShared) -> Result<(), WaxError> {
    let unknown = shared.ledger.borrow().unknown_jobs();
    for job in unknown {
        let row = shared.table.read::<JobRow>(&job_key(job)).await?;
        let account = match row {
            Some(row) => JobAccount {
                team: row.value.spec.team,
                service: row.value.spec.service,
                kind: row.value.spec.kind,
            },
            // A run without a job is not charged to any team, but stays visible in the ledger.
            None => JobAccount {
                team: "".into(),
                service: "".into(),
                kind: "".into(),
            },
        };
        shared.ledger.borrow_mut().insert_account(job, account);
    }
    let (batch, entries) = {
        let ledger = shared.ledger.borrow();
        let batch = ledger.next_batch();
        let entries = ledger.entries(&batch);
        (batch, entries)
    };
    if entries.is_empty() {
        return Ok(());
    }
    let day = day_number(wall_clock_ms());
    write_segment(&shared.objects, day, shared.term.shard(), &entries).await?;
    count_many(Counter::UsageIntervals, entries.len() as u64);
    let stored_through = shared.ledger.borrow_mut().mark_stored(&batch);
    let mut state = shared.state.borrow_mut();
    for ((worker, boot), sequence) in stored_through {
        if let Some(entry) = state.workers.get_mut(&worker)
            && entry.boot == boot
        {
            entry.usage_through = entry.usage_through.max(sequence);
        }
    }
    Ok(())
}

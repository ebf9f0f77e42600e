//! Takes late usage from the workers to the ledger; a report is acknowledged once it is stored.

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

/// Between two segments of one shard.
const SEGMENT_PERIOD: Duration = Duration::from_secs(1);
/// Entries in one segment at most.
const SEGMENT_ENTRIES: usize = 2_000;
/// Specs of ended jobs that are remembered.
const MOST_CHARGES: usize = 4_096;

/// Who is charged for a job.
#[derive(Debug, Clone)]
struct JobCharge {
    team: Box<str>,
    service: Box<str>,
    kind: Box<str>,
}

/// Reports that wait to be stored.
#[derive(Debug, Default)]
pub(crate) struct LedgerFeed {
    waiting: BTreeMap<(WorkerId, u64, u64), UsageReport>,
    stored: HashMap<(WorkerId, u64), u64>,
    charges: HashMap<JobId, JobCharge>,
}

impl LedgerFeed {
    /// Takes the reports of one renewal, in any order and however often.
    pub(crate) fn take(
        &mut self,
        state: &ShardState,
        worker: &WorkerId,
        reports: Vec<UsageReport>,
    ) {
        for report in reports {
            self.note_charge(state, &report);
            let stored = self.stored.get(&(worker.clone(), report.boot)).copied();
            if report.sequence <= stored.unwrap_or(0) {
                count(Counter::UsageRepeated);
                continue;
            }
            let key = (worker.clone(), report.boot, report.sequence);
            self.waiting.insert(key, report);
        }
    }

    /// Whether a report was never seen here before.
    pub(crate) fn is_new(&self, worker: &WorkerId, report: &UsageReport) -> bool {
        let stored = self.stored.get(&(worker.clone(), report.boot)).copied();
        let key = (worker.clone(), report.boot, report.sequence);
        report.sequence > stored.unwrap_or(0) && !self.waiting.contains_key(&key)
    }

    fn note_charge(&mut self, state: &ShardState, report: &UsageReport) {
        let job = report.mark.task.job;
        if self.charges.contains_key(&job) {
            return;
        }
        if let Some(part) = state.part_of(report.mark.task) {
            let spec = &part.row.spec;
            let charge = JobCharge {
                team: spec.team.clone(),
                service: spec.service.clone(),
                kind: spec.kind.clone(),
            };
            self.remember(job, charge);
        }
    }

    fn remember(&mut self, job: JobId, charge: JobCharge) {
        if self.charges.len() >= MOST_CHARGES {
            self.charges.clear();
        }
        self.charges.insert(job, charge);
    }

    fn unknown_jobs(&self) -> Vec<JobId> {
        let mut jobs: Vec<JobId> = self
            .waiting
            .values()
            .map(|report| report.mark.task.job)
            .filter(|job| !self.charges.contains_key(job))
            .collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }

    fn next_batch(&self) -> Vec<((WorkerId, u64, u64), UsageReport)> {
        self.waiting
            .iter()
            .filter(|(_, report)| self.charges.contains_key(&report.mark.task.job))
            .take(SEGMENT_ENTRIES)
            .map(|(key, report)| (key.clone(), report.clone()))
            .collect()
    }

    fn entries(&self, batch: &[((WorkerId, u64, u64), UsageReport)]) -> Vec<LedgerEntry> {
        batch
            .iter()
            .filter_map(|(_, report)| {
                let charge = self.charges.get(&report.mark.task.job)?;
                let entry =
                    LedgerEntry::from_report(report, &charge.team, &charge.service, &charge.kind);
                Some(entry)
            })
            .collect()
    }

    /// Forgets a batch that was stored; gives for each worker up to where all is stored.
    fn finish(
        &mut self,
        batch: &[((WorkerId, u64, u64), UsageReport)],
    ) -> HashMap<(WorkerId, u64), u64> {
        for (key, _) in batch {
            self.waiting.remove(key);
        }
        let mut through = HashMap::new();
        for ((worker, boot, sequence), _) in batch {
            let slot = through.entry((worker.clone(), *boot)).or_insert(0);
            *slot = (*slot).max(*sequence);
        }
        for (key, sequence) in &mut through {
            // A gap below, still waiting, must not be acknowledged with it.
            let gap = self
                .waiting
                .keys()
                .find(|(worker, boot, _)| *worker == key.0 && *boot == key.1)
                .map(|(_, _, sequence)| *sequence);
            if let Some(gap) = gap {
                *sequence = (*sequence).min(gap.saturating_sub(1));
            }
            let stored = self.stored.entry(key.clone()).or_default();
            *stored = (*stored).max(*sequence);
            *sequence = *stored;
        }
        through
    }
}

/// Stores what waits, every second, for as long as the term holds.
pub(crate) async fn write_usage(shared: Rc<ShardShared>) {
    while shared.holds() && !shared.state.borrow().workers.is_empty() {
        sleep(SEGMENT_PERIOD).await;
        if let Err(error) = write_batch(&shared).await {
            tracing::debug!(%error, "usage not stored yet");
        }
    }
}

async fn write_batch(shared: &ShardShared) -> Result<(), WaxError> {
    let unknown = shared.ledger.borrow().unknown_jobs();
    for job in unknown {
        let row = shared.table.read::<JobRow>(&job_key(job)).await?;
        let charge = match row {
            Some(row) => JobCharge {
                team: row.value.spec.team,
                service: row.value.spec.service,
                kind: row.value.spec.kind,
            },
            // A run without a job is charged to nobody, but stays visible in the ledger.
            None => JobCharge {
                team: "".into(),
                service: "".into(),
                kind: "".into(),
            },
        };
        shared.ledger.borrow_mut().remember(job, charge);
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
    let through = shared.ledger.borrow_mut().finish(&batch);
    let mut state = shared.state.borrow_mut();
    for ((worker, boot), sequence) in through {
        if let Some(entry) = state.workers.get_mut(&worker)
            && entry.boot == boot
        {
            entry.usage_through = entry.usage_through.max(sequence);
        }
    }
    Ok(())
}

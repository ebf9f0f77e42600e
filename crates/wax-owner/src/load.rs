//! Fills the book from the store at a takeover, and follows jobs from there on.

use crate::rows::{
    AGENT_TABLE, AgentRow, CANCEL_SUFFIX, JOB_TABLE, PART, PROGRESS_TABLE, press_key,
};
use crate::shared::PoolShared;
use crate::tenure::Tenure;
use platform::StoredRow;
use prost::Message;
use std::collections::HashMap;
use std::time::Duration;
use wax_batch::{JobName, JobProgress, JobRow};
use wax_trace::{Latency, note_latency};
use wax_types::{TimePoint, WaxError, wall_clock_ms};
use wax_wire::InterferenceUpdate;

/// Longest time for one page.
const PAGE_LIMIT: Duration = Duration::from_millis(1_500);

/// Reads everything; returns the version from which jobs are followed.
pub(crate) async fn load(shared: &PoolShared, tenure: &Tenure) -> Result<u64, WaxError> {
    let (agents, _) = shared.store.read_all(AGENT_TABLE, PART, PAGE_LIMIT).await?;
    let (progress, _) = shared
        .store
        .read_all(PROGRESS_TABLE, PART, PAGE_LIMIT)
        .await?;
    let (jobs, version) = shared.store.read_all(JOB_TABLE, PART, PAGE_LIMIT).await?;
    shared.store_heard.set(shared.now());
    load_presses(shared, tenure).await;
    let span = if tenure.after_release {
        shared.spans.lapse_after_release()
    } else {
        shared.spans.lapse_after_takeover()
    };
    let lapse_at = tenure.began + span;
    for row in &agents {
        add_agent(shared, tenure, row, lapse_at);
    }
    let progress = decode_progress(&progress);
    add_jobs(shared, tenure, &jobs, &progress);
    note_latency(Latency::Load, shared.now().since(tenure.began));
    tracing::info!(
        epoch = tenure.epoch,
        jobs = jobs.len(),
        agents = agents.len(),
        "shard loaded"
    );
    Ok(version)
}

/// Takes what the owner before knew of pairs of images; without it all is learned anew.
async fn load_presses(shared: &PoolShared, tenure: &Tenure) {
    let row = match shared.store.read_row(&press_key(), PAGE_LIMIT).await {
        Ok(Some(row)) => row,
        Ok(None) => return,
        Err(error) => {
            tracing::warn!(%error, "presses were not read");
            return;
        }
    };
    match InterferenceUpdate::decode(&*row.value) {
        Ok(news) => {
            let mut book = tenure.book.borrow_mut();
            for pair in &news.pairs {
                book.restore_press(&pair.serving, &pair.best_effort, pair.interference());
            }
        }
        Err(error) => tracing::error!(%error, "the row of presses does not decode"),
    }
}

/// A row that cannot be read may stand for any run.
fn add_agent(shared: &PoolShared, tenure: &Tenure, row: &StoredRow, lapse_at: TimePoint) {
    let agent = AgentRow::decode(&*row.value).unwrap_or_else(|error| {
        tracing::error!(%error, key = %row.key.key, "the row of an agent does not decode");
        AgentRow::default()
    });
    let gone = shared.gone.borrow();
    tenure
        .agents
        .borrow_mut()
        .load(&row.key.key, &agent, lapse_at, &gone);
}

fn decode_progress(rows: &[StoredRow]) -> HashMap<JobName, JobProgress> {
    let mut progress = HashMap::with_capacity(rows.len());
    for row in rows {
        let name = row.key.key.parse::<JobName>();
        match (name, JobProgress::decode(&*row.value)) {
            (Ok(name), Ok(value)) => {
                progress.insert(name, value);
            }
            _ => tracing::error!(key = %row.key.key, "a row of progress does not decode"),
        }
    }
    progress
}

/// Takes rows of the job table, cancels included, into the book.
pub(crate) fn add_jobs(
    shared: &PoolShared,
    tenure: &Tenure,
    rows: &[StoredRow],
    progress: &HashMap<JobName, JobProgress>,
) {
    let (now, now_ms) = (shared.now(), wall_clock_ms());
    let mut book = tenure.book.borrow_mut();
    let mut cancels = Vec::new();
    for row in rows {
        if let Some(name) = row.key.key.strip_suffix(CANCEL_SUFFIX) {
            cancels.extend(name.parse::<JobName>().ok());
            continue;
        }
        match (row.key.key.parse::<JobName>(), JobRow::decode(&*row.value)) {
            (Ok(_), Ok(value)) if value.epoch > tenure.epoch => {
                // It was accepted under another owner, whose alone it is.
                tenure.end("a job of a later term was accepted");
                return;
            }
            (Ok(name), Ok(value)) => book.add_job(name, value, progress.get(&name), now, now_ms),
            _ => tracing::error!(key = %row.key.key, "a row of a job does not decode"),
        }
    }
    for name in cancels {
        book.cancel(name, now_ms);
    }
}

//! Follows the rows that the operator writes to the store: the config, maintenance waves and
//! drains.
//!
//! The feed reports a change at once, but its silence proves nothing: a silent connection looks
//! like a store without changes. Separate readings, each on a connection of its own, therefore
//! bound the age of what is known.

use crate::shared::PoolShared;
use compio::time::{sleep, timeout};
use futures_util::future::{Either, select};
use platform::{
    CONFIG_KEY, FeedReply, OPERATOR_TABLE, RowChange, StoredRow, WAVE_PREFIX, decode_wave,
    drained_domain,
};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wax_policy::{ConfigReader, ReadChoice};
use wax_trace::{Counter, FailureStreak, count};
use wax_types::{TimePoint, WaxError};

/// Longest time for which the store holds a feed request without a change.
const FEED_WAIT: Duration = Duration::from_secs(8);
/// Timeout for one page of a full reading.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay after a failed feed request, plus up to as much again at random.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Follows the operator's rows for the life of the process.
pub async fn follow_operator_rows(shared: Rc<PoolShared>) {
    let feeds = FailureStreak::new("feed of the config");
    let reads = FailureStreak::new("reading of the operator's rows");
    let mut wait = Duration::ZERO;
    loop {
        let step = match shared.rows_version.get() {
            None => read_all(&shared).await,
            Some(after) => follow(&shared, &reads, after, wait).await,
        };
        match step {
            Ok(()) => {
                feeds.record_success();
                wait = FEED_WAIT;
            }
            Err(error) => {
                feeds.record_failure(&error);
                // The next request is answered at once and shows whether the store is reachable.
                wait = Duration::ZERO;
                sleep(RETRY_DELAY + RETRY_DELAY.mul_f64(fastrand::f64())).await;
            }
        }
    }
}

/// Reads what the operator has written since the last reading and applies it.
///
/// # Errors
///
/// The store does not answer within `limit`, or refuses the request.
pub async fn read_operator_rows(shared: &PoolShared, limit: Duration) -> Result<(), WaxError> {
    let Some(after) = shared.rows_version.get() else {
        return read_all(shared).await;
    };
    let requested_at = shared.now();
    let reply = shared.store.read_changes(OPERATOR_TABLE, after, limit);
    match reply.await? {
        FeedReply::Changes(changes, version) if changes.is_empty() => {
            // The version is not advanced, so that the pending feed request continues. Otherwise,
            // each new version of the store would end it.
            apply_changes(shared, changes, version, requested_at, "a reading");
        }
        reply => {
            apply_reply(shared, after, reply, requested_at, "a reading");
            count(Counter::ConfigChangesFoundByReading);
        }
    }
    Ok(())
}

/// Waits for one answer of the feed, and meanwhile reads the rows whenever the last reading becomes
/// too old.
async fn follow(
    shared: &PoolShared,
    reads: &FailureStreak,
    after: u64,
    wait: Duration,
) -> Result<(), WaxError> {
    let requested_at = shared.now();
    let mut feed = pin!(shared.store.follow(OPERATOR_TABLE, after, wait));
    // Readings continue during the feed request, because on a silent connection a request lasts
    // 9.5 s, several times the bound. The feed request is abandoned if a reading finds a change
    // that the feed has not reported.
    while shared.rows_version.get() == Some(after) {
        let read = pin!(read_when_due(shared, reads));
        if let Either::Left((reply, _)) = select(feed.as_mut(), read).await {
            apply_reply(shared, after, reply?, requested_at, "the feed");
            return Ok(());
        }
    }
    Ok(())
}

async fn read_when_due(shared: &PoolShared, reads: &FailureStreak) {
    let limit = wait_until_read_due(shared).await;
    match read_operator_rows(shared, limit).await {
        Ok(()) => reads.record_success(),
        Err(error) => {
            reads.record_failure(&error);
            shared.update_config_view(|view| view.record_read_failure());
            let pause = shared.config_rules.retry_delay();
            sleep(pause + pause.mul_f64(fastrand::f64())).await;
        }
    }
}

/// Waits until the rows are due to be read; returns how long the reading may take.
async fn wait_until_read_due(shared: &PoolShared) -> Duration {
    loop {
        let sooner = shared.read_schedule_changed.listen();
        let reader = match shared.current_term() {
            Some(_) => ConfigReader::Owner,
            None => ConfigReader::Front,
        };
        let view = shared.config_view.get();
        match view.next_read(shared.now(), &shared.config_rules, reader) {
            ReadChoice::Read(limit) => return limit,
            // The wait is over, or a notification requires the schedule to be checked again.
            ReadChoice::Wait(left) => drop(timeout(left, sooner).await),
        }
    }
}

async fn read_all(shared: &PoolShared) -> Result<(), WaxError> {
    let requested_at = shared.now();
    let rows = shared.store.read_all(OPERATOR_TABLE, "", PAGE_TIMEOUT);
    let (rows, version) = rows.await?;
    // After the history was dropped, a known drain without a row has been lifted unnoticed.
    let drained = rows.iter().filter_map(|row| drained_domain(&row.key));
    let drained = drained.map(Into::into).collect();
    shared.update_drains("a reading of all", |view| {
        view.replace(version, drained, requested_at)
    });
    for row in rows {
        apply_row(shared, row, "a reading of all");
    }
    shared.rows_version.set(Some(version));
    record_reading(shared, requested_at);
    Ok(())
}

fn apply_reply(
    shared: &PoolShared,
    after: u64,
    reply: FeedReply,
    requested_at: TimePoint,
    from: &str,
) {
    match reply {
        FeedReply::Forgotten => {
            tracing::info!(
                after,
                from,
                "the store has dropped the history of the operator's rows"
            );
            shared.rows_version.set(None);
        }
        FeedReply::Changes(changes, version) => {
            apply_changes(shared, changes, version, requested_at, from);
            shared
                .rows_version
                .set(shared.rows_version.get().max(Some(version)));
        }
    }
}

/// Applies all changes up to `version`, which were requested at `requested_at`.
fn apply_changes(
    shared: &PoolShared,
    changes: Vec<RowChange>,
    version: u64,
    requested_at: TimePoint,
    from: &str,
) {
    apply_drains(shared, &changes, version, requested_at, from);
    for change in changes {
        if let RowChange::Written(row) = change {
            apply_row(shared, row, from);
        }
    }
    record_reading(shared, requested_at);
}

fn record_reading(shared: &PoolShared, requested_at: TimePoint) {
    shared.store_answered_at.set(shared.now());
    shared.update_config_view(|view| view.record_read(requested_at));
    let term = shared.current_term();
    if let Some(term) = term.filter(|term| term.drains_stale.get()) {
        term.dispatch.notify(usize::MAX);
    }
}

/// Updates the drained domains: a domain is drained as long as its row exists.
fn apply_drains(
    shared: &PoolShared,
    changes: &[RowChange],
    version: u64,
    requested_at: TimePoint,
    from: &str,
) {
    let drains = changes.iter().filter_map(|change| {
        let (key, drained) = match change {
            RowChange::Written(row) => (&row.key, true),
            RowChange::Removed(key) => (key, false),
        };
        Some((drained_domain(key)?.into(), drained))
    });
    shared.update_drains(from, |view| {
        view.apply_changes(version, drains, requested_at)
    });
}

fn apply_row(shared: &PoolShared, row: StoredRow, from: &str) {
    if !row.key.part.is_empty() {
        return;
    }
    if *row.key.key == *CONFIG_KEY {
        if let Err(error) = shared.offer_config(&row.value, from) {
            tracing::error!(%error, "rejected the config");
        }
    } else if row.key.key.starts_with(WAVE_PREFIX) {
        match decode_wave(&row.value) {
            Ok(wave) => shared.offer_wave(wave),
            Err(error) => tracing::error!(%error, key = %row.key.key, "could not decode a wave"),
        }
    }
}

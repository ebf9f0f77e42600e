//! Follows what the operator writes in the store: the config, waves of upkeep, drains.

use crate::shared::PoolShared;
use compio::time::sleep;
use platform::{
    CONFIG_KEY, FeedReply, OPERATOR_TABLE, RowChange, RowKey, StoredRow, WAVE_PREFIX, decode_wave,
    drained_domain,
};
use std::rc::Rc;
use std::time::Duration;
use wax_trace::FailureStreak;
use wax_types::{TimePoint, WaxError};

/// How long the store may wait for a change before it answers.
const FEED_WAIT: Duration = Duration::from_secs(8);
/// Longest time for a read.
const READ_LIMIT: Duration = Duration::from_millis(1_000);
/// After a failure, with as much again at random.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Follows the operator's rows for the life of the process.
pub async fn keep_config(shared: Rc<PoolShared>) {
    let streak = FailureStreak::new("feed of the config");
    loop {
        if let Err(error) = follow(&shared, &streak).await {
            streak.fail(&error);
            sleep(RETRY_PAUSE + RETRY_PAUSE.mul_f64(fastrand::f64())).await;
        }
    }
}

async fn follow(shared: &PoolShared, streak: &FailureStreak) -> Result<(), WaxError> {
    let key = RowKey::new(OPERATOR_TABLE, "", CONFIG_KEY);
    let asked = shared.now();
    let (rows, mut after) = shared
        .store
        .read_all(OPERATOR_TABLE, "", READ_LIMIT)
        .await?;
    streak.succeed();
    shared.store_heard.set(shared.now());
    // After a history that was dropped, a drain without a row has been taken back unseen.
    let drained = rows.iter().filter_map(|row| drained_domain(&row.key));
    let drained = drained.map(Into::into).collect();
    shared.note_drains("a reading of all", |view| {
        view.replace(after, drained, asked)
    });
    for row in rows {
        take(shared, &key, row);
    }
    shared.note_config_heard(asked);
    loop {
        let asked = shared.now();
        match shared
            .store
            .follow(OPERATOR_TABLE, after, FEED_WAIT)
            .await?
        {
            FeedReply::Forgotten => {
                tracing::info!(after, "the history of the operator's rows was dropped");
                return Ok(());
            }
            FeedReply::Changes(changes, version) => {
                shared.store_heard.set(shared.now());
                after = version;
                take_drains(shared, &changes, version, asked);
                for change in changes {
                    if let RowChange::Written(row) = change {
                        take(shared, &key, row);
                    }
                }
                shared.note_config_heard(asked);
            }
        }
    }
}

/// A drain lasts as long as its row.
fn take_drains(shared: &PoolShared, changes: &[RowChange], version: u64, asked: TimePoint) {
    let drains = changes.iter().filter_map(|change| {
        let (key, drained) = match change {
            RowChange::Written(row) => (&row.key, true),
            RowChange::Removed(key) => (key, false),
        };
        Some((drained_domain(key)?.into(), drained))
    });
    shared.note_drains("the feed", |view| view.change(version, drains, asked));
}

fn take(shared: &PoolShared, key: &RowKey, row: StoredRow) {
    if row.key == *key {
        if let Err(error) = shared.offer_config(&row.value, "the store") {
            tracing::error!(%error, "config refused");
        }
    } else if row.key.key.starts_with(WAVE_PREFIX) {
        match decode_wave(&row.value) {
            Ok(wave) => shared.offer_wave(wave),
            Err(error) => tracing::error!(%error, key = %row.key.key, "a wave does not decode"),
        }
    }
}

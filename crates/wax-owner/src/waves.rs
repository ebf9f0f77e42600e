//! Reports the status of maintenance waves to the operator.
//!
//! Maintenance itself is not implemented yet, so the only status that is written is that a wave is
//! running.

use crate::owner_term::OwnerTerm;
use crate::shared::PoolShared;
use crate::tx_resolution::{TxResolution, transact};
use compio::time::{sleep, timeout};
use platform::{
    RowKey, RowWrite, STATUS_TABLE, TxRequest, UpkeepWave, WAVE_PREFIX, WaveState, wave_state_body,
};
use std::rc::Rc;
use std::time::Duration;

/// Timeout for writing one status.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a status could not be written.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the end of the term is checked if no wave is added.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Writes a status for each wave until the term ends.
pub(crate) async fn report_waves(shared: Rc<PoolShared>, term: Rc<OwnerTerm>) {
    let mut reported = Vec::new();
    while !term.ended.is_raised() {
        let listener = shared.waves_changed.listen();
        let wave = shared
            .waves
            .borrow()
            .iter()
            .find(|wave| !reported.contains(&wave.wave))
            .cloned();
        let Some(wave) = wave else {
            // Either a new wave or the timeout ends the wait; the loop checks again.
            let _ = timeout(CHECK_PERIOD, listener).await;
            continue;
        };
        if report_running(&shared, &wave).await {
            reported.push(wave.wave);
        } else {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Writes that a wave is running, unless it has a status already; returns whether the store has a
/// status for the wave.
async fn report_running(shared: &PoolShared, wave: &UpkeepWave) -> bool {
    let key = RowKey::new(STATUS_TABLE, "", format!("{WAVE_PREFIX}{}", wave.wave));
    let tx = TxRequest {
        expect: vec![(key.clone(), 0)],
        writes: vec![RowWrite {
            key,
            value: wave_state_body(WaveState::Running),
        }],
        remove: Vec::new(),
    };
    let deadline = shared.now() + WRITE_TIMEOUT;
    match transact(&shared.store, shared.clock, &tx, deadline).await {
        TxResolution::Committed(_) => {
            tracing::warn!(
                wave = wave.wave,
                machines = wave.machines.len(),
                "a maintenance wave was requested, but maintenance is not implemented"
            );
            true
        }
        TxResolution::Conflict(_) => true,
        TxResolution::NotSent(error)
        | TxResolution::Unknown(error)
        | TxResolution::Refused(error) => {
            tracing::warn!(%error, wave = wave.wave, "could not write the status of a maintenance wave");
            false
        }
    }
}

//! Sends the state and load of the upstream to all entries: after a change, and as a heartbeat.

use crate::process::SidecarShared;
use compio::time::sleep;
use std::rc::Rc;
use std::time::Duration;

/// Minimum time between two announcements of a changed load.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time without an announcement. Entries take announcements as the heartbeat of the sidecar.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Announces the load until the process ends. Each announcement is followed by a probe of an upstream
/// that was unreachable.
pub(crate) async fn announce_load(shared: Rc<SidecarShared>) {
    let mut last_report = None;
    let mut since_last = Duration::ZERO;
    loop {
        sleep(MIN_ANNOUNCE_INTERVAL).await;
        since_last += MIN_ANNOUNCE_INTERVAL;
        let report = shared.load_report();
        if last_report != Some(report) || since_last >= HEARTBEAT_PERIOD {
            shared.announce();
            last_report = Some(report);
            since_last = Duration::ZERO;
        }
        if since_last.is_zero() {
            shared.pool().probe().await;
        }
    }
}

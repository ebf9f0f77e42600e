//! Tells every entry the state and load of the upstream: at once, then at most every 100 ms.

use crate::process::SidecarShared;
use compio::time::sleep;
use std::rc::Rc;
use std::time::Duration;

/// Between two announcements of a changed load.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time without an announcement; the heartbeat of the sidecar.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Announces until the process ends.
pub(crate) async fn announce_load(shared: Rc<SidecarShared>) {
    let mut last = None;
    let mut since_last = Duration::ZERO;
    loop {
        sleep(MIN_ANNOUNCE_INTERVAL).await;
        since_last += MIN_ANNOUNCE_INTERVAL;
        let report = shared.load_report();
        if last != Some(report) || since_last >= HEARTBEAT_PERIOD {
            shared.announce();
            last = Some(report);
            since_last = Duration::ZERO;
        }
        if since_last.is_zero() {
            shared.pool().probe().await;
        }
    }
}

//! Tells every entry the state and load of the upstream: at once, then at most every 100 ms.

use crate::process::SidecarShared;
use compio::time::sleep;
use std::rc::Rc;
use std::time::Duration;

/// Between two announcements of a changed load.
const CHANGE_PAUSE: Duration = Duration::from_millis(100);
/// Longest time without an announcement; the heartbeat of the sidecar.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Announces until the process ends.
pub(crate) async fn announce_load(shared: Rc<SidecarShared>) {
    let mut last = None;
    let mut quiet = Duration::ZERO;
    loop {
        sleep(CHANGE_PAUSE).await;
        quiet += CHANGE_PAUSE;
        let report = shared.load_report();
        if last != Some(report) || quiet >= HEARTBEAT {
            shared.announce();
            last = Some(report);
            quiet = Duration::ZERO;
        }
        if quiet.is_zero() {
            shared.pool().probe().await;
        }
    }
}

//! An owner's own reading of the drains: it must know of one in time, also when its feed has gone silent.

use crate::shared::PoolShared;
use crate::tenure::Tenure;
use compio::time::sleep;
use platform::read_drains;
use std::rc::Rc;
use std::time::Duration;
use wax_trace::FailureStreak;

/// Between two readings. The feed tells of a drain at once, but not that there is none: its calls wait
/// for 8 s, and a connection that is cut off stays silent.
const READ_PERIOD: Duration = Duration::from_millis(1_000);
/// After a reading that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for a reading.
const READ_LIMIT: Duration = Duration::from_millis(1_000);

/// Reads the drains again and again until the term ends.
pub(crate) async fn keep_drains(shared: Rc<PoolShared>, tenure: Rc<Tenure>) {
    let streak = FailureStreak::new("reading of the drains");
    while !tenure.over.is_raised() {
        let asked = shared.now();
        let pause = match read_drains(&shared.store, READ_LIMIT).await {
            Ok((domains, version)) => {
                streak.succeed();
                shared.store_heard.set(shared.now());
                shared.note_drains("a reading", |view| view.replace(version, domains, asked));
                if tenure.drains_unsure.get() {
                    tenure.dispatch.notify(usize::MAX);
                }
                READ_PERIOD
            }
            Err(error) => {
                streak.fail(&error);
                RETRY_PAUSE
            }
        };
        sleep(pause).await;
    }
}

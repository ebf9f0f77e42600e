//! Delays a front's attempt to take over, so that fronts that could serve the shard better try
//! first.

use crate::candidates::{OwnerFitness, TakeoverDelay};
use crate::shared::PoolShared;
use compio::time::timeout;
use std::time::Duration;

/// Waits until this front may try to take over; returns false if another front has taken over
/// meanwhile.
pub(crate) async fn wait_takeover_delay(shared: &PoolShared) -> bool {
    let last_best = shared
        .owner
        .borrow()
        .as_ref()
        .map(|owner| owner.best_fitness);
    let delay = TakeoverDelay {
        own_fitness: shared.fitness(),
        last_rank: shared.rank.get(),
        last_best,
        random: fastrand::f64(),
    };
    let wait = delay.duration();
    tracing::info!(
        own = delay.own_fitness.0,
        rank = delay.last_rank.map(|last_rank| last_rank.rank),
        wait_ms = wait.as_millis() as u64,
        "the shard has no owner"
    );
    let began_at = shared.now();
    let known_epoch = shared.owner_epoch();
    loop {
        let listener = shared.owner_changed.listen();
        if shared.owner_epoch() > known_epoch {
            return false;
        }
        let waited = shared.now().since(began_at);
        if waited >= wait {
            return true;
        }
        // Either a new owner or the end of the delay ends the wait; the loop checks again.
        let _ = timeout(wait - waited, listener).await;
    }
}

/// Returns the fitness of the strongest front known to this process or to the last owner.
pub(crate) fn best_known_fitness(shared: &PoolShared) -> OwnerFitness {
    let row = shared
        .owner
        .borrow()
        .as_ref()
        .map(|owner| owner.best_fitness);
    let last_rank = shared.rank.get().map(|last_rank| last_rank.best_fitness);
    let own_fitness = shared.vm_capacity.fitness(Duration::ZERO);
    // A rank reported by the last owner is newer than the owner's row.
    own_fitness.max(last_rank.or(row).unwrap_or_default())
}

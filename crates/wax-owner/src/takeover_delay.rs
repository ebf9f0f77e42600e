//! A front's turn at a takeover: it lets those go first that would carry the shard better.

use crate::candidates::{OwnerFitness, TakeoverDelay};
use crate::shared::PoolShared;
use compio::time::timeout;
use std::time::Duration;

/// Lets those go first that have an earlier turn; says whether nobody has taken over meanwhile.
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
        "nobody owns the shard"
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
        // Either another owner is heard of or the turn has come; both lead to another look.
        let _ = timeout(wait - waited, listener).await;
    }
}

/// The strongest front that this one or the last owner knew of.
pub(crate) fn best_known_fitness(shared: &PoolShared) -> OwnerFitness {
    let row = shared
        .owner
        .borrow()
        .as_ref()
        .map(|owner| owner.best_fitness);
    let last_rank = shared.rank.get().map(|last_rank| last_rank.best_fitness);
    let own_fitness = shared.vm_capacity.fitness(Duration::ZERO);
    // What the last owner has told is newer than its row.
    own_fitness.max(last_rank.or(row).unwrap_or_default())
}

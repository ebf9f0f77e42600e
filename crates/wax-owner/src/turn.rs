//! A front's turn at a takeover: it lets those go first that would carry the shard better.

use crate::candidates::{OwnerFitness, TakeoverChance};
use crate::shared::PoolShared;
use compio::time::timeout;
use std::time::Duration;

/// Lets those go first that have an earlier turn; says whether nobody has taken over meanwhile.
pub(crate) async fn wait_turn(shared: &PoolShared) -> bool {
    let row_best = shared.owner.borrow().as_ref().map(|owner| owner.best);
    let chance = TakeoverChance {
        own: shared.fitness(),
        told: shared.rank.get(),
        row_best,
        draw: fastrand::f64(),
    };
    let wait = chance.wait();
    tracing::info!(
        own = chance.own.0,
        rank = chance.told.map(|told| told.rank),
        wait_ms = wait.as_millis() as u64,
        "nobody owns the shard"
    );
    let began = shared.now();
    let known = shared.owner_epoch();
    loop {
        let listener = shared.owner_changed.listen();
        if shared.owner_epoch() > known {
            return false;
        }
        let waited = shared.now().since(began);
        if waited >= wait {
            return true;
        }
        // Either another owner is heard of or the turn has come; both lead to another look.
        let _ = timeout(wait - waited, listener).await;
    }
}

/// The strongest front that this one or the last owner knew of.
pub(crate) fn best_known(shared: &PoolShared) -> OwnerFitness {
    let row = shared.owner.borrow().as_ref().map(|owner| owner.best);
    let told = shared.rank.get().map(|told| told.best);
    let own = shared.strength.fitness(Duration::ZERO);
    // What the last owner has told is newer than its row.
    own.max(told.or(row).unwrap_or_default())
}

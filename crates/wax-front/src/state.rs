//! What the tasks of a front share beyond the pool's state.

use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use wax_owner::PoolShared;
use wax_types::TimePoint;
use wax_wire::{JobTold, PoolBody, RelayTold};

/// A front's own state.
#[derive(Debug)]
pub(crate) struct FrontState {
    pub(crate) shared: Rc<PoolShared>,
    /// The link to the owner, while there is one.
    pub(crate) outbox: RefCell<Option<UnboundedSender<PoolBody>>>,
    /// Questions to the owner that are not answered yet.
    pub(crate) queries: RefCell<HashMap<u64, oneshot::Sender<JobTold>>>,
    /// Transactions that the owner was asked to send.
    pub(crate) pending_relays: RefCell<HashMap<u64, oneshot::Sender<RelayTold>>>,
    pub(crate) next_request: Cell<u64>,
    /// Since when the store has not answered this process; `None` while it does.
    pub(crate) store_lost_since: Cell<Option<TimePoint>>,
    /// Transactions of this front that are under way.
    pub(crate) in_flight: Cell<u32>,
}

/// While the store does not answer, callers are told to come back after this.
pub(crate) const STORE_RETRY_AFTER: Duration = Duration::from_millis(700);

/// A store that is found lost is believed to be so after this, should another call be answered.
const CUT_OFF_AFTER: Duration = Duration::from_millis(300);
/// A store that is slow answers within this; one that has not is looked at.
const OVERDUE_AFTER: Duration = Duration::from_millis(1_200);
/// An owner that was heard this lately is taken to be there.
const OWNER_SILENCE_LIMIT: Duration = Duration::from_millis(800);

impl FrontState {
    pub(crate) fn new(shared: Rc<PoolShared>) -> Self {
        Self {
            shared,
            outbox: RefCell::default(),
            queries: RefCell::default(),
            pending_relays: RefCell::default(),
            next_request: Cell::new(1),
            store_lost_since: Cell::new(None),
            in_flight: Cell::new(0),
        }
    }

    /// Whether an owner whose store answers was heard lately: it sends what this front cannot.
    pub(crate) fn is_owner_reachable(&self) -> bool {
        let limit = self.shared.heard_within(OWNER_SILENCE_LIMIT);
        self.shared.now().since(self.shared.owner_heard.get()) < limit
    }

    /// Whether neither the store nor an owner that has it was heard for a while: what is asked for now
    /// would be held until its caller gives up, where another front may serve it.
    pub(crate) fn is_cut_off(&self) -> bool {
        let now = self.shared.now();
        let lost_since = self.store_lost_since.get();
        lost_since.is_some_and(|since| now.since(since) >= CUT_OFF_AFTER)
            && !self.is_owner_reachable()
    }

    /// Whether the store should have answered by now.
    pub(crate) fn is_store_overdue(&self) -> bool {
        let silence = self.shared.now().since(self.shared.store_heard.get());
        self.in_flight.get() > 0 && silence >= OVERDUE_AFTER
    }

    /// Notes whether the store has answered.
    pub(crate) fn note_store_answer(&self, answered: bool) {
        let now = self.shared.now();
        match (answered, self.store_lost_since.get()) {
            (true, Some(since)) => {
                self.store_lost_since.set(None);
                tracing::info!(
                    seconds = now.since(since).as_secs_f64(),
                    "the store answers again"
                );
            }
            (false, None) => {
                self.store_lost_since.set(Some(now));
                tracing::warn!("the store does not answer");
            }
            _ => {}
        }
        if answered {
            self.shared.store_heard.set(now);
        }
    }
}

//! What the tasks of a front share beyond the pool's state.

use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use wax_owner::PoolShared;
use wax_types::TimePoint;
use wax_wire::{JobReply, PoolBody, RelayReply};

/// A front's own state.
#[derive(Debug)]
pub(crate) struct FrontState {
    pub(crate) shared: Rc<PoolShared>,
    /// The link to the owner, while there is one.
    pub(crate) outbox: RefCell<Option<UnboundedSender<PoolBody>>>,
    /// Questions to the owner that are not answered yet.
    pub(crate) asks: RefCell<HashMap<u64, oneshot::Sender<JobReply>>>,
    /// Transactions that the owner was asked to send.
    pub(crate) relays: RefCell<HashMap<u64, oneshot::Sender<RelayReply>>>,
    pub(crate) next_ask: Cell<u64>,
    /// Since when the store has not answered this process; `None` while it does.
    pub(crate) store_lost: Cell<Option<TimePoint>>,
    /// Transactions of this front that are under way.
    pub(crate) unanswered: Cell<u32>,
}

/// While the store does not answer, callers are told to come back after this.
pub(crate) const STORE_RETRY: Duration = Duration::from_millis(700);

/// A store that is found lost is believed to be so after this, should another call be answered.
const CUT_OFF_AFTER: Duration = Duration::from_millis(300);
/// A store that is slow answers within this; one that has not is looked at.
const OVERDUE_AFTER: Duration = Duration::from_millis(1_200);
/// An owner that was heard this lately is taken to be there.
const HEARD_LATELY: Duration = Duration::from_millis(800);

impl FrontState {
    pub(crate) fn new(shared: Rc<PoolShared>) -> Self {
        Self {
            shared,
            outbox: RefCell::default(),
            asks: RefCell::default(),
            relays: RefCell::default(),
            next_ask: Cell::new(1),
            store_lost: Cell::new(None),
            unanswered: Cell::new(0),
        }
    }

    /// Whether an owner whose store answers was heard lately: it sends what this front cannot.
    pub(crate) fn hears_owner(&self) -> bool {
        let lately = self.shared.allowed_silence(HEARD_LATELY);
        self.shared.now().since(self.shared.owner_heard_at.get()) < lately
    }

    /// Whether neither the store nor an owner that has it was heard for a while: what is asked for now
    /// would be held until its caller gives up, where another front may serve it.
    pub(crate) fn is_cut_off(&self) -> bool {
        let now = self.shared.now();
        let lost = self.store_lost.get();
        lost.is_some_and(|since| now.since(since) >= CUT_OFF_AFTER) && !self.hears_owner()
    }

    /// Whether the store should have answered by now.
    pub(crate) fn is_store_overdue(&self) -> bool {
        let silent = self.shared.now().since(self.shared.store_answered_at.get());
        self.unanswered.get() > 0 && silent >= OVERDUE_AFTER
    }

    /// Notes whether the store has answered.
    pub(crate) fn note_store(&self, answered: bool) {
        let now = self.shared.now();
        match (answered, self.store_lost.get()) {
            (true, Some(since)) => {
                self.store_lost.set(None);
                tracing::info!(
                    seconds = now.since(since).as_secs_f64(),
                    "the store answers again"
                );
            }
            (false, None) => {
                self.store_lost.set(Some(now));
                tracing::warn!("the store does not answer");
            }
            _ => {}
        }
        if answered {
            self.shared.store_answered_at.set(now);
        }
    }
}

//! State of a front in addition to [`PoolShared`], which also holds what ownership needs.

use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use wax_owner::PoolShared;
use wax_types::TimePoint;
use wax_wire::{JobReply, PoolBody, RelayReply};

/// State that all tasks of a front share.
#[derive(Debug)]
pub(crate) struct FrontState {
    pub(crate) shared: Rc<PoolShared>,
    /// Messages to the owner; `None` while there is no link.
    pub(crate) outbox: RefCell<Option<UnboundedSender<PoolBody>>>,
    /// Queries to the owner that are not answered yet, by request number.
    pub(crate) queries: RefCell<HashMap<u64, oneshot::Sender<JobReply>>>,
    /// Transactions that the owner was asked to send, by request number.
    pub(crate) pending_relays: RefCell<HashMap<u64, oneshot::Sender<RelayReply>>>,
    pub(crate) next_request: Cell<u64>,
    /// Since when the store has not answered this process; `None` while it does.
    pub(crate) store_lost_since: Cell<Option<TimePoint>>,
    /// Number of this front's transactions that are in flight.
    pub(crate) in_flight: Cell<u32>,
}

/// Retry delay that callers get while the store does not answer.
pub(crate) const STORE_RETRY_AFTER: Duration = Duration::from_millis(700);

/// How long the store must have been lost before requests are refused, so that a single failed
/// call is not enough.
const CUT_OFF_AFTER: Duration = Duration::from_millis(300);
/// Time without an answer after which the store is checked. A store that is only slow answers
/// sooner.
const OVERDUE_AFTER: Duration = Duration::from_millis(1_200);
/// An owner that has sent nothing for this long counts as unreachable.
const OWNER_MAX_SILENCE: Duration = Duration::from_millis(800);

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

    /// Returns whether there was recent contact with an owner that reaches the store. Such an owner
    /// can relay transactions for this front.
    pub(crate) fn is_owner_reachable(&self) -> bool {
        let limit = self.shared.allowed_silence(OWNER_MAX_SILENCE);
        self.shared.now().since(self.shared.owner_contact_at.get()) < limit
    }

    /// Returns whether the store has been unreachable for a while, and there is no recent contact
    /// with an owner that reaches it. Requests are refused then: they would wait until their
    /// deadline, while another front may serve them.
    pub(crate) fn is_cut_off(&self) -> bool {
        let now = self.shared.now();
        let lost_since = self.store_lost_since.get();
        lost_since.is_some_and(|since| now.since(since) >= CUT_OFF_AFTER)
            && !self.is_owner_reachable()
    }

    /// Returns whether transactions are in flight and the store should have answered by now.
    pub(crate) fn is_store_overdue(&self) -> bool {
        let silence = self.shared.now().since(self.shared.store_answered_at.get());
        self.in_flight.get() > 0 && silence >= OVERDUE_AFTER
    }

    /// Records whether the store has answered a call.
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
            self.shared.store_answered_at.set(now);
        }
    }
}

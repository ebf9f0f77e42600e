//! Signal that is raised once and that any number of async tasks can wait for.

use event_listener::Event;
use std::cell::Cell;
use std::rc::Rc;

/// One-time signal, shared by all clones. Waiting on a raised signal returns immediately.
#[derive(Debug, Clone, Default)]
pub struct ShutdownSignal {
    shared: Rc<SignalShared>,
}

#[derive(Debug, Default)]
struct SignalShared {
    raised: Cell<bool>,
    event: Event,
}

impl ShutdownSignal {
    /// Raises the signal and wakes all waiters.
    pub fn raise(&self) {
        self.shared.raised.set(true);
        self.shared.event.notify(usize::MAX);
    }

    /// Returns whether the signal has been raised.
    pub fn is_raised(&self) -> bool {
        self.shared.raised.get()
    }

    /// Waits until the signal is raised.
    pub async fn wait(&self) {
        while !self.is_raised() {
            let listener = self.shared.event.listen();
            if !self.is_raised() {
                listener.await;
            }
        }
    }
}

//! A signal that is raised once and that many tasks wait for.

use event_listener::Event;
use std::cell::Cell;
use std::rc::Rc;

/// Raised once; every waiter sees it, also one that comes later.
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
    /// Raises the signal.
    pub fn raise(&self) {
        self.shared.raised.set(true);
        self.shared.event.notify(usize::MAX);
    }

    /// Whether it was raised.
    pub fn is_raised(&self) -> bool {
        self.shared.raised.get()
    }

    /// Waits until it is raised.
    pub async fn wait(&self) {
        while !self.is_raised() {
            let listener = self.shared.event.listen();
            if !self.is_raised() {
                listener.await;
            }
        }
    }
}

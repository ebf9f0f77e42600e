//! Sidecars that are connected to this entry, and those that were lost recently.

use futures_channel::mpsc::UnboundedSender;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use wax_policy::UpstreamKey;
use wax_types::{SettingsVersion, TimePoint};
use wax_wire::{PeerBody, PeerHello};

/// State of one connected sidecar.
#[derive(Debug)]
pub(crate) struct PeerState {
    pub(crate) hello: PeerHello,
    pub(crate) key: UpstreamKey,
    pub(crate) outbox: UnboundedSender<PeerBody>,
    /// Latest settings version that the sidecar confirmed; 0 before the first confirmation.
    pub(crate) settings_version: Cell<SettingsVersion>,
    /// Whether the sidecar has announced that it shuts down.
    pub(crate) leaving: Cell<bool>,
}

/// Sidecar that disconnected without announcing that it shuts down.
#[derive(Debug, Clone)]
pub(crate) struct LostPeer {
    pub(crate) lost_at: TimePoint,
    pub(crate) settings_version: SettingsVersion,
}

/// Connected sidecars by upstream key, and lost sidecars by name.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: RefCell<BTreeMap<UpstreamKey, Rc<PeerState>>>,
    lost: RefCell<BTreeMap<Box<str>, LostPeer>>,
}

impl PeerTable {
    pub(crate) fn add(&self, peer: Rc<PeerState>) {
        self.lost.borrow_mut().remove(peer.hello.name.as_str());
        self.peers.borrow_mut().insert(peer.key, peer);
    }

    /// Removes the connection of a sidecar. The sidecar is kept as lost unless it announced its
    /// shutdown or has another connection to this entry.
    pub(crate) fn remove(&self, now: TimePoint, key: UpstreamKey) {
        let Some(peer) = self.peers.borrow_mut().remove(&key) else {
            return;
        };
        let replaced = self
            .all()
            .iter()
            .any(|other| other.hello.name == peer.hello.name);
        if !peer.leaving.get() && !replaced {
            let lost = LostPeer {
                lost_at: now,
                settings_version: peer.settings_version.get(),
            };
            self.lost
                .borrow_mut()
                .insert(peer.hello.name.as_str().into(), lost);
        }
    }

    pub(crate) fn all(&self) -> Vec<Rc<PeerState>> {
        self.peers.borrow().values().cloned().collect()
    }

    /// Returns the sidecars that were lost since `oldest`, and removes those lost earlier.
    pub(crate) fn recently_lost(&self, oldest: TimePoint) -> Vec<(Box<str>, LostPeer)> {
        let mut lost = self.lost.borrow_mut();
        lost.retain(|_, peer| peer.lost_at >= oldest);
        lost.iter()
            .map(|(name, peer)| (name.clone(), peer.clone()))
            .collect()
    }

    /// Sends a frame to one sidecar. Returns `false` if it is not connected; `true` does not mean that
    /// the frame arrived. The reader of the connection reports its loss.
    pub(crate) fn send(&self, key: UpstreamKey, body: PeerBody) -> bool {
        match self.peers.borrow().get(&key) {
            Some(peer) => peer.outbox.unbounded_send(body).is_ok(),
            None => false,
        }
    }

    /// Sends a frame to every connected sidecar.
    pub(crate) fn send_all(&self, body: &PeerBody) {
        for peer in self.peers.borrow().values() {
            let _ = peer.outbox.unbounded_send(body.clone());
        }
    }
}

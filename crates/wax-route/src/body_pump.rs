//! Sends the rest of a long request body, as the sidecar gives credit.

use crate::process::EntryShared;
use bytes::Bytes;
use event_listener::Event;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::cell::Cell;
use std::rc::Rc;
use wax_policy::UpstreamKey;
use wax_types::AttemptKey;
use wax_wire::{BodyChunk, CancelRequest, PeerBody};

/// The credit of one body, shared with the request that receives the grants.
#[derive(Debug, Default)]
pub(crate) struct BodyCredit {
    bytes: Cell<u64>,
    over: Cell<bool>,
    changed: Event,
}

impl BodyCredit {
    pub(crate) fn grant(&self, bytes: u32) {
        self.bytes.set(self.bytes.get() + u64::from(bytes));
        self.changed.notify(usize::MAX);
    }

    /// Stops the pump.
    pub(crate) fn end(&self) {
        self.over.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Waits until some credit is there; says whether the body is still wanted.
    async fn wait(&self) -> bool {
        while self.bytes.get() == 0 && !self.over.get() {
            let changed = self.changed.listen();
            if self.bytes.get() == 0 && !self.over.get() {
                changed.await;
            }
        }
        !self.over.get()
    }
}

/// A body on its way to one attempt.
pub(crate) struct BodyPump {
    pub(crate) shared: Rc<EntryShared>,
    pub(crate) upstream: UpstreamKey,
    pub(crate) key: AttemptKey,
    pub(crate) credit: Rc<BodyCredit>,
    /// Bytes sent with the head.
    pub(crate) sent: u64,
    /// The most that the whole body may have.
    pub(crate) limit: u64,
}

impl BodyPump {
    /// Reads and sends to the end; a body that is cut or too long cancels the attempt.
    pub(crate) async fn run(mut self, carry: Bytes, mut body: Incoming) {
        if !self.send(carry).await {
            return;
        }
        loop {
            let data = match body.frame().await {
                None => break,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return self.cancel(),
            };
            if self.sent + data.len() as u64 > self.limit {
                return self.cancel();
            }
            if !self.send(data).await {
                return;
            }
        }
        self.send_chunk(Bytes::new(), true);
    }

    async fn send(&mut self, mut data: Bytes) -> bool {
        while !data.is_empty() {
            if !self.credit.wait().await {
                return false;
            }
            let credit = self.credit.bytes.get();
            let part = data.split_to(data.len().min(credit as usize));
            self.credit.bytes.set(credit - part.len() as u64);
            self.sent += part.len() as u64;
            self.send_chunk(part, false);
        }
        true
    }

    fn send_chunk(&self, data: Bytes, last: bool) {
        let chunk = BodyChunk {
            attempt: Some(self.key.into()),
            data,
            last,
            total_bytes: self.sent,
        };
        self.shared
            .peers
            .send(self.upstream, PeerBody::Chunk(chunk));
    }

    fn cancel(&self) {
        let cancel = CancelRequest {
            attempt: Some(self.key.into()),
        };
        self.shared
            .peers
            .send(self.upstream, PeerBody::Cancel(cancel));
    }
}

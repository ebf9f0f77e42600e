//! Forwards the rest of a long request body to a sidecar, within the credit that the sidecar grants.

use crate::process::EntryShared;
use bytes::Bytes;
use event_listener::Event;
use http_body_util::BodyExt;
use std::cell::Cell;
use std::rc::Rc;
use wax_http::RequestBody;
use wax_policy::UpstreamKey;
use wax_types::AttemptKey;
use wax_wire::{BodyChunk, CancelRequest, PeerBody};

/// Credit for one body: number of bytes that may be sent. Shared between the forwarder and the
/// request, which receives the grants of the sidecar.
#[derive(Debug, Default)]
pub(crate) struct BodyCredit {
    bytes: Cell<u64>,
    stopped: Cell<bool>,
    changed: Event,
}

impl BodyCredit {
    pub(crate) fn add(&self, bytes: u32) {
        self.bytes.set(self.bytes.get() + u64::from(bytes));
        self.changed.notify(usize::MAX);
    }

    /// Stops the forwarder.
    pub(crate) fn stop(&self) {
        self.stopped.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Waits for credit. Returns `false` if the forwarder was stopped.
    async fn wait_for_credit(&self) -> bool {
        while self.bytes.get() == 0 && !self.stopped.get() {
            let changed = self.changed.listen();
            if self.bytes.get() == 0 && !self.stopped.get() {
                changed.await;
            }
        }
        !self.stopped.get()
    }
}

/// Forwards one body to one attempt.
pub(crate) struct BodyForwarder {
    pub(crate) shared: Rc<EntryShared>,
    pub(crate) upstream: UpstreamKey,
    pub(crate) key: AttemptKey,
    pub(crate) credit: Rc<BodyCredit>,
    /// Number of bytes of the body that were sent, with the request head and since.
    pub(crate) bytes_sent: u64,
    /// Maximum size of the whole body.
    pub(crate) max_body_bytes: u64,
}

impl BodyForwarder {
    /// Forwards the body to its end. If the body cannot be read to its end or is too long, the attempt
    /// is cancelled.
    pub(crate) async fn run(mut self, first_data: Bytes, mut body: RequestBody) {
        if !self.send(first_data).await {
            return;
        }
        loop {
            let data = match body.frame().await {
                None => break,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return self.cancel(),
            };
            if self.bytes_sent + data.len() as u64 > self.max_body_bytes {
                return self.cancel();
            }
            if !self.send(data).await {
                return;
            }
        }
        self.send_chunk(Bytes::new(), true);
    }

    /// Sends data as credit permits. Returns `false` if the forwarder was stopped.
    async fn send(&mut self, mut data: Bytes) -> bool {
        while !data.is_empty() {
            if !self.credit.wait_for_credit().await {
                return false;
            }
            let credit = self.credit.bytes.get();
            let part = data.split_to(data.len().min(credit as usize));
            self.credit.bytes.set(credit - part.len() as u64);
            self.bytes_sent += part.len() as u64;
            self.send_chunk(part, false);
        }
        true
    }

    fn send_chunk(&self, data: Bytes, last: bool) {
        let chunk = BodyChunk {
            attempt: Some(self.key.into()),
            data,
            last,
            total_bytes: self.bytes_sent,
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

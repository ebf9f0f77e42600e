//! Body of a request that the server receives.

use crate::budget::{BodyReservation, ConnectionLease};
use crate::ledger::{ConnectionState, OutOfBudget, body_deadline};
use bytes::Bytes;
use compio::time::sleep;
use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::ops::Deref;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use wax_trace::{Counter, count};
use wax_types::{ErrorKind, Step, WaxError};

/// Smallest growth of the buffer of a body, bytes.
const MIN_GROWTH: usize = 4 << 10;
/// What decoding and storing a body takes, in multiples of its size.
const DECODED_TIMES: usize = 5;
/// Retry delay for callers whose request was refused because the process is short of memory.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Body of a request, with the share of its connection in the budget.
pub struct RequestBody {
    incoming: Incoming,
    lease: Rc<ConnectionLease>,
}

/// Complete body. Its memory, and what decoding it takes, is reserved until it is dropped.
#[derive(Debug)]
pub struct CollectedBody {
    bytes: Vec<u8>,
    reservation: BodyReservation,
}

impl CollectedBody {
    /// Drops the bytes. Returns the reservation, for what was decoded from them.
    pub fn into_reservation(self) -> BodyReservation {
        self.reservation
    }
}

impl Deref for CollectedBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming, lease: Rc<ConnectionLease>) -> Self {
        Self { incoming, lease }
    }

    /// Reads the body to its end. The connection may be given up for others until then.
    pub(crate) async fn collect_within(mut self, limit: usize) -> Result<CollectedBody, WaxError> {
        let lease = self.lease.clone();
        lease.set_state(ConnectionState::AwaitsClient);
        let result = self.read_in_time(limit).await;
        lease.set_state(ConnectionState::Serving);
        result
    }

    async fn read_in_time(&mut self, limit: usize) -> Result<CollectedBody, WaxError> {
        let lease = self.lease.clone();
        let started_at = lease.now();
        let received = Cell::new(0);
        let mut read = pin!(self.read(limit, &received));
        loop {
            let deadline = body_deadline(started_at, received.get());
            let left = deadline.since(lease.now());
            if left.is_zero() {
                count(Counter::BodiesTooSlow);
                return Err(not_run("the body does not arrive in time"));
            }
            if let Either::Left((result, _)) = select(read.as_mut(), pin!(sleep(left))).await {
                return result;
            }
        }
    }

    async fn read(
        &mut self,
        limit: usize,
        received: &Cell<usize>,
    ) -> Result<CollectedBody, WaxError> {
        if self.incoming.size_hint().lower() > limit as u64 {
            return Err(too_long(limit));
        }
        let mut reservation = BodyReservation::new(self.lease.clone());
        // Frames keep the buffers that they were read into, so their bytes are copied.
        let mut bytes = Vec::new();
        while let Some(frame) = self.incoming.frame().await {
            let frame = frame.map_err(|error| {
                WaxError::new(ErrorKind::Protocol, Step::ParseRequest, "caller", error)
            })?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let size = bytes.len() + data.len();
            if size > limit {
                return Err(too_long(limit));
            }
            if size > bytes.capacity() {
                let growth = (size - bytes.capacity())
                    .max(bytes.capacity().min(limit - bytes.capacity()))
                    .max(MIN_GROWTH);
                reservation.grow(growth).await.map_err(refused)?;
                bytes.reserve_exact(bytes.capacity() + growth - bytes.len());
            }
            bytes.extend_from_slice(&data);
            received.set(bytes.len());
        }
        reservation
            .grow(bytes.len() * DECODED_TIMES)
            .await
            .map_err(refused)?;
        Ok(CollectedBody { bytes, reservation })
    }
}

fn too_long(limit: usize) -> WaxError {
    let text = format!("the body is longer than {limit} bytes");
    WaxError::new(ErrorKind::Invalid, Step::ParseRequest, "caller", text)
        .with_help("send a smaller body")
}

fn not_run(text: impl std::fmt::Display) -> WaxError {
    let kind = ErrorKind::Unavailable(REFUSED_RETRY_AFTER);
    WaxError::new(kind, Step::ParseRequest, "caller", text)
        .with_help("the request was not run; send it again after the given time")
}

fn refused(error: OutOfBudget) -> WaxError {
    not_run(error)
}

impl std::fmt::Debug for RequestBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("RequestBody")
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.get_mut().incoming).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
